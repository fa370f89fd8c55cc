//! Repeated sends of this instance, by service.

use std::collections::HashMap;

use damaskdrift_core::id;
use damaskdrift_core::retry;
use damaskdrift_core::time::Millis;

/// Shares of the bound on repeats, by service.
#[derive(Debug)]
pub struct Shares {
    bound: retry::Limit,
    services: HashMap<id::Service, retry::AttemptWindow>,
}

impl Shares {
    /// Creates unused shares.
    pub fn new(bound: retry::Limit) -> Self {
        Self { bound, services: HashMap::new() }
    }

    /// Counts the first send of a request.
    pub fn first(&mut self, service: &id::Service, now: Millis) {
        self.services.entry(service.clone()).or_default().record_first_attempt(&self.bound, now);
    }

    /// Counts a repeat, or returns that none is left.
    pub fn repeat(&mut self, service: &id::Service, instances: u32, now: Millis) -> bool {
        self.services.entry(service.clone()).or_default().try_retry(&self.bound, instances, now)
    }
}
