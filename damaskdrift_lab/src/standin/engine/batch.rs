//! The running batch: queue, prefill and decode at shared rates.

use std::collections;
use std::sync;
use std::time::Instant;

use damaskdrift_core::block;
use damaskdrift_core::id;

use crate::standin::engine::cache;
use crate::standin::engine::options;
use crate::standin::engine::stream;
use crate::standin::engine::text;

/// Position of a job: priority, then arrival.
pub type Position = (u8, u64);

/// A request that waits or runs.
pub struct Job {
    /// Where the answer goes.
    pub buffer: sync::Arc<stream::Buffer>,
    /// Keys of the prompt's full blocks.
    pub chain: Vec<block::Key>,
    /// Root of the chain.
    pub root: block::Key,
    /// The weight version that runs the request.
    pub version: id::Version,
    /// The prompt.
    pub prompt: String,
    /// The answer, word by word.
    pub words: Vec<String>,
    /// Slowdown by a fault.
    pub slow_factor: f64,
    prefill_left: f64,
    decode_credit: f64,
    emitted: usize,
}

/// The queue and the running batch.
#[derive(Default)]
pub struct Batch {
    waiting: collections::BTreeMap<Position, Job>,
    running: collections::BTreeMap<Position, Job>,
    arrivals: u64,
    /// Prompt tokens computed so far.
    pub prefill_tokens: u64,
    /// Prompt tokens taken from the cache so far.
    pub cached_tokens: u64,
}

impl Job {
    /// Creates a job that has not started.
    pub fn new(
        buffer: sync::Arc<stream::Buffer>,
        root: block::Key,
        version: id::Version,
        prompt: String,
        words: Vec<String>,
    ) -> Self {
        let chain = block::chain(&root, &version, &prompt);
        Self {
            buffer,
            chain,
            root,
            version,
            prompt,
            words,
            slow_factor: 1.0,
            prefill_left: 0.0,
            decode_credit: 0.0,
            emitted: 0,
        }
    }

    fn is_decoding(&self) -> bool {
        self.prefill_left <= 0.0
    }

    fn emit(&mut self, count: usize) {
        let end = (self.emitted + count).min(self.words.len());
        let (mut body, mut answer) = (String::new(), String::new());
        for index in self.emitted..end {
            let piece = text::piece(index, &self.words[index]);
            body.push_str(&text::event(&self.buffer.id, &piece));
            answer.push_str(&piece);
        }
        self.emitted = end;
        let mut state = stream::State::Running;
        if end == self.words.len() {
            body.push_str(text::DONE_EVENT);
            state = stream::State::Done;
        }
        if !body.is_empty() {
            self.buffer.append(&body, &answer, state);
        }
    }
}

impl Batch {
    /// Returns the number of requests that wait for their first token.
    pub fn queued(&self) -> usize {
        self.in_flight() - self.decoding()
    }

    /// Returns the number of requests that have their first token.
    pub fn decoding(&self) -> usize {
        self.running.values().filter(|job| job.is_decoding()).count()
    }

    /// Returns the number of requests that wait or run.
    pub fn in_flight(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Adds a job to the queue.
    pub fn push(&mut self, priority: u8, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), job);
    }

    /// Removes the job of a request and ends its stream; returns whether there was one.
    pub fn cancel(&mut self, request: &str) -> bool {
        for jobs in [&mut self.waiting, &mut self.running] {
            let found = jobs.iter().find(|(_, job)| job.buffer.id == request);
            let Some((&position, _)) = found else {
                continue;
            };
            if let Some(job) = jobs.remove(&position) {
                job.buffer.append("", "", stream::State::Cancelled);
            }
            return true;
        }
        false
    }

    /// Advances all jobs by a time and returns the ids of those that are done.
    pub fn advance(
        &mut self,
        cfg: &options::Options,
        cache: &mut cache::Cache,
        seconds: f64,
        slowdown: f64,
        now: Instant,
    ) -> Vec<String> {
        self.admit(cfg, cache);
        self.decode(cfg, seconds / slowdown);
        self.prefill(cfg, cache, seconds / slowdown, now);
        let mut done = Vec::new();
        let finished = self.running.extract_if(.., |_, job| job.emitted == job.words.len());
        for (_, job) in finished {
            let answer = format!("{} {}", job.prompt, job.words.join(" "));
            cache.store(&block::chain(&job.root, &job.version, &answer), now);
            done.push(job.buffer.id.clone());
        }
        done
    }

    fn admit(&mut self, cfg: &options::Options, cache: &mut cache::Cache) {
        while self.running.len() < cfg.max_running {
            let Some((position, mut job)) = self.waiting.pop_first() else {
                return;
            };
            let tokens = job.prompt.split_whitespace().count();
            let held = cache.touch_prefix(&job.chain) * block::BLOCK_TOKENS;
            // The last token is always computed, because decoding starts from its output.
            let missing = (tokens - held).max(1);
            self.prefill_tokens += missing as u64;
            self.cached_tokens += (tokens.max(1) - missing) as u64;
            job.prefill_left = missing as f64;
            self.running.insert(position, job);
        }
    }

    fn prefill(
        &mut self,
        cfg: &options::Options,
        cache: &mut cache::Cache,
        seconds: f64,
        now: Instant,
    ) {
        let mut budget = budget(cfg.prefill_rate, seconds);
        for job in self.running.values_mut() {
            if job.is_decoding() {
                continue;
            }
            let wanted = job.prefill_left * job.slow_factor;
            let given = wanted.min(budget);
            budget -= given;
            job.prefill_left = (wanted - given) / job.slow_factor;
            if !job.is_decoding() {
                return;
            }
            cache.store(&job.chain, now);
            let is_unlimited = cfg.decode_rate == 0.0 && cfg.decode_rate_each == 0.0;
            job.emit(if is_unlimited { job.words.len() } else { 1 });
        }
    }

    fn decode(&mut self, cfg: &options::Options, seconds: f64) {
        let count = self.decoding().max(1);
        let shared = budget(cfg.decode_rate, seconds) / count as f64;
        let each = budget(cfg.decode_rate_each, seconds).min(shared);
        for job in self.running.values_mut() {
            if !job.is_decoding() {
                continue;
            }
            job.decode_credit += each / job.slow_factor;
            let whole = job.decode_credit.floor();
            job.decode_credit -= whole;
            job.emit(whole as usize);
        }
    }
}

fn budget(rate: f64, seconds: f64) -> f64 {
    if rate == 0.0 { f64::MAX } else { rate * seconds }
}
