//! What the writer of a change may say of each instance.

use std::collections;

use derive_more::Display;

use crate::id;
use crate::time::Millis;

/// Time beyond the freshness limit that a writer waits for confirmations.
pub const CLAIM_MARGIN: Millis = Millis(500);
/// Time beyond the freshness limit that must pass between the confirmation of half of the roster
/// and a claim of `stopped`; it covers the drift of clocks and decisions already under way.
pub const CLAIM_SLACK: Millis = Millis(100);

/// Collects the confirmations of one accepted change.
#[derive(Clone, Debug)]
pub struct Propagation {
    written: Millis,
    roster: collections::BTreeSet<id::Instance>,
    confirmed: collections::BTreeSet<id::Instance>,
    half_confirmed: Option<Millis>,
    roster_changed: bool,
}

/// What the writer says of each member of the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Instances that have installed the change.
    pub confirmed: Vec<id::Instance>,
    /// Silent instances that have installed the change or take no new work.
    pub stopped: Vec<id::Instance>,
    /// Silent instances that may still take new work under the old configuration.
    pub unconfirmed: Vec<id::Instance>,
    /// Why the silent instances are classed as they are.
    pub reason: ClaimReason,
}

/// Why silent instances are classed as they are.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ClaimReason {
    /// No instance is silent.
    #[display("all instances confirmed")]
    Complete,
    /// At least half of the roster confirmed long enough ago.
    #[display("at least half of the roster confirmed and the freshness limit has passed")]
    LimitPassed,
    /// At least half of the roster confirmed, but the freshness limit has not passed since.
    #[display("the freshness limit has not passed since half of the roster confirmed")]
    LimitRunning,
    /// Less than half of the roster confirmed.
    #[display("less than half of the roster confirmed")]
    Minority,
    /// The roster changed, or was not known, while confirmations were collected.
    #[display("the roster changed while confirmations were collected")]
    RosterChanged,
}

impl Propagation {
    /// Starts collecting for a change that the service answered at `written`.
    ///
    /// `roster` is `None` while it is not known.
    pub fn new(
        own: &id::Instance,
        roster: Option<&collections::BTreeSet<id::Instance>>,
        written: Millis,
    ) -> Self {
        let mut propagation = Self {
            written,
            roster: roster.cloned().unwrap_or_default(),
            confirmed: collections::BTreeSet::new(),
            half_confirmed: None,
            roster_changed: roster.is_none(),
        };
        propagation.roster.insert(own.clone());
        propagation.confirm(own, written);
        propagation
    }

    /// Takes a member's word that it has installed the change or a later one.
    pub fn confirm(&mut self, peer: &id::Instance, now: Millis) {
        if !self.roster.contains(peer) {
            return;
        }
        self.confirmed.insert(peer.clone());
        if self.confirmed.len() * 2 >= self.roster.len() {
            self.half_confirmed = self.half_confirmed.or(Some(now));
        }
    }

    /// Compares the present roster with the one at the start.
    pub fn observe_roster(&mut self, roster: Option<&collections::BTreeSet<id::Instance>>) {
        if roster != Some(&self.roster) {
            self.roster_changed = true;
        }
    }

    /// Returns whether the writer has nothing to wait for at `now`: every member is classed as
    /// confirmed or stopped, or the time for confirmations is over.
    pub fn is_settled(&self, now: Millis, limit: Millis) -> bool {
        let reason = self.reason(now, limit);
        matches!(reason, ClaimReason::Complete | ClaimReason::LimitPassed)
            || now >= self.written + limit + CLAIM_MARGIN
    }

    /// Returns the members that have not confirmed.
    pub fn silent(&self) -> impl Iterator<Item = &id::Instance> {
        self.roster.difference(&self.confirmed)
    }

    /// Decides what may be said at `now`.
    ///
    /// A silent instance may go on only while it has pongs from more than half of the roster
    /// whose pings were sent within the limit and which know no higher revision. Once half of the
    /// roster has installed the change, no ping sent later can get such a pong from that half.
    pub fn claim(&self, now: Millis, limit: Millis) -> Claim {
        let confirmed = self.confirmed.iter().cloned().collect();
        let silent: Vec<_> = self.silent().cloned().collect();
        let reason = self.reason(now, limit);
        let (stopped, unconfirmed) = match reason {
            ClaimReason::LimitPassed => (silent, Vec::new()),
            _ => (Vec::new(), silent),
        };
        Claim { confirmed, stopped, unconfirmed, reason }
    }

    fn reason(&self, now: Millis, limit: Millis) -> ClaimReason {
        if self.roster_changed {
            return ClaimReason::RosterChanged;
        }
        if self.confirmed.len() == self.roster.len() {
            return ClaimReason::Complete;
        }
        let Some(half_confirmed) = self.half_confirmed else { return ClaimReason::Minority };
        if now < half_confirmed + limit + CLAIM_SLACK {
            return ClaimReason::LimitRunning;
        }
        ClaimReason::LimitPassed
    }
}
