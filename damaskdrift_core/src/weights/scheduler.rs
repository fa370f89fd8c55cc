//! Schedules model weight loads across the upstreams of a service.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::time::Millis;

/// Divisor of the upstream count that gives the maximum number of pending load orders; the other
/// three quarters of the upstreams sustain the traffic. An order stays pending until a report
/// shows its completion, which lags by about half the duration of a load, so about a sixth of the
/// upstreams are loading at any moment.
const BATCH_DIVISOR: usize = 4;
/// Time after which an order without reported completion no longer counts as pending and may be
/// sent again. An upstream may still execute a delayed order up to 12 s after it was sent.
const ORDER_TIMEOUT: Millis = Millis(2_500);

/// An upstream considered for a weight load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub id: id::Upstream,
    /// Version of the weights that it serves.
    pub version: u64,
    /// Requests running on it, as far as this instance knows.
    pub running: u32,
}

/// Selects the upstreams that load new weights, and tracks pending orders.
#[derive(Debug, Default)]
pub struct LoadScheduler {
    /// Version and sending time of each pending order.
    pending: BTreeMap<id::Upstream, (u64, Millis)>,
}

impl LoadScheduler {
    /// Returns the upstreams to send a load order to now, and records these orders as pending.
    ///
    /// Upstreams with the fewest running requests come first, because a load begins only after
    /// running requests have ended.
    pub fn schedule(
        &mut self,
        candidates: &[Candidate],
        target_version: u64,
        now: Millis,
    ) -> Vec<id::Upstream> {
        let ids: BTreeSet<_> = candidates.iter().map(|c| &c.id).collect();
        self.pending
            .retain(|id, (_, sent_at)| ids.contains(id) && now.since(*sent_at) < ORDER_TIMEOUT);
        for candidate in candidates {
            let pending = self.pending.get(&candidate.id);
            if pending.is_some_and(|(version, _)| candidate.version >= *version) {
                self.pending.remove(&candidate.id);
            }
        }
        let max_pending = candidates.len().div_ceil(BATCH_DIVISOR);
        let mut due: Vec<_> = candidates
            .iter()
            .filter(|c| c.version < target_version && !self.pending.contains_key(&c.id))
            .collect();
        due.sort_by_key(|c| c.running);
        let orders: Vec<_> = due
            .into_iter()
            .take(max_pending.saturating_sub(self.pending.len()))
            .map(|c| c.id.clone())
            .collect();
        for id in &orders {
            self.pending.insert(id.clone(), (target_version, now));
        }
        orders
    }

    /// Returns the upstreams with a pending order.
    pub fn pending(&self) -> impl Iterator<Item = &id::Upstream> {
        self.pending.keys()
    }

    /// Removes the pending order of an upstream that refused it, so that it may be sent again.
    pub fn record_refusal(&mut self, id: &id::Upstream) {
        self.pending.remove(id);
    }
}
