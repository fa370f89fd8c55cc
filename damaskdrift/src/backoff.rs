//! Jittered pauses between attempts.

use std::time::Duration;

use rand::RngExt as _;

/// Pauses that double after each failure.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    current: Duration,
}

impl Backoff {
    /// Creates pauses from about `min` to `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, current: min }
    }

    /// Returns the pause after a failure.
    pub fn next(&mut self) -> Duration {
        let span = self.current;
        self.current = self.max.min(span * 2);
        jittered(span, 0.5..1.0)
    }

    /// Starts again from the shortest pause, after a success.
    pub fn reset(&mut self) {
        self.current = self.min;
    }
}

/// Returns a span multiplied by a random factor, so that instances do not act in step.
pub fn jittered(span: Duration, factor: std::ops::Range<f64>) -> Duration {
    span.mul_f64(rand::rng().random_range(factor))
}
