//! Learns how many concurrent requests an upstream bears.

/// The present limit of one upstream.
#[derive(Clone, Debug)]
pub struct Limit {
    cold: u32,
    warm: u32,
    value: u32,
    is_cold: bool,
}

impl Limit {
    /// Creates the limit of an upstream of which nothing is known, which counts as cold.
    pub fn new(cold: u32, warm: u32) -> Self {
        Self { cold, warm: warm.max(cold), value: cold, is_cold: true }
    }

    /// Returns the concurrent requests allowed over all instances.
    pub fn value(&self) -> u32 {
        self.value
    }

    /// Returns the concurrent requests allowed in a cold start.
    pub fn cold(&self) -> u32 {
        self.cold
    }

    /// Returns whether the limit moves between these bounds.
    pub fn has_bounds(&self, cold: u32, warm: u32) -> bool {
        self.cold == cold && self.warm == warm.max(cold)
    }

    /// Returns whether the limit has grown to its warm value.
    pub fn is_warm(&self) -> bool {
        !self.is_cold && self.value == self.warm
    }

    /// Takes the upstream's own report on whether it is in a cold start.
    pub fn report(&mut self, is_cold: bool) {
        if is_cold {
            self.reset();
        }
        self.is_cold = is_cold;
    }

    /// Grows by one for each completed answer, unless the upstream is cold.
    ///
    /// The limit doubles at most once in the time of an answer, so it rises no faster than the
    /// upstream itself.
    pub fn complete(&mut self, answers: u32) {
        if !self.is_cold {
            self.value = self.value.saturating_add(answers).min(self.warm);
        }
    }

    /// Takes the requests that a warm upstream is known to bear, when its owner changes.
    pub fn resume(&mut self, requests: u32) {
        if !self.is_cold {
            self.value = self.value.max(requests.min(self.warm));
        }
    }

    /// Falls back to the cold limit until the next report.
    pub fn reset(&mut self) {
        self.value = self.cold;
        self.is_cold = true;
    }
}
