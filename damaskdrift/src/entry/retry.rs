//! Retry limits of this instance, by service.

use std::collections::HashMap;

use damaskdrift_core::id;
use damaskdrift_core::retry;
use damaskdrift_core::time::Millis;

/// Attempts counted against this instance's share of the retry limit, by service.
#[derive(Debug)]
pub struct RetryWindows {
    limit: retry::Bound,
    services: HashMap<id::Service, retry::AttemptWindow>,
}

impl RetryWindows {
    /// Creates windows without attempts; `limit` holds for each service over all instances.
    pub fn new(limit: retry::Bound) -> Self {
        Self { limit, services: HashMap::new() }
    }

    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, service: &id::Service, now: Millis) {
        self.services.entry(service.clone()).or_default().record_first_attempt(&self.limit, now);
    }

    /// Counts a retry, or returns `false` if the limit leaves none to this instance.
    pub fn try_retry(&mut self, service: &id::Service, instances: u32, now: Millis) -> bool {
        self.services.entry(service.clone()).or_default().try_retry(&self.limit, instances, now)
    }
}
