//! Tracks how far a change has propagated, and what its writer may claim about each instance.

use std::collections;

use derive_more::Display;

use crate::id;
use crate::time::Millis;

/// Time after the freshness limit during which a writer still waits for confirmations.
pub const CLAIM_MARGIN: Millis = Millis(500);
/// Time beyond the freshness limit that must pass between the confirmation of half of the roster
/// and a claim of `stopped`; it covers clock drift and freshness checks in progress.
pub const CLAIM_SLACK: Millis = Millis(100);

/// Collects the confirmations of one accepted change from the members of the roster.
#[derive(Clone, Debug)]
pub struct Propagation {
    written_at: Millis,
    roster: collections::BTreeSet<id::Instance>,
    confirmed: collections::BTreeSet<id::Instance>,
    /// When the confirmations first reached half of the roster.
    half_confirmed_at: Option<Millis>,
    roster_changed: bool,
}

/// The writer's classification of the members of the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Instances that have installed the change.
    pub confirmed: Vec<id::Instance>,
    /// Unresponsive instances that have installed the change or take no new work.
    pub stopped: Vec<id::Instance>,
    /// Unresponsive instances that may still take new work under the old configuration.
    pub unconfirmed: Vec<id::Instance>,
    /// Reason for the classification of the unresponsive instances.
    pub reason: ClaimReason,
}

/// Reason for the classification of the instances that have not confirmed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ClaimReason {
    /// All instances have confirmed.
    #[display("all instances confirmed")]
    Complete,
    /// At least half of the roster confirmed, and the freshness limit has passed since.
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
    /// Starts collecting confirmations of a change whose acceptance the key-value service reported
    /// at `written_at`.
    ///
    /// `roster` is `None` if it is not known.
    pub fn new(
        own: &id::Instance,
        roster: Option<&collections::BTreeSet<id::Instance>>,
        written_at: Millis,
    ) -> Self {
        let mut propagation = Self {
            written_at,
            roster: roster.cloned().unwrap_or_default(),
            confirmed: collections::BTreeSet::new(),
            half_confirmed_at: None,
            roster_changed: roster.is_none(),
        };
        propagation.roster.insert(own.clone());
        propagation.confirm(own, written_at);
        propagation
    }

    /// Records that a member has installed the change or a later one; instances outside the roster
    /// are ignored.
    pub fn confirm(&mut self, peer: &id::Instance, now: Millis) {
        if !self.roster.contains(peer) {
            return;
        }
        self.confirmed.insert(peer.clone());
        if self.confirmed.len() * 2 >= self.roster.len() {
            self.half_confirmed_at = self.half_confirmed_at.or(Some(now));
        }
    }

    /// Records whether the present roster differs from the initial one.
    pub fn observe_roster(&mut self, roster: Option<&collections::BTreeSet<id::Instance>>) {
        if roster != Some(&self.roster) {
            self.roster_changed = true;
        }
    }

    /// Returns whether the writer can stop waiting at `now`: every member is classified as
    /// confirmed or stopped, or the time for confirmations is over.
    pub fn is_settled(&self, now: Millis, limit: Millis) -> bool {
        let reason = self.reason(now, limit);
        matches!(reason, ClaimReason::Complete | ClaimReason::LimitPassed)
            || now >= self.written_at + limit + CLAIM_MARGIN
    }

    /// Returns the members that have not confirmed.
    pub fn pending(&self) -> impl Iterator<Item = &id::Instance> {
        self.roster.difference(&self.confirmed)
    }

    /// Returns what the writer may claim about each member at `now`.
    ///
    /// An instance that has not confirmed may take new work only while it has pongs from more than
    /// half of the roster whose pings were sent within the limit and which report no higher
    /// revision. Once half of the roster has installed the change, that half sends no such pong in
    /// response to a later ping.
    pub fn claim(&self, now: Millis, limit: Millis) -> Claim {
        let confirmed = self.confirmed.iter().cloned().collect();
        let pending: Vec<_> = self.pending().cloned().collect();
        let reason = self.reason(now, limit);
        let (stopped, unconfirmed) = match reason {
            ClaimReason::LimitPassed => (pending, Vec::new()),
            _ => (Vec::new(), pending),
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
        let Some(half_confirmed_at) = self.half_confirmed_at else {
            return ClaimReason::Minority;
        };
        if now < half_confirmed_at + limit + CLAIM_SLACK {
            return ClaimReason::LimitRunning;
        }
        ClaimReason::LimitPassed
    }
}
