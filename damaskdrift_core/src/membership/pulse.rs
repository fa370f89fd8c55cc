//! Detects that the process was paused.

use crate::time::Millis;

/// Longest gap between two heartbeat ticks that does not count as a pause.
pub const PAUSE_LIMIT: Millis = Millis(1_000);

/// Remembers the last tick of the heartbeat loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pulse {
    last: Option<Millis>,
}

impl Pulse {
    /// Creates a pulse before its first tick.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a tick and returns the gap when it was a pause.
    pub fn tick(&mut self, now: Millis) -> Option<Millis> {
        let gap = now.since(self.last.replace(now)?);
        (gap > PAUSE_LIMIT).then_some(gap)
    }
}
