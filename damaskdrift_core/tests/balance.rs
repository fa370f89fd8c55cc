//! Tests of the choice of an upstream.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::{BTreeMap, BTreeSet};

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::kept;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const NOW: Millis = Millis(100_000);

fn service(engine: bool) -> routing::Service {
    routing::Service {
        id: id::Service::new("models"),
        connections: 180,
        cold_start: routing::ColdStart { duration: Millis(3_000), max_requests_per_s: 24.0 },
        engine: engine.then_some(routing::Engine { slots: 16, capacity_tokens: 72_000 }),
    }
}

fn record(name: &str, version: u64) -> balance::Record {
    balance::Record {
        id: id::Upstream::new(name),
        service: id::Service::new("models"),
        address: "127.0.0.1:8080".parse().unwrap(),
        domain: id::FailureDomain::new("a"),
        slots: 16,
        is_leaving: false,
        cold_for: Millis(0),
        born: Some(1),
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

/// One instance's question, with defaults for what a test does not set.
struct Ask<'a> {
    service: routing::Service,
    model: id::Model,
    newest: Option<(u64, Millis)>,
    is_newest_only: bool,
    parts: &'a [(u64, u64)],
    tokens: u64,
    fetch: Option<Millis>,
    out: BTreeSet<id::FailureDomain>,
    instances: u32,
    own: id::Instance,
    registered: Vec<id::Instance>,
    tried: Vec<id::Upstream>,
}

impl Default for Ask<'_> {
    fn default() -> Self {
        Self {
            service: service(true),
            model: id::Model::new("m"),
            newest: None,
            is_newest_only: false,
            parts: &[],
            tokens: 100,
            fetch: None,
            out: BTreeSet::new(),
            instances: 8,
            own: id::Instance::new("i0"),
            registered: Vec::new(),
            tried: Vec::new(),
        }
    }
}

impl Ask<'_> {
    fn choose(
        &self,
        upstreams: &balance::Upstreams,
        now: Millis,
        rng: &mut ChaCha8Rng,
    ) -> Result<(id::Upstream, u64), balance::Unavailable> {
        let domain = id::FailureDomain::new("a");
        let need = balance::Need {
            service: &self.service,
            model: Some((&self.model, self.newest)),
            is_newest_only: self.is_newest_only,
            isolated: None,
            tokens: self.tokens,
            parts: self.parts,
            fetch: self.fetch,
            tried: &self.tried,
        };
        let view = balance::View {
            domain: &domain,
            out: &self.out,
            instances: self.instances,
            own: &self.own,
            registered: &self.registered,
        };
        upstreams.choose(&need, &view, now, rng)
    }
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

/// Guards against instances that send the parts of one session to different engines, where each
/// reads them again. Load pattern: many sessions that return through any instance.
#[rstest]
fn instances_agree_on_the_home_of_a_session() {
    let (mut mine, mut theirs) = (fleet(18), fleet(18));
    let (mut a, mut b) = (rng(), ChaCha8Rng::seed_from_u64(7));
    let mut used = BTreeSet::new();
    for session in 0..200 {
        let parts = [(1, 55), (session * 7_919 + 3, 246)];
        let ask = Ask { parts: &parts, tokens: 380, ..Ask::default() };
        let first = ask.choose(&mine, NOW, &mut a).unwrap().0;
        let second = ask.choose(&theirs, NOW, &mut b).unwrap().0;
        assert_eq!(first, second, "session {session}");
        used.insert(first);
    }
    assert_eq!(used.len(), 18, "sessions spread over all engines");
    // A home that is gone passes its sessions on and no others move.
    let gone = id::Upstream::new("u3");
    mine.remove(&gone);
    theirs.remove(&gone);
    let parts = [(1, 55), (3, 246)];
    let ask = Ask { parts: &parts, ..Ask::default() };
    assert_eq!(ask.choose(&mine, NOW, &mut a), ask.choose(&theirs, NOW, &mut b));
}

/// Guards against an instance that leaves the engine it has just used, because each engine takes
/// longer for a first piece than estimated. Load pattern: sessions that return every few hundred
/// milliseconds to engines with a fixed delay of 80 ms.
#[rstest]
fn a_delay_that_all_engines_have_moves_no_session() {
    let mut upstreams = fleet(12);
    let mut rng = rng();
    let mut homes: BTreeMap<u64, id::Upstream> = BTreeMap::new();
    let mut moved = 0;
    for turn in 0..2_000_u64 {
        let now = NOW + Millis(turn * 5);
        let session = turn % 60;
        let parts = [(1, 55), (session * 7_919 + 3, 246)];
        let ask = Ask { parts: &parts, tokens: 380, ..Ask::default() };
        let (chosen, _) = ask.choose(&upstreams, now, &mut rng).unwrap();
        upstreams.observe_delay(&chosen, Millis(80 + turn % 7), now);
        let home = homes.entry(session).or_insert_with(|| chosen.clone());
        moved += usize::from(*home != chosen);
    }
    assert_eq!(moved, 0, "of 2000 requests");
}

/// Guards against an engine whose queue shows in its answers and that gets requests all the same.
#[rstest]
fn an_unusual_delay_moves_requests_elsewhere() {
    let mut upstreams = fleet(12);
    let mut rng = rng();
    let parts = [(1, 55), (42, 246)];
    let ask = Ask { parts: &parts, tokens: 380, ..Ask::default() };
    let home = ask.choose(&upstreams, NOW, &mut rng).unwrap().0;
    for id in upstreams.ids() {
        upstreams.observe_delay(&id, Millis(80), NOW);
    }
    for _ in 0..5 {
        upstreams.observe_delay(&home, Millis(480), NOW);
    }
    assert_ne!(ask.choose(&upstreams, NOW, &mut rng).unwrap().0, home);
    assert_eq!(ask.choose(&upstreams, NOW + Millis(3_000), &mut rng).unwrap().0, home);
}

/// Guards against prompts of different instances that meet at one engine while others are free.
/// Load pattern: long prompts whose shared part is fetched, from eight instances in turn.
#[rstest]
fn reported_work_keeps_long_prompts_apart() {
    let mut views: Vec<_> = (0..8).map(|_| fleet(18)).collect();
    let mut rng = rng();
    let mut at: BTreeMap<id::Upstream, u32> = BTreeMap::new();
    let parts = [(5, 12_800)];
    for instance in 0..8 {
        let ask = Ask { parts: &parts, tokens: 17_000, fetch: Some(Millis(30)), ..Ask::default() };
        let (chosen, unread) = ask.choose(&views[instance], NOW, &mut rng).unwrap();
        *at.entry(chosen.clone()).or_default() += 1;
        let sent = balance::Sent { tokens: 17_000, unread };
        views[instance].get_mut(&chosen).unwrap().start(&sent, NOW);
        let own = views[instance].get(&chosen).unwrap().own;
        for (other, view) in views.iter_mut().enumerate() {
            if other != instance {
                let peer = id::Instance::new(&instance.to_string());
                view.set_report(
                    balance::Reporter::Instance(peer),
                    vec![(chosen.clone(), own)],
                    NOW,
                );
            }
        }
    }
    assert!(at.values().all(|count| *count == 1), "{at:?}");
}

/// Guards against peers' work that counts for good after a peer has died.
#[rstest]
fn a_peers_report_expires() {
    let mut upstreams = fleet(1);
    let id = id::Upstream::new("u0");
    let load = balance::Load { in_flight: 3, tokens: 9, unread: 9 };
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

/// Guards against a sum over all instances above what a cold upstream bears, also where each would
/// send only one request a second. Load pattern: a fleet larger than the cold rate after upstreams
/// have started.
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
        cold.cold_for = Millis(3_000);
        upstreams.install(cold, Millis(0), NOW);
        let mut rng = ChaCha8Rng::seed_from_u64(seed.into());
        for step in 0..200 {
            let now = NOW + Millis(step * 5);
            let own = registered[seed as usize].clone();
            let registered = registered.clone();
            let ask = Ask { instances, own, registered, ..Ask::default() };
            if let Ok((id, unread)) = ask.choose(&upstreams, now, &mut rng) {
                let sent = balance::Sent { tokens: 100, unread };
                upstreams.get_mut(&id).unwrap().start(&sent, now);
                upstreams.get_mut(&id).unwrap().end(&mut balance::Sent { tokens: 100, unread: 0 });
                total += 1;
            }
        }
    }
    assert!(total <= 24, "{total} requests in a second");
    assert!(total > 0);
}

#[rstest]
fn leaving_and_taken_out_upstreams_get_nothing() {
    let mut upstreams = fleet(1);
    let mut leaving = record("u0", 1);
    leaving.is_leaving = true;
    let out = BTreeSet::from([id::FailureDomain::new("a")]);
    let ask = Ask { out, ..Ask::default() };
    assert_eq!(ask.choose(&upstreams, NOW, &mut rng()), Err(balance::Unavailable::None));
    upstreams.install(leaving, Millis(0), NOW);
    let chosen = Ask::default().choose(&upstreams, NOW, &mut rng());
    assert_eq!(chosen, Err(balance::Unavailable::None));
}

/// Guards against requests on old weights once they must not begin there any more, and against
/// refusing all while the first upstreams load.
#[rstest]
#[case(Millis(100), false, true)]
#[case(Millis(2_000), false, false)]
#[case(Millis(7_500), true, false)]
fn newer_weights_win_with_time(
    #[case] since_named: Millis,
    #[case] is_newest_only: bool,
    #[case] may_use_old: bool,
) {
    let mut upstreams = fleet(2);
    upstreams.get_mut(&id::Upstream::new("u0")).unwrap().set_version(&id::Model::new("m"), 2, NOW);
    let mut rng = rng();
    let newest = Some((2, NOW - since_named));
    let ask = Ask { newest, is_newest_only, ..Ask::default() };
    let mut chosen = BTreeSet::new();
    for _ in 0..50 {
        chosen.insert(ask.choose(&upstreams, NOW, &mut rng).unwrap().0);
    }
    assert_eq!(chosen.contains(&id::Upstream::new("u1")), may_use_old, "{chosen:?}");
}

/// Guards against a version that was misread from a refusal and then held against the list, so
/// that each request there is refused.
#[rstest]
fn a_list_corrects_a_misread_version() {
    let mut upstreams = fleet(1);
    let (id, model) = (id::Upstream::new("u0"), id::Model::new("m"));
    upstreams.get_mut(&id).unwrap().set_version(&model, 3, NOW);
    upstreams.install(record("u0", 2), Millis(0), NOW + Millis(1_000));
    assert_eq!(upstreams.get(&id).unwrap().version(&model), Some(3), "the list lags");
    upstreams.install(record("u0", 2), Millis(0), NOW + Millis(3_000));
    assert_eq!(upstreams.get(&id).unwrap().version(&model), Some(2));
}

/// Guards against sending to upstreams that break each answer, and against leaving out so many
/// that nothing serves when the fault is on this side.
#[rstest]
#[case(1, false)]
#[case(6, true)]
fn broken_upstreams_are_left_out_unless_most_are(#[case] broken: usize, #[case] used: bool) {
    let mut upstreams = fleet(8);
    for index in 0..broken {
        let upstream = upstreams.get_mut(&id::Upstream::new(&format!("u{index}"))).unwrap();
        for _ in 0..3 {
            upstream.condition.observe(balance::Verdict::Broken, NOW);
        }
    }
    let mut rng = rng();
    let mut chosen = BTreeSet::new();
    let tried = (1..8).map(|index| id::Upstream::new(&format!("u{index}"))).collect();
    let ask = Ask { tried, ..Ask::default() };
    if let Ok((id, _)) = ask.choose(&upstreams, NOW, &mut rng) {
        chosen.insert(id);
    }
    assert_eq!(!chosen.is_empty(), used);
    let later = NOW + Millis(1_000);
    assert!(ask.choose(&upstreams, later, &mut rng).is_ok(), "it is tried again");
}

#[rstest]
fn an_upstream_that_started_again_is_cold_and_empty() {
    let mut upstreams = fleet(1);
    let id = id::Upstream::new("u0");
    let salt = kept::salt(&id::Model::new("m"), 1, None);
    upstreams.get_mut(&id).unwrap().remember(&salt, 9, NOW);
    let mut again = record("u0", 1);
    again.born = Some(2);
    upstreams.install(again, Millis(3_000), NOW);
    let upstream = upstreams.get(&id).unwrap();
    assert!(upstream.is_cold(NOW + Millis(2_999)));
    assert!(!upstream.remembers(&salt, 9));
}
