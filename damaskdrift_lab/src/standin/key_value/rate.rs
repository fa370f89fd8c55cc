//! Rate limit on calls.

use std::time::Instant;

/// Token bucket with a burst size of one second's calls.
#[derive(Debug)]
pub struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(per_s: u32, now: Instant) -> Self {
        Self { per_s: f64::from(per_s), tokens: f64::from(per_s), refilled_at: now }
    }

    /// Takes a token for one call; returns whether the rate limit allows the call.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.per_s);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
