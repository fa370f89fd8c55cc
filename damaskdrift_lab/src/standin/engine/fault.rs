//! Faults that tests switch on at run time.

use std::time::{Duration, Instant};

use serde::Deserialize;

/// A fault as `POST /admin/fault` sets it; each post replaces the fault before.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Share of requests that fail.
    pub fail_rate: f64,
    /// Slowdown of affected requests; values up to 1 mean none.
    pub slow_factor: f64,
    /// The only route affected, such as `/v1/completions`.
    pub route: Option<String>,
    /// Time from the post until the fault shows.
    pub after_s: f64,
    /// Requests in flight from which on the fault shows.
    pub min_running: usize,
    /// Starts (`true`) or ends (`false`) a cold start; absent leaves it as it is.
    pub cold: Option<bool>,
}

/// A fault with the time at which it was set.
#[derive(Clone, Debug)]
pub struct Active {
    fault: Fault,
    set_at: Instant,
}

impl Fault {
    /// Returns what is wrong with the values, if anything.
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
    /// Creates an active fault.
    pub fn new(fault: Fault, set_at: Instant) -> Self {
        Self { fault, set_at }
    }

    /// Returns the fault if it shows on a route under a number of requests in flight.
    pub fn shown(&self, route: &str, in_flight: usize, now: Instant) -> Option<&Fault> {
        let is_due = now >= self.set_at + Duration::from_secs_f64(self.fault.after_s);
        let is_route = self.fault.route.as_deref().is_none_or(|only| only == route);
        let is_shown = is_due && is_route && in_flight >= self.fault.min_running;
        is_shown.then_some(&self.fault)
    }
}
