//! Bounded memory of the segments that were answered.

use std::collections::HashMap;

use crate::time::Millis;

/// Number of segments after which the older half of the memory is dropped.
const GENERATION_SEGMENTS: usize = 4_096;
/// Time after which the older half of the memory is dropped.
const GENERATION_AGE: Millis = Millis(60_000);

/// When each segment was last answered at this instance, for one to two generations.
#[derive(Debug, Default)]
pub struct Answered {
    current: HashMap<u64, Millis>,
    previous: HashMap<u64, Millis>,
    current_since: Millis,
}

impl Answered {
    /// Records that a request with the segment was answered.
    pub fn record(&mut self, segment: u64, now: Millis) {
        let is_full = self.current.len() >= GENERATION_SEGMENTS;
        if is_full || now.since(self.current_since) >= GENERATION_AGE {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.current.insert(segment, now);
    }

    /// Returns when a request with the segment was last answered, if that is still known.
    pub fn last(&self, segment: u64) -> Option<Millis> {
        self.current.get(&segment).or_else(|| self.previous.get(&segment)).copied()
    }
}
