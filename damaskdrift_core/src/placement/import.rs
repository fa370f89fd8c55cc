//! Watches a running import and gives up in time to compute the tokens instead.

use derive_more::Display;

use crate::time::Millis;

/// Least time that an import gets, so that one late packet does not end it.
const MIN_TIME: Millis = Millis(20);
/// Least time without progress that counts as a stall, so that a wrong first guess of the link's
/// rate does not end every import.
const MIN_STALL: Millis = Millis(100);
/// Multiple of the recompute time of the rest above which waiting for it is given up; a transfer
/// behind others looks slower than it is.
const SLOWER_FACTOR: f64 = 1.5;
/// Multiple of the expected time after which an import without progress counts as stalled.
const STALL_FACTOR: u64 = 4;

/// A running import.
#[derive(Clone, Copy, Debug)]
pub struct Import {
    started: Millis,
    blocks: usize,
    expected: Millis,
    recompute: Millis,
    done: usize,
    progressed: Millis,
}

/// Why an import is given up.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum GiveUp {
    /// Nothing arrived for a multiple of the expected time.
    #[display("stalled")]
    Stalled,
    /// At the measured rate, computing the rest is clearly faster than waiting for it.
    #[display("slower-than-recompute")]
    SlowerThanRecompute,
    /// The import took as long as computing all of it would have.
    #[display("out-of-time")]
    OutOfTime,
}

impl Import {
    /// Creates the watch of an import that starts now.
    pub fn new(blocks: usize, expected: Millis, recompute: Millis, now: Millis) -> Self {
        Self { started: now, blocks, expected, recompute, done: 0, progressed: now }
    }

    /// Notes how many blocks have arrived so far.
    pub fn note_done(&mut self, done: usize, now: Millis) {
        if done > self.done {
            self.done = done;
            self.progressed = now;
        }
    }

    /// Returns why the import is to be given up now, if it is.
    pub fn give_up(&self, now: Millis) -> Option<GiveUp> {
        let elapsed = now.since(self.started);
        if self.done >= self.blocks || elapsed < MIN_TIME {
            return None;
        }
        if now >= self.give_up_at() {
            let is_late = elapsed >= self.limit();
            return Some(if is_late { GiveUp::OutOfTime } else { GiveUp::Stalled });
        }
        if self.done == 0 {
            return None;
        }
        let left = (self.blocks - self.done) as u64;
        let import_left = elapsed.0 * left / self.done as u64;
        let recompute_left = self.recompute.0 * left / self.blocks as u64;
        let is_slower =
            import_left as f64 > SLOWER_FACTOR * recompute_left as f64 + MIN_TIME.0 as f64;
        is_slower.then_some(GiveUp::SlowerThanRecompute)
    }

    /// Returns the time at which the import is given up if nothing more arrives.
    ///
    /// An import that takes as long as computing its tokens is always given up, so a stalled link
    /// at most doubles the time of what was to be imported.
    pub fn give_up_at(&self) -> Millis {
        let stall = Millis(self.expected.0 * STALL_FACTOR).max(MIN_STALL);
        (self.progressed + stall).min(self.started + self.limit())
    }

    fn limit(&self) -> Millis {
        self.recompute.max(self.expected).max(MIN_TIME)
    }
}
