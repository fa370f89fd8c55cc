//! Tests of the shares of free places, of ranks and of the expected times of fetches.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::net;
use std::sync::Arc;

use damaskdrift_core::balance;
use damaskdrift_core::balance::{Grant, PlaceShares};
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time after which all instances know the load that the others have added.
const REPORT_DELAY: u64 = 100;

/// Runs a fleet whose instances all see the same free places, each with a request that looks every
/// 10 ms, and returns how many requests are sent in each report interval.
fn sends_by_interval(instances: u32, free: f64, intervals: u64) -> Vec<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(instances));
    let mut fleet: Vec<_> = (0..instances).map(|_| PlaceShares::default()).collect();
    let mut sends = Vec::new();
    for interval in 0..intervals {
        let mut count = 0;
        for look in 0..REPORT_DELAY / 10 {
            let now = Millis(1_000 + interval * REPORT_DELAY + look * 10);
            for shares in &mut fleet {
                if shares.take(0, free, instances, now, &mut rng) != Grant::None {
                    count += 1;
                }
            }
        }
        sends.push(count);
    }
    sends
}

/// Guards against a fleet that sends all waiting requests to the one engine with free places, which
/// rejects most of them. Load: every instance has a request waiting; few places are free.
#[rstest]
fn instances_send_about_as_many_requests_as_places_are_free(
    #[values(8, 87, 295)] instances: u32,
    #[values(3.0, 10.0)] free: f64,
) {
    let sends = sends_by_interval(instances, free, 20);
    for count in &sends[1..] {
        assert!(f64::from(*count) <= free * 2.0 + 3.0, "{count} sends for {free} places");
    }
    let total: u32 = sends[1..].iter().sum();
    assert!(f64::from(total) >= 0.8 * free * 19.0, "{total} sends leave places unused");
}

/// Guards against shares that hold requests back while there are places for all.
#[rstest]
fn plenty_of_places_are_not_shared_out(#[values(8, 87, 295)] instances: u32) {
    let mut shares = PlaceShares::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        let free = f64::from(instances) * 1.5;
        assert_eq!(shares.take(0, free, instances, Millis(1_000), &mut rng), Grant::Best);
    }
}

fn route(priority: u8) -> routing::Route {
    routing::Route {
        name: Arc::from("r"),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        targets: vec![routing::Target { service: id::Service::new("svc"), weight: 1 }],
        retry_policy: routing::RetryPolicy::AtMostOnce,
        is_stream: true,
        timeout: None,
        target_latency: Millis(500),
        caller_patience: None,
        max_attempts: 1,
        priority,
        allows_anonymous: true,
    }
}

fn workspace(priority: Option<u8>) -> routing::Workspace {
    routing::Workspace {
        id: id::Workspace::new("w"),
        priority,
        is_isolated: false,
        keys: Vec::new(),
    }
}

/// Guards against workspaces whose priority hides that of the routes, so that engines run urgent
/// and other requests in the order of arrival.
#[rstest]
fn routes_order_the_requests_of_equal_workspaces() {
    let routes = [route(0), route(1), route(2)];
    let ranks = routing::Ranks::new(&routes, &[workspace(Some(0)), workspace(Some(1))]);
    assert!(ranks.rank(Some(1), 0) < ranks.rank(Some(1), 2));
    assert!(ranks.rank(Some(0), 2) < ranks.rank(Some(1), 0));
    assert!(ranks.rank(None, 0) < ranks.rank(None, 1));
}

/// Guards against ranks beyond the priorities that engines accept.
#[rstest]
fn many_priorities_are_mapped_to_the_ranks_of_engines() {
    let routes: Vec<_> = (0..10).map(route).collect();
    let workspaces: Vec<_> = (0..10).map(|priority| workspace(Some(priority))).collect();
    let ranks = routing::Ranks::new(&routes, &workspaces);
    assert_eq!(ranks.rank(Some(0), 0), 0);
    assert_eq!(ranks.rank(Some(9), 9), routing::LOWEST_RANK);
    assert!(ranks.rank(Some(3), 0) <= ranks.rank(Some(6), 0));
}

fn store(link_mbit_per_s: u64) -> routing::CacheStore {
    routing::CacheStore {
        id: id::Upstream::new("s"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9_000)),
        domain: id::FailureDomain::new("a"),
        capacity_tokens: 100_000,
        is_managed: true,
        link_mbit_per_s,
        first: Millis(6),
    }
}

const ENGINE: routing::Engine = routing::Engine {
    slots: 12,
    capacity_tokens: 78_208,
    token_bytes: 163_840,
    link_mbit_per_s: 130_000,
};

/// Guards against a fetch that is taken for faster than its links are: the engine's link is the slow
/// one here, and transfers between failure domains take twice as long.
#[rstest]
fn fetch_takes_the_time_of_the_slower_link() {
    let mut time = prefix_cache::FetchTime::default();
    time.add(&store(540_000), Some(&ENGINE), 12_800, 0);
    let local = time.to(&id::FailureDomain::new("a")).0;
    let remote = time.to(&id::FailureDomain::new("b")).0;
    assert!((130..=140).contains(&local), "{local} ms");
    assert!((260..=270).contains(&remote), "{remote} ms");
}

/// Guards against fetches that wait in vain at a slow store while engines could prefill the segments.
/// Load: a store that is four times slower than usual accumulates fetches.
#[rstest]
fn fetches_avoid_a_store_with_a_queue() {
    let fetch_ms =
        |pending| prefix_cache::fetch_ms(&store(540_000), Some(&ENGINE), 12_800, pending, false);
    let limit = prefix_cache::FETCH_TIMEOUT.0 as f64;
    assert!(fetch_ms(3 * 12_800) < limit);
    assert!(fetch_ms(8 * 12_800) > limit);
}

/// Guards against engines whose queue of prompts makes a request miss its target, and against a
/// limit that leaves them idle.
#[rstest]
fn prefill_limit_follows_the_target_latency() {
    assert_eq!(balance::prefill_limit(Millis(300)), 13_500);
    assert_eq!(balance::prefill_limit(Millis(500)), 22_500);
}
