//! Estimate of a transfer link.

use crate::time::Millis;

/// Weight of a new measurement in the average rate.
const RATE_WEIGHT: f64 = 0.5;
/// Factor on the rate after a transfer that was given up.
const STALL_FACTOR: f64 = 0.5;
/// Time after which a link that was given up is tried again with its former rate.
const STALL_MEMORY: Millis = Millis::from_secs(30);

/// What is known of a transfer link.
#[derive(Clone, Debug)]
pub struct Link {
    bytes_per_s: f64,
    before_stall: f64,
    stalled_at: Option<Millis>,
    queued_bytes: u64,
}

impl Link {
    /// Creates an estimate with a first guess of the rate, in bytes a second.
    pub fn new(bytes_per_s: f64) -> Self {
        Self { bytes_per_s, before_stall: bytes_per_s, stalled_at: None, queued_bytes: 0 }
    }

    /// Returns the estimated rate in bytes a second.
    pub fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }

    /// Returns the bytes that are queued on the link.
    pub fn queued_bytes(&self) -> u64 {
        self.queued_bytes
    }

    /// Returns the time that bytes take behind those that are queued.
    pub fn time_for(&self, bytes: u64) -> Millis {
        millis((self.queued_bytes + bytes) as f64 / self.bytes_per_s)
    }

    /// Notes that a transfer was started.
    pub fn start(&mut self, bytes: u64) {
        self.queued_bytes += bytes;
    }

    /// Notes that a transfer ended: the bytes it was to carry, those it carried and its time.
    ///
    /// `ahead` is what was queued on the link when the transfer started.
    pub fn finish(&mut self, planned: u64, carried: u64, ahead: u64, elapsed: Millis) {
        self.queued_bytes = self.queued_bytes.saturating_sub(planned);
        if carried == 0 || elapsed.0 == 0 {
            return;
        }
        let measured = (carried + ahead) as f64 * 1_000.0 / elapsed.0 as f64;
        self.bytes_per_s += RATE_WEIGHT * (measured - self.bytes_per_s);
        self.stalled_at = None;
    }

    /// Notes that a transfer was given up.
    pub fn give_up(&mut self, planned: u64, now: Millis) {
        self.queued_bytes = self.queued_bytes.saturating_sub(planned);
        if self.stalled_at.is_none() {
            self.before_stall = self.bytes_per_s;
        }
        self.bytes_per_s = (self.bytes_per_s * STALL_FACTOR).max(1.0);
        self.stalled_at = Some(now);
    }

    /// Restores the rate some time after the last transfer that was given up, so that a link that
    /// recovered is used again.
    pub fn refresh(&mut self, now: Millis) {
        if self.stalled_at.is_some_and(|at| now.since(at) >= STALL_MEMORY) {
            self.bytes_per_s = self.before_stall;
            self.stalled_at = None;
        }
    }
}

fn millis(secs: f64) -> Millis {
    Millis((secs * 1_000.0).ceil() as u64)
}
