//! Faults that tests inject at run time.

use std::time::{Duration, Instant};

use serde::Deserialize;

/// Fault set by `POST /admin/fault`; each request replaces the previous fault.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Probability that an affected request fails, from 0 to 1.
    pub fail_rate: f64,
    /// Factor by which affected requests are slowed down; values up to 1 have no effect.
    pub slow_factor: f64,
    /// Path of the affected route, such as `/v1/completions`; absent, all routes are affected.
    pub route: Option<String>,
    /// Delay before the fault takes effect, in seconds.
    pub after_s: f64,
    /// Minimum number of requests in flight, including the affected one.
    pub min_running: usize,
    /// Starts (`true`) or ends (`false`) a cold start; absent, the state is unchanged.
    pub cold: Option<bool>,
}

/// Fault together with the time at which it was set.
#[derive(Clone, Debug)]
pub struct Active {
    fault: Fault,
    set_at: Instant,
}

impl Fault {
    /// Checks that all values are in range.
    ///
    /// # Errors
    ///
    /// Returns which value is out of range.
    pub fn check(&self) -> Result<(), &'static str> {
        if !(0.0..=1.0).contains(&self.fail_rate) {
            return Err("fail_rate must be in 0 to 1");
        }
        let is_time = |value: f64| value.is_finite() && (0.0..1e9).contains(&value);
        if !is_time(self.slow_factor) || !is_time(self.after_s) {
            return Err("slow_factor and after_s must be at least 0 and below 1e9");
        }
        Ok(())
    }
}

impl Active {
    /// Creates a fault whose delay starts at `set_at`.
    pub fn new(fault: Fault, set_at: Instant) -> Self {
        Self { fault, set_at }
    }

    /// Returns the fault if it affects a request on `route` with `in_flight` requests in flight.
    pub fn affecting(&self, route: &str, in_flight: usize, now: Instant) -> Option<&Fault> {
        let is_due = now >= self.set_at + Duration::from_secs_f64(self.fault.after_s);
        let is_on_route = self.fault.route.as_deref().is_none_or(|affected| affected == route);
        let is_affected = is_due && is_on_route && in_flight >= self.fault.min_running;
        is_affected.then_some(&self.fault)
    }
}
