//! Tests of at-most-once execution over interleavings of losses, pauses, crashes and late writes.

use damaskdrift_core::code;
use damaskdrift_core::id;
use damaskdrift_core::idempotency::{
    self, Answer, Answered, Attempt, BodyHash, Call, Claim, Claimed, Record, Recording, Release,
    Releasing, Repeat, Sent, State, Stored, Ticket, Unclaimed, Written,
};
use damaskdrift_core::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ATTEMPTS: usize = 4;
const STEPS: usize = 120;

/// A conditional write on its way to the store.
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
    Answered(Call<Answered>),
    Releasing(Release),
    Over,
}

struct World {
    rng: ChaCha8Rng,
    now: Millis,
    store: Store,
    late: Vec<Write>,
    sends: Vec<(usize, Millis)>,
    replays: Vec<Answer>,
}

impl Store {
    fn read(&mut self, now: Millis) -> Option<Stored<'_>> {
        if self.entry.as_ref().is_some_and(|(_, _, end)| *end <= now) {
            self.entry = None;
        }
        self.entry.as_ref().map(|(revision, value, _)| Stored { revision: *revision, value })
    }

    fn apply(&mut self, write: &Write, now: Millis) -> Written<'_> {
        let present = self.read(now).map_or(id::Revision(0), |stored| stored.revision);
        if present != write.expected {
            return Written::Conflict(self.read(now));
        }
        self.counter += 1;
        let revision = id::Revision(self.counter);
        self.entry = Some((revision, write.value.clone(), now + idempotency::RETENTION));
        Written::Done(revision)
    }
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(1_000),
            store: Store::default(),
            late: Vec::new(),
            sends: Vec::new(),
            replays: Vec::new(),
        }
    }

    /// Writes with a fault drawn at random: the write or its answer is lost, late or refused.
    fn write(&mut self, write: Write) -> Written<'_> {
        match self.rng.random_range(0..8) {
            0 => Written::Refused,
            1 => Written::Lost,
            2 => {
                self.late.push(write);
                Written::Lost
            }
            3 => {
                self.store.apply(&write, self.now);
                Written::Lost
            }
            _ => self.store.apply(&write, self.now),
        }
    }

    fn pass_time(&mut self) {
        let span = match self.rng.random_range(0..60) {
            0 => 25 * 60 * 60 * 1_000,
            1..5 => 70_000,
            _ => self.rng.random_range(0..2_000),
        };
        self.now = self.now + Millis(span);
    }

    fn deliver_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.late.len());
        let write = self.late.swap_remove(i);
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
                0 => Phase::Answered(call.broken("connection broke")),
                _ => Phase::Answered(call.answered(answer(attempt))),
            },
            Phase::Answered(call) => {
                let write = Write { expected: call.expected(), value: call.record().encode() };
                match call.on_written(self.write(write)) {
                    Recording::Done => Phase::Over,
                    Recording::Retry(call) => Phase::Answered(call),
                    Recording::Superseded => Phase::Over,
                }
            }
            Phase::Releasing(release) => {
                let write =
                    Write { expected: release.expected(), value: release.record().encode() };
                match release.on_written(self.write(write)) {
                    Releasing::Done => Phase::Over,
                    Releasing::Retry(release) => Phase::Releasing(release),
                }
            }
            Phase::Over => Phase::Over,
        }
    }

    fn claim(&mut self, attempt: usize, call: Call<Unclaimed>) -> Phase {
        if self.rng.random_range(0..10) == 0 {
            // The caller is told not-run.
            assert!(!self.has_sent(attempt));
            return call.abandon().map_or(Phase::Over, Phase::Releasing);
        }
        let asked = self.now;
        let write = Write { expected: call.expected(), value: call.record().encode() };
        match call.on_written(self.write(write), asked) {
            Claim::Won(call) => Phase::Claimed(call),
            Claim::Write(call) => Phase::Unclaimed(call),
            Claim::Wait(call, _) => {
                let now = self.now;
                match call.on_observed(self.store.read(now)) {
                    Claim::Write(call) | Claim::Wait(call, _) => Phase::Unclaimed(call),
                    Claim::Won(call) => Phase::Claimed(call),
                    Claim::Repeat(repeat) => self.repeat(repeat),
                }
            }
            Claim::Repeat(repeat) => self.repeat(repeat),
        }
    }

    fn repeat(&mut self, repeat: Repeat) -> Phase {
        if let Repeat::Replay(answer) = repeat {
            self.replays.push(answer);
        }
        Phase::Over
    }

    fn send(&mut self, attempt: usize, call: Call<Claimed>) -> Phase {
        if self.rng.random_range(0..6) == 0 {
            return self.release(call);
        }
        match call.send(self.now) {
            Ok(call) if self.rng.random_range(0..5) == 0 => Phase::Claimed(call.unsent()),
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

/// Time within which a key runs at most once.
fn window() -> Millis {
    idempotency::RETENTION - idempotency::SEND_WITHIN
}

fn ticket(attempt: usize) -> Ticket {
    Ticket {
        attempt: Attempt::new(&format!("attempt-{attempt}")),
        instance: id::Instance::new("i1"),
        body_hash: BodyHash::new(&id::Service::new("ledger"), "POST", "/release", b"lot 7"),
    }
}

fn answer(attempt: usize) -> Answer {
    let headers = vec![("x-lot".to_owned(), vec![b'7', 0xe9, 0xff])];
    Answer { status: 201, headers, body: format!("run by {attempt}\n\0").into_bytes() }
}

fn run(seed: u64) -> World {
    let mut world = World::new(seed);
    let start = |attempt| Phase::Unclaimed(Call::new(ticket(attempt)));
    let mut phases: Vec<_> = (0..ATTEMPTS).map(start).collect();
    for _ in 0..STEPS {
        world.pass_time();
        if world.rng.random_range(0..4) == 0 {
            world.deliver_late();
        }
        let attempt = world.rng.random_range(0..ATTEMPTS);
        let phase = std::mem::replace(&mut phases[attempt], Phase::Over);
        // A crash forgets all that the attempt knew.
        let is_crash = world.rng.random_range(0..40) == 0;
        phases[attempt] = if is_crash { Phase::Over } else { world.step(attempt, phase) };
    }
    world
}

// Guards against a second run of a call, a false not-run, and a replay that differs from the answer.
#[rstest]
#[case::seeds_0(0)]
#[case::seeds_10000(10_000)]
#[case::seeds_20000(20_000)]
fn a_key_runs_at_most_once(#[case] first_seed: u64) {
    let (mut runs, mut replays) = (0, 0);
    for seed in first_seed..first_seed + 10_000 {
        let world = run(seed);
        for pair in world.sends.windows(2) {
            let apart = pair[1].1.since(pair[0].1);
            assert!(apart >= window(), "seed {seed}: runs {apart} apart");
        }
        for replay in &world.replays {
            let is_from_run = world.sends.iter().any(|(attempt, _)| *replay == answer(*attempt));
            assert!(is_from_run, "seed {seed}: replay of an answer that no run gave");
        }
        runs += world.sends.len();
        replays += world.replays.len();
    }
    assert!(runs > 5_000 && replays > 500, "{runs} runs and {replays} replays exercise too little");
}

// Guards against a wrong answer to a key that was used before.
#[rstest]
#[case::answered(State::Answered(answer(9)), Some(Repeat::Replay(answer(9))))]
#[case::too_large(State::UnknownBody { status: 200 }, Some(Repeat::NotKept { status: 200 }))]
#[case::broken(State::Unknown { reason: "cut".into() }, Some(Repeat::Unknown { reason: "cut".into() }))]
#[case::claimed(State::Claimed, None)]
fn a_used_key_decides_the_answer(#[case] state: State, #[case] want: Option<Repeat>) {
    let Ticket { attempt, instance, body_hash } = ticket(9);
    let value = Record { attempt, instance, body_hash, state }.encode();
    let stored = Stored { revision: id::Revision(5), value: &value };
    let same = Call::new(ticket(1)).on_written(Written::Conflict(Some(stored)), Millis(0));
    match (same, want) {
        (Claim::Repeat(repeat), Some(want)) => assert_eq!(repeat, want),
        (Claim::Wait(_, revision), None) => assert_eq!(revision, id::Revision(5)),
        (other, _) => panic!("unexpected {other:?}"),
    }
    let other = Ticket {
        body_hash: BodyHash::new(&id::Service::new("ledger"), "POST", "/release", b"lot 8"),
        ..ticket(1)
    };
    let other = Call::new(other).on_written(Written::Conflict(Some(stored)), Millis(0));
    assert!(matches!(other, Claim::Repeat(Repeat::KeyReused)));
}

// Guards against a record that exceeds what the key-value service holds.
#[rstest]
#[case::body(idempotency::MAX_BODY_BYTES, 0, true)]
#[case::larger_body(idempotency::MAX_BODY_BYTES + 1, 0, false)]
#[case::headers(idempotency::MAX_BODY_BYTES, idempotency::MAX_HEADER_BYTES - 1, true)]
#[case::larger_headers(0, idempotency::MAX_HEADER_BYTES, false)]
fn a_record_fits_into_a_value(#[case] body: usize, #[case] header: usize, #[case] is_kept: bool) {
    let Claim::Won(call) =
        Call::new(ticket(1)).on_written(Written::Done(id::Revision(1)), Millis(0))
    else {
        panic!("the write was done");
    };
    let headers = vec![("x".to_owned(), vec![0; header])];
    let answer = Answer { status: 200, headers, body: vec![b'x'; body] };
    let record = call.send(Millis(0)).expect("no time has passed").answered(answer).record();
    assert_eq!(matches!(record.state, State::Answered(_)), is_kept);
    assert!(record.encode().len() < 1_000_000);
}

// Guards against a key that stays claimed for a day by an attempt that gave up, whether its claim
// took effect before the release or arrives after it.
#[rstest]
#[case::landed(true)]
#[case::late(false)]
fn an_abandoned_claim_frees_the_key(#[case] landed: bool) {
    let mut store = Store::default();
    let call = Call::new(ticket(1));
    let claim = Write { expected: call.expected(), value: call.record().encode() };
    if landed {
        store.apply(&claim, Millis(0));
    }
    let Claim::Write(call) = call.on_written(Written::Lost, Millis(0)) else {
        panic!("a lost write is repeated");
    };
    let mut release = call.abandon().expect("the claim may have taken effect");
    loop {
        let write = Write { expected: release.expected(), value: release.record().encode() };
        match release.on_written(store.apply(&write, Millis(0))) {
            Releasing::Done => break,
            Releasing::Retry(again) => release = again,
        }
    }
    store.apply(&claim, Millis(0));
    let mut call = Call::new(ticket(2));
    for _ in 0..2 {
        let write = Write { expected: call.expected(), value: call.record().encode() };
        match call.on_written(store.apply(&write, Millis(0)), Millis(0)) {
            Claim::Won(_) => return,
            Claim::Write(again) => call = again,
            other => panic!("unexpected {other:?}"),
        }
    }
    panic!("the key is still claimed");
}
