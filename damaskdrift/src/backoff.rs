//! Exponential backoff with jitter.

use std::time::Duration;

use rand::RngExt as _;

/// Exponential backoff: delays that double after each failure.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    current: Duration,
}

impl Backoff {
    /// Creates a backoff with delays from `min` to `max` before jitter, which shortens them by up
    /// to half.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, current: min }
    }

    /// Returns the delay after a failure and doubles the next one.
    pub fn next(&mut self) -> Duration {
        let delay = self.current;
        self.current = self.max.min(delay * 2);
        jittered(delay, 0.5..1.0)
    }

    /// Resets the delay to the shortest one; called after a success.
    pub fn reset(&mut self) {
        self.current = self.min;
    }
}

/// Returns a duration multiplied by a random factor, so that instances do not act in lockstep.
pub fn jittered(duration: Duration, factor: std::ops::Range<f64>) -> Duration {
    duration.mul_f64(rand::rng().random_range(factor))
}
