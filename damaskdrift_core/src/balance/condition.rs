//! How well an upstream answers, from the answers that one instance saw.

use crate::time::Millis;

/// Weight of one answer in the average of failures: the last ten answers make two thirds of it.
const FAILURE_WEIGHT: f64 = 0.1;
/// Failures in a row after which an upstream is left out.
const FAILURES_IN_A_ROW: u32 = 3;
/// First span for which an upstream is left out; it doubles with each further time.
const FIRST_EJECTION: Millis = Millis(1_000);
/// Longest span for which an upstream is left out. It stays short, because nothing but a request
/// tells that an upstream has recovered.
const LONGEST_EJECTION: Millis = Millis(4_000);
/// Weight of one answer in the average delay beyond the estimate.
const DELAY_WEIGHT: f64 = 0.2;
/// Half-life of an observed delay; a queue is gone within a few hundred milliseconds.
const DELAY_HALF_LIFE_MS: f64 = 300.0;

/// Weight of a delay below the usual one, and of one above it, in the estimate of the usual one: it
/// settles where about one delay in twenty is below.
const USUAL_WEIGHTS: (f64, f64) = (0.2, 0.01);

/// The delay beyond the estimate that requests to a service have without any queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualDelay(Option<f64>);

impl UsualDelay {
    /// Takes a delay into account and returns how far it lies above the usual one.
    pub fn observe(&mut self, delay: Millis) -> Millis {
        let delay = delay.0 as f64;
        let usual = self.0.get_or_insert(delay);
        let weight = if delay < *usual { USUAL_WEIGHTS.0 } else { USUAL_WEIGHTS.1 };
        *usual += weight * (delay - *usual);
        Millis((delay - *usual).max(0.0) as u64)
    }
}

/// What one answer, or its absence, says of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The answer was sound.
    Sound,
    /// The upstream answered with a server error.
    ServerError,
    /// The connection could not be opened, broke, stayed silent or carried something else.
    Broken,
}

/// How well an upstream answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Condition {
    /// Share of recent answers that failed.
    failures: f64,
    in_a_row: u32,
    ejections: u32,
    ejected_until: Millis,
    delay_ms: f64,
    delay_at: Millis,
}

impl Condition {
    /// Takes an answer into account.
    pub fn observe(&mut self, verdict: Verdict, now: Millis) {
        let failed = verdict != Verdict::Sound;
        self.failures += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.failures);
        match verdict {
            Verdict::Sound => (self.in_a_row, self.ejections) = (0, 0),
            Verdict::ServerError => self.in_a_row = 0,
            Verdict::Broken => {
                self.in_a_row += 1;
                if self.in_a_row >= FAILURES_IN_A_ROW {
                    self.eject(now);
                }
            }
        }
    }

    /// Leaves the upstream out for some time, longer each time in a row.
    pub fn eject(&mut self, now: Millis) {
        let span = FIRST_EJECTION.0 << self.ejections.min(4);
        self.ejected_until = now + Millis(span.min(LONGEST_EJECTION.0));
        self.ejections += 1;
    }

    /// Takes into account how much longer than estimated a first event took.
    pub fn observe_delay(&mut self, excess: Millis, now: Millis) {
        let present = self.delay_ms(now);
        self.delay_ms = present + DELAY_WEIGHT * (excess.0 as f64 - present);
        self.delay_at = now;
    }

    /// Returns the delay beyond the estimate that a request may expect.
    pub fn delay_ms(&self, now: Millis) -> f64 {
        let age = now.since(self.delay_at).0 as f64;
        self.delay_ms * (-age / DELAY_HALF_LIFE_MS).exp2()
    }

    /// Returns whether the upstream is left out.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns the share of recent answers that failed.
    pub fn failures(&self) -> f64 {
        self.failures
    }
}
