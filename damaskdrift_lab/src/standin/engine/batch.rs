//! Queue and running batch, with prefill and decode at rates shared by the batch.

use std::collections;
use std::sync;
use std::time::Instant;

use damaskdrift_core::block;
use damaskdrift_core::id;

use crate::standin::engine::cache;
use crate::standin::engine::options;
use crate::standin::engine::stream;
use crate::standin::engine::text;

/// Scheduling order of a job: priority, 0 highest, then order of arrival.
pub type Rank = (u8, u64);

/// Request that is queued or in the running batch.
pub struct Job {
    /// Receives the response.
    pub buffer: sync::Arc<stream::Buffer>,
    /// Chained keys of the prompt's full blocks.
    pub chain: Vec<block::Key>,
    /// Root key of the chain, which isolates workspaces from each other.
    pub root: block::Key,
    /// Weight version that computes the response.
    pub version: id::Version,
    /// Prompt text; each word counts as a token.
    pub prompt: String,
    /// Completion, one word per token.
    pub words: Vec<String>,
    /// Factor by which a fault slows the request down; 1 is normal speed.
    pub slow_factor: f64,
    pending_prefill: f64,
    /// Fraction of the next token that is already decoded.
    decode_credit: f64,
    emitted: usize,
}

/// Queue of waiting requests and batch of running ones.
#[derive(Default)]
pub struct Batch {
    waiting: collections::BTreeMap<Rank, Job>,
    running: collections::BTreeMap<Rank, Job>,
    arrivals: u64,
    /// Prompt tokens computed by prefill since the start.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache since the start.
    pub cached_tokens: u64,
}

impl Job {
    /// Creates a job at normal speed that hasn't started.
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
            pending_prefill: 0.0,
            decode_credit: 0.0,
            emitted: 0,
        }
    }

    fn is_decoding(&self) -> bool {
        self.pending_prefill <= 0.0
    }

    fn emit(&mut self, count: usize) {
        let end = (self.emitted + count).min(self.words.len());
        let (mut body, mut output) = (String::new(), String::new());
        for index in self.emitted..end {
            let chunk = text::chunk(index, &self.words[index]);
            body.push_str(&text::event(&self.buffer.id, &chunk));
            output.push_str(&chunk);
        }
        self.emitted = end;
        let mut state = stream::State::Running;
        if end == self.words.len() {
            body.push_str(text::DONE_EVENT);
            state = stream::State::Done;
        }
        if !body.is_empty() {
            self.buffer.append(&body, &output, state);
        }
    }
}

impl Batch {
    /// Returns the number of requests without a first token, in the queue or in prefill.
    pub fn queued(&self) -> usize {
        self.in_flight() - self.decoding()
    }

    /// Returns the number of requests that have finished prefill.
    pub fn decoding(&self) -> usize {
        self.running.values().filter(|job| job.is_decoding()).count()
    }

    /// Returns the number of requests in the queue and in the batch.
    pub fn in_flight(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Adds a job to the queue with a priority, 0 highest.
    pub fn push(&mut self, priority: u8, job: Job) {
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), job);
    }

    /// Cancels the job of a request and ends its stream; returns whether the job was found.
    pub fn cancel(&mut self, request: &str) -> bool {
        for jobs in [&mut self.waiting, &mut self.running] {
            let entry = jobs.iter().find(|(_, job)| job.buffer.id == request);
            let Some((&rank, _)) = entry else {
                continue;
            };
            if let Some(job) = jobs.remove(&rank) {
                job.buffer.append("", "", stream::State::Cancelled);
            }
            return true;
        }
        false
    }

    /// Simulates `seconds` of work on all jobs and returns the request ids of the finished ones.
    ///
    /// A `slowdown` above 1 divides the rates of prefill and decode.
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
        let mut finished_ids = Vec::new();
        let finished = self.running.extract_if(.., |_, job| job.emitted == job.words.len());
        for (_, job) in finished {
            let sequence = format!("{} {}", job.prompt, job.words.join(" "));
            cache.insert(&block::chain(&job.root, &job.version, &sequence), now);
            finished_ids.push(job.buffer.id.clone());
        }
        finished_ids
    }

    fn admit(&mut self, cfg: &options::Options, cache: &mut cache::Cache) {
        while self.running.len() < cfg.max_running {
            let Some((rank, mut job)) = self.waiting.pop_first() else {
                return;
            };
            let tokens = job.prompt.split_whitespace().count();
            let cached = cache.touch_prefix(&job.chain) * block::BLOCK_TOKENS;
            // The last token is always computed, because decoding starts from its output.
            let uncached = (tokens - cached).max(1);
            self.prefill_tokens += uncached as u64;
            self.cached_tokens += (tokens.max(1) - uncached) as u64;
            job.pending_prefill = uncached as f64;
            self.running.insert(rank, job);
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
            let cost = job.pending_prefill * job.slow_factor;
            let granted = cost.min(budget);
            budget -= granted;
            job.pending_prefill = (cost - granted) / job.slow_factor;
            if !job.is_decoding() {
                return;
            }
            cache.insert(&job.chain, now);
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
            let tokens = job.decode_credit.floor();
            job.decode_credit -= tokens;
            job.emit(tokens as usize);
        }
    }
}

fn budget(rate: f64, seconds: f64) -> f64 {
    if rate == 0.0 { f64::MAX } else { rate * seconds }
}
