//! The instance list and the delay before readers see a change.

use std::collections;
use std::net;
use std::time::{Duration, Instant};

use damaskdrift_core::id;
use serde::{Deserialize, Serialize};

/// Instances registered with the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Entries in the order in which they were set.
    pub instances: Vec<Entry>,
}

/// Instance on the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Unique name of the instance.
    pub id: id::Instance,
    /// Kind of process.
    pub role: Role,
    /// Listener address; for entry instances, the listener for peers.
    pub address: net::SocketAddr,
    /// Failure domain in which the instance runs.
    pub failure_domain: id::FailureDomain,
    /// Whether the instance is about to stop.
    pub state: State,
}

/// Kind of process behind an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Entry instance of damaskdrift.
    Entry,
    /// Model engine.
    Engine,
    /// Plain HTTP service.
    Service,
    /// Store of KV cache blocks.
    Store,
}

/// Life-cycle state of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance runs and accepts work.
    Live,
    /// The instance is draining and about to stop.
    Leaving,
}

/// Instance list whose changes become visible after a delay.
#[derive(Debug)]
pub struct DelayedList {
    lag: Duration,
    current: List,
    pending: collections::VecDeque<(Instant, List)>,
}

impl DelayedList {
    /// Creates an empty list with the delay of its changes.
    pub fn new(lag: Duration) -> Self {
        Self { lag, current: List::default(), pending: collections::VecDeque::new() }
    }

    /// Replaces the list; readers see the new one after the delay.
    pub fn set(&mut self, list: List, now: Instant) {
        self.pending.push_back((now + self.lag, list));
    }

    /// Returns the list as readers see it at `now`.
    pub fn get(&mut self, now: Instant) -> &List {
        while self.pending.front().is_some_and(|(visible_at, _)| *visible_at <= now) {
            if let Some((_, list)) = self.pending.pop_front() {
                self.current = list;
            }
        }
        &self.current
    }
}
