//! The instance list and its lag.

use std::collections;
use std::net;
use std::time::{Duration, Instant};

use damaskdrift_core::id;
use serde::{Deserialize, Serialize};

/// All instances that the platform knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// The instances.
    pub instances: Vec<Entry>,
}

/// An instance on the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name, unique on the list.
    pub id: id::Instance,
    /// What the instance does.
    pub role: Role,
    /// Its address; the peer listener for entries.
    pub address: net::SocketAddr,
    /// The failure domain it stands in.
    pub failure_domain: id::FailureDomain,
    /// Whether it stays.
    pub state: State,
}

/// Tells what an instance does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An entry instance of damaskdrift.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// A KV cache store.
    Store,
}

/// Tells whether an instance stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance runs.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// A list whose changes become visible after a lag.
#[derive(Debug)]
pub struct Delayed {
    lag: Duration,
    visible: List,
    pending: collections::VecDeque<(Instant, List)>,
}

impl Delayed {
    /// Creates an empty list.
    pub fn new(lag: Duration) -> Self {
        Self { lag, visible: List::default(), pending: collections::VecDeque::new() }
    }

    /// Replaces the list; readers see it after the lag.
    pub fn set(&mut self, list: List, now: Instant) {
        self.pending.push_back((now + self.lag, list));
    }

    /// Returns the list as readers see it.
    pub fn get(&mut self, now: Instant) -> &List {
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, list)) = self.pending.pop_front() {
                self.visible = list;
            }
        }
        &self.visible
    }
}
