//! Bounds the work of one wake-up, and spreads the wake-ups of the instances.

use rand::{Rng, RngExt as _};

use crate::admission_queue::forecast;
use crate::admission_queue::order;
use crate::time::Millis;

/// Longest time between two wake-ups of a queue that is not empty.
pub const WAKE_INTERVAL: Millis = Millis(20);
/// Shortest time between two wake-ups. A failed choice over 140 upstreams takes up to 50 µs; two of
/// them in this time are one hundredth of a core.
pub const WAKE_SPACING: Millis = Millis(10);
/// Requests that one wake-up admits at most.
const MAX_ADMITTED: u32 = 4;
/// Choices without success after which a wake-up ends.
const MAX_FAILED: u32 = 2;
/// Requests that end their wait without a choice, after which a wake-up ends.
const MAX_GONE: u32 = 32;
/// Engine time that all instances together try to claim, as a multiple of what the upstreams with
/// room work off meanwhile. Not all instances have waiting requests, and not all tries succeed.
const CLAIM_FACTOR: f64 = 0.75;
/// Addition to it while all upstreams have room, which are then far from their limits. It grows with
/// the square of the share beyond half of them: a step at half let the fleet claim in bursts.
const PLENTIFUL_CLAIM_FACTOR: f64 = 8.0;
/// Chance to claim room at once after a request of this instance has ended, as a multiple of the
/// share of upstreams with room. What all instances free together goes to those alone.
const FREED_CLAIM_FACTOR: f64 = 1.0;
/// Events of freed room that are kept for later wake-ups.
const MAX_FREED: u32 = 8;
/// Time for which requests of less urgent ranks may pass one that has no room. Longer, they would
/// take all the room that a larger request waits for.
const PASSING_TIME: Millis = Millis(200);

/// Room that this instance has freed and not claimed yet.
#[derive(Debug, Default)]
pub struct Freed {
    events: u32,
    /// When chance last decided about room that others may claim as well.
    drawn_at: Millis,
}

/// One wake-up of a queue.
#[derive(Debug, Default)]
pub struct WakeUp {
    admitted: u32,
    failed: u32,
    gone: u32,
    /// Least tokens of the requests that had no room.
    blocked_tokens: Option<u64>,
    /// Most urgent rank that has had no room for longer than [`PASSING_TIME`].
    blocked_rank: Option<u8>,
    /// Whether the chance decided against claiming room that others may claim.
    has_passed: bool,
}

impl Freed {
    /// Records that this instance has freed room.
    pub fn record(&mut self) {
        self.events = (self.events + 1).min(MAX_FREED);
    }

    /// Forgets freed room that nobody waits for.
    pub fn clear(&mut self) {
        self.events = 0;
    }
}

impl WakeUp {
    /// Returns whether this wake-up may try another request.
    pub fn may_continue(&self) -> bool {
        self.admitted < MAX_ADMITTED
            && self.failed < MAX_FAILED
            && self.gone < MAX_GONE
            && !self.has_passed
    }

    /// Returns whether a request may have room, as far as the failed choices tell.
    pub fn may_try(&self, entry: &order::Entry) -> bool {
        self.blocked_tokens.is_none_or(|blocked| entry.request.tokens < blocked)
            && self.blocked_rank.is_none_or(|rank| entry.request.rank <= rank)
    }

    /// Decides whether a request is tried now: after a request of this instance has ended if enough
    /// upstreams have room, else by chance, so that the instances do not all claim the room that
    /// their reports show.
    pub fn claims(
        &mut self,
        engine_time: Millis,
        freed: &mut Freed,
        capacity: &forecast::Capacity,
        now: Millis,
        rng: &mut impl Rng,
    ) -> bool {
        if capacity.instances <= 1 {
            return true;
        }
        if freed.events > 0 {
            freed.events -= 1;
            if rng.random_bool((FREED_CLAIM_FACTOR * capacity.room_share()).min(1.0)) {
                return true;
            }
        }
        let elapsed = now.since(freed.drawn_at).min(WAKE_INTERVAL);
        freed.drawn_at = now;
        let worked_off = f64::from(capacity.with_room.max(1)) * elapsed.0 as f64;
        let all = f64::from(capacity.instances) * engine_time.0.max(1) as f64;
        let beyond_half = (2.0 * capacity.room_share() - 1.0).max(0.0);
        let factor = CLAIM_FACTOR + PLENTIFUL_CLAIM_FACTOR * beyond_half * beyond_half;
        self.has_passed = !rng.random_bool((factor * worked_off / all).min(1.0));
        !self.has_passed
    }

    /// Records that a request found room.
    pub fn record_admitted(&mut self) {
        self.admitted += 1;
    }

    /// Records that a request that was to be tried has left, or no upstream serves it.
    pub fn record_gone(&mut self) {
        self.gone += 1;
    }

    /// Records that a request found no room.
    pub fn record_blocked(&mut self, entry: &order::Entry, now: Millis) {
        self.failed += 1;
        let tokens = entry.request.tokens;
        self.blocked_tokens =
            Some(self.blocked_tokens.map_or(tokens, |blocked| blocked.min(tokens)));
        if entry.blocked_since.is_some_and(|since| now.since(since) >= PASSING_TIME) {
            let rank = entry.request.rank;
            self.blocked_rank = Some(self.blocked_rank.map_or(rank, |blocked| blocked.min(rank)));
        }
    }
}
