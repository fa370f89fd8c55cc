//! Tests of how a fleet keeps prompts from its engines that crash them.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::{BTreeMap, BTreeSet};

use damaskdrift_core::id;
use damaskdrift_core::quarantine;
use damaskdrift_core::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time between two steps of the simulation.
const STEP_MS: u64 = 10;
/// Time after the fifth crash from which no more requests may be sent.
const STABLE_WINDOW: Millis = Millis(3_000);
/// Time for which an engine is down after a crash.
const DOWN: Millis = Millis(4_000);
/// Pause between two reports of an instance.
const REPORT_MS: u64 = 50;
/// Number of workspaces. The first segment of each prompt is its workspace's, and the second one of
/// a thousand subjects.
const WORKSPACES: u64 = 10;
const SUBJECTS: u64 = 1_000;
/// Segment that crashes engines.
const DEADLY: u64 = 7_777_777;

/// Time from the start of a process until its fleet has a leader, and until it gets requests.
const ELECTION: Millis = Millis(2_000);
const START: Millis = Millis(300);

/// A simulated day.
#[derive(Clone, Copy, Debug)]
struct Day {
    instances: usize,
    engines: usize,
    /// Sound requests a second of all instances.
    sound_per_s: f64,
    /// Requests with the deadly segment a second.
    deadly_per_s: f64,
    /// Crashes of engines a second for another reason.
    crashes_per_s: f64,
    /// Whether a third of the engines ends at once every 5 s.
    loses_zones: bool,
    /// Whether the deadly segment was answered before the day's first crash.
    is_answered_before: bool,
    /// When all processes are killed and start again, in milliseconds.
    kills: &'static [u64],
    /// When the store is out of reach, in milliseconds.
    store_outage: (u64, u64),
}

const CALM: Day = Day {
    instances: 8,
    engines: 12,
    sound_per_s: 300.0,
    deadly_per_s: 1.0,
    crashes_per_s: 0.0,
    loses_zones: false,
    is_answered_before: false,
    kills: &[],
    store_outage: (0, 0),
};

/// What happened on a day.
#[derive(Debug, Default)]
struct Outcome {
    /// Crashes caused by the deadly segment.
    crashes: Vec<Millis>,
    /// When requests with the deadly segment were sent.
    deadly_sent: Vec<Millis>,
    /// Sound requests of the deadly requests' workspace, and how many of them were refused.
    sound: usize,
    refused: usize,
    /// Sound segments that were put in quarantine.
    wrongly_blamed: BTreeSet<u64>,
    /// Writes of the record.
    writes: usize,
}

struct Request {
    instance: usize,
    engine: usize,
    segments: Vec<u64>,
    begins_at: Millis,
    ends_at: Millis,
}

struct Engine {
    starts: u64,
    up_from: Millis,
}

struct Simulation {
    day: Day,
    rng: ChaCha8Rng,
    fleet: Vec<quarantine::Ledger>,
    ids: Vec<id::Instance>,
    engines: Vec<Engine>,
    in_flight: Vec<Request>,
    /// Reports on their way: when each arrives, and where.
    reports: BTreeMap<u64, Vec<(usize, quarantine::Report)>>,
    /// Crashes that instances are about to notice.
    noticed: BTreeMap<u64, Vec<(usize, quarantine::Incarnation, Vec<u64>)>>,
    /// What each instance knows of the record, the record, and when instances hear of it.
    recorders: Vec<quarantine::Recorder>,
    record: Option<quarantine::Record>,
    told: BTreeMap<u64, Vec<usize>>,
    started_at: Millis,
    is_serving: bool,
    outcome: Outcome,
}

impl Simulation {
    fn new(day: Day, seed: u64) -> Self {
        let fleet = (0..day.instances).map(|_| quarantine::Ledger::default()).collect();
        let engines = (0..day.engines).map(|_| Engine { starts: 1, up_from: Millis(0) }).collect();
        Self {
            day,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet,
            ids: (0..day.instances).map(|index| id::Instance::new(&format!("i{index}"))).collect(),
            engines,
            in_flight: Vec::new(),
            reports: BTreeMap::new(),
            noticed: BTreeMap::new(),
            recorders: (0..day.instances).map(|_| quarantine::Recorder::default()).collect(),
            record: None,
            told: BTreeMap::new(),
            started_at: Millis(0),
            is_serving: true,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, from: Millis, to: Millis) -> Outcome {
        for ms in (0..to.0).step_by(STEP_MS as usize) {
            let now = Millis(ms);
            self.finish_requests(now);
            self.crash_for_other_reasons(now);
            self.notice(now);
            self.exchange_reports(now);
            self.kill_all(now);
            self.follow_store(now);
            if self.is_serving {
                self.send_requests(now, now >= from);
            }
        }
        self.outcome
    }

    /// Kills all processes and starts them again, if that is due. What they knew is lost.
    fn kill_all(&mut self, now: Millis) {
        if !self.day.kills.contains(&now.0) {
            return;
        }
        self.fleet.iter_mut().for_each(|ledger| *ledger = quarantine::Ledger::default());
        self.recorders.iter_mut().for_each(|recorder| *recorder = quarantine::Recorder::default());
        (self.started_at, self.is_serving) = (now, false);
        self.in_flight.clear();
        self.reports.clear();
        self.noticed.clear();
        self.told.clear();
    }

    /// Lets all instances follow the store, and the leader write the record.
    fn follow_store(&mut self, now: Millis) {
        let (from, to) = self.day.store_outage;
        if (from..to).contains(&now.0) {
            return;
        }
        if !self.is_serving && now >= self.started_at + START {
            self.is_serving = true;
            self.told.entry(now.0).or_default().extend(0..self.fleet.len());
        }
        for instance in self.told.remove(&now.0).unwrap_or_default() {
            self.recorders[instance].observe(self.record.as_ref());
            if let Some(blames) = self.record.as_ref().and_then(|record| record.blames.as_ref()) {
                self.fleet[instance].restore(blames, now);
            }
        }
        if now < self.started_at + ELECTION || !self.is_serving {
            return;
        }
        let Some((known, blames)) = self.recorders[0].due(&self.fleet[0], now) else {
            return;
        };
        assert_eq!(known, self.record.as_ref().map_or(0, |record| record.revision));
        self.outcome.writes += 1;
        self.record = Some(quarantine::Record { revision: known + 1, blames: Some(blames) });
        self.recorders[0].observe(self.record.as_ref());
        for instance in 1..self.fleet.len() {
            let heard_at = now.0 + STEP_MS * self.rng.random_range(5..50);
            self.told.entry(heard_at).or_default().push(instance);
        }
    }

    /// Returns the number of events in this step at a rate a second.
    fn events(&mut self, per_s: f64) -> usize {
        let expected = per_s * STEP_MS as f64 / 1_000.0;
        expected as usize + usize::from(self.rng.random_bool(expected.fract()))
    }

    fn finish_requests(&mut self, now: Millis) {
        let deadly: Vec<_> = self
            .in_flight
            .iter()
            .filter(|req| req.segments.contains(&DEADLY) && req.begins_at <= now)
            .map(|req| req.engine)
            .collect();
        for engine in deadly {
            if self.engines[engine].up_from <= now && !self.is_sound(now) {
                self.outcome.crashes.push(now);
                self.crash(engine, now);
            }
        }
        let (fleet, in_flight) = (&mut self.fleet, &mut self.in_flight);
        in_flight.retain(|req| {
            let is_answered = req.ends_at <= now;
            if is_answered {
                fleet[req.instance].record_answer(&req.segments, now);
            }
            // A request whose segment is put in quarantine leaves the queue of its engine.
            let is_withdrawn =
                now < req.begins_at && fleet[req.instance].blamed(&req.segments, now).is_some();
            !is_answered && !is_withdrawn
        });
    }

    /// Returns whether the deadly segment is still answered.
    fn is_sound(&self, now: Millis) -> bool {
        self.day.is_answered_before && now < Millis(2_000)
    }

    fn crash_for_other_reasons(&mut self, now: Millis) {
        for _ in 0..self.events(self.day.crashes_per_s) {
            let engine = self.rng.random_range(0..self.engines.len());
            self.crash(engine, now);
        }
        if self.day.loses_zones && now.0 % 5_000 == 2_000 {
            for engine in 0..self.engines.len() / 3 {
                self.crash(engine, now);
            }
        }
    }

    fn crash(&mut self, engine: usize, now: Millis) {
        if now < self.engines[engine].up_from {
            return;
        }
        let upstream = id::Upstream::new(&format!("e{engine}"));
        let started_at = self.engines[engine].starts;
        let incarnation = quarantine::Incarnation { upstream, started_at };
        self.engines[engine] = Engine { starts: started_at + 1, up_from: now + DOWN };
        let (broken, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition::<Vec<_>, _>(|req| req.engine == engine);
        self.in_flight = rest;
        for req in broken {
            let noticed_at = now.0 + STEP_MS * self.rng.random_range(1..5);
            let noticed = self.noticed.entry(noticed_at).or_default();
            noticed.push((req.instance, incarnation.clone(), req.segments));
        }
    }

    fn notice(&mut self, now: Millis) {
        for (instance, incarnation, segments) in self.noticed.remove(&now.0).unwrap_or_default() {
            self.fleet[instance].record_crash(&incarnation, &segments, now);
        }
    }

    /// Delivers reports, and lets each instance report to its relay, or to all in a small fleet.
    ///
    /// Instance `i` reports to relay `i % 8`; relays report to each other and to their instances.
    fn exchange_reports(&mut self, now: Millis) {
        for (instance, report) in self.reports.remove(&now.0).unwrap_or_default() {
            self.fleet[instance].merge(report, now);
        }
        let relays = 8.min(self.fleet.len());
        for instance in 0..self.fleet.len() {
            if !(now.0 + STEP_MS * instance as u64).is_multiple_of(REPORT_MS) {
                continue;
            }
            for (segment, _) in self.fleet[instance].update(now) {
                if segment != DEADLY {
                    self.outcome.wrongly_blamed.insert(segment);
                }
            }
            let Some(report) = self.fleet[instance].report(now) else {
                continue;
            };
            let receivers: Vec<_> = if instance < relays {
                let is_receiver = |other: &usize| {
                    *other != instance && (*other < relays || other % relays == instance)
                };
                (0..self.fleet.len()).filter(is_receiver).collect()
            } else {
                vec![instance % relays]
            };
            for receiver in receivers {
                let delay = STEP_MS * self.rng.random_range(1..6);
                let arriving = self.reports.entry(now.0 + delay).or_default();
                arriving.push((receiver, report.clone()));
            }
        }
    }

    fn send_requests(&mut self, now: Millis, is_deadly_sent: bool) {
        let sound = self.events(self.day.sound_per_s);
        let deadly = if is_deadly_sent { self.events(self.day.deadly_per_s) } else { 0 };
        for index in 0..sound + deadly {
            let is_deadly = index >= sound;
            let workspace = if is_deadly { 1 } else { self.rng.random_range(0..WORKSPACES) };
            let mut segments = vec![workspace];
            if is_deadly {
                segments.push(DEADLY);
            }
            // Few subjects are asked for often and most of them rarely.
            let rank: f64 = self.rng.random_range(0.0..1.0);
            segments.push(1_000 + (SUBJECTS as f64 * rank * rank) as u64);
            let instance = self.rng.random_range(0..self.fleet.len());
            let ledger = &mut self.fleet[instance];
            let is_admitted = ledger.admit(&segments, &self.ids[instance], &self.ids, now)
                == quarantine::Admission::Admitted;
            if !is_deadly && workspace == 1 {
                self.outcome.sound += 1;
                self.outcome.refused += usize::from(!is_admitted);
            }
            let up: Vec<_> =
                (0..self.engines.len()).filter(|e| self.engines[*e].up_from <= now).collect();
            if !is_admitted || up.is_empty() {
                continue;
            }
            if is_deadly {
                self.outcome.deadly_sent.push(now);
            }
            let engine = up[self.rng.random_range(0..up.len())];
            // One in twenty waits in the queue of an engine.
            let wait = if self.rng.random_bool(0.05) { 0..1_600 } else { 20..200 };
            let begins_at = now + Millis(self.rng.random_range(wait));
            let ends_at = begins_at + Millis(self.rng.random_range(60..120));
            self.in_flight.push(Request { instance, engine, segments, begins_at, ends_at });
        }
    }
}

impl Outcome {
    /// Returns how many requests with the deadly segment were sent too late.
    fn sent_late(&self) -> usize {
        let Some(last) = self.crashes.get(4).or(self.crashes.last()) else {
            return 0;
        };
        self.deadly_sent.iter().filter(|at| **at > *last + STABLE_WINDOW).count()
    }
}

/// Returns the number of seeds to simulate; large fleets take longer.
fn seeds(day: &Day) -> u64 {
    if day.instances > 10 { 1 } else { 4 }
}

/// Guards against a fleet that sends prompts with a segment that crashes engines to one engine after
/// the other, and against one that refuses the sound requests of the same workspace with them.
#[rstest]
#[case::three(Day { instances: 3, ..CALM })]
#[case::eight(CALM)]
#[case::eight_rare(Day { deadly_per_s: 0.3, ..CALM })]
#[case::eight_often(Day { deadly_per_s: 4.0, ..CALM })]
#[case::relays(Day { instances: 74, engines: 64, sound_per_s: 900.0, ..CALM })]
#[case::large(Day { instances: 295, engines: 128, sound_per_s: 1_500.0, ..CALM })]
#[case::large_often(
    Day { instances: 295, engines: 128, sound_per_s: 1_500.0, deadly_per_s: 8.0, ..CALM }
)]
#[case::answered_before(Day { is_answered_before: true, ..CALM })]
#[case::among_other_crashes(Day { crashes_per_s: 2.0, engines: 40, ..CALM })]
fn requests_that_crash_engines_are_kept_from_them(#[case] day: Day) {
    for seed in 0..seeds(&day) {
        let from = if day.is_answered_before { Millis(0) } else { Millis(3_000) };
        let outcome = Simulation::new(day, seed).run(from, Millis(25_000));
        let late = outcome.sent_late();
        assert!(outcome.crashes.len() <= 8, "seed {seed}: {} engines ended", outcome.crashes.len());
        assert!(!outcome.crashes.is_empty(), "seed {seed}: no engine ended");
        assert_eq!(late, 0, "seed {seed}: {late} requests sent late");
        assert!(outcome.sound > 500, "seed {seed}: {} sound requests", outcome.sound);
        assert!(
            outcome.refused * 20 <= outcome.sound,
            "seed {seed}: {} of {} sound requests refused",
            outcome.refused,
            outcome.sound
        );
        assert_eq!(outcome.wrongly_blamed, BTreeSet::new(), "seed {seed}");
    }
}

/// Guards against segments that are refused because their requests were in flight at engines that
/// ended for another reason.
#[rstest]
#[case::crashes(Day { crashes_per_s: 2.0, ..CALM })]
#[case::many_engines(Day { crashes_per_s: 4.0, engines: 40, ..CALM })]
#[case::zones(Day { loses_zones: true, engines: 40, ..CALM })]
#[case::zones_and_crashes(Day { loses_zones: true, crashes_per_s: 2.0, engines: 40, ..CALM })]
#[case::burst(Day { loses_zones: true, crashes_per_s: 1.0, sound_per_s: 2_000.0, ..CALM })]
#[case::relays(
    Day { instances: 74, engines: 64, crashes_per_s: 2.0, sound_per_s: 900.0, ..CALM }
)]
#[case::large(
    Day { instances: 295, engines: 128, crashes_per_s: 4.0, sound_per_s: 1_500.0, ..CALM }
)]
fn ordinary_crashes_put_nothing_in_quarantine(#[case] day: Day) {
    for seed in 0..seeds(&day) {
        let day = Day { deadly_per_s: 0.0, ..day };
        let outcome = Simulation::new(day, seed).run(Millis(0), Millis(25_000));
        assert_eq!(outcome.wrongly_blamed, BTreeSet::new(), "seed {seed}");
        assert_eq!(outcome.refused, 0, "seed {seed}");
    }
}

/// Guards against a fleet that forgets a segment that crashes engines when all of it is killed, and
/// against writes to the store for each crash, each start or each instance.
#[rstest]
#[case::eight(CALM, &[10_000])]
#[case::eight_twice(CALM, &[10_000, 20_000])]
#[case::eight_store_down(Day { store_outage: (9_000, 13_000), ..CALM }, &[10_000])]
#[case::relays(
    Day { instances: 74, engines: 64, sound_per_s: 900.0, ..CALM }, &[10_000, 20_000]
)]
#[case::large(
    Day { instances: 295, engines: 128, sound_per_s: 1_500.0, ..CALM }, &[10_000, 20_000]
)]
#[case::large_store_down(
    Day { instances: 295, engines: 128, sound_per_s: 1_500.0, store_outage: (9_000, 13_000), ..CALM },
    &[10_000]
)]
fn quarantine_survives_restarts_of_the_fleet(#[case] day: Day, #[case] kills: &'static [u64]) {
    for seed in 0..seeds(&day) {
        let day = Day { deadly_per_s: 3.0, kills, ..day };
        let outcome = Simulation::new(day, seed).run(Millis(3_000), Millis(28_000));
        let late = outcome.sent_late();
        assert!(late <= 3, "seed {seed}: {late} requests sent late");
        let crashes = outcome.crashes.len();
        assert!((3..=8).contains(&crashes), "seed {seed}: {crashes} engines ended");
        let starts = kills.len() * day.instances;
        let writes = outcome.writes;
        assert_eq!(writes, 1, "seed {seed}: writes after {crashes} crashes and {starts} starts");
    }
}

fn incarnation(number: u64) -> quarantine::Incarnation {
    quarantine::Incarnation { upstream: id::Upstream::new("e"), started_at: number }
}

/// Returns a ledger in which the deadly segment was blamed for three crashes, the last at 0.5 s.
fn blaming() -> quarantine::Ledger {
    let mut ledger = quarantine::Ledger::default();
    for (number, at) in [(1, 0), (2, 250), (3, 500)] {
        ledger.record_crash(&incarnation(number), &[1, DEADLY], Millis(at));
        ledger.record_answer(&[1], Millis(at + 100));
    }
    assert_eq!(ledger.update(Millis(1_000)).len(), 1);
    ledger
}

fn admits(ledger: &mut quarantine::Ledger, own: &str, at: Millis) -> bool {
    let ids: Vec<_> = ["a", "b", "c"].iter().map(|id| id::Instance::new(id)).collect();
    let admission = ledger.admit(&[1, DEADLY], &id::Instance::new(own), &ids, at);
    admission == quarantine::Admission::Admitted
}

/// Guards against an instance that has just started, or was cut off, and crashes engines that the
/// others spare.
#[test]
fn quarantine_reaches_instances_that_start_later() {
    let ledger = blaming();
    let mut late = quarantine::Ledger::default();
    let now = Millis(30_000);
    late.merge(ledger.report(now).unwrap(), now);
    assert_eq!(late.update(now).len(), 1);
    assert_eq!(late.blamed(&[1, DEADLY], now), Some(&DEADLY));
    assert_eq!(late.blamed(&[1, 2], now), None);
}

/// Guards against a fleet that tests a segment with many requests at once after its quarantine, and
/// against a quarantine that never ends although the segment is sound again.
#[test]
fn one_instance_tests_a_segment_after_its_quarantine() {
    let mut ledger = blaming();
    assert!(["a", "b", "c"].iter().all(|own| !admits(&mut ledger, own, Millis(60_000))));
    let mut sent = 0;
    for ms in (61_000..70_000).step_by(100) {
        for own in ["a", "b", "c"] {
            let mut other = blaming();
            // Each instance has its own ledger; only the one that tests keeps this one.
            let is_tester = admits(&mut other, own, Millis(61_000));
            sent += usize::from(is_tester && admits(&mut ledger, own, Millis(ms)));
        }
    }
    assert_eq!(sent, 1);
    ledger.record_answer(&[1, DEADLY], Millis(70_000));
    assert!(["a", "b", "c"].iter().all(|own| admits(&mut ledger, own, Millis(70_000))));
}

/// Guards against a segment that is still deadly when it is tested and then reaches more engines.
#[test]
fn crash_in_a_test_extends_the_quarantine() {
    let mut ledger = blaming();
    ledger.record_crash(&incarnation(4), &[1, DEADLY], Millis(61_000));
    ledger.update(Millis(61_000));
    assert!(["a", "b", "c"].iter().all(|own| !admits(&mut ledger, own, Millis(170_000))));
}

/// Guards against a repeat that takes down a second engine before the segment is blamed.
#[test]
fn requests_with_suspect_segments_are_not_repeated() {
    let mut ledger = quarantine::Ledger::default();
    ledger.record_answer(&[1, 2], Millis(0));
    assert!(ledger.may_repeat(&[1, 2]));
    assert!(!ledger.may_repeat(&[1, 3]), "no answer on the second segment is known");
    ledger.record_crash(&incarnation(1), &[1, 2], Millis(5_000));
    assert!(!ledger.may_repeat(&[1, 2]));
    ledger.record_answer(&[1, 2], Millis(6_000));
    assert!(ledger.may_repeat(&[1, 2]));
}

/// Guards against records that grow without limit, and against reports between instances that
/// exceed the size of a message.
#[test]
fn memory_and_reports_are_bounded() {
    let mut ledger = quarantine::Ledger::default();
    for number in 0..2_000 {
        let now = Millis(number * 20);
        let segments: Vec<_> = (0..200).map(|index| number * 200 + index).collect();
        ledger.record_crash(&incarnation(number), &segments, now);
        ledger.update(now);
    }
    let report = ledger.report(Millis(40_000)).unwrap();
    let candidates: usize = report.crashes.iter().map(|(_, crash)| crash.candidates.len()).sum();
    assert!(report.crashes.len() <= 64 && candidates <= 64 * 64, "{candidates} candidates");
    assert!(report.blames.is_empty());
}
