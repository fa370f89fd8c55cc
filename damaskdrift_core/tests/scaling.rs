//! Tests of orders of the number of upstreams, with upstreams that boot and a load that varies.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::BTreeMap;

use damaskdrift_core::duty::{DomainState, Record, ScaleOrder, Scaler, ScalingLimits, ServiceLoad};
use damaskdrift_core::id;
use damaskdrift_core::time::{Millis, UnixMillis};
use rstest::rstest;

const LIMITS: ScalingLimits = ScalingLimits { minimum: 20, maximum: 48, boot: Millis(8_000) };
/// Upstreams of each failure domain at the start.
const START: u32 = 28;
const SLOTS: u32 = 8;
const STEP: u64 = 200;

/// A service whose upstreams follow the orders.
struct World {
    now: Millis,
    scaler: Scaler,
    record: Record,
    domains: BTreeMap<id::FailureDomain, DomainState>,
    /// Ordered upstreams that boot: when they serve, and the count from then on.
    boots: Vec<(Millis, id::FailureDomain, u32)>,
    /// Whether the load of many instances is missing.
    is_partial: bool,
    /// All orders with their time.
    orders: Vec<(Millis, ScaleOrder)>,
}

impl World {
    fn new(domains: usize) -> Self {
        let state = DomainState { registered: START, is_out: false };
        let domain = |index: usize| id::FailureDomain::new(&format!("z{index}"));
        Self {
            now: Millis(1_000_000),
            scaler: Scaler::default(),
            record: Record::default(),
            domains: (0..domains).map(|index| (domain(index), state)).collect(),
            boots: Vec::new(),
            is_partial: false,
            orders: Vec::new(),
        }
    }

    /// Returns a world that has had a usual load for some time.
    fn after_usual_load(domains: usize) -> Self {
        let mut world = Self::new(domains);
        let usual = f64::from(world.usable() * SLOTS) * 0.6;
        world.run(Millis(6_000), |_| usual);
        world
    }

    fn usable(&self) -> u32 {
        let usable = self.domains.values().filter(|domain| !domain.is_out);
        usable.map(|domain| domain.registered).sum()
    }

    fn counts(&self) -> Vec<u32> {
        self.domains.values().map(|domain| domain.registered).collect()
    }

    /// Runs for a time under a load, which is given as a number of concurrent requests by time.
    fn run(&mut self, time: Millis, load: impl Fn(Millis) -> f64) {
        let service = id::Service::new("models");
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Millis(STEP);
            let now = self.now;
            for (at, domain, count) in &self.boots {
                if now >= *at {
                    self.domains.get_mut(domain).unwrap().registered = *count;
                }
            }
            self.boots.retain(|(at, ..)| now < *at);
            let usable = self.usable();
            let slots = u64::from(usable * SLOTS);
            let requests = load(now) as u64;
            let load = ServiceLoad {
                usable,
                slots,
                in_flight: requests.min(slots),
                waiting: requests.saturating_sub(slots),
                is_partial: self.is_partial,
                ..ServiceLoad::default()
            };
            self.scaler.observe(&service, &LIMITS, &load, self.domains.clone(), now);
            let unix = UnixMillis(now.0);
            let due = self.scaler.decide(&service, &LIMITS, &self.record.orders, now, unix);
            self.record.order(due.clone());
            for order in due {
                let count = order.count;
                assert!((LIMITS.minimum..=LIMITS.maximum).contains(&count), "ordered {count}");
                let is_growth = count > self.domains[&order.domain].registered;
                let at = if is_growth { now + LIMITS.boot } else { now };
                self.boots.push((at, order.domain.clone(), count));
                self.record.acknowledge_order(&order);
                self.orders.push((now, order));
            }
        }
    }
}

/// Guards against a first order that is smaller than the count in force, because upstreams still
/// register when the load is already high, and against limits that operators changed in vain.
#[rstest]
fn first_order_waits_for_upstreams_that_register() {
    let mut world = World::new(2);
    for domain in world.domains.values_mut() {
        domain.registered = 4;
    }
    world.run(Millis(3_000), |_| 400.0);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
    world.run(Millis(6_000), |_| 40.0);
    assert!(world.orders.iter().all(|(_, order)| order.count == LIMITS.minimum));
    assert_eq!(world.orders.len(), 2);
}

/// Guards against orders without a reason: a load that the registered upstreams bear, also if one
/// failure domain is lost, however it varies.
#[rstest]
fn load_that_fits_changes_nothing(#[values(2, 3, 5)] domains: usize) {
    let mut world = World::new(domains);
    let slots = f64::from(world.usable() * SLOTS);
    // The failure domains that are left after a loss are well used.
    let share = 0.8 * (domains as f64 - 1.0) / domains as f64;
    world.run(Millis(120_000), |now| slots * (share + 0.04 * (now.0 as f64 / 3_000.0).sin()));
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}

/// Guards against a count that stays high at low load, falls at once, or falls below the minimum.
#[rstest]
fn low_load_shrinks_slowly_to_the_minimum(#[values(2, 3, 5)] domains: usize) {
    let mut world = World::new(domains);
    world.run(Millis(15_000), |_| 40.0);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
    // The load looks low because that of many instances is missing.
    world.is_partial = true;
    world.run(Millis(30_000), |_| 40.0);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
    world.is_partial = false;
    world.run(Millis(76_000), |_| 40.0);
    assert_eq!(world.counts(), vec![LIMITS.minimum; domains]);
}

/// Guards against a count that grows late or past the maximum, and against one that falls in a short
/// trough and has to grow again.
#[rstest]
fn high_load_grows_fast_and_waves_do_not_flap(#[values(2, 3, 5)] domains: usize) {
    let mut world = World::after_usual_load(domains);
    let slots = f64::from(world.usable() * SLOTS);
    let begun_at = world.now;
    world.run(Millis(10_000), |_| slots * 1.3);
    let first = world.orders.first().expect("an order").0;
    assert!(first.since(begun_at) <= Millis(1_600), "ordered after {}", first.since(begun_at));
    world.run(Millis(30_000), |_| slots * 1.3);
    assert!(f64::from(world.usable() * SLOTS) >= slots * 1.3, "{:?}", world.counts());
    let before = world.orders.len();
    // A wave that comes back before its trough has lasted for long.
    world.run(Millis(60_000), |now| slots * if now.0 % 12_000 < 6_000 { 1.3 } else { 0.3 });
    let later = &world.orders[before..];
    let shrinks = later.windows(2).filter(|pair| pair[0].1.count > pair[1].1.count).count();
    assert_eq!(shrinks, 0, "{later:?}");
}

/// Guards against a count that is lower than what the load needs after the loss of a failure domain,
/// and against orders for one that is out of service.
#[rstest]
fn remaining_domains_bear_the_load_of_a_lost_one(#[values(2, 3, 5)] domains: usize) {
    let mut world = World::new(domains);
    let requests = f64::from(world.usable() * SLOTS) * 0.35;
    world.run(Millis(90_000), |_| requests);
    let lost = world.domains.keys().next().unwrap().clone();
    let left = world.usable() - world.domains[&lost].registered;
    assert!(f64::from(left * SLOTS) >= requests, "{:?}", world.counts());
    let before = world.orders.len();
    world.domains.get_mut(&lost).unwrap().is_out = true;
    world.run(Millis(30_000), |_| requests * 1.8);
    let orders = &world.orders[before..];
    assert!(orders.iter().all(|(_, order)| order.domain != lost), "{orders:?}");
}

/// Guards against a successor that reverses orders, because the ordered upstreams still boot or it
/// has not seen the load that led to them, and against a new count while an order has no response.
#[rstest]
fn successor_keeps_the_last_orders() {
    let mut world = World::after_usual_load(3);
    let slots = f64::from(world.usable() * SLOTS);
    world.run(Millis(1_600), |_| slots * 1.3);
    let ordered = world.record.orders.clone();
    assert_eq!(ordered.len(), 3);
    world.scaler = Scaler::default();
    world.run(Millis(12_000), |_| slots * 0.7);
    assert_eq!(world.record.orders, ordered);
    let mut unanswered = ordered[0].clone();
    unanswered.is_acknowledged = false;
    world.record.order(vec![unanswered.clone()]);
    world.run(Millis(20_000), |_| slots * 2.0);
    let kept = world.record.orders.iter().find(|order| order.domain == unanswered.domain);
    assert_eq!(kept, Some(&unanswered));
}

/// Guards against an order that is lost because a late call of an earlier one came after it.
#[rstest]
fn order_without_effect_is_repeated() {
    let mut world = World::after_usual_load(2);
    let slots = f64::from(world.usable() * SLOTS);
    world.run(Millis(1_600), |_| slots);
    let first = world.orders[0].1.clone();
    // The upstreams never come.
    world.boots.clear();
    world.run(Millis(30_000), |_| slots * 0.6);
    let again =
        world.orders.iter().filter(|(_, o)| o.domain == first.domain && o.count == first.count);
    assert_eq!(again.count(), 2, "{:?}", world.orders);
}
