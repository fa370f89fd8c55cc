//! Schedules model weight loads across the upstreams of a service.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::time::Millis;
use crate::weights::Targets;

/// Divisor of the number of reachable upstreams that gives the number of load orders pending at
/// once; the other three quarters of the upstreams sustain the traffic. An order stays pending until
/// a report shows its completion, which lags by about half the duration of a load, so about a sixth
/// of the upstreams are loading at any moment.
const BATCH_DIVISOR: usize = 4;
/// Assumed time from an order to the report of its completion: running requests end, the weights
/// are loaded, and the report lags. It sets how many loads must be pending at once so that all end
/// before the target's limit.
const LOAD_TIME: Millis = Millis(1_000);
/// Time after which an order without reported completion no longer counts as pending and may be
/// sent again. An upstream may still execute a delayed order up to 12 s after it was sent.
const ORDER_TIMEOUT: Millis = Millis(2_500);
/// Time after which an upstream that was busy with another order is asked again.
const BUSY_RECHECK: Millis = Millis(200);
/// Pause before an upstream whose order failed gets another one; it doubles with each consecutive
/// failure up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Millis = Millis(100);
/// Maximum of this pause. It is short against the limit of a target, because an upstream that
/// returns serves with its old weights.
const MAX_RETRY_PAUSE: Millis = Millis(800);

/// An upstream considered for a weight load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub id: id::Upstream,
    /// Unix time of its start; a restart ends orders that were pending.
    pub started_at: Option<u64>,
    /// Version of the weights that it serves.
    pub version: u64,
    /// Requests running on it, as far as this instance knows.
    pub running: u32,
    /// Whether it responds, as far as this instance knows.
    pub is_responsive: bool,
}

/// An order whose completion was not reported yet.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    version: u64,
    started_at: Option<u64>,
    expires_at: Millis,
}

/// Consecutive failures of orders to an upstream.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    started_at: Option<u64>,
    /// When the next order may be sent.
    retry_at: Millis,
}

/// Selects the upstreams that load new weights, and tracks pending orders.
#[derive(Debug, Default)]
pub struct LoadScheduler {
    pending: BTreeMap<id::Upstream, PendingOrder>,
    failures: BTreeMap<id::Upstream, Failures>,
}

impl LoadScheduler {
    /// Returns the upstreams to send a load order to now, and records these orders as pending.
    ///
    /// Upstreams with the fewest running requests come first, because a load begins only after
    /// running requests have ended. Those whose last order failed come after all others and leave
    /// their place in the batch to them. The batch grows as the end of `limit`, the time after which
    /// a target version is required, comes near.
    pub fn schedule(
        &mut self,
        candidates: &[Candidate],
        targets: &Targets,
        limit: Millis,
        now: Millis,
    ) -> Vec<id::Upstream> {
        self.update(candidates, now);
        let Some(target_version) = targets.newest() else {
            return Vec::new();
        };
        let mut due = Vec::new();
        let mut reachable = 0_usize;
        for candidate in candidates {
            let failures = self.failures.get(&candidate.id);
            if failures.is_none() && candidate.is_responsive {
                reachable += 1;
            }
            let is_paused = failures.is_some_and(|failures| now < failures.retry_at);
            if candidate.version < target_version
                && !self.pending.contains_key(&candidate.id)
                && !is_paused
            {
                let failed = failures.map_or(0, |failures| failures.count);
                due.push((!candidate.is_responsive, failed, candidate));
            }
        }
        due.sort_by_key(|(is_silent, failed, candidate)| (*is_silent, *failed, candidate.running));
        let max_pending =
            reachable.div_ceil(BATCH_DIVISOR).max(needed_in_time(candidates, targets, limit, now));
        let mut orders = Vec::new();
        for (_, _, candidate) in due {
            if self.pending.len() >= max_pending {
                break;
            }
            let order = PendingOrder {
                version: target_version,
                started_at: candidate.started_at,
                expires_at: now + ORDER_TIMEOUT,
            };
            self.pending.insert(candidate.id.clone(), order);
            orders.push(candidate.id.clone());
        }
        orders
    }

    /// Drops what a restart, a removal, the completion of a load or its timeout has ended.
    fn update(&mut self, candidates: &[Candidate], now: Millis) {
        let ids: BTreeSet<_> = candidates.iter().map(|c| (&c.id, c.started_at)).collect();
        self.pending
            .retain(|id, order| ids.contains(&(id, order.started_at)) && now < order.expires_at);
        self.failures.retain(|id, failures| ids.contains(&(id, failures.started_at)));
        for candidate in candidates {
            let pending = self.pending.get(&candidate.id);
            if pending.is_some_and(|order| candidate.version >= order.version) {
                self.pending.remove(&candidate.id);
            }
        }
    }

    /// Returns the upstreams with a pending order.
    pub fn pending(&self) -> impl Iterator<Item = &id::Upstream> {
        self.pending.keys()
    }

    /// Records that the upstream accepted the order.
    pub fn record_success(&mut self, id: &id::Upstream) {
        self.failures.remove(id);
    }

    /// Records that the upstream carries out another order; this one may be sent after a short time.
    pub fn record_busy(&mut self, id: &id::Upstream, now: Millis) {
        self.failures.remove(id);
        if let Some(order) = self.pending.get_mut(id) {
            order.expires_at = order.expires_at.min(now + BUSY_RECHECK);
        }
    }

    /// Records that an order was refused or got no response, or that the report on its progress is
    /// not available. The order no longer counts as pending and may be sent again after a pause.
    pub fn record_failure(&mut self, id: &id::Upstream, now: Millis) {
        let Some(order) = self.pending.remove(id) else {
            return;
        };
        let count = self.failures.get(id).map_or(0, |failures| failures.count);
        let pause = RETRY_PAUSE.0.saturating_mul(1_u64.checked_shl(count).unwrap_or(u64::MAX));
        let retry_at = now + Millis(pause.min(MAX_RETRY_PAUSE.0));
        let failures =
            Failures { count: count.saturating_add(1), started_at: order.started_at, retry_at };
        self.failures.insert(id.clone(), failures);
    }
}

/// Returns how many orders must be pending at once for all responsive upstreams to have each target
/// version before the end of its limit.
///
/// After the limit requests no longer begin on older weights, so nothing is gained by sparing an
/// upstream that has them.
fn needed_in_time(
    candidates: &[Candidate],
    targets: &Targets,
    limit: Millis,
    now: Millis,
) -> usize {
    let mut needed = 0;
    for (version, limit_end) in targets.limit_ends(limit) {
        let behind = candidates.iter().filter(|c| c.is_responsive && c.version < version).count();
        let left = limit_end.since(now);
        let rounds = usize::try_from(left.0 / LOAD_TIME.0).unwrap_or(usize::MAX);
        needed = needed.max(behind.div_ceil(rounds.max(1)));
    }
    needed
}
