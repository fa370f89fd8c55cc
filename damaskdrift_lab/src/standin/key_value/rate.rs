//! Limit on the rate of calls.

use std::time::Instant;

/// Token bucket that holds at most the calls of one second.
#[derive(Debug)]
pub struct Bucket {
    per_s: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(per_s: u32, now: Instant) -> Self {
        Self { per_s: f64::from(per_s), tokens: f64::from(per_s), filled: now }
    }

    /// Takes one call; returns whether the rate allows it.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.per_s);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
