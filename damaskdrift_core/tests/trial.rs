//! Tests of rollouts of software versions: exposure, evidence of many instances and decisions.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::sync::Arc;

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::rollout::{
    CellKey, Counts, Evidence, Exposure, ExposureLimit, Ledger, LoadBand, Order, Outcome,
    Selection, Side, Status, Trial, TrialDecision, TrialState,
};
use damaskdrift_core::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const LIMIT: ExposureLimit = ExposureLimit { share: 0.1, slack: 50.0 };
const BUDGET: Millis = Millis(15_000);
/// Interval at which a simulated fleet exchanges reports.
const TICK: Millis = Millis(100);

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

fn order(revision: u64) -> Order {
    let service = id::Service::new("svc");
    Order { service, target: id::Software::new("v2"), duration: BUDGET, revision }
}

fn status(state: TrialState, step: usize, revision: u64) -> Status {
    Status { state, target: id::Software::new("v2"), step, revision }
}

/// Guards against a version that gets more than its share when each of many instances rounds its
/// own share up, or starts anew after a restart.
#[rstest]
fn exposure_stays_within_the_limit_over_all_instances(
    #[values(1, 8, 74, 295, 1_000)] instances: usize,
    #[values(1, 2, 3)] seed: u64,
    #[values(2, 20, 200)] requests_per_instance: usize,
) {
    let mut rng = rng(seed);
    let mut fleet: Vec<_> = (0..instances).map(|_| Exposure::new(&mut rng)).collect();
    let mut is_frozen = vec![false; instances];
    let (mut total, mut new) = (0_u32, 0_u32);
    for _ in 0..instances * requests_per_instance {
        let index = rng.random_range(0..instances);
        if rng.random_bool(0.01) {
            fleet[index] = Exposure::new(&mut rng);
        }
        if rng.random_bool(0.01) {
            is_frozen[index] = !is_frozen[index];
        }
        if is_frozen[index] {
            continue;
        }
        let is_new = fleet[index].admits_new(&LIMIT, 1.0);
        fleet[index].record(is_new);
        total += 1;
        new += u32::from(is_new);
        let allowed = LIMIT.share * f64::from(total) + LIMIT.slack;
        assert!(f64::from(new) <= allowed, "{new} of {total}, allowed {allowed}");
    }
    // Without any request there is no evidence, whatever the number of instances.
    if total > 400 {
        assert!(f64::from(new) >= 0.04 * f64::from(total), "{new} of {total}");
    }
}

fn key(side: Side) -> CellKey {
    CellKey { side, route: Arc::from("r"), band: LoadBand::High }
}

fn evidence(side: Side, succeeded: u32, failed: u32) -> Evidence {
    let counts = Counts { succeeded, failed, ..Counts::default() };
    Evidence { cells: vec![(key(side), counts)] }
}

fn taken(ledger: &mut Ledger) -> (u32, u32) {
    let evidence = ledger.take_new(|_| true);
    let (mut succeeded, mut failed) = (0, 0);
    for (_, counts) in &evidence.cells {
        succeeded += counts.succeeded;
        failed += counts.failed;
    }
    (succeeded, failed)
}

/// Guards against a bad answer that counts again with each report, and against evidence that is
/// forgotten when its instance restarts.
#[test]
fn ledger_counts_each_request_once() {
    let instance = balance::Reporter::Instance(id::Instance::new("i1"));
    let mut ledger = Ledger::default();
    ledger.record(key(Side::New), &Counts { failed: 1, ..Counts::default() });
    ledger.set_report(instance.clone(), &evidence(Side::New, 3, 2));
    assert_eq!(taken(&mut ledger), (3, 3));
    ledger.set_report(instance.clone(), &evidence(Side::New, 3, 2));
    assert_eq!(taken(&mut ledger), (0, 0), "repeated report");
    ledger.set_report(instance.clone(), &evidence(Side::New, 5, 2));
    assert_eq!(taken(&mut ledger), (2, 0), "later report");
    ledger.set_report(instance.clone(), &evidence(Side::New, 1, 1));
    assert_eq!(taken(&mut ledger), (1, 1), "report after a restart");
    ledger.set_report(instance, &evidence(Side::New, 1, 1));
    assert_eq!(taken(&mut ledger), (0, 0), "repeated report after a restart");
}

/// Delays of a version's responses.
#[derive(Clone, Copy, Debug)]
struct Version {
    /// Share of the responses that are errors.
    failing: f64,
    /// Share of the responses that are slow.
    slow: f64,
    /// Factor by which slow ones take longer.
    factor: u64,
    /// Time since the order from which it is bad.
    bad_from: Millis,
}

const GOOD: Version = Version { failing: 0.0, slow: 0.0, factor: 1, bad_from: Millis(0) };

/// Result of a simulated rollout.
#[derive(Debug)]
struct Played {
    /// Last decision of the driver, if it ended the rollout.
    end: Option<(Millis, TrialDecision)>,
    total: u32,
    new: u32,
    /// When the 50th bad answer ended, and the last request to the new version was sent.
    fiftieth_bad: Option<Millis>,
    last_new: Millis,
}

/// Plays the rollout of a version in a fleet that exchanges its evidence at each tick.
fn play(instances: usize, per_s: u64, version: Version, cold: Millis, seed: u64) -> Played {
    let mut rng = rng(seed);
    let start = Millis(100_000);
    let mut fleet: Vec<_> = (0..instances).map(|_| Trial::new(order(1), start, &mut rng)).collect();
    let mut revision = 1;
    let mut ends: Vec<(Millis, usize, u64, Vec<Millis>, Outcome)> = Vec::new();
    let mut bad = 0;
    let mut played =
        Played { end: None, total: 0, new: 0, fiftieth_bad: None, last_new: Millis(0) };
    let route: Arc<str> = Arc::from("r");
    let mut now = start;
    while now.since(start) < BUDGET {
        now = now + TICK;
        ends.retain(|(at, index, serial, chunks, outcome)| {
            if *at > now {
                return true;
            }
            for chunk in chunks {
                fleet[*index].record_chunk(*serial, *chunk);
            }
            fleet[*index].end(*serial, *outcome, *at);
            false
        });
        for _ in 0..per_s * TICK.0 / 1_000 {
            let index = rng.random_range(0..instances);
            let draw = rng.random_range(0.0..1.0);
            let is_new = fleet[index].admits_new(&LIMIT, true, draw);
            let side = if is_new { Side::New } else { Side::Old };
            let is_cold = is_new && now.since(start) < cold;
            let is_bad = is_new && now.since(start) >= version.bad_from;
            let is_slow = is_bad && rng.random_bool(version.slow);
            let has_failed = is_bad && !is_slow && rng.random_bool(version.failing);
            let factor = if is_slow { version.factor } else { 1 } * if is_cold { 3 } else { 1 };
            let spread: f64 = rng.random_range(0.7..1.5);
            let gap = Millis((40.0 * spread) as u64 * factor);
            let serial = fleet[index].begin(side, &route, Some(Millis(25)), is_cold, now);
            let first = now + Millis(60 + 30 * factor);
            let chunks = vec![first, first + gap, first + gap + gap];
            let outcome = if has_failed { Outcome::Failed } else { Outcome::Answered };
            let end = chunks[2];
            ends.push((end, index, serial, chunks, outcome));
            played.total += 1;
            if is_new {
                played.new += 1;
                played.last_new = now;
            }
            if is_slow || has_failed {
                bad += 1;
                if bad == 50 {
                    played.fiftieth_bad = Some(end);
                }
            }
        }
        let reports: Vec<_> = fleet.iter().map(|trial| trial.evidence(|_| false)).collect();
        for (to, trial) in fleet.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate() {
                if from != to {
                    let reporter =
                        balance::Reporter::Instance(id::Instance::new(&format!("i{from}")));
                    trial.set_report(reporter, now.since(start), report, now);
                }
            }
            trial.update(|_| true, now);
        }
        let old_running = 0;
        let decision = fleet[0].decide(old_running, now);
        let written = match &decision {
            TrialDecision::Hold(_) => continue,
            TrialDecision::Grow(step, _) => (TrialState::Running, *step),
            TrialDecision::Complete(_) => (TrialState::Completed, 0),
            TrialDecision::RollBack(_) => (TrialState::RolledBack, 0),
        };
        revision += 1;
        for trial in &mut fleet {
            trial.set_status(status(written.0, written.1, revision), now);
        }
        if written.0 != TrialState::Running {
            played.end = Some((now.since(start), decision));
            break;
        }
    }
    played
}

/// Guards against a bad version that is kept, gets more than its share, or gets requests long after
/// its 50th bad answer. Bad versions fail or are slow, at once or after some seconds.
#[rstest]
fn bad_version_is_taken_back(
    #[values(
        Version { failing: 0.0, slow: 0.5, factor: 5, bad_from: Millis(0) },
        Version { failing: 0.0, slow: 1.0, factor: 3, bad_from: Millis(0) },
        Version { failing: 0.0, slow: 0.25, factor: 8, bad_from: Millis(0) },
        Version { failing: 0.0, slow: 1.0, factor: 2, bad_from: Millis(0) },
        Version { failing: 0.3, slow: 0.0, factor: 1, bad_from: Millis(0) },
        Version { failing: 0.0, slow: 0.5, factor: 5, bad_from: Millis(6_000) },
        Version { failing: 0.5, slow: 0.0, factor: 1, bad_from: Millis(8_000) }
    )]
    version: Version,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let played = play(8, 320, version, Millis(3_500), seed);
    let Some((_, TrialDecision::RollBack(_))) = &played.end else {
        panic!("not taken back: {played:?}");
    };
    // Requests to the old version until the end of the budget would raise the allowance.
    let allowed = LIMIT.share * f64::from(played.total) + LIMIT.slack;
    assert!(f64::from(played.new) <= allowed, "{played:?}, allowed {allowed}");
    if let Some(fiftieth) = played.fiftieth_bad {
        assert!(played.last_new.since(fiftieth) < Millis(5_000), "{played:?}");
    }
}

/// Guards against a good version that is taken back because its upstreams start cold, or that is not
/// completed within its time budget.
#[rstest]
fn good_version_is_completed(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
    #[values(0, 3_500)] cold_ms: u64,
) {
    let played = play(8, 320, GOOD, Millis(cold_ms), seed);
    let Some((at, TrialDecision::Complete(_))) = &played.end else {
        panic!("not completed: {played:?}");
    };
    assert!(*at < BUDGET, "{played:?}");
}

/// Guards against a version that is kept without evidence.
#[test]
fn version_without_evidence_is_taken_back() {
    let trial = Trial::new(order(1), Millis(0), &mut rng(1));
    assert!(matches!(trial.decide(0, Millis(1_000)), TrialDecision::Hold(_)));
    assert!(matches!(trial.decide(0, Millis(14_000)), TrialDecision::RollBack(_)));
}

/// Guards against requests to a version that was taken back, and to one whose state the instance
/// cannot know because it lost the platform store.
#[test]
fn version_gets_nothing_once_it_is_taken_back_or_its_state_is_unknown() {
    let mut rng = rng(1);
    let mut trial = Trial::new(order(5), Millis(0), &mut rng);
    for _ in 0..100 {
        trial.begin(Side::Old, &Arc::from("r"), None, false, Millis(0));
    }
    let target = id::Software::new("v2");
    assert!(trial.admits_new(&LIMIT, true, 0.9));
    assert!(!trial.admits_new(&LIMIT, false, 0.0), "store lost");
    trial.set_status(status(TrialState::Running, 2, 6), Millis(0));
    assert!(trial.admits_new(&LIMIT, true, 0.4) && !trial.admits_new(&LIMIT, false, 0.4));
    trial.set_status(status(TrialState::RolledBack, 0, 7), Millis(0));
    assert_eq!(
        trial.selection(&LIMIT, true, 0.0),
        Selection::Except(std::slice::from_ref(&target))
    );
    // A status of an earlier order does not apply to a later one, which tries the version again.
    trial.set_status(status(TrialState::Running, 0, 6), Millis(0));
    assert_eq!(trial.state(), TrialState::RolledBack);
    let mut again = Trial::new(order(9), Millis(0), &mut rng);
    again.set_status(status(TrialState::RolledBack, 0, 7), Millis(0));
    assert_eq!(again.state(), TrialState::Running);
    again.set_status(status(TrialState::Completed, 0, 10), Millis(0));
    assert_eq!(again.selection(&LIMIT, false, 1.0), Selection::Only(&target));
}

/// Guards against requests to a version that was taken back when another one is ordered while its
/// upstreams still run.
#[test]
fn version_taken_back_stays_excluded_under_the_next_order() {
    let mut rng = rng(1);
    let mut first = Trial::new(order(1), Millis(0), &mut rng);
    first.set_status(status(TrialState::RolledBack, 0, 2), Millis(0));
    let target = id::Software::new("v3");
    let next = Order { target: target.clone(), revision: 3, ..order(3) };
    let second = Trial::new(next, Millis(0), &mut rng).with_previous(&first);
    for (software, is_included) in [("v1", true), ("v2", false), ("v3", false)] {
        let software = id::Software::new(software);
        assert_eq!(second.proven().includes(&software), is_included, "{software}");
        assert_eq!(second.may_send(&software, &LIMIT, false), is_included, "{software}");
    }
}
