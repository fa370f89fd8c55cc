//! Limit on the log lines that clients can cause.

use crate::time::Millis;

/// Length of a window.
const WINDOW: Millis = Millis(1_000);
/// Lines in a window beyond which the rest is only counted.
const MAX_LINES: u32 = 50;

/// Number of lines for one reason in the current window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lines {
    started_at: Millis,
    written: u32,
    omitted: u64,
}

impl Lines {
    /// Returns whether a line may be written now, and how many were omitted in the window that ended
    /// with it.
    pub fn admit(&mut self, now: Millis) -> (bool, u64) {
        let mut omitted = 0;
        if now.since(self.started_at) >= WINDOW {
            omitted = self.omitted;
            *self = Self { started_at: now, written: 0, omitted: 0 };
        }
        let is_admitted = self.written < MAX_LINES;
        self.written += u32::from(is_admitted);
        self.omitted += u64::from(!is_admitted);
        (is_admitted, omitted)
    }
}
