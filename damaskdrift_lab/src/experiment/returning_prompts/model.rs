//! Runs a load against engines under one policy.

use std::cmp;
use std::collections;
use std::time::Instant;

use damaskdrift_core::block;
use damaskdrift_core::placement;
use damaskdrift_core::time::Millis;
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::experiment::returning_prompts::engine::{self, BATCH, Engine, PREFILL_RATE, Slowdown};
use crate::experiment::returning_prompts::instance::{Export, Instance, POLL_INTERVAL};
use crate::experiment::returning_prompts::policy::{self, Policy};
use crate::experiment::returning_prompts::workload::{Prompt, SECOND};
use crate::standin::engine::cache::Cache;

/// Engines and entry instances of the larger of the two users.
pub const ENGINES: usize = 18;
const INSTANCES: usize = 8;
/// Blocks that the two stores keep together: 1 TB each.
const STORE_BLOCKS: usize = 1_000_000;
/// Round trip to a store or an engine, in microseconds.
const ROUND_TRIP: u64 = 1_000;

/// What a run showed after the warm-up.
pub struct Outcome {
    /// Time to first token of returning prompts, in microseconds.
    pub returning: Histogram<u64>,
    /// Time to first token of all prompts, in microseconds.
    pub all: Histogram<u64>,
    /// Tokens of all prompts.
    pub tokens: u64,
    /// Tokens computed although an earlier prompt of the conversation had them.
    pub recomputed: u64,
    /// Bytes on all links.
    pub link_bytes: u64,
    /// Share of time in which engines computed.
    pub busy: f64,
}

/// Lengths of a run in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Length of the warm-up.
    pub warm_up: u64,
    /// End of the run.
    pub end: u64,
}

/// A run in progress.
pub struct Model<'a> {
    pub(super) engines: Vec<Engine>,
    pub(super) instances: Vec<Instance>,
    pub(super) store: Cache,
    pub(super) slowdown: Slowdown,
    pub(super) rng: ChaCha8Rng,
    pub(super) base: Instant,
    pub(super) now: u64,
    policy: Policy,
    prompts: &'a [Prompt],
    times: Times,
    jobs: Vec<Job>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    count: u64,
    outcome: Outcome,
    busy_micros: u64,
    link_bytes_before: u64,
    /// Tokens that prompts whose import runs will need, by engine.
    importing_tokens: Vec<usize>,
}

/// A placed prompt.
struct Job {
    prompt: usize,
    instance: usize,
    engine: usize,
    import: Option<Import>,
    missing_tokens: usize,
}

struct Import {
    watch: placement::Import,
    first: usize,
    blocks: usize,
    done: usize,
    batch: usize,
    started: u64,
    ahead: u64,
    may_give_up: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Imported { job: usize },
    GiveUp { job: usize, batch: usize },
    Computed { engine: usize },
    Poll { instance: usize },
    Exported { instance: usize },
    WarmedUp,
}

/// Runs a load under a policy.
pub fn run(
    policy: Policy,
    prompts: &[Prompt],
    times: Times,
    slowdown: Slowdown,
    seed: u64,
) -> Outcome {
    let mut model = Model::new(policy, prompts, times, slowdown, seed);
    model.schedule_first();
    while let Some(cmp::Reverse((now, _, event))) = model.events.pop() {
        if now >= times.end {
            break;
        }
        model.now = now;
        model.handle(event);
    }
    let link_bytes: u64 = model.engines.iter().map(|engine| engine.link_bytes).sum();
    let span = (times.end - times.warm_up) as f64 * ENGINES as f64;
    Outcome {
        link_bytes: link_bytes - model.link_bytes_before,
        busy: model.busy_micros as f64 / span,
        ..model.outcome
    }
}

impl<'a> Model<'a> {
    fn new(
        policy: Policy,
        prompts: &'a [Prompt],
        times: Times,
        slowdown: Slowdown,
        seed: u64,
    ) -> Self {
        let histogram = || Histogram::new(3).expect("3 digits are within the allowed range");
        let outcome = Outcome {
            returning: histogram(),
            all: histogram(),
            tokens: 0,
            recomputed: 0,
            link_bytes: 0,
            busy: 0.0,
        };
        Self {
            engines: (0..ENGINES).map(|index| Engine::new(index, seed)).collect(),
            instances: (0..INSTANCES).map(|_| Instance::new()).collect(),
            // Nobody reads the store's events, so all of them are dropped.
            store: Cache::new(STORE_BLOCKS, std::time::Duration::ZERO, 1.0, seed),
            slowdown,
            rng: ChaCha8Rng::seed_from_u64(seed),
            base: Instant::now(),
            now: 0,
            policy,
            prompts,
            times,
            jobs: Vec::new(),
            events: collections::BinaryHeap::new(),
            count: 0,
            outcome,
            busy_micros: 0,
            link_bytes_before: 0,
            importing_tokens: vec![0; ENGINES],
        }
    }

    /// Returns the time for the core.
    pub(super) fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    /// Returns the true time until an engine begins with another prompt, in microseconds, prompts
    /// whose import runs included.
    pub(super) fn true_wait(&self, engine: usize) -> u64 {
        let state = &self.engines[engine];
        let running = state.busy_until.map_or(0, |end| end.saturating_sub(self.now));
        let waiting = state.queue.iter().map(|job| {
            let prompt = &self.prompts[self.jobs[*job].prompt];
            state.missing(prompt.chain(), prompt.tokens())
        });
        let tokens: usize = waiting.sum::<usize>() + self.importing_tokens[engine];
        running + (tokens as f64 / PREFILL_RATE * SECOND as f64) as u64
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(cmp::Reverse((at, self.count, event)));
    }

    fn schedule_first(&mut self) {
        self.schedule(self.times.warm_up, Event::WarmedUp);
        let uses_estimates = matches!(self.policy, Policy::Placement | Policy::ImportEverything);
        for instance in 0..if uses_estimates { INSTANCES } else { 0 } {
            let offset = POLL_INTERVAL * instance as u64 / INSTANCES as u64;
            self.schedule(offset, Event::Poll { instance });
        }
        for (index, prompt) in self.prompts.iter().enumerate() {
            self.schedule(prompt.at, Event::Arrive(index));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(prompt) => self.arrive(prompt),
            Event::Imported { job } => self.imported(job),
            Event::GiveUp { job, batch } => self.give_up(job, batch),
            Event::Computed { engine } => self.computed(engine),
            Event::Poll { instance } => self.poll(instance),
            Event::Exported { instance } => self.exported(instance),
            Event::WarmedUp => {
                let bytes = self.engines.iter().map(|engine| engine.link_bytes);
                self.link_bytes_before = bytes.sum();
            }
        }
    }

    fn arrive(&mut self, prompt: usize) {
        let instance = self.rng.random_range(0..INSTANCES);
        let choice = policy::choose(self, self.policy, instance, &self.prompts[prompt]);
        let job = self.jobs.len();
        let engine = choice.engine;
        let mut import = None;
        if let placement::Plan::Import { first, blocks, expected, recompute } = choice.plan {
            let now = self.millis();
            let link = self.instances[instance].estimates.link(&self.engines[engine].id);
            let ahead = link.queued_bytes();
            link.start(blocks as u64 * engine::BLOCK_BYTES);
            import = Some(Import {
                watch: placement::Import::new(blocks, expected, recompute, now),
                first,
                blocks,
                done: 0,
                batch: 0,
                started: self.now,
                ahead,
                may_give_up: self.policy == Policy::Placement,
            });
        }
        let is_import = import.is_some();
        let missing_tokens = choice.missing_tokens;
        self.jobs.push(Job { prompt, instance, engine, import, missing_tokens });
        let missing = missing_tokens as u64;
        let now = self.millis();
        let id = &self.engines[engine].id;
        self.instances[instance].estimates.record_sent(id, job as u64, missing, now);
        if is_import {
            self.importing_tokens[engine] += missing_tokens;
            self.import_batch(job);
        } else {
            self.enqueue(job);
        }
    }

    fn import_batch(&mut self, job: usize) {
        let Some(import) = &mut self.jobs[job].import else {
            return;
        };
        import.batch += 1;
        let blocks = BATCH.min(import.blocks - import.done);
        let batch = import.batch;
        let give_up_at = import.watch.deadline().0 * 1_000;
        let may_give_up = import.may_give_up;
        let start = self.now + ROUND_TRIP;
        let engine = &mut self.engines[self.jobs[job].engine];
        let end = engine.transfer(blocks, &self.slowdown, start);
        if may_give_up && give_up_at < end {
            self.schedule(give_up_at.max(self.now), Event::GiveUp { job, batch });
        } else {
            self.schedule(end, Event::Imported { job });
        }
    }

    fn imported(&mut self, job: usize) {
        let now = self.millis();
        let at = engine::instant(self.base, self.now);
        let Job { prompt, engine, import, .. } = &mut self.jobs[job];
        let Some(import) = import else {
            return;
        };
        let batch = BATCH.min(import.blocks - import.done);
        let start = import.first + import.done;
        let wanted = &self.prompts[*prompt].chain()[start..start + batch];
        let found = self.store.touch_prefix(wanted);
        self.engines[*engine].cache.insert(&wanted[..found], at);
        import.done += found;
        import.watch.record_progress(import.done, now);
        let is_slow = import.may_give_up && import.watch.abort_reason(now).is_some();
        let is_over = found < batch || import.done == import.blocks;
        if is_slow {
            self.end_import(job, true);
        } else if is_over {
            self.end_import(job, false);
        } else {
            self.import_batch(job);
        }
    }

    fn give_up(&mut self, job: usize, batch: usize) {
        let is_same = self.jobs[job].import.as_ref().is_some_and(|import| import.batch == batch);
        if is_same {
            self.end_import(job, true);
        }
    }

    fn end_import(&mut self, job: usize, is_given_up: bool) {
        let now = self.millis();
        let Job { prompt, instance, engine, import, missing_tokens } = &mut self.jobs[job];
        self.importing_tokens[*engine] -= *missing_tokens;
        if let Some(import) = import.take() {
            let id = &self.engines[*engine].id;
            let estimates = &mut self.instances[*instance].estimates;
            let held = &self.prompts[*prompt].chain()[..import.first + import.done];
            estimates.residency.record_chain(id, held);
            let planned = import.blocks as u64 * engine::BLOCK_BYTES;
            let carried = import.done as u64 * engine::BLOCK_BYTES;
            let elapsed = now.since(Millis(import.started / 1_000));
            let link = estimates.link(id);
            if is_given_up {
                link.abort(planned, now);
            } else {
                link.finish(planned, carried, import.ahead, elapsed);
            }
        }
        self.enqueue(job);
    }

    fn enqueue(&mut self, job: usize) {
        let engine = self.jobs[job].engine;
        self.engines[engine].queue.push_back(job);
        if self.engines[engine].busy_until.is_none() {
            self.compute_next(engine);
        }
        self.engines[engine].note_load(self.now);
    }

    fn compute_next(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let Some(&job) = engine.queue.front() else {
            return;
        };
        let prompt = &self.prompts[self.jobs[job].prompt];
        let held = engine.cache.touch_prefix(prompt.chain());
        let missing = engine.missing(prompt.chain(), prompt.tokens());
        let micros = (missing as f64 / PREFILL_RATE * SECOND as f64) as u64;
        let end = self.now + micros;
        engine.busy_until = Some(end);
        engine.queue.pop_front();
        engine.running = Some(job);
        if self.now >= self.times.warm_up {
            self.busy_micros += micros;
            let again = prompt.known_blocks.saturating_sub(held);
            self.outcome.recomputed += (again * block::BLOCK_TOKENS) as u64;
            self.outcome.tokens += prompt.tokens() as u64;
        }
        self.schedule(end, Event::Computed { engine: index });
    }

    fn computed(&mut self, index: usize) {
        let at = engine::instant(self.base, self.now);
        let now = self.millis();
        let engine = &mut self.engines[index];
        engine.busy_until = None;
        let Some(job) = engine.running.take() else {
            return;
        };
        let Job { prompt, instance, .. } = self.jobs[job];
        let prompt = &self.prompts[prompt];
        engine.cache.insert(prompt.chain(), at);
        if prompt.at >= self.times.warm_up {
            let elapsed = self.now - prompt.at;
            self.outcome.all += elapsed;
            if prompt.is_return() {
                self.outcome.returning += elapsed;
            }
        }
        let id = engine.id.clone();
        let estimates = &mut self.instances[instance].estimates;
        estimates.record_first_token(&id, job as u64, now);
        estimates.residency.record_chain(&id, prompt.chain());
        self.compute_next(index);
        self.engines[index].note_load(self.now);
        if self.policy != Policy::LeastLoaded {
            self.instances[instance].offer(prompt, index, &id, self.policy);
            self.export_next(instance);
        }
    }

    fn poll(&mut self, instance: usize) {
        self.instances[instance].poll(&self.engines, self.base, self.now);
        self.schedule(self.now + POLL_INTERVAL, Event::Poll { instance });
    }

    fn export_next(&mut self, instance: usize) {
        while self.instances[instance].exporting.is_none() {
            let Some(offer) = self.instances[instance].take_offer() else {
                return;
            };
            let engine = &self.engines[offer.engine];
            let is_new =
                |key: &&block::Key| engine.cache.contains(key) && !self.store.contains(key);
            let new = offer.blocks.iter().filter(is_new).count();
            let start = self.now + ROUND_TRIP;
            let end = self.engines[offer.engine].transfer(new, &self.slowdown, start);
            let bytes = new as u64 * engine::BLOCK_BYTES;
            let link = self.instances[instance].estimates.link(&self.engines[offer.engine].id);
            let ahead = link.queued_bytes();
            link.start(bytes);
            let started = self.now;
            self.instances[instance].exporting = Some(Export { bytes, ahead, started, ..offer });
            self.schedule(end, Event::Exported { instance });
        }
    }

    fn exported(&mut self, instance: usize) {
        let at = engine::instant(self.base, self.now);
        if let Some(offer) = self.instances[instance].exporting.take() {
            let engine = &self.engines[offer.engine];
            let elapsed = Millis((self.now - offer.started) / 1_000);
            let link = self.instances[instance].estimates.link(&engine.id);
            link.finish(offer.bytes, offer.bytes, offer.ahead, elapsed);
            let held = offer.blocks.iter().filter(|key| engine.cache.contains(key));
            let held: Vec<block::Key> = held.copied().collect();
            self.store.insert(&held, at);
            self.instances[instance].note_kept(&held);
        }
        self.export_next(instance);
    }
}
