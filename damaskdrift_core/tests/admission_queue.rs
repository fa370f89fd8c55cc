//! Tests of the queue of prompts that wait for room, in a fleet that shares engines in virtual time.
//!
//! An engine prefills one prompt after another, by rank. An instance knows its own prompts, and those of others
//! as of the last report.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::{BTreeMap, VecDeque};

use damaskdrift_core::admission_queue;
use damaskdrift_core::admission_queue::{
    Capacity, Position, Queue, Reason, Request, Returns, WakeUp,
};
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const TICK_MS: u64 = 10;
const REPORT_MS: u64 = 100;
/// Work at an engine beyond which it has no room.
const ROOM_MS: f64 = 350.0;
/// Load before and after the burst, as a part of what the engines work off.
const CALM: f64 = 0.5;
const BURST_FROM: u64 = 2_000;
const BURST_TO: u64 = 8_000;
const END: u64 = 13_000;
/// Time after which a fleet avoids silent engines.
const SILENCE_MS: u64 = 700;
const SHORT: Kind = Kind { rank: 0, tokens: 383, engine_ms: 26, target_ms: 500 };
const LONG: Kind = Kind { rank: 2, tokens: 17_060, engine_ms: 304, target_ms: 1_500 };

#[derive(Clone, Copy, Debug)]
struct Kind {
    rank: u8,
    tokens: u64,
    engine_ms: u64,
    target_ms: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    FirstCome,
    Queue,
}

/// The load of a test, as parts of what the engines work off.
#[derive(Clone, Copy, Debug)]
struct Load {
    short: f64,
    long: f64,
    /// Whether the burst is a wave that reaches the failure domains one after another.
    is_wave: bool,
    /// Part of the requests that come from one workspace; the others come from nine.
    large_workspace: f64,
    is_quarter_silent: bool,
}

const LONG_BURST: Load =
    Load { short: 0.1, long: 2.4, is_wave: false, large_workspace: 0.1, is_quarter_silent: false };
const SHORT_BURST: Load = Load { short: 2.0, long: 0.5, ..LONG_BURST };
const WAVE: Load = Load { short: 0.2, long: 2.3, is_wave: true, ..LONG_BURST };
const LARGE_WORKSPACE: Load = Load { short: 0.0, long: 2.5, large_workspace: 0.5, ..LONG_BURST };
const TWOFOLD: Load = Load { short: 0.2, long: 1.8, ..LONG_BURST };
const FOURFOLD: Load = Load { short: 0.4, long: 3.6, ..LONG_BURST };
const SILENT: Load = Load { is_quarter_silent: true, ..LONG_BURST };

#[derive(Clone, Copy, Debug)]
struct Prompt {
    kind: Kind,
    workspace: usize,
    arrived: u64,
}

#[derive(Default)]
struct Instance {
    queue: Queue,
    waiting: BTreeMap<Position, Prompt>,
    in_order: VecDeque<Prompt>,
    /// Work sent to each engine since the last report.
    sent: Vec<f64>,
    /// Work at each engine as of the last report.
    reported: Vec<f64>,
}

/// An engine, which prefills one prompt at a time.
#[derive(Default)]
struct Engine {
    /// The prompt that is prefilled and the time of its first chunk, with the sending instance.
    running: Option<(u64, usize, Prompt)>,
    waiting: BTreeMap<(u8, u64), (usize, Prompt)>,
    waiting_ms: u64,
}

impl Engine {
    /// Returns the work that is left.
    fn pending_ms(&self, now: u64) -> f64 {
        let running = self.running.map_or(0, |(until, ..)| until.saturating_sub(now));
        (running + self.waiting_ms) as f64
    }

    /// Returns the next prompt whose first chunk is due.
    fn finish(&mut self, now: u64) -> Option<(u64, usize, Prompt)> {
        let ended = self.running.take_if(|(until, ..)| *until <= now);
        if self.running.is_none()
            && let Some((_, (index, prompt))) = self.waiting.pop_first()
        {
            self.waiting_ms -= prompt.kind.engine_ms;
            let from = ended.map_or(now - TICK_MS, |(until, ..)| until);
            self.running = Some((from + prompt.kind.engine_ms, index, prompt));
        }
        ended
    }
}

/// Results of the requests that arrived in a time.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    useful: u32,
}

struct Fleet {
    policy: Policy,
    load: Load,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    /// Number of prompts that were sent.
    sent: u64,
    during: BTreeMap<(u8, bool), Tally>,
    after: Tally,
    /// Engine time of the prompts whose first chunk came in the burst, and of those in time.
    worked_ms: u64,
    useful_ms: u64,
    rng: ChaCha8Rng,
    now: u64,
}

impl Fleet {
    fn run(policy: Policy, load: Load, instances: usize) -> Self {
        let engines = instances + 2;
        let mut fleet = Self {
            policy,
            load,
            instances: (0..instances).map(|_| Instance::default()).collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            sent: 0,
            during: BTreeMap::new(),
            after: Tally::default(),
            worked_ms: 0,
            useful_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
            now: 0,
        };
        for instance in &mut fleet.instances {
            instance.sent = vec![0.0; engines];
            instance.reported = vec![0.0; engines];
        }
        while fleet.now < END {
            fleet.step();
        }
        fleet
    }

    fn is_burst(&self) -> bool {
        (BURST_FROM..BURST_TO).contains(&self.now)
    }

    fn is_silent(&self, engine: usize) -> bool {
        self.load.is_quarter_silent && self.now >= BURST_FROM && engine.is_multiple_of(4)
    }

    fn working(&self) -> usize {
        (0..self.engines.len()).filter(|engine| !self.is_silent(*engine)).count()
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        // Reports reach the instances at different times.
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if (self.now + index as u64 * TICK_MS).is_multiple_of(REPORT_MS) {
                for (reported, engine) in instance.reported.iter_mut().zip(&self.engines) {
                    *reported = engine.pending_ms(self.now);
                }
                instance.sent.fill(0.0);
            }
        }
        self.finish();
        for index in 0..self.instances.len() {
            let capacity = self.capacity(index);
            self.instances[index].queue.set_capacity(capacity);
        }
        self.arrive();
        for index in 0..self.instances.len() {
            match self.policy {
                Policy::Queue => self.wake(index),
                Policy::FirstCome => self.poll(index),
            }
        }
    }

    fn capacity(&self, index: usize) -> Capacity {
        let count = |count: usize| u32::try_from(count).unwrap();
        let with_room = (0..self.engines.len()).filter(|engine| self.has_room(index, *engine));
        Capacity {
            upstreams: count(self.working()),
            with_room: count(with_room.count()),
            slots: 12,
            kv_cache_tokens: 400_000,
            instances: count(self.instances.len()),
        }
    }

    /// Returns whether an engine has room as far as an instance knows.
    fn has_room(&self, index: usize, engine: usize) -> bool {
        let is_known = self.now >= BURST_FROM + SILENCE_MS;
        let instance = &self.instances[index];
        instance.reported[engine] + instance.sent[engine] < ROOM_MS
            && !(is_known && self.is_silent(engine))
    }

    fn finish(&mut self) {
        for engine in 0..self.engines.len() {
            if self.is_silent(engine) {
                continue;
            }
            while let Some((at, index, prompt)) = self.engines[engine].finish(self.now) {
                self.end(at, index, prompt);
            }
        }
    }

    fn end(&mut self, at: u64, index: usize, prompt: Prompt) {
        self.instances[index].queue.record_freed(Millis(at - prompt.arrived));
        let is_useful = at <= prompt.arrived + 2 * prompt.kind.target_ms;
        if (BURST_FROM..BURST_TO).contains(&at) {
            self.worked_ms += prompt.kind.engine_ms;
            self.useful_ms += if is_useful { prompt.kind.engine_ms } else { 0 };
        }
        if is_useful && let Some(tally) = self.tally(prompt) {
            tally.useful += 1;
        }
    }

    fn tally(&mut self, prompt: Prompt) -> Option<&mut Tally> {
        if (BURST_FROM..BURST_TO).contains(&prompt.arrived) {
            return Some(self.during.entry((prompt.kind.rank, prompt.workspace == 0)).or_default());
        }
        let is_after = (BURST_TO + 2_000..END - 1_000).contains(&prompt.arrived);
        is_after.then_some(&mut self.after)
    }

    fn arrive(&mut self) {
        for index in 0..self.instances.len() {
            for (kind, burst) in [(SHORT, self.load.short), (LONG, self.load.long)] {
                let whole = self.load.short + self.load.long;
                let mut load = burst * CALM / whole;
                if self.is_burst() {
                    // The domains have their peaks at different times, with the same sum.
                    let phase = (self.now - BURST_FROM) / 1_000 + index as u64 % 3;
                    let factor = if phase.is_multiple_of(3) { 2.6 } else { 0.2 };
                    load = if self.load.is_wave { burst * factor } else { burst };
                }
                let per_tick = load * (TICK_MS * self.engines.len() as u64) as f64
                    / (kind.engine_ms * self.instances.len() as u64) as f64;
                let mut count = per_tick as u32;
                count += u32::from(self.rng.random_bool(per_tick.fract()));
                for _ in 0..count {
                    let is_large = self.rng.random_bool(self.load.large_workspace);
                    let workspace = if is_large { 0 } else { self.rng.random_range(1..10) };
                    let prompt = Prompt { kind, workspace, arrived: self.now };
                    if let Some(tally) = self.tally(prompt) {
                        tally.arrived += 1;
                    }
                    self.admit_or_queue(index, prompt);
                }
            }
        }
    }

    fn admit_or_queue(&mut self, index: usize, prompt: Prompt) {
        let instance = &self.instances[index];
        let now = Millis(self.now);
        let is_waiting = instance.queue.is_overloaded(now) || !instance.in_order.is_empty();
        if !is_waiting && self.send(index, prompt) {
            return;
        }
        let instance = &mut self.instances[index];
        if self.policy == Policy::FirstCome {
            if instance.in_order.len() < 64 {
                instance.in_order.push_back(prompt);
            }
            return;
        }
        if let Ok((position, displaced)) = instance.queue.enter(request(prompt), Millis(self.now)) {
            instance.waiting.insert(position, prompt);
            if let Some(displaced) = displaced {
                instance.waiting.remove(&displaced);
            }
        }
    }

    /// Sends a prompt to the engine that seems to be the least loaded, if one has room.
    fn send(&mut self, index: usize, prompt: Prompt) -> bool {
        let mut best: Option<(f64, usize)> = None;
        // Preferred engines and jitter spread prompts over the engines with room.
        for engine in 0..self.engines.len() {
            if !self.has_room(index, engine) {
                continue;
            }
            let instance = &self.instances[index];
            let cost = instance.reported[engine]
                + instance.sent[engine]
                + self.rng.random_range(0.0..ROOM_MS);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, engine));
            }
        }
        let Some((_, engine)) = best else {
            return false;
        };
        self.instances[index].sent[engine] += prompt.kind.engine_ms as f64;
        self.sent += 1;
        let key = (prompt.kind.rank, self.sent);
        self.engines[engine].waiting_ms += prompt.kind.engine_ms;
        self.engines[engine].waiting.insert(key, (index, prompt));
        true
    }

    fn wake(&mut self, index: usize) {
        let now = Millis(self.now);
        let mut wake_up = WakeUp::default();
        let mut rng = self.rng.clone();
        while let Some(position) = self.instances[index].queue.next(&mut wake_up, now, &mut rng) {
            let prompt = self.instances[index].waiting[&position];
            let is_sent = self.send(index, prompt);
            let instance = &mut self.instances[index];
            if is_sent {
                instance.waiting.remove(&position);
                instance.queue.admit(position, &mut wake_up, now);
            } else {
                instance.queue.record_blocked(position, &mut wake_up, now);
            }
        }
        self.rng = rng;
        let instance = &mut self.instances[index];
        if self.now.is_multiple_of(100) {
            for (position, ..) in instance.queue.sweep(now) {
                instance.queue.leave(position, now);
                instance.waiting.remove(&position);
            }
        }
    }

    /// Tries the prompts in the order of their arrival, as long as there is room.
    fn poll(&mut self, index: usize) {
        if !(self.now / TICK_MS + index as u64).is_multiple_of(3) {
            return;
        }
        let now = Millis(self.now);
        while let Some(prompt) = self.instances[index].in_order.pop_front() {
            if now >= request(prompt).latest_start {
                continue;
            }
            if !self.send(index, prompt) {
                self.instances[index].in_order.push_front(prompt);
                return;
            }
        }
    }

    /// Returns the part of the engines' time in the burst that useful responses took.
    fn useful_share(&self) -> f64 {
        self.useful_ms as f64 / ((BURST_TO - BURST_FROM) * self.working() as u64) as f64
    }

    /// Returns the part of a rank's requests in the burst that got a useful response.
    fn useful_of(&self, rank: u8) -> f64 {
        let tallies = || self.during.iter().filter(|((r, _), _)| *r == rank).map(|(_, t)| t);
        let arrived: u32 = tallies().map(|tally| tally.arrived).sum();
        f64::from(tallies().map(|tally| tally.useful).sum::<u32>()) / f64::from(arrived)
    }
}

fn request(prompt: Prompt) -> Request {
    let Kind { rank, tokens, engine_ms, target_ms } = prompt.kind;
    let patience = (4 * target_ms).max(2_000);
    Request {
        rank,
        workspace: Some(id::Workspace::new(&format!("w{}", prompt.workspace))),
        engine_time: Millis(engine_ms),
        tokens,
        is_returning: false,
        target_start: Millis(prompt.arrived + target_ms - engine_ms),
        useful_start: Millis(prompt.arrived + 2 * target_ms - engine_ms),
        latest_start: Millis(prompt.arrived + patience - 2 * engine_ms),
    }
}

/// Guards against overload in which work for responses that come too late takes the engines' time,
/// against urgent prompts that wait behind long ones, and against an overload that outlasts its
/// cause. First-come order gives less than this to useful responses under each of the loads.
#[rstest]
fn useful_responses_fill_the_engines_under_overload(
    #[values(8, 87, 295)] instances: usize,
    #[values(TWOFOLD, LONG_BURST, FOURFOLD, SHORT_BURST, WAVE, SILENT)] load: Load,
) {
    let fleet = Fleet::run(Policy::Queue, load, instances);
    let baseline = Fleet::run(Policy::FirstCome, load, instances);
    let (useful, without) = (fleet.useful_share(), baseline.useful_share());
    let (urgent, urgent_without) = (fleet.useful_of(0), baseline.useful_of(0));
    let after = f64::from(fleet.after.useful) / f64::from(fleet.after.arrived);
    println!(
        "{instances} instances: useful {useful:.3}, first come {without:.3}; rank 0 {urgent:.3}, \
         first come {urgent_without:.3}; rank 2 {:.3}; after {after:.3}",
        fleet.useful_of(2)
    );
    assert!(useful >= 0.95, "{useful}");
    assert!(without < 0.9, "{without}");
    // Urgent prompts that fit beside the guaranteed shares of the others are served.
    let fits = (0.95 / load.short).min(1.0);
    assert!(urgent >= 0.9 * fits && urgent > 1.5 * urgent_without, "{urgent}");
    assert!(fleet.useful_of(2) > 0.02, "rank 2 starves");
    // From 2 s after the burst; a few of the 8 instances' 50 requests may still wait.
    assert!(after >= 0.95, "{after}");
}

/// Guards against one workspace that crowds the others out: with half of the load, it gets what the
/// others leave, and each of them gets more of its requests served than it.
#[rstest]
fn workspaces_share_the_engines(#[values(8, 87, 295)] instances: usize) {
    let served = |policy| {
        let fleet = Fleet::run(policy, LARGE_WORKSPACE, instances);
        let of = |is_large| {
            let tally = fleet.during[&(LONG.rank, is_large)];
            f64::from(tally.useful) / f64::from(tally.arrived)
        };
        (of(true), of(false))
    };
    let (large, others) = served(Policy::Queue);
    let (large_without, others_without) = served(Policy::FirstCome);
    println!("large {large:.3} ({large_without:.3}), others {others:.3} ({others_without:.3})");
    assert!(others > 1.5 * large, "{others} {large}");
    assert!(others_without < 1.2 * large_without, "{others_without} {large_without}");
}

fn single(rank: u8, workspace: usize, engine_ms: u64) -> Request {
    let kind = Kind { rank, engine_ms, ..LONG };
    Request { rank, ..request(Prompt { kind, workspace, arrived: 1_000 }) }
}

/// Returns the requests in the order in which a single instance admits them.
fn admitted(queue: &mut Queue, now: Millis) -> Vec<Position> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut all = Vec::new();
    loop {
        let mut wake_up = WakeUp::default();
        let Some(position) = queue.next(&mut wake_up, now, &mut rng) else {
            return all;
        };
        queue.admit(position, &mut wake_up, now);
        all.push(position);
    }
}

/// Guards against an order other than rank, returning requests, shares of workspaces, time left.
#[rstest]
fn requests_are_admitted_in_order() {
    let mut queue = Queue::default();
    let now = Millis(1_000);
    let mut enter = |request| queue.enter(request, now).unwrap().0;
    let low = enter(single(2, 1, 20));
    let first = enter(single(1, 1, 20));
    let second = enter(single(1, 1, 20));
    let other = enter(single(1, 2, 20));
    let sooner = enter(Request { target_start: Millis(1_100), ..single(1, 2, 20) });
    let returning = enter(Request { is_returning: true, ..single(1, 1, 20) });
    let urgent = enter(single(0, 3, 20));
    let order = admitted(&mut queue, now);
    // The returning request used the share of workspace 1 before the others of it.
    assert_eq!(order, [urgent, returning, sooner, first, other, second, low]);
}

/// Guards against a rank that gets nothing while more urgent requests never end.
#[rstest]
fn no_rank_starves() {
    let mut queue = Queue::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = Millis(1_000);
    let low = queue.enter(single(5, 1, 100), now).unwrap().0;
    for turn in 0..200 {
        queue.enter(single(0, 1, 20), now).unwrap();
        let mut wake_up = WakeUp::default();
        let position = queue.next(&mut wake_up, now, &mut rng).unwrap();
        queue.admit(position, &mut wake_up, now);
        if position == low {
            assert!(turn >= 90, "rank 5 got more than its share: {turn}");
            return;
        }
    }
    panic!("rank 5 was not served");
}

/// Guards against a request that is held until its time is over although the work ahead of it shows
/// that it cannot be served, and against a refusal while nothing waits.
#[rstest]
fn requests_that_cannot_start_in_time_are_refused_at_once() {
    let mut queue = Queue::default();
    let capacity = Capacity { upstreams: 1, instances: 1, ..Capacity::default() };
    queue.set_capacity(capacity);
    let now = Millis(1_000);
    let mut refusal = None;
    let mut entered = 0;
    while refusal.is_none() {
        match queue.enter(single(2, 1, 304), now) {
            Ok(_) => entered += 1,
            Err(refused) => refusal = Some(refused),
        }
    }
    // 2.7 s until the useful start, of 304 ms each.
    assert_eq!(entered, 9);
    let refusal = refusal.unwrap();
    assert_eq!(refusal.reason, Reason::QueuedWork);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let after = Queue::retry_after(refusal.expected_wait, &mut rng);
    assert!((1_500..5_000).contains(&after.0), "{after}");
    // More urgent requests do not wait for these.
    queue.enter(single(0, 1, 26), now).unwrap();
    // Those that the urgent ones overtake are refused before their time is over.
    for _ in 0..100 {
        queue.enter(single(1, 2, 50), now).ok();
    }
    let swept = queue.sweep(Millis(1_100));
    assert!(swept.iter().any(|(_, rank, _)| *rank == 2) && swept.iter().all(|s| s.1 != 0));
}

/// Guards against a full queue of less urgent requests that keeps an urgent one out.
#[rstest]
fn urgent_request_takes_the_place_of_the_last_one_in_a_full_queue() {
    let mut queue = Queue::default();
    queue.set_capacity(Capacity { upstreams: 1_000, instances: 1, ..Capacity::default() });
    let now = Millis(1_000);
    for _ in 0..admission_queue::MAX_WAITING {
        queue.enter(single(2, 1, 20), now).unwrap();
    }
    let refused = queue.enter(single(2, 1, 20), now).unwrap_err();
    assert_eq!(refused.reason, Reason::QueueFull);
    let (_, displaced) = queue.enter(single(0, 1, 20), now).unwrap();
    assert!(displaced.is_some());
    assert_eq!(queue.len(), admission_queue::MAX_WAITING);
}

/// Guards against a wake-up that examines all upstreams for many requests in vain, and against small
/// requests of a lower rank that take the room that a larger one needs.
#[rstest]
fn blocked_requests_bound_a_wake_up() {
    let mut queue = Queue::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = Millis(1_000);
    let large = queue.enter(single(0, 1, 304), now).unwrap().0;
    for _ in 0..10 {
        queue.enter(Request { tokens: 100, ..single(2, 1, 20) }, now).unwrap();
    }
    let mut tried = |now| {
        let mut wake_up = WakeUp::default();
        let mut all = Vec::new();
        while let Some(position) = queue.next(&mut wake_up, now, &mut rng) {
            queue.record_blocked(position, &mut wake_up, now);
            all.push(position);
        }
        all
    };
    let first = tried(now);
    assert_eq!((first.len(), first[0]), (2, large));
    assert_eq!(tried(Millis(1_300)), [large]);
}

/// Guards against a caller that goes before others by inventing or repeating the id of a refusal.
#[rstest]
fn return_counts_once_and_only_after_a_refusal() {
    let mut returns = Returns::default();
    let now = Millis(1_000);
    assert!(!returns.take(7, now));
    returns.record_refused(7, now);
    assert!(returns.take(7, Millis(2_000)));
    assert!(!returns.take(7, Millis(2_000)));
    returns.record_refused(7, now);
    assert!(!returns.take(7, Millis(60_000)));
}
