//! Requests that were refused and may return.

use std::collections::HashMap;

use crate::time::Millis;

/// Time for which a refused request is remembered. Callers return after `Retry-After`, or give up.
const RETENTION: Millis = Millis(10_000);
/// Largest number of refused requests that are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// Requests that this instance has refused, by a hash of the workspace and the request's id.
///
/// A caller can gain nothing by inventing an id: only one that was refused counts, and only once.
#[derive(Debug, Default)]
pub struct Returns {
    refused: HashMap<u64, Millis>,
}

impl Returns {
    /// Records that a request was refused.
    pub fn record_refused(&mut self, hash: u64, now: Millis) {
        if self.refused.len() >= MAX_REMEMBERED {
            self.refused.retain(|_, at| now.since(*at) < RETENTION);
        }
        if self.refused.len() < MAX_REMEMBERED {
            self.refused.insert(hash, now);
        }
    }

    /// Returns whether a request returns after a refusal, and forgets the refusal.
    pub fn take(&mut self, hash: u64, now: Millis) -> bool {
        self.refused.remove(&hash).is_some_and(|at| now.since(at) < RETENTION)
    }
}
