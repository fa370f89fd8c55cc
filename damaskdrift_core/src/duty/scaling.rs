//! Decides how many upstreams of a service each failure domain should have.
//!
//! Every upstream costs money for each second, so the count stays what it is unless the load
//! justifies a change.

use std::collections::{BTreeMap, VecDeque};

use crate::id;
use crate::time::{Millis, UnixMillis};

/// Utilization from which the count grows.
const GROW_UTILIZATION: f64 = 0.8;
/// Utilization that a new count is chosen for.
const TARGET_UTILIZATION: f64 = 0.7;
/// Utilization that the remaining failure domains may have after one is lost.
const LOSS_UTILIZATION: f64 = 0.85;
/// Prefill that waits at an engine, in milliseconds, from which it counts as fully used: a new
/// prompt waits as long for its first chunk.
const FULL_PREFILL_MS: f64 = 600.0;
/// Assumed prefill rate of an engine in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 60.0;
/// Part of an engine's KV cache that requests fill before others wait for room.
const KV_CACHE_FRACTION: f64 = 0.9;
/// Number of waiting requests for each upstream that counts as full use.
const FULL_WAITING: f64 = 1.0;
/// Time for which the load must be high before the count grows. Reports vary from one to the next.
const HIGH_LOAD_TIME: Millis = Millis(1_000);
/// Shortest time for which the load must have been low before the count shrinks.
const LOW_LOAD_TIME: Millis = Millis(16_000);
/// The same as a multiple of the time in which an upstream boots.
const LOW_LOAD_BOOTS: u64 = 2;
/// Shortest time between two orders of a failure domain of which the second one is larger.
const MIN_GROW_HOLD: Millis = Millis(3_000);
/// Shortest time between two orders of a failure domain of which the second one is smaller.
const MIN_SHRINK_HOLD: Millis = Millis(8_000);
/// Largest part of the count that one order adds.
const GROW_STEP: f64 = 1.0 / 3.0;
/// Largest part of the count that one order removes.
const SHRINK_STEP: f64 = 1.0 / 8.0;
/// Part of the count by which the need must be lower before the count shrinks.
const SHRINK_MARGIN: f64 = 0.1;
/// Time for which the highest number of registered upstreams counts. Entries of upstreams that
/// crashed or lapsed with the store return within it.
const REGISTERED_MEMORY: Millis = Millis(30_000);
/// Time for which a failure domain must have been observed before its first order. The count that was
/// in force before is not known otherwise: upstreams register one after another.
const FIRST_ORDER_AFTER: Millis = Millis(5_000);
/// Time beyond the boot of an upstream after which an order is repeated if the number of registered
/// upstreams does not equal it.
const REPEAT_AFTER: Millis = Millis(10_000);

/// Limits on the number of upstreams of a service in each failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScalingLimits {
    /// Lowest number.
    pub minimum: u32,
    /// Highest number.
    pub maximum: u32,
    /// Time from an order until new upstreams serve.
    pub boot: Millis,
}

/// An order of the number of upstreams of a service in a failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScaleOrder {
    /// The service.
    pub service: id::Service,
    /// The failure domain.
    pub domain: id::FailureDomain,
    /// The ordered number of upstreams.
    pub count: u32,
    /// When it was ordered, in true time.
    pub ordered_at: UnixMillis,
    /// Whether the order was accepted.
    pub is_acknowledged: bool,
}

/// Upstreams of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DomainState {
    /// Number of registered upstreams that do not drain.
    pub registered: u32,
    /// Whether operators have taken the failure domain out of service.
    pub is_out: bool,
}

/// Load of a service at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Number of upstreams that requests may be sent to.
    pub usable: u32,
    /// Requests that these can run at the same time.
    pub slots: u64,
    /// Tokens that the KV caches of these hold; 0 for plain services.
    pub capacity_tokens: u64,
    /// Requests at upstreams.
    pub in_flight: u64,
    /// Tokens that these requests hold or will hold.
    pub tokens: u64,
    /// Prompt tokens that wait for prefill.
    pub pending_prefill: u64,
    /// Requests that wait at instances for an upstream with room.
    pub waiting: u64,
    /// Whether the load of many instances is missing. What is known still justifies growth.
    pub is_partial: bool,
}

/// Load of a service at one time as the number of upstreams that it fully uses.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    used: f64,
    usable: f64,
    is_partial: bool,
}

/// What was seen of one service.
#[derive(Clone, Debug, Default)]
struct History {
    samples: VecDeque<Sample>,
    registered: BTreeMap<id::FailureDomain, VecDeque<(Millis, u32)>>,
    domains: BTreeMap<id::FailureDomain, DomainState>,
}

/// Observes the load of services and decides on orders.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    histories: BTreeMap<id::Service, History>,
}

impl ServiceLoad {
    /// Returns the number of upstreams that the load fully uses, by the scarcest resource.
    fn used(&self) -> f64 {
        let usable = f64::from(self.usable.max(1));
        let share = |load: f64, room: f64| if room > 0.0 { load / room } else { 0.0 };
        let slots = share((self.in_flight + self.waiting) as f64, self.slots as f64);
        let tokens = share(self.tokens as f64, self.capacity_tokens as f64 * KV_CACHE_FRACTION);
        let prefill_ms = self.pending_prefill as f64 / PREFILL_TOKENS_PER_MS / usable;
        let prefill = if self.capacity_tokens > 0 { prefill_ms / FULL_PREFILL_MS } else { 0.0 };
        let waiting = self.waiting as f64 / usable / FULL_WAITING;
        // What waits comes on top of what is used up already.
        let waiting = if waiting > 0.0 { GROW_UTILIZATION * waiting.min(1.0) } else { 0.0 };
        slots.max(tokens).max(prefill).max(waiting) * usable
    }
}

impl ScalingLimits {
    fn low_load_time(&self) -> Millis {
        LOW_LOAD_TIME.max(Millis(self.boot.0.saturating_mul(LOW_LOAD_BOOTS)))
    }
}

impl History {
    /// Returns the highest recent number of registered upstreams in a failure domain, if it was
    /// observed for long enough.
    fn known_registered(&self, domain: &id::FailureDomain, now: Millis) -> Option<u32> {
        let counts = self.registered.get(domain)?;
        let (first, _) = counts.front()?;
        let highest = counts.iter().map(|(_, count)| *count).max()?;
        (now.since(*first) >= FIRST_ORDER_AFTER).then_some(highest)
    }

    /// Returns the mean used and usable upstreams since a time, if the samples cover it.
    fn mean_since(&self, since: Millis) -> Option<(f64, f64)> {
        if self.samples.front()?.at > since {
            return None;
        }
        let recent = self.samples.iter().filter(|sample| sample.at >= since);
        let (mut used, mut usable, mut count) = (0.0, 0.0, 0.0);
        for sample in recent {
            used += sample.used;
            usable += sample.usable;
            count += 1.0;
        }
        (count > 0.0).then(|| (used / count, usable / count))
    }

    /// Returns the most used upstreams since a time, if the samples cover it and are complete.
    fn most_since(&self, since: Millis) -> Option<f64> {
        if self.samples.front()?.at > since {
            return None;
        }
        let mut most: f64 = 0.0;
        for sample in self.samples.iter().filter(|sample| sample.at >= since) {
            if sample.is_partial {
                return None;
            }
            most = most.max(sample.used);
        }
        Some(most)
    }
}

impl Scaler {
    /// Records the load of a service and the state of the failure domains that it runs in.
    pub fn observe(
        &mut self,
        service: &id::Service,
        limits: &ScalingLimits,
        load: &ServiceLoad,
        domains: BTreeMap<id::FailureDomain, DomainState>,
        now: Millis,
    ) {
        let history = self.histories.entry(service.clone()).or_default();
        let keep = limits.low_load_time() + HIGH_LOAD_TIME;
        history.samples.retain(|sample| now.since(sample.at) < keep);
        let sample = Sample {
            at: now,
            used: load.used(),
            usable: f64::from(load.usable),
            is_partial: load.is_partial,
        };
        history.samples.push_back(sample);
        for (domain, state) in &domains {
            let counts = history.registered.entry(domain.clone()).or_default();
            counts.push_back((now, state.registered));
        }
        for counts in history.registered.values_mut() {
            counts.retain(|(at, _)| now.since(*at) < REGISTERED_MEMORY);
        }
        history.domains = domains;
    }

    /// Forgets a service, for example because a rollout starts upstreams beside the others.
    pub fn forget(&mut self, service: &id::Service) {
        self.histories.remove(service);
    }

    /// Returns the orders that are due for a service, given the last orders.
    pub fn decide(
        &self,
        service: &id::Service,
        limits: &ScalingLimits,
        orders: &[ScaleOrder],
        now: Millis,
        true_now: UnixMillis,
    ) -> Vec<ScaleOrder> {
        let Some(history) = self.histories.get(service) else {
            return Vec::new();
        };
        let mut due = Vec::new();
        for (domain, state) in &history.domains {
            let last = orders.iter().find(|o| o.service == *service && o.domain == *domain);
            // An order without a response may be executed late, after a different one.
            // Upstreams that are ordered where none runs would serve nobody.
            let is_lost = state.is_out || state.registered == 0;
            if is_lost || last.is_some_and(|last| !last.is_acknowledged) {
                continue;
            }
            let count = self.wanted(history, domain, limits, last, now, true_now);
            let Some(count) = count else {
                continue;
            };
            due.push(ScaleOrder {
                service: service.clone(),
                domain: domain.clone(),
                count,
                ordered_at: true_now,
                is_acknowledged: false,
            });
        }
        due
    }

    /// Returns the count to order for a failure domain, if an order is due.
    fn wanted(
        &self,
        history: &History,
        domain: &id::FailureDomain,
        limits: &ScalingLimits,
        last: Option<&ScaleOrder>,
        now: Millis,
        true_now: UnixMillis,
    ) -> Option<u32> {
        let current = match last {
            Some(last) => last.count,
            None => history.known_registered(domain, now)?,
        };
        let since_last = last.map(|last| Millis(true_now.0.saturating_sub(last.ordered_at.0)));
        let has_passed = |hold: Millis| since_last.is_none_or(|since_last| since_last >= hold);
        let active = history.domains.values().filter(|d| !d.is_out && d.registered > 0).count();
        let active = active.max(1) as f64;
        if has_passed(MIN_GROW_HOLD.max(Millis(limits.boot.0 / 2))) {
            let (used, usable) = history.mean_since(now - HIGH_LOAD_TIME)?;
            if used >= usable * GROW_UTILIZATION && usable > 0.0 {
                let needed = (used / TARGET_UTILIZATION / active).ceil() as u32;
                let step = (f64::from(current) * GROW_STEP).ceil().max(2.0) as u32;
                let count = needed.min(current + step).min(limits.maximum);
                if count > current {
                    return Some(count.max(limits.minimum));
                }
                return None;
            }
        }
        if has_passed(MIN_SHRINK_HOLD.max(limits.boot))
            && let Some(most) = history.most_since(now - limits.low_load_time())
        {
            let needed = needed_without_one(most, active).max(limits.minimum);
            let margin = (f64::from(current) * SHRINK_MARGIN).ceil().max(1.0) as u32;
            let step = (f64::from(current) * SHRINK_STEP).ceil().max(1.0) as u32;
            // The margin keeps a load that varies from changing the count; the minimum holds for any.
            let is_least = needed == limits.minimum && current > needed;
            if needed + margin <= current || is_least {
                return Some(needed.max(current - step).min(limits.maximum));
            }
        }
        // Operators may have changed the limits.
        let permitted = current.clamp(limits.minimum, limits.maximum);
        if permitted != current && has_passed(MIN_SHRINK_HOLD.max(limits.boot)) {
            return Some(permitted);
        }
        // The ordered upstreams did not come, or a late call of an earlier order came after it.
        let differs = last.is_some() && history.domains.get(domain)?.registered != current;
        (differs && has_passed(limits.boot + REPEAT_AFTER)).then_some(current)
    }
}

/// Returns the count for each failure domain with which the others can serve the load alone if one
/// is lost.
fn needed_without_one(used: f64, domains: f64) -> u32 {
    let total = used / LOSS_UTILIZATION;
    let remaining = (domains - 1.0).max(1.0);
    (total / remaining).ceil() as u32
}
