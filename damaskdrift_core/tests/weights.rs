//! Tests of the target versions of weights and of the schedule of loads.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::BTreeSet;

use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use damaskdrift_core::weights;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time after a target was set from which requests must not begin on older weights.
const LIMIT: Millis = Millis(7_300);
/// Interval at which the leader looks for due orders, in milliseconds.
const TICK_MS: u64 = 50;

fn upstream(index: usize) -> id::Upstream {
    id::Upstream::new(&format!("u{index:02}"))
}

fn candidates(versions: &[u64]) -> Vec<weights::Candidate> {
    let candidate = |(index, version): (usize, &u64)| weights::Candidate {
        id: upstream(index),
        started_at: Some(0),
        version: *version,
        running: u32::try_from(versions.len() - index).expect("few upstreams"),
        is_responsive: true,
    };
    versions.iter().enumerate().map(candidate).collect()
}

fn targets(set: &[(u64, u64)]) -> weights::Targets {
    let mut targets = weights::Targets::default();
    for (version, at) in set {
        targets.record(*version, Millis(0), Millis(*at));
    }
    targets
}

// Guards against loads on so many upstreams at once that the rest cannot sustain the traffic, and
// against orders to upstreams that have a pending order.
#[rstest]
fn loads_run_in_batches_starting_with_the_least_busy() {
    let mut scheduler = weights::LoadScheduler::default();
    let targets = targets(&[(2, 1_000)]);
    let mut versions = vec![1; 18];
    let mut schedule = |versions: &[u64], now| {
        scheduler.schedule(&candidates(versions), &targets, LIMIT, Millis(now))
    };
    let first = schedule(&versions, 1_000);
    assert_eq!(first.len(), 5);
    assert_eq!(first[0], upstream(17));
    assert!(schedule(&versions, 1_100).is_empty());
    versions[17] = 2;
    assert_eq!(schedule(&versions, 1_200).len(), 1);
    // An order whose response was lost is sent again after its timeout.
    let again = schedule(&versions, 4_000);
    assert!(again.contains(&upstream(16)), "{again:?}");
}

// Guards against upstreams that keep an old version when the target version changes while loads of
// the previous one are pending.
#[rstest]
fn a_changed_target_version_reaches_all_upstreams() {
    let mut scheduler = weights::LoadScheduler::default();
    let mut versions = vec![1; 6];
    let mut targets = targets(&[(2, 1_000)]);
    for step in 0..100 {
        if step == 2 {
            targets.record(3, Millis(0), Millis(2_000));
        }
        let target_version = targets.newest().unwrap();
        let now = Millis(1_000 + step * 500);
        for id in scheduler.schedule(&candidates(&versions), &targets, LIMIT, now) {
            let index: usize = id.as_str()[1..].parse().unwrap();
            versions[index] = target_version;
        }
    }
    assert_eq!(versions, [3; 6]);
}

// Guards against a newer target that extends the time for which requests may begin on weights older
// than the one before it.
#[rstest]
fn a_newer_target_does_not_extend_the_limit_of_an_earlier_one() {
    let mut targets = targets(&[(2, 7_000), (3, 14_000)]);
    let limit = Millis(8_000);
    for at in [14_000, 15_000, 21_999] {
        targets.prune(Millis(at), limit);
        assert_eq!(targets.usable_until(1, limit), Some(Millis(15_000)), "at {at} ms");
        assert_eq!(targets.usable_until(2, limit), Some(Millis(22_000)), "at {at} ms");
        assert_eq!(targets.usable_until(3, limit), None, "at {at} ms");
    }
    targets.prune(Millis(22_000), limit);
    assert_eq!(targets.usable_until(1, limit), Some(Millis(22_000)));
}

// Guards against counting the limit from when a version was heard of instead of when it was set, and
// against a version that is heard of late and takes the place of a newer one.
#[rstest]
fn the_highest_known_age_of_a_target_counts() {
    let mut targets = weights::Targets::default();
    let now = Millis(9_000);
    assert!(targets.record(5, Millis(0), now));
    assert!(!targets.record(5, Millis(5_000), now));
    assert!(!targets.record(5, Millis(3_000), now));
    assert!(!targets.record(3, Millis(7_000), now));
    assert_eq!(targets.newest(), Some(5));
    assert_eq!(targets.usable_until(2, LIMIT), Some(Millis(2_000) + LIMIT));
    assert_eq!(targets.usable_until(3, LIMIT), Some(Millis(4_000) + LIMIT));
}

// Guards against an instance that starts, or reads the platform's list again, after a version was
// set and counts the limit from then, and against an assumption that outweighs what others saw. The
// clock may have started after the version was set.
#[rstest]
fn an_assumed_age_holds_until_the_age_is_known() {
    let mut targets = weights::Targets::default();
    let now = Millis(1_000);
    targets.record_assumed(2, Millis(5_000), now);
    assert_eq!(targets.usable_until(1, LIMIT), Some(Millis(3_300)));
    assert_eq!(targets.known_ages(now).count(), 0);
    targets.record(2, Millis(6_000), now);
    assert_eq!(targets.usable_until(1, LIMIT), Some(Millis(2_300)));
    targets.record_assumed(2, Millis(7_000), now);
    assert_eq!(targets.usable_until(1, LIMIT), Some(Millis(2_300)));
    assert_eq!(targets.known_ages(Millis(2_000)).collect::<Vec<_>>(), [(2, Millis(7_000))]);
}

/// State of one engine in a simulation of loads.
#[derive(Clone, Copy)]
struct Engine {
    version: u64,
    started_at: u64,
    /// When the load in progress ends.
    loaded_at: Option<u64>,
    down_until: u64,
    /// Whether calls get no response while it is down, instead of a refused connection.
    is_dark: bool,
}

/// How long a call waits for a response, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 500;
/// Interval at which the reports of engines with a pending order are read, in milliseconds.
const REPORT_MS: u64 = 150;
/// Time without a byte after which an engine counts as silent, in milliseconds.
const SILENCE_MS: u64 = 700;
/// Time from an order to its completion, in milliseconds.
const LOAD_MS: u64 = 800;

/// Simulates loads by a leader that learns of engines only by calls, while engines go down, and
/// returns when each engine that is up has the target version of 2 that was set at time 0. `lost` is
/// the probability that the response to an order is lost.
fn simulate(count: usize, is_dark: bool, lost: f64, seed: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let targets = targets(&[(2, 0)]);
    let mut scheduler = weights::LoadScheduler::default();
    let engine =
        Engine { version: 1, started_at: 0, loaded_at: None, down_until: 0, is_dark: false };
    let mut engines = vec![engine; count];
    // Calls in progress: end, engine, time of the order that the call concerns, whether it is it.
    let mut calls: Vec<(u64, usize, Millis, bool)> = Vec::new();
    // Since when each engine has sent nothing.
    let mut heard_at = vec![0; count];
    for now in (0..20_000).step_by(TICK_MS as usize) {
        if now % 500 == 0 && now < 12_000 {
            // One engine more goes down each half second, for 3.4 s; about half of 12 are up.
            let index = rng.random_range(0..count);
            let engine = &mut engines[index];
            (engine.down_until, engine.is_dark) = (now + 3_400, is_dark);
            if !is_dark {
                (engine.loaded_at, engine.started_at) = (None, now + 3_400);
            }
        }
        for engine in &mut engines {
            if engine.loaded_at.is_some_and(|at| at <= now) && engine.down_until <= now {
                (engine.version, engine.loaded_at) = (2, None);
            }
        }
        let known: Vec<_> = engines.iter().map(|engine| engine.version).collect();
        if engines.iter().all(|engine| engine.version == 2 || engine.down_until > now) {
            return now;
        }
        calls.retain(|(ends_at, index, ordered_at, is_order)| {
            if *ends_at > now {
                return true;
            }
            let engine = &mut engines[*index];
            let id = upstream(*index);
            if engine.down_until > now {
                scheduler.record_failure(&id, *ordered_at, Millis(now));
            } else if *is_order {
                engine.loaded_at.get_or_insert(now + LOAD_MS);
                if rng.random_bool(lost) {
                    scheduler.record_unanswered(&id, *ordered_at, Millis(now));
                } else {
                    scheduler.record_accepted(&id, *ordered_at);
                }
            }
            false
        });
        let mut candidates = candidates(&known);
        for (index, candidate) in candidates.iter_mut().enumerate() {
            let engine = &engines[index];
            // An engine that is down runs nothing, so it looks least busy.
            candidate.running = if engine.down_until > now { 0 } else { 5 };
            candidate.started_at = Some(engine.started_at);
            if engine.down_until <= now {
                heard_at[index] = now;
            }
            candidate.is_responsive = now - heard_at[index] < SILENCE_MS;
        }
        let call_end = |engine: &Engine| {
            let waits = engine.down_until > now && engine.is_dark;
            now + if waits { CALL_TIMEOUT_MS } else { TICK_MS }
        };
        if now % REPORT_MS == 0 {
            for (id, ordered_at) in scheduler.pending() {
                let index: usize = id.as_str()[1..].parse().unwrap();
                calls.push((call_end(&engines[index]), index, ordered_at, false));
            }
        }
        for id in scheduler.schedule(&candidates, &targets, LIMIT, Millis(now)) {
            let index: usize = id.as_str()[1..].parse().unwrap();
            calls.push((call_end(&engines[index]), index, Millis(now), true));
        }
    }
    20_000
}

// Guards against orders that are sent again and again to engines that are down, because these look
// least busy, while engines that are up keep their old weights beyond the limit.
#[rstest]
#[case(12, false, 0.0)]
#[case(12, true, 0.0)]
#[case(12, false, 0.5)]
#[case(12, true, 0.5)]
#[case(128, false, 0.0)]
#[case(128, true, 0.0)]
#[case(128, false, 0.5)]
#[case(128, true, 0.5)]
fn engines_that_are_down_do_not_hold_up_loads_of_others(
    #[case] count: usize,
    #[case] is_dark: bool,
    #[case] lost: f64,
) {
    for seed in 0..50 {
        let done_at = simulate(count, is_dark, lost, seed);
        assert!(done_at < LIMIT.0, "seed {seed}: engines had old weights until {done_at} ms");
    }
}

// Guards against sparing the capacity of upstreams whose old weights no request may use any longer:
// all that remain are ordered to load before the limit ends.
#[rstest]
fn the_batch_grows_as_the_limit_comes_near() {
    let targets = targets(&[(2, 0)]);
    let mut sizes = Vec::new();
    for now in [0, 4_000, 6_000, 7_000] {
        let mut scheduler = weights::LoadScheduler::default();
        sizes.push(scheduler.schedule(&candidates(&[1; 12]), &targets, LIMIT, Millis(now)).len());
    }
    assert_eq!(sizes, [3, 4, 12, 12]);
}

// Guards against a load that counts as pending although the engine restarted and knows nothing of
// its order.
#[rstest]
fn a_restart_ends_a_pending_order() {
    let mut scheduler = weights::LoadScheduler::default();
    let targets = targets(&[(2, 0)]);
    let mut engines = candidates(&[1]);
    assert_eq!(scheduler.schedule(&engines, &targets, LIMIT, Millis(0)), [upstream(0)]);
    assert!(scheduler.schedule(&engines, &targets, LIMIT, Millis(100)).is_empty());
    engines[0].started_at = Some(1);
    assert_eq!(scheduler.schedule(&engines, &targets, LIMIT, Millis(200)), [upstream(0)]);
}

// Guards against upstreams that never get an order because none of them responds: without requests
// on their old weights, only an order can show that they are back.
#[rstest]
fn orders_are_sent_when_no_upstream_responds() {
    let mut scheduler = weights::LoadScheduler::default();
    let targets = targets(&[(2, 0)]);
    let mut engines = candidates(&[1; 4]);
    for engine in &mut engines {
        engine.is_responsive = false;
    }
    let mut ordered = BTreeSet::new();
    for now in (0..4_000).step_by(50) {
        for id in scheduler.schedule(&engines, &targets, LIMIT, Millis(now)) {
            scheduler.record_failure(&id, Millis(now), Millis(now));
            ordered.insert(id);
        }
    }
    assert_eq!(ordered.len(), 4);
}

// Guards against places in a batch that grew for the oldest weights and go to newer ones.
#[rstest]
fn places_for_the_oldest_weights_go_to_upstreams_that_have_them() {
    let mut scheduler = weights::LoadScheduler::default();
    let mut engines = candidates(&[1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2, 2]);
    for engine in &mut engines[..3] {
        engine.running = 100;
    }
    let targets = targets(&[(2, 0), (3, 6_050)]);
    let orders = scheduler.schedule(&engines, &targets, LIMIT, Millis(6_050));
    assert_eq!(orders, [upstream(0), upstream(1), upstream(2)]);
}

// Guards against upstreams whose orders fail and that make the batch of the others grow.
#[rstest]
fn upstreams_whose_orders_fail_do_not_enlarge_the_batch() {
    let mut scheduler = weights::LoadScheduler::default();
    let engines = candidates(&[1, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2]);
    let first = targets(&[(2, 0)]);
    let failing = scheduler.schedule(&engines, &first, LIMIT, Millis(7_300));
    assert_eq!(failing.len(), 5);
    for id in &failing {
        scheduler.record_failure(id, Millis(7_300), Millis(7_300));
    }
    let both = targets(&[(2, 0), (3, 7_350)]);
    let orders = scheduler.schedule(&engines, &both, LIMIT, Millis(7_350));
    assert_eq!(orders.len(), 2, "{orders:?}");
}

// Guards against a batch that grows only for the newest version while the limit of an earlier one
// ends.
#[rstest]
fn the_batch_grows_for_an_earlier_target_too() {
    let mut scheduler = weights::LoadScheduler::default();
    let targets = targets(&[(2, 0), (3, 6_500)]);
    let orders = scheduler.schedule(&candidates(&[1; 12]), &targets, LIMIT, Millis(6_500));
    assert_eq!(orders.len(), 12);
}

// Guards against orders to a failing upstream at each tick, and against a pause that outlives the
// failing process.
#[rstest]
fn failed_orders_are_repeated_after_growing_pauses() {
    let mut scheduler = weights::LoadScheduler::default();
    let targets = targets(&[(2, 0)]);
    let mut engines = candidates(&[1]);
    let mut sent = Vec::new();
    for now in (0..4_000).step_by(50) {
        for id in scheduler.schedule(&engines, &targets, LIMIT, Millis(now)) {
            scheduler.record_failure(&id, Millis(now), Millis(now));
            sent.push(now);
        }
    }
    assert_eq!(sent, [0, 100, 300, 700, 1_500, 2_300, 3_100, 3_900]);
    engines[0].started_at = Some(1);
    assert_eq!(scheduler.schedule(&engines, &targets, LIMIT, Millis(4_000)).len(), 1);
}

// Guards against waiting for the full timeout of an order when the upstream only had another one in
// progress or did not respond, and against a second order while the first may be carried out.
#[rstest]
fn busy_and_silent_upstreams_are_asked_again_soon() {
    let targets = targets(&[(2, 0)]);
    let engines = candidates(&[1]);
    for (is_busy, asked_again_at) in [(true, 200), (false, 500)] {
        let mut scheduler = weights::LoadScheduler::default();
        let id = &scheduler.schedule(&engines, &targets, LIMIT, Millis(0))[0];
        if is_busy {
            scheduler.record_busy(id, Millis(0), Millis(0));
        } else {
            scheduler.record_unanswered(id, Millis(0), Millis(0));
        }
        let mut schedule = |now| scheduler.schedule(&engines, &targets, LIMIT, Millis(now)).len();
        assert_eq!(schedule(asked_again_at - 1), 0);
        assert_eq!(schedule(asked_again_at), 1);
    }
}

// Guards against the late result of an earlier order that ends the one in progress.
#[rstest]
fn results_of_earlier_orders_are_ignored() {
    let mut scheduler = weights::LoadScheduler::default();
    let targets = targets(&[(2, 0)]);
    let engines = candidates(&[1]);
    let id = &scheduler.schedule(&engines, &targets, LIMIT, Millis(0))[0];
    scheduler.record_failure(id, Millis(0), Millis(100));
    assert_eq!(scheduler.schedule(&engines, &targets, LIMIT, Millis(200)).len(), 1);
    scheduler.record_failure(id, Millis(0), Millis(250));
    assert!(scheduler.schedule(&engines, &targets, LIMIT, Millis(1_500)).is_empty());
}

// Guards against an instance that names a version unknown to the platform store, which no upstream
// could load.
#[rstest]
fn reports_of_others_name_no_newer_target() {
    let mut known = targets(&[(3, 1_000)]);
    known.record_reported(u64::MAX, Millis(u64::MAX), Millis(2_000));
    assert_eq!(known, targets(&[(3, 1_000)]));
    known.record_reported(2, Millis(5_000), Millis(5_000));
    assert_eq!(known.usable_until(1, LIMIT), Some(LIMIT));
}
