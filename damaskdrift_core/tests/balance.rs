//! Tests of the choice of an upstream.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::{BTreeMap, BTreeSet};

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::rollout;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use damaskdrift_core::weights;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const NOW: Millis = Millis(100_000);
/// Time after a target version was set from which requests must not begin on older weights.
const OLD_WEIGHTS_LIMIT: Millis = Millis(7_300);

fn service(has_engine: bool) -> routing::Service {
    routing::Service {
        id: id::Service::new("models"),
        connections: 180,
        cold_start: routing::ColdStart { duration: Millis(3_000), max_requests_per_s: 24.0 },
        engine: has_engine.then_some(routing::Engine {
            slots: 16,
            capacity_tokens: 72_000,
            token_bytes: 0,
            link_mbit_per_s: 0,
        }),
    }
}

fn record(name: &str, version: u64) -> balance::Record {
    balance::Record {
        id: id::Upstream::new(name),
        service: id::Service::new("models"),
        address: "127.0.0.1:8080".parse().unwrap(),
        domain: id::FailureDomain::new("a"),
        software: id::Software::new("s1"),
        slots: 16,
        is_draining: false,
        cold_remaining: Millis(0),
        started_at: Some(1),
        weights: vec![balance::Weights { model: id::Model::new("m"), version }],
        order_sequence: 0,
    }
}

fn fleet(count: usize) -> balance::Upstreams {
    let mut upstreams = balance::Upstreams::default();
    for index in 0..count {
        upstreams.install(record(&format!("u{index}"), 1), Millis(0), Millis(0));
    }
    upstreams
}

/// Input of one instance's choice, with defaults for what a test does not set.
struct Scenario<'a> {
    service: routing::Service,
    model: id::Model,
    targets: weights::Targets,
    segments: &'a [(u64, u64)],
    tokens: u64,
    fetch_time: Option<Millis>,
    out_of_service: BTreeSet<id::FailureDomain>,
    instance_count: u32,
    own_id: id::Instance,
    registered: Vec<id::Instance>,
    tried: Vec<id::Upstream>,
}

impl Default for Scenario<'_> {
    fn default() -> Self {
        Self {
            service: service(true),
            model: id::Model::new("m"),
            targets: weights::Targets::default(),
            segments: &[],
            tokens: 100,
            fetch_time: None,
            out_of_service: BTreeSet::new(),
            instance_count: 8,
            own_id: id::Instance::new("i0"),
            registered: Vec::new(),
            tried: Vec::new(),
        }
    }
}

impl Scenario<'_> {
    fn choose(
        &self,
        upstreams: &balance::Upstreams,
        now: Millis,
        rng: &mut ChaCha8Rng,
    ) -> Result<(id::Upstream, u64), balance::Unavailable> {
        self.with(|req, cx| upstreams.choose(req, cx, now, rng))
    }

    fn with<T>(
        &self,
        call: impl FnOnce(&balance::Requirements<'_>, &balance::Context<'_>) -> T,
    ) -> T {
        let domain = id::FailureDomain::new("a");
        let fetch_time = self.fetch_time.map(prefix_cache::FetchTime::new);
        let req = balance::Requirements {
            service: &self.service,
            model: Some((&self.model, &self.targets)),
            old_weights_limit: OLD_WEIGHTS_LIMIT,
            cache_scope: prefix_cache::Scope::default(),
            tokens: self.tokens,
            segments: self.segments,
            fetch_time: fetch_time.as_ref(),
            tried: &self.tried,
            software: rollout::Selection::Any,
            prefill_limit: None,
        };
        let cx = balance::Context {
            domain: &domain,
            out_of_service: &self.out_of_service,
            instance_count: self.instance_count,
            own_id: &self.own_id,
            registered: &self.registered,
            is_load_delayed: false,
        };
        call(&req, &cx)
    }
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

/// Guards against instances that send the segments of one session to different engines, each of
/// which recomputes them. Load pattern: many sessions that return through any instance.
#[rstest]
fn instances_agree_on_the_preferred_engine_of_a_session() {
    let (mut mine, mut theirs) = (fleet(18), fleet(18));
    let (mut a, mut b) = (rng(), ChaCha8Rng::seed_from_u64(7));
    let mut used = BTreeSet::new();
    for session in 0..200 {
        let segments = [(1, 55), (session * 7_919 + 3, 246)];
        let scenario = Scenario { segments: &segments, tokens: 380, ..Scenario::default() };
        let first = scenario.choose(&mine, NOW, &mut a).unwrap().0;
        let second = scenario.choose(&theirs, NOW, &mut b).unwrap().0;
        assert_eq!(first, second, "session {session}");
        used.insert(first);
    }
    assert_eq!(used.len(), 18, "sessions spread over all engines");
    // Removing an engine moves its sessions to the same engines for all instances.
    let gone = id::Upstream::new("u3");
    mine.remove(&gone);
    theirs.remove(&gone);
    let segments = [(1, 55), (3, 246)];
    let scenario = Scenario { segments: &segments, ..Scenario::default() };
    assert_eq!(scenario.choose(&mine, NOW, &mut a), scenario.choose(&theirs, NOW, &mut b));
}

/// Guards against an instance that moves a session off the engine it has just used because every
/// engine takes longer for a first chunk than estimated. Load pattern: sessions that return every
/// few hundred milliseconds to engines with a fixed delay of about 80 ms.
#[rstest]
fn delay_common_to_all_engines_moves_no_session() {
    let mut upstreams = fleet(12);
    let mut rng = rng();
    let mut engines: BTreeMap<u64, id::Upstream> = BTreeMap::new();
    let mut moved = 0;
    for turn in 0..2_000_u64 {
        let now = NOW + Millis(turn * 5);
        let session = turn % 60;
        let segments = [(1, 55), (session * 7_919 + 3, 246)];
        let scenario = Scenario { segments: &segments, tokens: 380, ..Scenario::default() };
        let (chosen, _) = scenario.choose(&upstreams, now, &mut rng).unwrap();
        upstreams.observe_delay(&chosen, Millis(80 + turn % 7), now);
        let preferred = engines.entry(session).or_insert_with(|| chosen.clone());
        moved += usize::from(*preferred != chosen);
    }
    assert_eq!(moved, 0, "of 2000 requests");
}

/// Guards against sending further requests to an engine whose response delay shows a queue.
#[rstest]
fn excess_delay_moves_requests_to_other_engines() {
    let mut upstreams = fleet(12);
    let mut rng = rng();
    let segments = [(1, 55), (42, 246)];
    let scenario = Scenario { segments: &segments, tokens: 380, ..Scenario::default() };
    let preferred = scenario.choose(&upstreams, NOW, &mut rng).unwrap().0;
    for id in upstreams.ids() {
        upstreams.observe_delay(&id, Millis(80), NOW);
    }
    for _ in 0..5 {
        upstreams.observe_delay(&preferred, Millis(480), NOW);
    }
    assert_ne!(scenario.choose(&upstreams, NOW, &mut rng).unwrap().0, preferred);
    assert_eq!(scenario.choose(&upstreams, NOW + Millis(3_000), &mut rng).unwrap().0, preferred);
}

/// Guards against different instances that send prompts to the same engine while others are idle.
/// Load pattern: long prompts whose shared segment is fetched, from eight instances in turn.
#[rstest]
fn reported_load_distributes_long_prompts() {
    let mut states: Vec<_> = (0..8).map(|_| fleet(18)).collect();
    let mut rng = rng();
    let mut counts: BTreeMap<id::Upstream, u32> = BTreeMap::new();
    let segments = [(5, 12_800)];
    for instance in 0..8 {
        let scenario = Scenario {
            segments: &segments,
            tokens: 17_000,
            fetch_time: Some(Millis(30)),
            ..Scenario::default()
        };
        let (chosen, pending_prefill) = scenario.choose(&states[instance], NOW, &mut rng).unwrap();
        *counts.entry(chosen.clone()).or_default() += 1;
        let req = balance::InFlightRequest { tokens: 17_000, pending_prefill };
        states[instance].get_mut(&chosen).unwrap().begin_request(&req, NOW);
        let own = states[instance].get(&chosen).unwrap().own;
        for (other, state) in states.iter_mut().enumerate() {
            if other != instance {
                let peer = id::Instance::new(&instance.to_string());
                state.set_report(
                    balance::Reporter::Instance(peer),
                    vec![(chosen.clone(), own)],
                    NOW,
                );
            }
        }
    }
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

/// Guards against counting a peer's load forever after the peer has died.
#[rstest]
fn peer_report_expires() {
    let mut upstreams = fleet(1);
    let id = id::Upstream::new("u0");
    let load =
        balance::Load { in_flight: 3, tokens: 9, pending_prefill: 9, ..balance::Load::default() };
    upstreams.set_report(
        balance::Reporter::Instance(id::Instance::new("p")),
        vec![(id.clone(), load)],
        NOW,
    );
    assert_eq!(upstreams.get(&id).unwrap().load(), load);
    upstreams.sum_reports(NOW + Millis(1_499));
    assert_eq!(upstreams.get(&id).unwrap().load(), load);
    upstreams.sum_reports(NOW + Millis(1_500));
    assert_eq!(upstreams.get(&id).unwrap().load(), balance::Load::default());
}

/// Guards against instances that together exceed the request rate of a cold upstream, even if each
/// sends only one request per second. Load pattern: fleets with fewer and with more instances than
/// the requests per second that the upstream can sustain after its start.
#[rstest]
#[case(1)]
#[case(8)]
#[case(12)]
#[case(24)]
#[case(74)]
#[case(330)]
fn cold_rate_holds_over_all_instances(#[case] instances: u32) {
    let mut total = 0;
    let registered: Vec<_> = (0..instances).map(|i| id::Instance::new(&format!("i{i}"))).collect();
    for seed in 0..instances {
        let mut upstreams = balance::Upstreams::default();
        let mut cold = record("u0", 1);
        cold.cold_remaining = Millis(3_000);
        upstreams.install(cold, Millis(0), NOW);
        let mut rng = ChaCha8Rng::seed_from_u64(seed.into());
        for step in 0..200 {
            let now = NOW + Millis(step * 5);
            let own_id = registered[seed as usize].clone();
            let registered = registered.clone();
            let scenario =
                Scenario { instance_count: instances, own_id, registered, ..Scenario::default() };
            if let Ok((id, pending_prefill)) = scenario.choose(&upstreams, now, &mut rng) {
                let req = balance::InFlightRequest { tokens: 100, pending_prefill };
                upstreams.get_mut(&id).unwrap().begin_request(&req, now);
                upstreams
                    .get_mut(&id)
                    .unwrap()
                    .end_request(&mut balance::InFlightRequest { tokens: 100, pending_prefill: 0 });
                total += 1;
            }
        }
    }
    assert!(total <= 24, "{total} requests in a second");
    assert!(total > 0);
}

/// Guards against sending to upstreams that are draining or whose failure domain is out of service.
#[rstest]
fn draining_and_out_of_service_upstreams_get_no_requests() {
    let mut upstreams = fleet(1);
    let mut draining = record("u0", 1);
    draining.is_draining = true;
    let out_of_service = BTreeSet::from([id::FailureDomain::new("a")]);
    let scenario = Scenario { out_of_service, ..Scenario::default() };
    assert_eq!(scenario.choose(&upstreams, NOW, &mut rng()), Err(balance::Unavailable::NoUpstream));
    upstreams.install(draining, Millis(0), NOW);
    let chosen = Scenario::default().choose(&upstreams, NOW, &mut rng());
    assert_eq!(chosen, Err(balance::Unavailable::NoUpstream));
}

/// Guards against starting requests on old weights once these are excluded, and against refusing
/// all requests while the first upstreams load the target version.
#[rstest]
#[case(Millis(100), true)]
#[case(Millis(2_000), false)]
#[case(Millis(7_500), false)]
fn newer_weights_are_preferred_after_the_grace_period(
    #[case] since_target: Millis,
    #[case] may_use_old: bool,
) {
    let mut upstreams = fleet(2);
    upstreams.get_mut(&id::Upstream::new("u0")).unwrap().set_version(&id::Model::new("m"), 2, NOW);
    let mut rng = rng();
    let mut targets = weights::Targets::default();
    targets.record(2, since_target, NOW);
    let scenario = Scenario { targets, ..Scenario::default() };
    let mut chosen = BTreeSet::new();
    for _ in 0..50 {
        chosen.insert(scenario.choose(&upstreams, NOW, &mut rng).unwrap().0);
    }
    assert_eq!(chosen.contains(&id::Upstream::new("u1")), may_use_old, "{chosen:?}");
}

/// Guards against requests that wait at an upstream until the limit of its weights has passed and
/// then begin on them.
#[rstest]
#[case(Millis(6_000), 0, true)]
#[case(Millis(6_000), 60_000, false)]
fn requests_do_not_queue_until_the_limit_of_old_weights_has_passed(
    #[case] since_target: Millis,
    #[case] pending_prefill: u64,
    #[case] may_use_old: bool,
) {
    let mut upstreams = fleet(1);
    let queued = balance::InFlightRequest { tokens: 0, pending_prefill };
    upstreams.get_mut(&id::Upstream::new("u0")).unwrap().begin_request(&queued, NOW);
    let mut scenario = Scenario::default();
    scenario.targets.record(2, since_target, NOW);
    let chosen = scenario.choose(&upstreams, NOW, &mut rng());
    let expected = if may_use_old { None } else { Some(balance::Unavailable::OutdatedWeights) };
    assert_eq!(chosen.err(), expected);
}

/// Guards against requests that wait for a slot until the limit of the upstream's weights has passed.
#[rstest]
fn requests_do_not_wait_for_a_slot_until_the_limit_of_old_weights_has_passed() {
    let mut upstreams = fleet(1);
    let id = id::Upstream::new("u0");
    let running = balance::InFlightRequest { tokens: 0, pending_prefill: 0 };
    for _ in 0..upstreams.get(&id).unwrap().record.slots {
        upstreams.get_mut(&id).unwrap().begin_request(&running, NOW);
    }
    let mut scenario = Scenario::default();
    scenario.targets.record(2, OLD_WEIGHTS_LIMIT - Millis(1_000), NOW);
    let chosen = scenario.choose(&upstreams, NOW, &mut rng());
    assert_eq!(chosen, Err(balance::Unavailable::OutdatedWeights));
}

/// Guards against weights that were replaced long ago and count as fresh because a newer version was
/// set just now.
#[rstest]
fn a_newer_target_does_not_renew_the_preference_of_old_weights() {
    let mut upstreams = fleet(2);
    upstreams.get_mut(&id::Upstream::new("u0")).unwrap().set_version(&id::Model::new("m"), 2, NOW);
    let mut scenario = Scenario::default();
    scenario.targets.record(2, Millis(2_000), NOW);
    scenario.targets.record(3, Millis(0), NOW);
    let mut rng = rng();
    for _ in 0..50 {
        let (chosen, _) = scenario.choose(&upstreams, NOW, &mut rng).unwrap();
        assert_eq!(chosen, id::Upstream::new("u0"));
    }
}

/// Guards against starting a request on weights whose limit has passed when no upstream has newer
/// ones, and against refusing it although the upstream is about to load them.
#[rstest]
#[case(Millis(7_250), None)]
#[case(Millis(7_300), Some(balance::Unavailable::OutdatedWeights))]
fn no_request_starts_on_weights_past_their_limit(
    #[case] since_target: Millis,
    #[case] expected: Option<balance::Unavailable>,
) {
    let mut scenario = Scenario::default();
    scenario.targets.record(2, since_target, NOW);
    scenario.targets.record(3, Millis(0), NOW);
    assert_eq!(scenario.choose(&fleet(1), NOW, &mut rng()).err(), expected);
}

/// Guards against a version misread from a refusal that permanently overrides the one from
/// discovery, so that the upstream refuses each request.
#[rstest]
fn discovery_corrects_a_misread_version() {
    let mut upstreams = fleet(1);
    let (id, model) = (id::Upstream::new("u0"), id::Model::new("m"));
    upstreams.get_mut(&id).unwrap().set_version(&model, 3, NOW);
    upstreams.install(record("u0", 2), Millis(0), NOW + Millis(1_000));
    assert_eq!(upstreams.get(&id).unwrap().version(&model), Some(3), "discovery lags");
    upstreams.install(record("u0", 2), Millis(0), NOW + Millis(3_000));
    assert_eq!(upstreams.get(&id).unwrap().version(&model), Some(2));
}

/// Guards against a guessed version that hides for seconds that an upstream still has old weights, so
/// that it gets no order to load the target version.
#[rstest]
fn the_next_record_corrects_a_guessed_version() {
    let mut upstreams = fleet(1);
    let (id, model) = (id::Upstream::new("u0"), id::Model::new("m"));
    upstreams.get_mut(&id).unwrap().guess_version(&model, 2);
    assert_eq!(upstreams.get(&id).unwrap().version(&model), Some(2));
    upstreams.install(record("u0", 1), Millis(0), NOW + Millis(100));
    assert_eq!(upstreams.get(&id).unwrap().version(&model), Some(1));
}

/// Guards against sending to upstreams that break each response, and against ejecting so many that
/// none can serve when the cause is at this instance.
#[rstest]
#[case(1, false)]
#[case(6, true)]
fn failing_upstreams_are_ejected_unless_most_fail(#[case] failing: usize, #[case] used: bool) {
    let mut upstreams = fleet(8);
    for index in 0..failing {
        let upstream = upstreams.get_mut(&id::Upstream::new(&format!("u{index}"))).unwrap();
        for _ in 0..3 {
            upstream.health.observe(balance::Observation::TransportError, NOW);
        }
    }
    let mut rng = rng();
    let mut chosen = BTreeSet::new();
    let tried = (1..8).map(|index| id::Upstream::new(&format!("u{index}"))).collect();
    let scenario = Scenario { tried, ..Scenario::default() };
    if let Ok((id, _)) = scenario.choose(&upstreams, NOW, &mut rng) {
        chosen.insert(id);
    }
    assert_eq!(!chosen.is_empty(), used);
    let later = NOW + Millis(1_000);
    assert!(scenario.choose(&upstreams, later, &mut rng).is_ok(), "the ejection has ended");
}

/// Guards against treating a restarted upstream as warm or as still holding cached segments.
#[rstest]
fn restarted_upstream_is_cold_and_holds_no_segments() {
    let mut upstreams = fleet(1);
    let id = id::Upstream::new("u0");
    let salt = prefix_cache::salt(&id::Model::new("m"), 1, prefix_cache::Scope::default());
    upstreams.get_mut(&id).unwrap().record_segment(&salt, 9, NOW);
    let mut restarted = record("u0", 1);
    restarted.started_at = Some(2);
    upstreams.install(restarted, Millis(3_000), NOW);
    let upstream = upstreams.get(&id).unwrap();
    assert!(upstream.is_cold(NOW + Millis(2_999)));
    assert!(!upstream.has_segment(&salt, 9));
}

/// Guards against requests that leave the queue of a busy engine, where they would be answered in
/// turn, to wait again at another busy one. Load pattern: all engines have prompts of more than a
/// second to prefill.
#[rstest]
#[case::idle(0, Millis(200), true)]
#[case::busy(60_000, Millis(1_200), false)]
#[case::silent_beyond_its_queue(60_000, Millis(2_500), true)]
fn queued_requests_are_not_overdue(
    #[case] pending_prefill: u64,
    #[case] waited: Millis,
    #[case] want: bool,
) {
    let load = balance::Load { pending_prefill, ..balance::Load::default() };
    assert_eq!(balance::is_overdue(waited, load), want);
}

/// Guards against prompts that are sent to engines whose KV cache has no room: running ones are then
/// preempted and prefilled again. Load pattern: long prompts arrive faster than the engines that are
/// left can take them, among short ones.
#[rstest]
fn prompts_wait_until_an_engine_has_room() {
    const LONG_TOKENS: u64 = 17_000;
    let mut upstreams = fleet(9);
    let mut rng = rng();
    let long = Scenario { tokens: LONG_TOKENS, ..Scenario::default() };
    let mut sent = 0;
    while let Ok((id, prefill)) = long.choose(&upstreams, NOW, &mut rng) {
        let request = balance::InFlightRequest { tokens: LONG_TOKENS, pending_prefill: prefill };
        upstreams.get_mut(&id).unwrap().begin_request(&request, NOW);
        sent += 1;
        assert!(sent <= 27, "more long prompts than fit");
    }
    assert_eq!(sent, 27, "three long prompts fit into each engine");
    assert_eq!(long.choose(&upstreams, NOW, &mut rng), Err(balance::Unavailable::AtLimit));
    // Short prompts do not wait behind long ones.
    let short = Scenario { tokens: 400, ..Scenario::default() };
    assert!(short.choose(&upstreams, NOW, &mut rng).is_ok());
    // One that ends makes room for the next.
    let id = id::Upstream::new("u4");
    let mut ended = balance::InFlightRequest { tokens: LONG_TOKENS, pending_prefill: 0 };
    upstreams.get_mut(&id).unwrap().end_request(&mut ended);
    assert_eq!(long.choose(&upstreams, NOW, &mut rng).map(|(chosen, _)| chosen), Ok(id));
}

/// Guards against room that is counted at upstreams which no request may go to, and against a cold
/// start that counts as load.
#[rstest]
fn room_is_counted_at_usable_upstreams() {
    let mut upstreams = fleet(5);
    let full = balance::InFlightRequest { tokens: 60_000, pending_prefill: 0 };
    upstreams.get_mut(&id::Upstream::new("u0")).unwrap().begin_request(&full, NOW);
    upstreams.get_mut(&id::Upstream::new("u1")).unwrap().record.is_draining = true;
    let scenario = Scenario { tokens: 17_000, ..Scenario::default() };
    let count = |upstreams: &balance::Upstreams| {
        scenario.with(|req, cx| upstreams.count_room(req, cx, NOW))
    };
    assert_eq!(count(&upstreams), (4, 3));
    let started_at = Some(99);
    let restarted = balance::Record { started_at, ..record("u2", 1) };
    upstreams.install(restarted, Millis(3_000), NOW);
    for _ in 0..24 {
        let small = balance::InFlightRequest { tokens: 10, pending_prefill: 0 };
        upstreams.get_mut(&id::Upstream::new("u2")).unwrap().begin_request(&small, NOW);
    }
    assert_eq!(count(&upstreams), (3, 2));
}

/// Guards against a prompt larger than the usable part of a KV cache that never finds room.
#[rstest]
fn idle_engine_takes_a_prompt_of_any_size() {
    let scenario = Scenario { tokens: 71_000, ..Scenario::default() };
    assert!(scenario.choose(&fleet(2), NOW, &mut rng()).is_ok());
}
