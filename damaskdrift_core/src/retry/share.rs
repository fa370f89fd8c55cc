//! One instance's share of the repeats that all instances may send to a service.

use std::collections::VecDeque;

use crate::time::Millis;

/// Part of the bound that is used; the rest covers the differing windows of instances.
const MARGIN: f64 = 0.8;
/// Pieces that a window is counted in.
const PIECES: u64 = 10;

/// A bound on repeats over a sliding window, for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats allowed for each first send.
    pub ratio: f64,
    /// Repeats allowed in a window regardless of first sends.
    pub slack: f64,
    /// The window.
    pub window: Millis,
}

/// Repeats and first sends of one instance to one service.
#[derive(Debug, Default)]
pub struct Share {
    /// Start, first sends and repeats of each piece of the window.
    pieces: VecDeque<(u64, u32, u32)>,
}

impl Share {
    /// Counts a first send.
    pub fn first(&mut self, bound: &Bound, now: Millis) {
        self.piece(bound, now).1 += 1;
    }

    /// Counts a repeat, or returns that none is left.
    pub fn repeat(&mut self, bound: &Bound, instances: u32, now: Millis) -> bool {
        self.piece(bound, now);
        let (mut firsts, mut repeats) = (0, 0);
        for (_, first, repeat) in &self.pieces {
            firsts += first;
            repeats += repeat;
        }
        let slack = bound.slack / f64::from(instances.max(1));
        let allowed = MARGIN * (bound.ratio * f64::from(firsts) + slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.piece(bound, now).2 += 1;
        true
    }

    fn piece(&mut self, bound: &Bound, now: Millis) -> &mut (u64, u32, u32) {
        let span = (bound.window.0 / PIECES).max(1);
        let index = now.0 / span;
        while self.pieces.front().is_some_and(|(start, ..)| start + PIECES < index) {
            self.pieces.pop_front();
        }
        if self.pieces.back().is_none_or(|(start, ..)| *start != index) {
            self.pieces.push_back((index, 0, 0));
        }
        self.pieces.back_mut().expect("a piece was just added")
    }
}
