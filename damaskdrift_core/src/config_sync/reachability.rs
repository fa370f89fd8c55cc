//! Tracks outages of the platform store and the upstreams whose entries went missing in them.

use std::collections::BTreeSet;

use crate::id;
use crate::time::Millis;

/// Time that live upstreams have to register again after the store lost their entries in an outage.
const REREGISTRATION_TIMEOUT: Millis = Millis(2_000);
/// Time after the store's return by which upstreams that have not registered again are removed. An
/// instance that was cut off counts as connected again after 3 s; the rest is left for the response
/// of the store that confirms the removal.
const MAX_RETENTION: Millis = Millis(2_800);

/// Whether the platform store can be reached, as this instance sees it.
///
/// An entry that is missing after an outage may have lapsed with the store, so its upstream stays in
/// use until live upstreams have had time to register again.
#[derive(Debug)]
pub struct Reachability {
    is_reached: bool,
    /// When the latest call began that did not reach the store.
    unreached_at: Option<Millis>,
    /// When this instance or a relay last saw the store return from an outage.
    returned_at: Option<Millis>,
    /// Until when upstreams whose entries are missing stay in use.
    retained_until: Option<Millis>,
    missing: BTreeSet<id::Upstream>,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            is_reached: true,
            unreached_at: None,
            returned_at: None,
            retained_until: None,
            missing: BTreeSet::new(),
        }
    }
}

impl Reachability {
    /// Records that a call which began at `began_at` did not reach the store; returns whether the
    /// store was reached before.
    pub fn record_unreached(&mut self, began_at: Millis) -> bool {
        self.unreached_at = self.unreached_at.max(Some(began_at));
        std::mem::take(&mut self.is_reached)
    }

    /// Records that the store has responded; returns whether it was not reached before.
    pub fn record_reached(&mut self, now: Millis) -> bool {
        let is_return = !std::mem::replace(&mut self.is_reached, true);
        if is_return {
            self.returned_at = Some(now);
            // The store returned after the latest call that did not reach it had begun, and before
            // now.
            let latest = self.unreached_at.map_or(Millis(u64::MAX), |at| at + MAX_RETENTION);
            self.retained_until = Some((now + REREGISTRATION_TIMEOUT).min(latest));
        }
        is_return
    }

    /// Records a return of the store that a relay has seen.
    pub fn record_relayed_return(&mut self, at: Millis) {
        self.returned_at = self.returned_at.max(Some(at));
        self.retained_until = self.retained_until.max(Some(at + REREGISTRATION_TIMEOUT));
    }

    /// Returns when this instance or a relay last saw the store return from an outage.
    pub fn returned_at(&self) -> Option<Millis> {
        self.returned_at
    }

    /// Records that the entry of an upstream is missing; returns whether the upstream stays in use
    /// because the entry may have lapsed in an outage.
    pub fn record_missing(&mut self, upstream: id::Upstream, now: Millis) -> bool {
        let is_kept = self.retained_until.is_some_and(|until| now < until);
        if is_kept {
            self.missing.insert(upstream);
        }
        is_kept
    }

    /// Records that an upstream has an entry.
    pub fn record_listed(&mut self, upstream: &id::Upstream) {
        self.missing.remove(upstream);
    }

    /// Returns when the upstreams with missing entries are to be removed, if there are any.
    ///
    /// The store has to be read again then: an upstream whose entry is missing is gone only if the
    /// store could be reached until then.
    pub fn removal_due_at(&self) -> Option<Millis> {
        if self.missing.is_empty() {
            return None;
        }
        self.retained_until
    }

    /// Takes the upstreams that have not registered again in time.
    pub fn take_removed(&mut self, now: Millis) -> BTreeSet<id::Upstream> {
        if self.removal_due_at().is_none_or(|due_at| now < due_at) {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.missing)
    }
}
