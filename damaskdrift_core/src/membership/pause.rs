//! Detects that the process was paused.

use crate::time::Millis;

/// Longest gap between two heartbeat ticks that does not count as a pause.
pub const MAX_TICK_GAP: Millis = Millis(1_000);

/// Detects pauses of the process from the gaps between ticks of the heartbeat loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    last_tick: Option<Millis>,
}

impl PauseDetector {
    /// Creates a detector that has seen no tick; the first tick never counts as a pause.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a tick and returns the gap since the last one if it exceeds [`MAX_TICK_GAP`].
    pub fn tick(&mut self, now: Millis) -> Option<Millis> {
        let gap = now.since(self.last_tick.replace(now)?);
        (gap > MAX_TICK_GAP).then_some(gap)
    }
}
