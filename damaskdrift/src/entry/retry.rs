//! Retry limits of this instance, by service.

use std::collections::HashMap;

use damaskdrift_core::id;
use damaskdrift_core::retry;
use damaskdrift_core::time::Millis;

/// Attempts counted against this instance's share of the retry limit, by service.
#[derive(Debug)]
pub struct RetryWindows {
    limit: retry::Bound,
    started_at: Millis,
    services: HashMap<id::Service, retry::AttemptWindow>,
}

impl RetryWindows {
    /// Creates windows without attempts for an instance that started at the given time; `limit`
    /// holds for each service over all instances.
    pub fn new(limit: retry::Bound, started_at: Millis) -> Self {
        Self { limit, started_at, services: HashMap::new() }
    }

    fn window(&mut self, service: &id::Service) -> &mut retry::AttemptWindow {
        let window = || retry::AttemptWindow::new(self.started_at);
        self.services.entry(service.clone()).or_insert_with(window)
    }

    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, service: &id::Service, now: Millis) {
        let limit = self.limit;
        self.window(service).record_first_attempt(&limit, now);
    }

    /// Counts a retry, or returns `false` if the limit leaves none to this instance.
    pub fn try_retry(&mut self, service: &id::Service, instances: u32, now: Millis) -> bool {
        let limit = self.limit;
        self.window(service).try_retry(&limit, instances, now)
    }
}
