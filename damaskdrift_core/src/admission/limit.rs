//! Adaptive limit on the concurrent requests to one upstream.

/// The current limit of one upstream, between its cold and its warm limit.
#[derive(Clone, Debug)]
pub struct Limit {
    cold: u32,
    warm: u32,
    value: u32,
    is_cold: bool,
}

impl Limit {
    /// Creates the limit of an upstream without a load report, which counts as cold.
    pub fn new(cold: u32, warm: u32) -> Self {
        Self { cold, warm: warm.max(cold), value: cold, is_cold: true }
    }

    /// Returns the concurrent requests allowed across all instances.
    pub fn value(&self) -> u32 {
        self.value
    }

    /// Returns the concurrent requests allowed during a cold start.
    pub fn cold(&self) -> u32 {
        self.cold
    }

    /// Returns whether the limit was created with these bounds.
    pub fn has_bounds(&self, cold: u32, warm: u32) -> bool {
        self.cold == cold && self.warm == warm.max(cold)
    }

    /// Returns whether the limit has grown to its warm value.
    pub fn is_warm(&self) -> bool {
        !self.is_cold && self.value == self.warm
    }

    /// Records whether the upstream reports that it is in a cold start.
    pub fn record_report(&mut self, is_cold: bool) {
        if is_cold {
            self.reset();
        }
        self.is_cold = is_cold;
    }

    /// Grows by one for each completed response, unless the upstream is cold.
    ///
    /// The limit at most doubles in the duration of one response, so it rises no faster than the
    /// capacity of the upstream.
    pub fn record_completions(&mut self, responses: u32) {
        if !self.is_cold {
            self.value = self.value.saturating_add(responses).min(self.warm);
        }
    }

    /// Raises the limit of a warm upstream to the requests in flight when its owner changes, since
    /// the upstream is known to sustain that number.
    pub fn resume(&mut self, requests: u32) {
        if !self.is_cold {
            self.value = self.value.max(requests.min(self.warm));
        }
    }

    /// Resets to the cold limit until the next load report.
    pub fn reset(&mut self) {
        self.value = self.cold;
        self.is_cold = true;
    }
}
