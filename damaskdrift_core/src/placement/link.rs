//! Estimates the rate and the queue of a transfer link.

use crate::time::Millis;

/// Weight of a new measurement in the moving average of the rate.
const RATE_WEIGHT: f64 = 0.5;
/// Factor applied to the estimated rate when a transfer is aborted.
const ABORT_RATE_FACTOR: f64 = 0.5;
/// Time after the last aborted transfer until the former rate is restored and the link retried.
const RATE_RESTORE_DELAY: Millis = Millis::from_secs(30);

/// Estimated rate and queue of a transfer link.
#[derive(Clone, Debug)]
pub struct Link {
    bytes_per_s: f64,
    rate_before_abort: f64,
    aborted_at: Option<Millis>,
    queued_bytes: u64,
}

impl Link {
    /// Creates an estimate with an initial rate in bytes per second.
    pub fn new(bytes_per_s: f64) -> Self {
        Self { bytes_per_s, rate_before_abort: bytes_per_s, aborted_at: None, queued_bytes: 0 }
    }

    /// Returns the estimated rate in bytes per second.
    pub fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }

    /// Returns the number of bytes queued on the link.
    pub fn queued_bytes(&self) -> u64 {
        self.queued_bytes
    }

    /// Returns the time to transfer `bytes` after all queued bytes.
    pub fn transfer_time(&self, bytes: u64) -> Millis {
        millis((self.queued_bytes + bytes) as f64 / self.bytes_per_s)
    }

    /// Records the start of a transfer.
    pub fn start(&mut self, bytes: u64) {
        self.queued_bytes += bytes;
    }

    /// Records the end of a transfer that carried `transferred` of `planned` bytes.
    ///
    /// `queued_ahead` is the number of bytes queued on the link when the transfer started.
    pub fn finish(&mut self, planned: u64, transferred: u64, queued_ahead: u64, elapsed: Millis) {
        self.queued_bytes = self.queued_bytes.saturating_sub(planned);
        if transferred == 0 || elapsed.0 == 0 {
            return;
        }
        let measured = (transferred + queued_ahead) as f64 * 1_000.0 / elapsed.0 as f64;
        self.bytes_per_s += RATE_WEIGHT * (measured - self.bytes_per_s);
        self.aborted_at = None;
    }

    /// Records an aborted transfer of `planned` bytes and lowers the estimated rate.
    pub fn abort(&mut self, planned: u64, now: Millis) {
        self.queued_bytes = self.queued_bytes.saturating_sub(planned);
        if self.aborted_at.is_none() {
            self.rate_before_abort = self.bytes_per_s;
        }
        self.bytes_per_s = (self.bytes_per_s * ABORT_RATE_FACTOR).max(1.0);
        self.aborted_at = Some(now);
    }

    /// Restores the former rate some time after the last aborted transfer, so that a link that
    /// recovered is used again.
    pub fn refresh(&mut self, now: Millis) {
        if self.aborted_at.is_some_and(|at| now.since(at) >= RATE_RESTORE_DELAY) {
            self.bytes_per_s = self.rate_before_abort;
            self.aborted_at = None;
        }
    }
}

fn millis(secs: f64) -> Millis {
    Millis((secs * 1_000.0).ceil() as u64)
}
