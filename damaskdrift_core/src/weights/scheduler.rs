//! Schedules model weight loads across the upstreams of a service.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::time::Millis;
use crate::weights::Targets;

/// Divisor of the number of sound upstreams that gives the number of load orders pending at once; the
/// other three quarters of the upstreams sustain the traffic. An order stays pending until
/// a report shows its completion, which lags by about half the duration of a load, so about a sixth
/// of the upstreams are loading at any moment.
const BATCH_DIVISOR: usize = 4;
/// Assumed time from an order to the report of its completion: running requests end, the weights
/// are loaded, and the report lags. It sets how many loads must be pending at once so that all end
/// before the target's limit.
const LOAD_TIME: Millis = Millis(1_000);
/// Time after which an order without reported completion no longer counts as pending and may be
/// sent again. An upstream may still execute a delayed order up to 12 s after it was sent; its
/// sequence number makes it fail then if another one was accepted meanwhile.
const ORDER_TIMEOUT: Millis = Millis(2_500);
/// Time after which an upstream that was busy with another order is asked again.
const BUSY_RECHECK: Millis = Millis(200);
/// Time after which an order without a response is sent again unless a report shows it in progress;
/// reports lag by a few hundred milliseconds.
const UNANSWERED_RECHECK: Millis = Millis(500);
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
    sent_at: Millis,
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

/// Number of orders that must be pending for all upstreams to have a target version in time.
#[derive(Clone, Copy, Debug)]
struct Demand {
    version: u64,
    needed: usize,
    pending: usize,
}

/// Selects the upstreams that load new weights, and tracks pending orders.
///
/// Results are recorded with the time at which the order was scheduled; those of an earlier order to
/// the same upstream are ignored.
#[derive(Debug, Default)]
pub struct LoadScheduler {
    pending: BTreeMap<id::Upstream, PendingOrder>,
    failures: BTreeMap<id::Upstream, Failures>,
}

impl LoadScheduler {
    /// Returns the upstreams to send a load order to now, and records these orders as pending.
    ///
    /// Upstreams whose old weights expire first come first, and among them those with the fewest
    /// running requests, because a load begins only after running requests have ended. Upstreams that
    /// do not respond or whose last order failed come after all others. The batch grows as the end of
    /// `limit`, the time after which a target version is required, comes near.
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
        let mut sound = Vec::new();
        for candidate in candidates {
            let failures = self.failures.get(&candidate.id);
            if failures.is_none() && candidate.is_responsive {
                sound.push(candidate);
            }
            if candidate.version < target_version
                && !self.pending.contains_key(&candidate.id)
                && failures.is_none_or(|failures| now >= failures.retry_at)
            {
                let failed = failures.map_or(0, |failures| failures.count);
                let usable_until = targets.usable_until(candidate.version, limit);
                due.push(((!candidate.is_responsive, failed, usable_until), candidate));
            }
        }
        due.sort_by_key(|(order, candidate)| (*order, candidate.running));
        let mut demands = self.demands(&sound, targets, limit, now);
        let batch = sound.len().div_ceil(BATCH_DIVISOR).max(1);
        let mut orders = Vec::new();
        for (_, candidate) in due {
            let is_urgent =
                demands.iter().any(|d| candidate.version < d.version && d.pending < d.needed);
            if self.pending.len() >= batch && !is_urgent {
                continue;
            }
            for demand in &mut demands {
                demand.pending += usize::from(candidate.version < demand.version);
            }
            let order = PendingOrder {
                version: target_version,
                started_at: candidate.started_at,
                sent_at: now,
                expires_at: now + ORDER_TIMEOUT,
            };
            self.pending.insert(candidate.id.clone(), order);
            orders.push(candidate.id.clone());
        }
        orders
    }

    /// Returns how many orders must be pending for all sound upstreams to have each target version
    /// before the end of its limit.
    ///
    /// After the limit requests no longer begin on older weights, so nothing is gained by sparing an
    /// upstream that has them.
    fn demands(
        &self,
        sound: &[&Candidate],
        targets: &Targets,
        limit: Millis,
        now: Millis,
    ) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (version, limit_end) in targets.limit_ends(limit) {
            let (mut behind, mut pending) = (0_usize, 0);
            for candidate in sound {
                if candidate.version < version {
                    behind += 1;
                    pending += usize::from(self.pending.contains_key(&candidate.id));
                }
            }
            let rounds = limit_end.since(now).0 / LOAD_TIME.0;
            let rounds = usize::try_from(rounds).unwrap_or(usize::MAX).max(1);
            demands.push(Demand { version, needed: behind.div_ceil(rounds), pending });
        }
        demands
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

    /// Returns the upstreams with a pending order, each with the time at which it was scheduled.
    pub fn pending(&self) -> impl Iterator<Item = (&id::Upstream, Millis)> {
        self.pending.iter().map(|(id, order)| (id, order.sent_at))
    }

    fn pending_order(&mut self, id: &id::Upstream, sent_at: Millis) -> Option<&mut PendingOrder> {
        self.pending.get_mut(id).filter(|order| order.sent_at == sent_at)
    }

    /// Records that the upstream accepted the order.
    pub fn record_accepted(&mut self, id: &id::Upstream, sent_at: Millis) {
        if self.pending_order(id, sent_at).is_some() {
            self.failures.remove(id);
        }
    }

    /// Records that the upstream carries out another order; this one may be sent after a short time.
    pub fn record_busy(&mut self, id: &id::Upstream, sent_at: Millis, now: Millis) {
        if let Some(order) = self.pending_order(id, sent_at) {
            order.expires_at = order.expires_at.min(now + BUSY_RECHECK);
            self.failures.remove(id);
        }
    }

    /// Records that the order got no response. The upstream may carry it out, so the order keeps its
    /// place until the next report can show it.
    pub fn record_unanswered(&mut self, id: &id::Upstream, sent_at: Millis, now: Millis) {
        if let Some(order) = self.pending_order(id, sent_at) {
            order.expires_at = order.expires_at.min(now + UNANSWERED_RECHECK);
        }
    }

    /// Records that the order was not sent, for a reason that does not concern the upstream.
    pub fn record_unsent(&mut self, id: &id::Upstream, sent_at: Millis) {
        if self.pending_order(id, sent_at).is_some() {
            self.pending.remove(id);
        }
    }

    /// Records that the order was refused, or that the upstream's report is not available. The order
    /// no longer counts as pending and may be sent again after a pause.
    pub fn record_failure(&mut self, id: &id::Upstream, sent_at: Millis, now: Millis) {
        let Some(order) = self.pending_order(id, sent_at).copied() else {
            return;
        };
        self.pending.remove(id);
        let count = self.failures.get(id).map_or(0, |failures| failures.count);
        let pause = RETRY_PAUSE.0.saturating_mul(1_u64.checked_shl(count).unwrap_or(u64::MAX));
        let retry_at = now + Millis(pause.min(MAX_RETRY_PAUSE.0));
        let count = count.saturating_add(1);
        let failures = Failures { count, started_at: order.started_at, retry_at };
        self.failures.insert(id.clone(), failures);
    }
}
