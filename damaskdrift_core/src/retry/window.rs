//! Limits the retries of one instance to its share of the fleet-wide limit of a service.

use std::collections::VecDeque;

use crate::time::Millis;

/// Fraction of the limit that is used; the rest covers the offset between the windows of different
/// instances.
const USABLE_FRACTION: f64 = 0.8;
/// Fraction of the limit that is used by an instance that started less than a window ago.
///
/// Before a restart it may have used its whole share, which still counts, and which it doesn't know.
/// With this fraction the limit holds for an instance that restarts twice in a window.
const USABLE_FRACTION_AFTER_START: f64 = 0.1;
/// Number of buckets that a window is counted in.
const BUCKETS: u64 = 10;

/// A limit on retries to one service over a sliding window, for all instances together.
// The platform's `check` command prints this struct with `Debug`, so its name and its field names
// are part of the output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Retries allowed per window in addition, regardless of the number of first attempts.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
}

/// First attempts and retries of one instance to one service, counted over a sliding window.
#[derive(Debug)]
pub struct AttemptWindow {
    started_at: Millis,
    /// Index, first attempts and retries of each bucket.
    buckets: VecDeque<(u64, u32, u32)>,
}

impl AttemptWindow {
    /// Creates a window without attempts of an instance that started at the given time.
    pub fn new(started_at: Millis) -> Self {
        Self { started_at, buckets: VecDeque::new() }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, limit: &Bound, now: Millis) {
        self.current_bucket(limit, now).1 += 1;
    }

    /// Counts a retry, or returns `false` if the limit leaves none to this instance.
    ///
    /// The ratio applies to the first attempts of this instance; the slack is divided evenly among
    /// `instances`.
    pub fn try_retry(&mut self, limit: &Bound, instances: u32, now: Millis) -> bool {
        self.current_bucket(limit, now);
        let (mut first_attempts, mut retries) = (0, 0);
        for (_, bucket_first_attempts, bucket_retries) in &self.buckets {
            first_attempts += bucket_first_attempts;
            retries += bucket_retries;
        }
        let slack = limit.slack / f64::from(instances.max(1));
        let is_new = now.since(self.started_at) < limit.window;
        let usable_fraction = if is_new { USABLE_FRACTION_AFTER_START } else { USABLE_FRACTION };
        let allowed = usable_fraction * (limit.ratio * f64::from(first_attempts) + slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_bucket(limit, now).2 += 1;
        true
    }

    /// Drops expired buckets and returns the current one, adding it if it is missing.
    fn current_bucket(&mut self, limit: &Bound, now: Millis) -> &mut (u64, u32, u32) {
        let bucket_ms = (limit.window.0 / BUCKETS).max(1);
        let current = now.0 / bucket_ms;
        while self.buckets.front().is_some_and(|(index, ..)| index + BUCKETS < current) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|(index, ..)| *index != current) {
            self.buckets.push_back((current, 0, 0));
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
