//! Limit on the rate of calls.

use crate::time::Millis;

/// Part of the permitted rate that is used. The rest is for calls of a former holder that are
/// executed late.
const USED_SHARE: f64 = 0.7;
/// Part of the permitted rate that may be used at once.
const BURST_SHARE: f64 = 0.3;
/// Time for which no call is made after a refusal of one because of the rate.
const REFUSAL_PAUSE: Millis = Millis(1_000);

/// Admits calls at a limited rate. It begins empty, because a former holder may just have used up
/// the rate.
#[derive(Clone, Copy, Debug)]
pub struct CallRate {
    per_second: f64,
    burst: f64,
    available: f64,
    updated_at: Millis,
    paused_until: Millis,
}

impl CallRate {
    /// Creates a limit for all instances together.
    pub fn new(per_second: f64, now: Millis) -> Self {
        let burst = (per_second * BURST_SHARE).max(1.0);
        let per_second = per_second * USED_SHARE;
        Self { per_second, burst, available: 0.0, updated_at: now, paused_until: Millis(0) }
    }

    /// Takes a call from the rate; returns `false` if none is left.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let elapsed = now.since(self.updated_at).0 as f64 / 1_000.0;
        self.available = (self.available + elapsed * self.per_second).min(self.burst);
        self.updated_at = now;
        if now < self.paused_until || self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    /// Records that a call was refused because of the rate.
    pub fn record_refusal(&mut self, now: Millis) {
        self.available = 0.0;
        self.paused_until = now + REFUSAL_PAUSE;
    }
}
