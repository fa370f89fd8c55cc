//! The requests of a queue and their order within a rank and a workspace.

use crate::admission_queue::forecast;
use crate::id;
use crate::time::Millis;

/// Number of the least urgent rank; 0 is the most urgent.
pub const LOWEST_RANK: u8 = 9;

/// A request that needs room at an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// The workspace whose share the request uses; `None` for anonymous requests.
    pub workspace: Option<id::Workspace>,
    /// Expected time for which the request occupies an engine.
    pub engine_time: Millis,
    /// Tokens that the request holds in a KV cache.
    pub tokens: u64,
    /// Whether this instance has refused the request, or an upstream has, before.
    pub is_returning: bool,
    /// Time until which the request has to start for its target latency.
    pub target_start: Millis,
    /// Time until which an expected start lets the request be accepted.
    pub useful_start: Millis,
    /// Time until which the request waits at the longest.
    pub latest_start: Millis,
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Number of the request in the order of arrival.
    pub number: u64,
    /// The request.
    pub request: Request,
    /// When the request joined the queue.
    pub queued_at: Millis,
    /// When the request was first found to have no room while it was tried.
    pub blocked_since: Option<Millis>,
}

impl Request {
    /// Returns what the request takes of the upstreams.
    pub fn work(&self) -> forecast::Work {
        forecast::Work { engine_ms: self.engine_time.0 as f64, requests: 1.0, tokens: self.tokens }
    }

    /// Returns the key of the order by time left. Requests that can still meet their target are
    /// first, because the others are late in any case.
    pub fn time_left(&self, now: Millis) -> (bool, Millis) {
        if now <= self.target_start {
            (false, self.target_start)
        } else {
            (true, self.latest_start)
        }
    }
}

impl Entry {
    /// Returns the key of the order within a rank and a workspace.
    pub fn key(&self, now: Millis) -> ((bool, Millis), u64) {
        (self.request.time_left(now), self.number)
    }
}
