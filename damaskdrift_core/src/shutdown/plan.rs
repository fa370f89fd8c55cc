//! The times of a planned stop.

use crate::time::Millis;

/// Time before the end of the grace period at which an instance exits.
const EXIT_MARGIN: Millis = Millis(500);
/// Time that an instance needs to pass on the end of a response, before it exits.
const DELIVERY_MARGIN: Millis = Millis(250);
/// Time for which a stopping instance accepts connections. Load balancers notice that it isn't
/// ready only after two readiness checks, which they make once per second.
const ACCEPT_DURATION: Millis = Millis(3_500);
/// Time for which load balancers may still send new requests to a stopping instance, unless a third
/// of the time until its exit is shorter.
const NOTICE_DELAY: Millis = Millis(2_500);

/// The times of a planned stop of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    began_at: Millis,
    exits_at: Millis,
}

impl Plan {
    /// Creates the plan of a stop that begins now, for an instance that is killed after `grace`.
    pub fn new(now: Millis, grace: Millis) -> Self {
        Self::exiting_at(now, now + (grace - EXIT_MARGIN))
    }

    /// Creates the plan of a stop that begins now, for an instance that exits at the given time.
    pub fn exiting_at(now: Millis, exits_at: Millis) -> Self {
        Self { began_at: now, exits_at }
    }

    /// Returns the time at which the instance exits, even if requests are unfinished.
    pub fn exits_at(&self) -> Millis {
        self.exits_at
    }

    /// Returns the time from which the instance accepts no connections.
    pub fn stops_accepting_at(&self) -> Millis {
        (self.began_at + ACCEPT_DURATION).min(self.exits_at - DELIVERY_MARGIN)
    }

    /// Returns whether a request that ends at `ends_at` at the latest may be sent to an upstream.
    ///
    /// A request that the exit might cut off is refused before it runs, so that its caller can send
    /// it to another instance. While load balancers still send requests here, those that may run
    /// again are admitted nevertheless: most end long before the exit, and the caller of one that
    /// does not can repeat it.
    pub fn admits(&self, ends_at: Option<Millis>, may_run_again: bool, now: Millis) -> bool {
        if ends_at.is_some_and(|ends_at| ends_at + DELIVERY_MARGIN <= self.exits_at) {
            return true;
        }
        let notice_delay = NOTICE_DELAY.min(Millis(self.exits_at.since(self.began_at).0 / 3));
        may_run_again && now.since(self.began_at) < notice_delay
    }
}
