//! Tests of at-most-once execution under random lost writes, pauses, crashes and delayed writes.

use damaskdrift_core::code;
use damaskdrift_core::id;
use damaskdrift_core::idempotency::{
    self, AttemptId, BodyHash, Call, CallAttempt, ClaimStep, Claimed, Duplicate, Record,
    RecordStep, Release, ReleaseStep, Resolved, Response, Sent, State, Stored, Unclaimed,
    WriteOutcome,
};
use damaskdrift_core::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ATTEMPTS: usize = 4;
const STEPS: usize = 120;

/// A conditional write that has been sent to the store.
#[derive(Clone)]
struct Write {
    expected: id::Revision,
    value: Vec<u8>,
}

#[derive(Default)]
struct Store {
    entry: Option<(id::Revision, Vec<u8>, Millis)>,
    counter: u64,
}

enum Phase {
    Unclaimed(Call<Unclaimed>),
    Claimed(Call<Claimed>),
    Sent(Call<Sent>),
    Resolved(Call<Resolved>),
    Releasing(Release),
    Ended,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Millis,
    store: Store,
    delayed: Vec<Write>,
    sends: Vec<(usize, Millis)>,
    replays: Vec<Response>,
}

impl Store {
    fn read(&mut self, now: Millis) -> Option<Stored<'_>> {
        if self.entry.as_ref().is_some_and(|(_, _, end)| *end <= now) {
            self.entry = None;
        }
        self.entry.as_ref().map(|(revision, value, _)| Stored { revision: *revision, value })
    }

    fn apply(&mut self, write: &Write, now: Millis) -> WriteOutcome<'_> {
        let current = self.read(now).map_or(id::Revision(0), |stored| stored.revision);
        if current != write.expected {
            return WriteOutcome::Conflict(self.read(now));
        }
        self.counter += 1;
        let revision = id::Revision(self.counter);
        self.entry = Some((revision, write.value.clone(), now + idempotency::RETENTION));
        WriteOutcome::Done(revision)
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(1_000),
            store: Store::default(),
            delayed: Vec::new(),
            sends: Vec::new(),
            replays: Vec::new(),
        }
    }

    /// Writes with a random fault: the write is refused, lost or delayed, or its response is lost.
    fn write(&mut self, write: Write) -> WriteOutcome<'_> {
        match self.rng.random_range(0..8) {
            0 => WriteOutcome::Refused,
            1 => WriteOutcome::Lost,
            2 => {
                self.delayed.push(write);
                WriteOutcome::Lost
            }
            3 => {
                self.store.apply(&write, self.now);
                WriteOutcome::Lost
            }
            _ => self.store.apply(&write, self.now),
        }
    }

    fn advance_time(&mut self) {
        let duration = match self.rng.random_range(0..60) {
            0 => 25 * 60 * 60 * 1_000,
            1..5 => 70_000,
            _ => self.rng.random_range(0..2_000),
        };
        self.now = self.now + Millis(duration);
    }

    fn deliver_delayed(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.delayed.len());
        let write = self.delayed.swap_remove(i);
        self.store.apply(&write, self.now);
    }

    fn has_sent(&self, attempt: usize) -> bool {
        self.sends.iter().any(|(other, _)| *other == attempt)
    }

    fn step(&mut self, attempt: usize, phase: Phase) -> Phase {
        match phase {
            Phase::Unclaimed(call) => self.claim(attempt, call),
            Phase::Claimed(call) => self.send(attempt, call),
            Phase::Sent(call) => match self.rng.random_range(0..3) {
                0 => Phase::Resolved(call.outcome_unknown("connection broke")),
                _ => Phase::Resolved(call.completed(response(attempt))),
            },
            Phase::Resolved(call) => {
                let write = Write { expected: call.expected(), value: call.record().encode() };
                match call.on_written(self.write(write)) {
                    RecordStep::Done => Phase::Ended,
                    RecordStep::Retry(call) => Phase::Resolved(call),
                    RecordStep::Superseded => Phase::Ended,
                }
            }
            Phase::Releasing(release) => {
                let write =
                    Write { expected: release.expected(), value: release.record().encode() };
                match release.on_written(self.write(write)) {
                    ReleaseStep::Done => Phase::Ended,
                    ReleaseStep::Retry(release) => Phase::Releasing(release),
                }
            }
            Phase::Ended => Phase::Ended,
        }
    }

    fn claim(&mut self, attempt: usize, call: Call<Unclaimed>) -> Phase {
        if self.rng.random_range(0..10) == 0 {
            // The caller receives the outcome not-run.
            assert!(!self.has_sent(attempt));
            return call.abandon().map_or(Phase::Ended, Phase::Releasing);
        }
        let requested_at = self.now;
        let write = Write { expected: call.expected(), value: call.record().encode() };
        match call.on_written(self.write(write), requested_at) {
            ClaimStep::Claimed(call) => Phase::Claimed(call),
            ClaimStep::Write(call) => Phase::Unclaimed(call),
            ClaimStep::Wait(call, _) => {
                let now = self.now;
                match call.on_read(self.store.read(now)) {
                    ClaimStep::Write(call) | ClaimStep::Wait(call, _) => Phase::Unclaimed(call),
                    ClaimStep::Claimed(call) => Phase::Claimed(call),
                    ClaimStep::Duplicate(duplicate) => self.record_duplicate(duplicate),
                }
            }
            ClaimStep::Duplicate(duplicate) => self.record_duplicate(duplicate),
        }
    }

    fn record_duplicate(&mut self, duplicate: Duplicate) -> Phase {
        if let Duplicate::Replay(response) = duplicate {
            self.replays.push(response);
        }
        Phase::Ended
    }

    fn send(&mut self, attempt: usize, call: Call<Claimed>) -> Phase {
        if self.rng.random_range(0..6) == 0 {
            return self.release(call);
        }
        match call.send(self.now) {
            Ok(call) if self.rng.random_range(0..5) == 0 => Phase::Claimed(call.into_unsent()),
            Ok(call) => {
                self.sends.push((attempt, self.now));
                Phase::Sent(call)
            }
            Err(call) => self.release(call),
        }
    }

    fn release(&mut self, call: Call<Claimed>) -> Phase {
        let (release, outcome) = call.release(self.now);
        let has_run = self.sends.iter().any(|(_, at)| self.now.since(*at) < window());
        assert!(outcome != code::Outcome::NotRun || !has_run, "not-run, but the key has run");
        Phase::Releasing(release)
    }
}

/// Time window within which a key runs at most once.
fn window() -> Millis {
    idempotency::RETENTION - idempotency::MAX_CLAIM_AGE
}

fn call_attempt(attempt: usize) -> CallAttempt {
    CallAttempt {
        attempt: AttemptId::new(&format!("attempt-{attempt}")),
        instance: id::Instance::new("i1"),
        body_hash: BodyHash::new(&id::Service::new("ledger"), "POST", "/release", b"lot 7"),
    }
}

fn response(attempt: usize) -> Response {
    let headers = vec![("x-lot".to_owned(), vec![b'7', 0xe9, 0xff])];
    Response { status: 201, headers, body: format!("run by {attempt}\n\0").into_bytes() }
}

fn run(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    let start = |attempt| Phase::Unclaimed(Call::new(call_attempt(attempt)));
    let mut phases: Vec<_> = (0..ATTEMPTS).map(start).collect();
    for _ in 0..STEPS {
        sim.advance_time();
        if sim.rng.random_range(0..4) == 0 {
            sim.deliver_delayed();
        }
        let attempt = sim.rng.random_range(0..ATTEMPTS);
        let phase = std::mem::replace(&mut phases[attempt], Phase::Ended);
        // A crash loses the state of the attempt.
        let is_crash = sim.rng.random_range(0..40) == 0;
        phases[attempt] = if is_crash { Phase::Ended } else { sim.step(attempt, phase) };
    }
    sim
}

// Guards against a second run of a call, a false not-run, and a replay that differs from the
// response.
#[rstest]
#[case::seeds_0(0)]
#[case::seeds_10000(10_000)]
#[case::seeds_20000(20_000)]
fn key_runs_at_most_once(#[case] first_seed: u64) {
    let (mut runs, mut replays) = (0, 0);
    for seed in first_seed..first_seed + 10_000 {
        let sim = run(seed);
        for pair in sim.sends.windows(2) {
            let apart = pair[1].1.since(pair[0].1);
            assert!(apart >= window(), "seed {seed}: runs {apart} apart");
        }
        for replay in &sim.replays {
            let is_from_run = sim.sends.iter().any(|(attempt, _)| *replay == response(*attempt));
            assert!(is_from_run, "seed {seed}: replayed response that no run returned");
        }
        runs += sim.sends.len();
        replays += sim.replays.len();
    }
    assert!(runs > 5_000 && replays > 500, "too few cases: {runs} runs and {replays} replays");
}

// Guards against a wrong response to a call whose key was used before.
#[rstest]
#[case::completed(State::Completed(response(9)), Some(Duplicate::Replay(response(9))))]
#[case::too_large(State::BodyNotRecorded { status: 200 }, Some(Duplicate::BodyNotRecorded { status: 200 }))]
#[case::outcome_unknown(State::Unknown { reason: "cut".into() }, Some(Duplicate::Unknown { reason: "cut".into() }))]
#[case::claimed(State::Claimed, None)]
fn duplicate_gets_the_recorded_outcome(#[case] state: State, #[case] want: Option<Duplicate>) {
    let CallAttempt { attempt, instance, body_hash } = call_attempt(9);
    let value = Record { attempt, instance, body_hash, state }.encode();
    let stored = Stored { revision: id::Revision(5), value: &value };
    let same =
        Call::new(call_attempt(1)).on_written(WriteOutcome::Conflict(Some(stored)), Millis(0));
    match (same, want) {
        (ClaimStep::Duplicate(duplicate), Some(want)) => assert_eq!(duplicate, want),
        (ClaimStep::Wait(_, revision), None) => assert_eq!(revision, id::Revision(5)),
        (other, _) => panic!("unexpected {other:?}"),
    }
    let other = CallAttempt {
        body_hash: BodyHash::new(&id::Service::new("ledger"), "POST", "/release", b"lot 8"),
        ..call_attempt(1)
    };
    let other = Call::new(other).on_written(WriteOutcome::Conflict(Some(stored)), Millis(0));
    assert!(matches!(other, ClaimStep::Duplicate(Duplicate::KeyReused)));
}

// Guards against a record that exceeds the size limit of values in the key-value service.
#[rstest]
#[case::body(idempotency::MAX_BODY_BYTES, 0, true)]
#[case::larger_body(idempotency::MAX_BODY_BYTES + 1, 0, false)]
#[case::headers(idempotency::MAX_BODY_BYTES, idempotency::MAX_HEADER_BYTES - 1, true)]
#[case::larger_headers(0, idempotency::MAX_HEADER_BYTES, false)]
fn record_fits_into_a_value(#[case] body: usize, #[case] header: usize, #[case] is_recorded: bool) {
    let ClaimStep::Claimed(call) =
        Call::new(call_attempt(1)).on_written(WriteOutcome::Done(id::Revision(1)), Millis(0))
    else {
        panic!("a completed write must claim the key");
    };
    let headers = vec![("x".to_owned(), vec![0; header])];
    let response = Response { status: 200, headers, body: vec![b'x'; body] };
    let record = call.send(Millis(0)).expect("no time has passed").completed(response).record();
    assert_eq!(matches!(record.state, State::Completed(_)), is_recorded);
    assert!(record.encode().len() < 1_000_000);
}

// Guards against a key that stays claimed for a day by an abandoned attempt, whether its claim
// takes effect before the release or arrives after it.
#[rstest]
#[case::written(true)]
#[case::delayed(false)]
fn abandoned_claim_frees_the_key(#[case] is_written: bool) {
    let mut store = Store::default();
    let call = Call::new(call_attempt(1));
    let claim = Write { expected: call.expected(), value: call.record().encode() };
    if is_written {
        store.apply(&claim, Millis(0));
    }
    let ClaimStep::Write(call) = call.on_written(WriteOutcome::Lost, Millis(0)) else {
        panic!("a lost write must be retried");
    };
    let mut release = call.abandon().expect("the claim may have taken effect");
    loop {
        let write = Write { expected: release.expected(), value: release.record().encode() };
        match release.on_written(store.apply(&write, Millis(0))) {
            ReleaseStep::Done => break,
            ReleaseStep::Retry(again) => release = again,
        }
    }
    store.apply(&claim, Millis(0));
    let mut call = Call::new(call_attempt(2));
    for _ in 0..2 {
        let write = Write { expected: call.expected(), value: call.record().encode() };
        match call.on_written(store.apply(&write, Millis(0)), Millis(0)) {
            ClaimStep::Claimed(_) => return,
            ClaimStep::Write(again) => call = again,
            other => panic!("unexpected {other:?}"),
        }
    }
    panic!("the key is still claimed");
}
