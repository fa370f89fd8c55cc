//! Tests of how a fleet notices upstreams that send nothing.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::{BTreeSet, VecDeque};

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::rollout;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use damaskdrift_core::weights;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const NOW: Millis = Millis(100_000);

fn record(index: usize) -> balance::Record {
    balance::Record {
        id: upstream_id(index),
        service: id::Service::new("models"),
        address: "127.0.0.1:8080".parse().unwrap(),
        domain: id::FailureDomain::new("a"),
        software: id::Software::new("s1"),
        slots: 12,
        is_draining: false,
        cold_remaining: Millis(0),
        started_at: Some(1),
        weights: vec![balance::Weights { model: id::Model::new("m"), version: 1 }],
        order_sequence: 0,
    }
}

fn upstream_id(index: usize) -> id::Upstream {
    id::Upstream::new(&format!("u{index}"))
}

fn upstreams(count: usize) -> balance::Upstreams {
    let mut upstreams = balance::Upstreams::default();
    for index in 0..count {
        upstreams.install(record(index), Millis(0), Millis(0));
    }
    upstreams
}

/// Chooses an engine for a short prompt of a session.
fn choose(
    upstreams: &balance::Upstreams,
    session: u64,
    now: Millis,
    rng: &mut ChaCha8Rng,
) -> Result<usize, balance::Unavailable> {
    let service = routing::Service {
        id: id::Service::new("models"),
        connections: 1_900,
        cold_start: routing::ColdStart { duration: Millis(0), max_requests_per_s: 0.0 },
        engine: Some(routing::Engine {
            slots: 12,
            capacity_tokens: 72_000,
            token_bytes: 0,
            link_mbit_per_s: 0,
        }),
    };
    let (domain, own_id) = (id::FailureDomain::new("a"), id::Instance::new("i0"));
    let out_of_service = BTreeSet::new();
    let (model, targets) = (id::Model::new("m"), weights::Targets::default());
    let req = balance::Requirements {
        service: &service,
        model: Some((&model, &targets)),
        old_weights_limit: Millis(7_300),
        cache_scope: prefix_cache::Scope::default(),
        tokens: 380,
        segments: &[(session, 300)],
        fetch_time: None,
        tried: &[],
        software: rollout::Selection::Any,
        prefill_limit: None,
    };
    let cx = balance::Context {
        domain: &domain,
        out_of_service: &out_of_service,
        instance_count: 100,
        own_id: &own_id,
        registered: &[],
        is_load_delayed: true,
    };
    let (id, _) = upstreams.choose(&req, &cx, now, rng)?;
    Ok(id.as_str()[1..].parse().unwrap())
}

/// Returns a report of other instances that have been waiting for `waiting` and last heard from the
/// upstream `heard` ago.
fn load(in_flight: u32, heard: Option<Millis>, waiting: Millis) -> balance::Load {
    let contact = balance::Contact {
        heard_at: heard.map(|heard| NOW - heard),
        waiting_since: Some(NOW - waiting),
    };
    balance::Load { in_flight, contact, ..balance::Load::default() }
}

/// Guards against an upstream that others found silent and that still gets requests, and against
/// one that counts as silent although it answers somebody, has one lost request or a long queue.
#[rstest]
#[case::silent(load(3, Some(Millis(1_000)), Millis(900)), true)]
#[case::never_heard(load(2, None, Millis(900)), true)]
#[case::heard_by_somebody(load(9, Some(Millis(200)), Millis(3_000)), false)]
#[case::just_sent(load(9, Some(Millis(5_000)), Millis(300)), false)]
#[case::one_lost_request(load(1, None, Millis(5_000)), false)]
#[case::idle(balance::Load::default(), false)]
#[case::long_queue(
    balance::Load { pending_prefill: 60_000, ..load(9, Some(Millis(1_400)), Millis(1_400)) },
    false
)]
fn silence_is_judged_from_the_reports_of_all(#[case] load: balance::Load, #[case] want: bool) {
    let mut upstreams = upstreams(4);
    upstreams.set_report(balance::Reporter::Others, vec![(upstream_id(1), load)], NOW);
    let response = upstreams.get(&upstream_id(1)).unwrap().response(NOW);
    assert_eq!(response != balance::Response::Usual, want);
}

/// Guards against an upstream that stays out of use after it is heard again, or that is used again
/// as soon as the last request there was given up.
#[rstest]
fn silence_ends_with_the_next_byte() {
    let mut upstreams = upstreams(4);
    let silent = load(3, None, Millis(900));
    upstreams.set_report(balance::Reporter::Others, vec![(upstream_id(1), silent)], NOW);
    let later = NOW + Millis(100);
    upstreams.set_report(balance::Reporter::Others, Vec::new(), later);
    let response =
        |upstreams: &balance::Upstreams, at| upstreams.get(&upstream_id(1)).unwrap().response(at);
    assert_eq!(response(&upstreams, later), balance::Response::Silent);
    let much_later = later + Millis(10_000);
    assert_eq!(response(&upstreams, much_later), balance::Response::Probed);
    upstreams.get_mut(&upstream_id(1)).unwrap().record_contact(much_later);
    assert_eq!(response(&upstreams, much_later), balance::Response::Usual);
}

/// Guards against an instance that is cut off itself, or a service that is down as a whole, and
/// that finds no upstream to use.
#[rstest]
fn most_upstreams_silent_are_still_used() {
    let mut upstreams = upstreams(4);
    let silent = |index| (upstream_id(index), load(3, None, Millis(900)));
    upstreams.set_report(balance::Reporter::Others, (0..4).map(silent).collect(), NOW);
    assert!(choose(&upstreams, 7, NOW, &mut ChaCha8Rng::seed_from_u64(1)).is_ok());
}

/// Guards against a fleet that keeps sending to engines that went dark, because each instance has
/// to find out alone. Load pattern: a quarter of 64 engines goes dark for 14 of the day's 34
/// seconds; 100 instances send short prompts and learn of each other 150 ms late.
#[rstest]
fn fleet_stops_sending_to_dark_engines() {
    const INSTANCES: usize = 100;
    const ENGINES: usize = 64;
    const DARK: usize = ENGINES / 4;
    const DARK_FROM: u64 = 1_000;
    const SIMULATED_MS: u64 = 5_000;
    const REQUESTS_PER_S: usize = 900;
    const RESPONSE_MS: u64 = 50;
    const GIVE_UP_MS: u64 = 800;

    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut fleet: Vec<_> = (0..INSTANCES).map(|_| upstreams(ENGINES)).collect();
    // End time, instance and engine of each request in flight.
    let mut in_flight: Vec<(u64, usize, usize)> = Vec::new();
    let mut reports = VecDeque::new();
    let (mut to_dark, mut late_to_dark, mut to_live) = (0, 0, 0);
    for ms in (0..SIMULATED_MS).step_by(10) {
        let now = Millis(ms);
        let is_dark = |engine: usize| engine < DARK && ms >= DARK_FROM;
        in_flight.retain(|(ends_at, instance, engine)| {
            if *ends_at > ms {
                return true;
            }
            let upstream = fleet[*instance].get_mut(&upstream_id(*engine)).unwrap();
            if !is_dark(*engine) {
                upstream.record_contact(now);
            }
            let mut request = balance::InFlightRequest { tokens: 380, pending_prefill: 0 };
            upstream.end_request(&mut request);
            false
        });
        if ms % 50 == 0 {
            let mut total = vec![balance::Load::default(); ENGINES];
            for instance in &fleet {
                for (id, load) in instance.load_by_upstream(|_| false, now) {
                    total[id.as_str()[1..].parse::<usize>().unwrap()] += load;
                }
            }
            reports.push_back(total);
            if reports.len() > 3 {
                let total = reports.pop_front().unwrap();
                for instance in &mut fleet {
                    let rows = total.iter().enumerate().map(|(i, load)| (upstream_id(i), *load));
                    instance.set_report(balance::Reporter::Others, rows.collect(), now);
                }
            }
        }
        for _ in 0..REQUESTS_PER_S / 100 {
            let instance = rng.random_range(0..INSTANCES);
            let session = rng.random_range(0..5_000);
            let Ok(engine) = choose(&fleet[instance], session, now, &mut rng) else {
                continue;
            };
            let request = balance::InFlightRequest { tokens: 380, pending_prefill: 0 };
            fleet[instance].get_mut(&upstream_id(engine)).unwrap().begin_request(&request, now);
            if is_dark(engine) {
                to_dark += 1;
                late_to_dark += usize::from(ms >= DARK_FROM + 1_500);
                in_flight.push((ms + GIVE_UP_MS, instance, engine));
            } else {
                to_live += 1;
                in_flight.push((ms + RESPONSE_MS, instance, engine));
            }
        }
    }
    assert!(to_live > 3_000);
    // Two in a hundred of the day's requests.
    let allowed = REQUESTS_PER_S * 34 * 2 / 100;
    assert!(to_dark <= allowed, "{to_dark} requests sent to dark engines, {allowed} allowed");
    assert!(late_to_dark * 50 <= to_live, "{late_to_dark} sent 1.5 s after the engines went dark");
}
