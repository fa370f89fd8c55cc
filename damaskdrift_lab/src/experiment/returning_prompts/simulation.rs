//! Event-driven simulation of a fleet that serves a workload under one policy.

use std::cmp;
use std::collections;
use std::time::Instant;

use damaskdrift_core::block;
use damaskdrift_core::placement;
use damaskdrift_core::time::Millis;
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::experiment::returning_prompts::engine::{
    self, BATCH_BLOCKS, Engine, PREFILL_TOKENS_PER_S, Slowdown,
};
use crate::experiment::returning_prompts::instance::{Export, Instance, POLL_INTERVAL_US};
use crate::experiment::returning_prompts::policy::{self, Policy};
use crate::experiment::returning_prompts::workload::{MICROS_PER_SEC, Prompt};
use crate::standin::engine::cache::Cache;

/// Engines in the larger of the two users' fleets.
pub const ENGINES: usize = 18;
/// Entry instances in the same fleet.
const INSTANCES: usize = 8;
/// Joint capacity of the two cache stores of 1 TB each.
const STORE_BLOCKS: usize = 1_000_000;
/// Round trip to a cache store or an engine.
const ROUND_TRIP_US: u64 = 1_000;

/// Results of a run, without the warm-up.
pub struct Outcome {
    /// Time to first token of returning prompts, in microseconds.
    pub first_token_returning: Histogram<u64>,
    /// Time to first token of all prompts, in microseconds.
    pub first_token_all: Histogram<u64>,
    /// Tokens of all prompts whose prefill started.
    pub prompt_tokens: u64,
    /// Tokens computed although an earlier prompt of the conversation contained them.
    pub recomputed_tokens: u64,
    /// Bytes transferred on the links of all engines.
    pub link_bytes: u64,
    /// Mean share of time that an engine spent in prefill.
    pub busy_share: f64,
}

/// Ends of the two phases of a run, in microseconds from its start.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// End of the warm-up, from which results are recorded.
    pub warm_up_end: u64,
    /// End of the measured time and of the run.
    pub end: u64,
}

/// State of a run in progress.
pub struct Simulation<'a> {
    pub(super) engines: Vec<Engine>,
    pub(super) instances: Vec<Instance>,
    pub(super) store: Cache,
    pub(super) slowdown: Slowdown,
    pub(super) rng: ChaCha8Rng,
    pub(super) clock_start: Instant,
    /// Simulated time in microseconds.
    pub(super) now: u64,
    policy: Policy,
    prompts: &'a [Prompt],
    times: Times,
    jobs: Vec<Job>,
    /// Scheduled events in the order of their time in microseconds, then of their scheduling.
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    last_event_seq: u64,
    outcome: Outcome,
    /// Time in microseconds, summed over the engines, of the prefills started after the warm-up.
    busy_us: u64,
    /// Bytes transferred on the links of all engines until the end of the warm-up.
    warm_up_link_bytes: u64,
    /// Tokens to prefill for the prompts that still wait for an import, by engine index.
    importing_tokens: Vec<usize>,
}

/// A prompt placed on an engine; it refers to the prompt, instance and engine by index.
struct Job {
    prompt: usize,
    instance: usize,
    engine: usize,
    import: Option<Import>,
    prefill_tokens: usize,
}

struct Import {
    progress: placement::Import,
    /// Index in the prompt's chain of the first block to import.
    first: usize,
    /// Number of blocks to import.
    blocks: usize,
    /// Number of blocks imported so far.
    done: usize,
    /// Number of the batch in transfer; a scheduled abort of an earlier batch is ignored.
    batch: usize,
    /// Start time in microseconds.
    started_at: u64,
    /// Bytes queued on the link when the import started.
    queued_ahead_bytes: u64,
    can_abort: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival(usize),
    BatchImported { job: usize },
    AbortImport { job: usize, batch: usize },
    PrefillDone { engine: usize },
    Poll { instance: usize },
    ExportDone { instance: usize },
    WarmUpEnd,
}

/// Simulates a policy on a workload and returns the results.
pub fn run(
    policy: Policy,
    prompts: &[Prompt],
    times: Times,
    slowdown: Slowdown,
    seed: u64,
) -> Outcome {
    let mut simulation = Simulation::new(policy, prompts, times, slowdown, seed);
    simulation.schedule_initial();
    while let Some(cmp::Reverse((now, _, event))) = simulation.events.pop() {
        if now >= times.end {
            break;
        }
        simulation.now = now;
        simulation.handle(event);
    }
    let link_bytes: u64 = simulation.engines.iter().map(|engine| engine.link_bytes).sum();
    let engine_time_us = (times.end - times.warm_up_end) as f64 * ENGINES as f64;
    Outcome {
        link_bytes: link_bytes - simulation.warm_up_link_bytes,
        busy_share: simulation.busy_us as f64 / engine_time_us,
        ..simulation.outcome
    }
}

impl<'a> Simulation<'a> {
    fn new(
        policy: Policy,
        prompts: &'a [Prompt],
        times: Times,
        slowdown: Slowdown,
        seed: u64,
    ) -> Self {
        let histogram = || Histogram::new(3).expect("3 digits are within the allowed range");
        let outcome = Outcome {
            first_token_returning: histogram(),
            first_token_all: histogram(),
            prompt_tokens: 0,
            recomputed_tokens: 0,
            link_bytes: 0,
            busy_share: 0.0,
        };
        Self {
            engines: (0..ENGINES).map(|index| Engine::new(index, seed)).collect(),
            instances: (0..INSTANCES).map(|_| Instance::new()).collect(),
            // The store's events are not read, so the gap rate of 1 drops them all.
            store: Cache::new(STORE_BLOCKS, std::time::Duration::ZERO, 1.0, seed),
            slowdown,
            rng: ChaCha8Rng::seed_from_u64(seed),
            clock_start: Instant::now(),
            now: 0,
            policy,
            prompts,
            times,
            jobs: Vec::new(),
            events: collections::BinaryHeap::new(),
            last_event_seq: 0,
            outcome,
            busy_us: 0,
            warm_up_link_bytes: 0,
            importing_tokens: vec![0; ENGINES],
        }
    }

    /// Returns the simulated time in the core's unit.
    pub(super) fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    /// Returns the actual time until an engine would start a new prompt, in microseconds; prompts
    /// that still wait for an import are included.
    pub(super) fn actual_queue_wait_us(&self, engine: usize) -> u64 {
        let state = &self.engines[engine];
        let running = state.busy_until.map_or(0, |end| end.saturating_sub(self.now));
        let waiting = state.queue.iter().map(|job| {
            let prompt = &self.prompts[self.jobs[*job].prompt];
            state.uncached_tokens(prompt.chain(), prompt.tokens())
        });
        let tokens: usize = waiting.sum::<usize>() + self.importing_tokens[engine];
        running + (tokens as f64 / PREFILL_TOKENS_PER_S * MICROS_PER_SEC as f64) as u64
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_event_seq += 1;
        self.events.push(cmp::Reverse((at, self.last_event_seq, event)));
    }

    fn schedule_initial(&mut self) {
        self.schedule(self.times.warm_up_end, Event::WarmUpEnd);
        let uses_estimates = matches!(self.policy, Policy::Placement | Policy::ImportEverything);
        for instance in 0..if uses_estimates { INSTANCES } else { 0 } {
            let offset = POLL_INTERVAL_US * instance as u64 / INSTANCES as u64;
            self.schedule(offset, Event::Poll { instance });
        }
        for (index, prompt) in self.prompts.iter().enumerate() {
            self.schedule(prompt.arrived_at, Event::Arrival(index));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(prompt) => self.handle_arrival(prompt),
            Event::BatchImported { job } => self.handle_batch_imported(job),
            Event::AbortImport { job, batch } => self.abort_import(job, batch),
            Event::PrefillDone { engine } => self.handle_prefill_done(engine),
            Event::Poll { instance } => self.poll(instance),
            Event::ExportDone { instance } => self.handle_export_done(instance),
            Event::WarmUpEnd => {
                let bytes = self.engines.iter().map(|engine| engine.link_bytes);
                self.warm_up_link_bytes = bytes.sum();
            }
        }
    }

    fn handle_arrival(&mut self, prompt: usize) {
        let instance = self.rng.random_range(0..INSTANCES);
        let choice = policy::choose(self, self.policy, instance, &self.prompts[prompt]);
        let job = self.jobs.len();
        let engine = choice.engine;
        let mut import = None;
        if let placement::Plan::Import { first, blocks, expected, recompute } = choice.plan {
            let now = self.millis();
            let link = self.instances[instance].estimates.link(&self.engines[engine].id);
            let queued_ahead_bytes = link.queued_bytes();
            link.start(blocks as u64 * engine::BLOCK_BYTES);
            import = Some(Import {
                progress: placement::Import::new(blocks, expected, recompute, now),
                first,
                blocks,
                done: 0,
                batch: 0,
                started_at: self.now,
                queued_ahead_bytes,
                can_abort: self.policy == Policy::Placement,
            });
        }
        let is_import = import.is_some();
        let prefill_tokens = choice.prefill_tokens;
        self.jobs.push(Job { prompt, instance, engine, import, prefill_tokens });
        let pending_prefill = prefill_tokens as u64;
        let now = self.millis();
        let id = &self.engines[engine].id;
        self.instances[instance].estimates.record_sent(id, job as u64, pending_prefill, now);
        if is_import {
            self.importing_tokens[engine] += prefill_tokens;
            self.start_import_batch(job);
        } else {
            self.enqueue(job);
        }
    }

    fn start_import_batch(&mut self, job: usize) {
        let Some(import) = &mut self.jobs[job].import else {
            return;
        };
        import.batch += 1;
        let blocks = BATCH_BLOCKS.min(import.blocks - import.done);
        let batch = import.batch;
        let abort_at_us = import.progress.deadline().0 * 1_000;
        let can_abort = import.can_abort;
        let start = self.now + ROUND_TRIP_US;
        let engine = &mut self.engines[self.jobs[job].engine];
        let end = engine.transfer(blocks, &self.slowdown, start);
        if can_abort && abort_at_us < end {
            self.schedule(abort_at_us.max(self.now), Event::AbortImport { job, batch });
        } else {
            self.schedule(end, Event::BatchImported { job });
        }
    }

    fn handle_batch_imported(&mut self, job: usize) {
        let now = self.millis();
        let instant = engine::to_instant(self.clock_start, self.now);
        let Job { prompt, engine, import, .. } = &mut self.jobs[job];
        let Some(import) = import else {
            return;
        };
        let batch = BATCH_BLOCKS.min(import.blocks - import.done);
        let start = import.first + import.done;
        let requested = &self.prompts[*prompt].chain()[start..start + batch];
        let found = self.store.touch_prefix(requested);
        self.engines[*engine].cache.insert(&requested[..found], instant);
        import.done += found;
        import.progress.record_progress(import.done, now);
        let is_slow = import.can_abort && import.progress.abort_reason(now).is_some();
        let is_finished = found < batch || import.done == import.blocks;
        if is_slow {
            self.end_import(job, true);
        } else if is_finished {
            self.end_import(job, false);
        } else {
            self.start_import_batch(job);
        }
    }

    fn abort_import(&mut self, job: usize, batch: usize) {
        let is_current = self.jobs[job].import.as_ref().is_some_and(|import| import.batch == batch);
        if is_current {
            self.end_import(job, true);
        }
    }

    fn end_import(&mut self, job: usize, is_aborted: bool) {
        let now = self.millis();
        let Job { prompt, instance, engine, import, prefill_tokens } = &mut self.jobs[job];
        self.importing_tokens[*engine] -= *prefill_tokens;
        if let Some(import) = import.take() {
            let id = &self.engines[*engine].id;
            let estimates = &mut self.instances[*instance].estimates;
            let imported_chain = &self.prompts[*prompt].chain()[..import.first + import.done];
            estimates.residency.record_chain(id, imported_chain);
            let planned = import.blocks as u64 * engine::BLOCK_BYTES;
            let transferred = import.done as u64 * engine::BLOCK_BYTES;
            let elapsed = now.since(Millis(import.started_at / 1_000));
            let link = estimates.link(id);
            if is_aborted {
                link.abort(planned, now);
            } else {
                link.finish(planned, transferred, import.queued_ahead_bytes, elapsed);
            }
        }
        self.enqueue(job);
    }

    fn enqueue(&mut self, job: usize) {
        let engine = self.jobs[job].engine;
        self.engines[engine].queue.push_back(job);
        if self.engines[engine].busy_until.is_none() {
            self.start_next_prefill(engine);
        }
        self.engines[engine].record_load(self.now);
    }

    fn start_next_prefill(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let Some(&job) = engine.queue.front() else {
            return;
        };
        let prompt = &self.prompts[self.jobs[job].prompt];
        let cached = engine.cache.touch_prefix(prompt.chain());
        let uncached = engine.uncached_tokens(prompt.chain(), prompt.tokens());
        let micros = (uncached as f64 / PREFILL_TOKENS_PER_S * MICROS_PER_SEC as f64) as u64;
        let end = self.now + micros;
        engine.busy_until = Some(end);
        engine.queue.pop_front();
        engine.running = Some(job);
        if self.now >= self.times.warm_up_end {
            self.busy_us += micros;
            let recomputed_blocks = prompt.repeated_blocks.saturating_sub(cached);
            self.outcome.recomputed_tokens += (recomputed_blocks * block::BLOCK_TOKENS) as u64;
            self.outcome.prompt_tokens += prompt.tokens() as u64;
        }
        self.schedule(end, Event::PrefillDone { engine: index });
    }

    fn handle_prefill_done(&mut self, index: usize) {
        let instant = engine::to_instant(self.clock_start, self.now);
        let now = self.millis();
        let engine = &mut self.engines[index];
        engine.busy_until = None;
        let Some(job) = engine.running.take() else {
            return;
        };
        let Job { prompt, instance, .. } = self.jobs[job];
        let prompt = &self.prompts[prompt];
        engine.cache.insert(prompt.chain(), instant);
        if prompt.arrived_at >= self.times.warm_up_end {
            let elapsed = self.now - prompt.arrived_at;
            self.outcome.first_token_all += elapsed;
            if prompt.is_return() {
                self.outcome.first_token_returning += elapsed;
            }
        }
        let id = engine.id.clone();
        let estimates = &mut self.instances[instance].estimates;
        estimates.record_first_token(&id, job as u64, now);
        estimates.residency.record_chain(&id, prompt.chain());
        self.start_next_prefill(index);
        self.engines[index].record_load(self.now);
        if self.policy != Policy::LeastLoaded {
            self.instances[instance].offer_export(prompt, index, &id, self.policy);
            self.start_next_export(instance);
        }
    }

    fn poll(&mut self, instance: usize) {
        self.instances[instance].poll(&self.engines, self.clock_start, self.now);
        self.schedule(self.now + POLL_INTERVAL_US, Event::Poll { instance });
    }

    fn start_next_export(&mut self, instance: usize) {
        while self.instances[instance].active_export.is_none() {
            let Some(export) = self.instances[instance].pop_export() else {
                return;
            };
            let engine = &self.engines[export.engine];
            let is_new =
                |key: &&block::Key| engine.cache.contains(key) && !self.store.contains(key);
            let new_blocks = export.blocks.iter().filter(is_new).count();
            let start = self.now + ROUND_TRIP_US;
            let end = self.engines[export.engine].transfer(new_blocks, &self.slowdown, start);
            let bytes = new_blocks as u64 * engine::BLOCK_BYTES;
            let link = self.instances[instance].estimates.link(&self.engines[export.engine].id);
            let queued_ahead_bytes = link.queued_bytes();
            link.start(bytes);
            let started_at = self.now;
            self.instances[instance].active_export =
                Some(Export { bytes, queued_ahead_bytes, started_at, ..export });
            self.schedule(end, Event::ExportDone { instance });
        }
    }

    fn handle_export_done(&mut self, instance: usize) {
        let instant = engine::to_instant(self.clock_start, self.now);
        if let Some(export) = self.instances[instance].active_export.take() {
            let engine = &self.engines[export.engine];
            let elapsed = Millis((self.now - export.started_at) / 1_000);
            let link = self.instances[instance].estimates.link(&engine.id);
            link.finish(export.bytes, export.bytes, export.queued_ahead_bytes, elapsed);
            let held = export.blocks.iter().filter(|key| engine.cache.contains(key));
            let held: Vec<block::Key> = held.copied().collect();
            self.store.insert(&held, instant);
            self.instances[instance].record_stored(&held);
        }
        self.start_next_export(instance);
    }
}
