//! Tracks a running import and aborts it when recomputing its tokens is faster.

use derive_more::Display;

use crate::time::Millis;

/// Minimum time before an import is aborted, so that one late packet does not end it.
const MIN_DURATION: Millis = Millis(20);
/// Minimum time without progress that counts as a stall, so that a wrong initial estimate of the
/// link rate does not abort every import.
const MIN_STALL_TIMEOUT: Millis = Millis(100);
/// Multiple of the recompute time of the remaining blocks above which the import is aborted.
///
/// It is above 1 because a transfer queued behind others looks slower than it is.
const MAX_RECOMPUTE_RATIO: f64 = 1.5;
/// Multiple of the expected duration after which an import without progress counts as stalled.
const STALL_FACTOR: u64 = 4;

/// Progress and deadline of a running import.
#[derive(Clone, Copy, Debug)]
pub struct Import {
    started_at: Millis,
    blocks: usize,
    expected: Millis,
    recompute: Millis,
    done_blocks: usize,
    last_progress_at: Millis,
}

/// Reason to abort an import.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum AbortReason {
    /// No block arrived for a multiple of the expected duration of the import.
    #[display("stalled")]
    Stalled,
    /// At the measured rate, recomputing the remaining blocks is clearly faster.
    #[display("slower-than-recompute")]
    SlowerThanRecompute,
    /// The import reached its maximum duration: the longest of its expected duration, the time to
    /// recompute all of its blocks, and the minimum time before an abort.
    #[display("out-of-time")]
    OutOfTime,
}

impl Import {
    /// Creates the state of an import that starts now, with its expected duration and the time to
    /// recompute its blocks.
    pub fn new(blocks: usize, expected: Millis, recompute: Millis, now: Millis) -> Self {
        Self { started_at: now, blocks, expected, recompute, done_blocks: 0, last_progress_at: now }
    }

    /// Records the total number of blocks that have arrived.
    pub fn record_progress(&mut self, done_blocks: usize, now: Millis) {
        if done_blocks > self.done_blocks {
            self.done_blocks = done_blocks;
            self.last_progress_at = now;
        }
    }

    /// Returns the reason to abort the import now; `None` to continue it.
    pub fn abort_reason(&self, now: Millis) -> Option<AbortReason> {
        let elapsed = now.since(self.started_at);
        if self.done_blocks >= self.blocks || elapsed < MIN_DURATION {
            return None;
        }
        if now >= self.deadline() {
            let is_out_of_time = elapsed >= self.max_duration();
            return Some(if is_out_of_time {
                AbortReason::OutOfTime
            } else {
                AbortReason::Stalled
            });
        }
        if self.done_blocks == 0 {
            return None;
        }
        let remaining = (self.blocks - self.done_blocks) as u64;
        let import_ms = elapsed.0 * remaining / self.done_blocks as u64;
        let recompute_ms = self.recompute.0 * remaining / self.blocks as u64;
        let is_slower =
            import_ms as f64 > MAX_RECOMPUTE_RATIO * recompute_ms as f64 + MIN_DURATION.0 as f64;
        is_slower.then_some(AbortReason::SlowerThanRecompute)
    }

    /// Returns the time by which the import is aborted if no more blocks arrive.
    ///
    /// An unfinished import is aborted at the latest after the longest of its expected duration,
    /// the time to recompute its blocks, and the minimum time before an abort. A stalled link
    /// therefore delays the recomputation by at most that time.
    pub fn deadline(&self) -> Millis {
        let stall_timeout = Millis(self.expected.0 * STALL_FACTOR).max(MIN_STALL_TIMEOUT);
        (self.last_progress_at + stall_timeout).min(self.started_at + self.max_duration())
    }

    fn max_duration(&self) -> Millis {
        self.recompute.max(self.expected).max(MIN_DURATION)
    }
}
