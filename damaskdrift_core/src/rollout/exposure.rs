//! Limits the requests that a version receives before its rollout has completed.

use rand::{Rng, RngExt as _};

/// Fraction of the share that is used; the rest covers requests that are sent twice and instances
/// that end before their requests count.
const USABLE_FRACTION: f64 = 0.8;

/// A limit on the requests that reach an unproven version of a service, for all instances together.
// The platform's `check` command prints this struct with `Debug`, so its name and its field names
// are part of the output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of the service's requests that the version may receive.
    pub share: f64,
    /// Requests that it may receive in addition, regardless of the number of requests.
    pub slack: f64,
}

/// Requests of one instance to a service since a rollout was ordered.
#[derive(Clone, Copy, Debug)]
pub struct Exposure {
    total: u64,
    new: u64,
    /// Fraction of a request that this instance may send in advance.
    credit: f64,
}

impl Exposure {
    /// Creates counts without requests.
    ///
    /// Each instance rounds its share at a random point. An instance with few requests would
    /// otherwise never reach a whole one, and the version would get no request in a large fleet.
    /// The sum over the fleet has the share as its mean, and deviates by less than half the square
    /// root of the number of instances, also if instances restart and draw the point again.
    pub fn new(rng: &mut impl Rng) -> Self {
        Self { total: 0, new: 0, credit: rng.random_range(0.0..1.0) }
    }

    /// Counts a request to the service; `is_new` tells whether it went to the version on trial.
    pub fn record(&mut self, is_new: bool) {
        self.total += 1;
        self.new += u64::from(is_new);
    }

    /// Returns whether the next request may go to the version on trial.
    pub fn admits_new(&self, limit: &ExposureLimit, share: f64) -> bool {
        let share = share.min(limit.share * USABLE_FRACTION);
        let credit = if limit.slack >= 1.0 { self.credit } else { 0.0 };
        (self.new + 1) as f64 <= share * (self.total + 1) as f64 + credit
    }

    /// Returns the requests to the service, and how many of them went to the version on trial.
    pub fn counts(&self) -> (u64, u64) {
        (self.total, self.new)
    }
}
