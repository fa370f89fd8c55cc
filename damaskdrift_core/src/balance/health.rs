//! Health of an upstream, derived from the responses that one instance received.

use crate::time::Millis;

/// Weight of one response in the failure rate; the last ten responses make up two thirds of it.
const FAILURE_WEIGHT: f64 = 0.1;
/// Consecutive transport errors after which an upstream is ejected.
const MAX_CONSECUTIVE_ERRORS: u32 = 3;
/// Duration of the first ejection; it doubles with each consecutive one.
const FIRST_EJECTION: Millis = Millis(1_000);
/// Longest ejection. It stays short because only a request can show that an upstream has
/// recovered.
const MAX_EJECTION: Millis = Millis(4_000);
/// Weight of one response in the average excess delay.
const DELAY_WEIGHT: f64 = 0.2;
/// Half-life of an observed excess delay; queues drain within a few hundred milliseconds.
const DELAY_HALF_LIFE_MS: f64 = 300.0;

/// Weights of a delay below the baseline and of one above it. With these, the baseline settles
/// where the distances of the delays below it sum to about a twentieth of those above it.
const BASELINE_WEIGHTS: (f64, f64) = (0.2, 0.01);

/// The delay beyond the estimate that requests to a service have without any queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct BaselineDelay(Option<f64>);

impl BaselineDelay {
    /// Records a delay and returns its excess over the baseline.
    pub fn observe(&mut self, delay: Millis) -> Millis {
        let delay = delay.0 as f64;
        let baseline = self.0.get_or_insert(delay);
        let weight = if delay < *baseline { BASELINE_WEIGHTS.0 } else { BASELINE_WEIGHTS.1 };
        *baseline += weight * (delay - *baseline);
        Millis((delay - *baseline).max(0.0) as u64)
    }
}

/// The result of one attempt at an upstream, as far as it concerns the upstream's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The upstream sent a response without a server error.
    Success,
    /// The upstream responded with a server error.
    ServerError,
    /// The connection could not be opened, broke, timed out or carried an invalid response or one
    /// that cannot be attributed to the request.
    TransportError,
}

/// Health of one upstream as seen by this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Moving average of failed attempts, from 0 to 1.
    failure_rate: f64,
    consecutive_errors: u32,
    consecutive_ejections: u32,
    ejected_until: Millis,
    excess_delay_ms: f64,
    /// When `excess_delay_ms` was last updated.
    delay_at: Millis,
}

impl Health {
    /// Records an attempt and ejects the upstream after too many transport errors.
    pub fn observe(&mut self, observation: Observation, now: Millis) {
        let failed = observation != Observation::Success;
        self.failure_rate += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        match observation {
            Observation::Success => (self.consecutive_errors, self.consecutive_ejections) = (0, 0),
            Observation::ServerError => self.consecutive_errors = 0,
            Observation::TransportError => {
                self.consecutive_errors += 1;
                if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS {
                    self.eject(now);
                }
            }
        }
    }

    /// Ejects the upstream: it gets no requests for a time that doubles with each consecutive
    /// ejection.
    pub fn eject(&mut self, now: Millis) {
        let duration = FIRST_EJECTION.0 << self.consecutive_ejections.min(4);
        self.ejected_until = now + Millis(duration.min(MAX_EJECTION.0));
        self.consecutive_ejections += 1;
    }

    /// Records how much longer than the estimate and the service's baseline a first chunk took.
    pub fn observe_delay(&mut self, excess: Millis, now: Millis) {
        let current = self.excess_delay_ms(now);
        self.excess_delay_ms = current + DELAY_WEIGHT * (excess.0 as f64 - current);
        self.delay_at = now;
    }

    /// Returns the excess delay that a request may expect now.
    pub fn excess_delay_ms(&self, now: Millis) -> f64 {
        let age = now.since(self.delay_at).0 as f64;
        self.excess_delay_ms * (-age / DELAY_HALF_LIFE_MS).exp2()
    }

    /// Returns whether the upstream is ejected, that is, temporarily gets no requests.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns the moving average of failed attempts, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
