//! State of the engine stand-in and admission of requests.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use damaskdrift_core::block;
use damaskdrift_core::id;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::sync::Notify;

use crate::standin::engine::batch;
use crate::standin::engine::cache;
use crate::standin::engine::fault;
use crate::standin::engine::options;
use crate::standin::engine::order;
use crate::standin::engine::stream;
use crate::standin::engine::text;

/// Interval at which the batch advances.
const BATCH_INTERVAL: Duration = Duration::from_millis(1);
/// Factor by which `--cold-overload slow` slows the batch down above the cold limit.
const OVERLOAD_SLOWDOWN: f64 = 20.0;
/// Prefill rate reported when it is unlimited, because JSON can't represent infinity.
const UNLIMITED_PREFILL_RATE: f64 = 1e9;

/// Simulated model engine.
pub struct Engine {
    /// Command-line options.
    pub cfg: options::Options,
    /// Random id of this process start.
    pub boot_id: String,
    state: sync::Mutex<State>,
    wake: Notify,
}

/// Validated request for a completion.
#[derive(Debug)]
pub struct Submission {
    /// Request id, unique among the retained streams.
    pub id: String,
    /// Workspace of the caller; empty when the header is absent.
    pub workspace: String,
    /// Root key of the prompt's chain of block keys.
    pub root: block::Key,
    /// Priority, 0 highest.
    pub priority: u8,
    /// Path of the route.
    pub route: &'static str,
    /// Prompt text; for a chat, all of its messages.
    pub prompt: String,
    /// Length of the completion, in tokens.
    pub tokens: usize,
}

/// Reason for which a request was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A stream with this request id is retained.
    Duplicate,
    /// An injected fault makes the request fail.
    Fault,
    /// The limit of concurrent requests during a cold start is exceeded.
    Cold,
    /// No weight version is loaded.
    Unloaded,
}

/// Load report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Load {
    /// Random id of the process start.
    pub boot_id: String,
    /// Served weight version.
    pub version: String,
    /// Whether the engine is in a cold start.
    pub cold: bool,
    /// Number of requests that have finished prefill.
    pub running: usize,
    /// Number of requests without a first token, whether in the batch or not.
    pub queued: usize,
    /// Prefill rate of the batch, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Number of blocks in the prefix cache.
    pub cached_blocks: usize,
}

/// Counters that tests read.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Stats {
    /// Maximum number of requests in flight during cold starts, including rejected ones.
    pub peak_running_while_cold: usize,
    /// Maximum number of concurrent requests during a cold start, from the options.
    pub cold_limit: usize,
    /// Number of requests that exceeded the cold limit.
    pub breaches: u64,
    /// Number of requests received, including rejected ones.
    pub requests: u64,
    /// Prompt tokens computed by prefill.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
}

struct State {
    version: String,
    is_loaded: bool,
    orders: order::Log,
    batch: batch::Batch,
    cache: cache::Cache,
    streams: collections::HashMap<String, sync::Arc<stream::Buffer>>,
    /// End times and request ids of the streams in the retention period, oldest first.
    ended_streams: collections::VecDeque<(Instant, String)>,
    fault: fault::Active,
    cold_until: Instant,
    advanced_at: Instant,
    /// Load reports of the last `load_lag`, oldest first.
    load_history: collections::VecDeque<(Instant, Load)>,
    stats: Stats,
    rng: ChaCha8Rng,
}

impl Engine {
    /// Creates an engine and spawns the task that advances its batch.
    pub fn start(cfg: options::Options) -> sync::Arc<Self> {
        let now = Instant::now();
        let cache =
            cache::Cache::new(cfg.cache_blocks, cfg.event_delay, cfg.event_gap_rate, cfg.seed);
        let state = State {
            version: cfg.version.clone(),
            is_loaded: true,
            orders: order::Log::default(),
            batch: batch::Batch::default(),
            cache,
            streams: collections::HashMap::new(),
            ended_streams: collections::VecDeque::new(),
            fault: fault::Active::new(fault::Fault::default(), now),
            cold_until: now + cfg.cold_start,
            advanced_at: now,
            load_history: collections::VecDeque::new(),
            stats: Stats { cold_limit: cfg.cold_limit, ..Stats::default() },
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
        };
        let boot_id = format!("{:016x}", rand::random::<u64>());
        let wake = Notify::new();
        let engine = sync::Arc::new(Self { cfg, boot_id, state: sync::Mutex::new(state), wake });
        engine.advance();
        tokio::spawn(run_batch(engine.clone()));
        engine
    }

    /// Returns the weight version that is currently served.
    pub fn version(&self) -> String {
        self.lock().version.clone()
    }

    /// Queues a request and returns the buffer of its response.
    ///
    /// # Errors
    ///
    /// Returns an error when the request is rejected; no part of it has run then.
    pub fn submit(&self, submission: Submission) -> Result<sync::Arc<stream::Buffer>, Refusal> {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.advance(&self.cfg, &self.boot_id, now);
        state.stats.requests += 1;
        if state.streams.contains_key(&submission.id) {
            return Err(Refusal::Duplicate);
        }
        if !state.is_loaded {
            return Err(Refusal::Unloaded);
        }
        state.check_cold_limit(&self.cfg, now)?;
        let slow_factor = state.check_fault(submission.route, now)?;
        let buffer = stream::Buffer::new(&submission.id, &submission.workspace);
        state.streams.insert(submission.id, buffer.clone());
        let prompt = submission.prompt;
        let words = text::words(&self.cfg.model, &state.version, &prompt, submission.tokens);
        let version = id::Version::new(&state.version);
        let mut job = batch::Job::new(buffer.clone(), submission.root, version, prompt, words);
        job.slow_factor = slow_factor;
        state.batch.push(submission.priority, job);
        state.advance(&self.cfg, &self.boot_id, now);
        drop(guard);
        self.wake.notify_one();
        Ok(buffer)
    }

    /// Returns the stream of a request if it is retained and belongs to the workspace.
    pub fn stream(&self, request: &str, workspace: &str) -> Option<sync::Arc<stream::Buffer>> {
        let state = self.lock();
        state.streams.get(request).filter(|buffer| buffer.workspace == workspace).cloned()
    }

    /// Cancels a request of a workspace; returns whether its stream is retained.
    pub fn cancel(&self, request: &str, workspace: &str) -> bool {
        let mut state = self.lock();
        let is_found =
            state.streams.get(request).is_some_and(|buffer| buffer.workspace == workspace);
        if is_found && state.batch.cancel(request) {
            state.ended_streams.push_back((Instant::now(), request.to_owned()));
        }
        is_found
    }

    /// Returns the load report as of `load_lag` ago.
    pub fn load(&self) -> Load {
        let now = Instant::now();
        let mut state = self.lock();
        state.advance(&self.cfg, &self.boot_id, now);
        let reported_at = now.checked_sub(self.cfg.load_lag).unwrap_or(now);
        while state.load_history.len() > 1 && state.load_history[1].0 <= reported_at {
            state.load_history.pop_front();
        }
        state
            .load_history
            .front()
            .map(|(_, load)| load.clone())
            .expect("the initial load report is recorded at start")
    }

    /// Returns the visible cache events after a position, and the position to continue from.
    pub fn cache_events(&self, after: u64) -> (Vec<cache::Event>, u64) {
        self.lock().cache.events(after, Instant::now())
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> Stats {
        let state = self.lock();
        Stats {
            prefill_tokens: state.batch.prefill_tokens,
            cached_tokens: state.batch.cached_tokens,
            ..state.stats.clone()
        }
    }

    /// Replaces the fault, and starts or ends a cold start if its `cold` field is set.
    pub fn set_fault(&self, fault: fault::Fault) {
        let now = Instant::now();
        let mut state = self.lock();
        match fault.cold {
            // The boot id stays the same: engines also become cold without a restart.
            Some(true) => {
                state.cold_until = now + self.cfg.cold_start;
                state.cache.clear(now);
            }
            Some(false) => state.cold_until = now,
            None => {}
        }
        state.fault = fault::Active::new(fault, now);
    }

    /// Returns whether a block is in the prefix cache.
    pub fn has_block(&self, key: &block::Key) -> bool {
        self.lock().cache.contains(key)
    }

    /// Inserts an imported block into the prefix cache.
    pub fn insert_block(&self, key: &block::Key) {
        self.lock().cache.insert(&[*key], Instant::now());
    }

    /// Logs an order and applies an unload; returns whether the order was accepted.
    pub fn accept_order(&self, order: &order::Order) -> bool {
        let mut state = self.lock();
        if !state.orders.accept(order, self.cfg.check_fencing) {
            return false;
        }
        if order.kind == order::Kind::Unload {
            state.is_loaded = false;
        }
        true
    }

    /// Returns the accepted orders, oldest first.
    pub fn orders(&self) -> Vec<order::Order> {
        self.lock().orders.accepted().to_vec()
    }

    /// Switches to the version of a load order, unless a later load or unload order was accepted.
    ///
    /// Requests in flight finish with the version that they started with. The new version starts
    /// cold and with an empty prefix cache, because blocks of another version must not be used.
    pub fn finish_load(&self, order: &order::Order) {
        let now = Instant::now();
        let mut state = self.lock();
        if !state.orders.is_latest(order) {
            return;
        }
        state.version = order.version.clone();
        state.is_loaded = true;
        state.cold_until = now + self.cfg.cold_start;
        state.cache.clear(now);
    }

    /// Advances the batch to the current time and returns whether requests are in flight.
    fn advance(&self) -> bool {
        let mut state = self.lock();
        state.advance(&self.cfg, &self.boot_id, Instant::now());
        state.batch.in_flight() > 0
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked while holding the lock")
    }
}

impl State {
    fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    fn check_cold_limit(&mut self, cfg: &options::Options, now: Instant) -> Result<(), Refusal> {
        if !self.is_cold(now) {
            return Ok(());
        }
        let in_flight = self.batch.in_flight() + 1;
        self.stats.peak_running_while_cold = self.stats.peak_running_while_cold.max(in_flight);
        if in_flight <= cfg.cold_limit {
            return Ok(());
        }
        self.stats.breaches += 1;
        match cfg.cold_overload {
            options::ColdOverload::Fail => Err(Refusal::Cold),
            options::ColdOverload::Slow => Ok(()),
        }
    }

    /// Returns the slowdown of a request on `route`, or the failure that the fault injects.
    fn check_fault(&mut self, route: &str, now: Instant) -> Result<f64, Refusal> {
        let in_flight = self.batch.in_flight() + 1;
        let Some(fault) = self.fault.affecting(route, in_flight, now) else {
            return Ok(1.0);
        };
        if fault.fail_rate > 0.0 && self.rng.random_bool(fault.fail_rate) {
            return Err(Refusal::Fault);
        }
        Ok(fault.slow_factor.max(1.0))
    }

    fn slowdown(&self, cfg: &options::Options, now: Instant) -> f64 {
        if !self.is_cold(now) {
            return 1.0;
        }
        if self.batch.in_flight() > cfg.cold_limit { OVERLOAD_SLOWDOWN } else { cfg.cold_factor }
    }

    fn advance(&mut self, cfg: &options::Options, boot_id: &str, now: Instant) {
        let seconds = now.saturating_duration_since(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        let slowdown = self.slowdown(cfg, now);
        let finished_ids = self.batch.advance(cfg, &mut self.cache, seconds, slowdown, now);
        self.ended_streams.extend(finished_ids.into_iter().map(|id| (now, id)));
        self.remove_expired_streams(cfg, now);
        self.record_load(cfg, boot_id, slowdown, now);
    }

    fn remove_expired_streams(&mut self, cfg: &options::Options, now: Instant) {
        while let Some((ended_at, _)) = self.ended_streams.front() {
            if now < *ended_at + cfg.stream_retention {
                return;
            }
            if let Some((_, id)) = self.ended_streams.pop_front() {
                self.streams.remove(&id);
            }
        }
    }

    fn record_load(&mut self, cfg: &options::Options, boot_id: &str, slowdown: f64, now: Instant) {
        let rate = if cfg.prefill_rate == 0.0 { UNLIMITED_PREFILL_RATE } else { cfg.prefill_rate };
        let load = Load {
            boot_id: boot_id.to_owned(),
            version: self.version.clone(),
            cold: self.is_cold(now),
            running: self.batch.decoding(),
            queued: self.batch.queued(),
            prefill_tokens_per_s: rate / slowdown,
            cached_blocks: self.cache.len(),
        };
        if self.load_history.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        let oldest = now.checked_sub(cfg.load_lag).unwrap_or(now);
        while self.load_history.len() > 1 && self.load_history[1].0 <= oldest {
            self.load_history.pop_front();
        }
        self.load_history.push_back((now, load));
    }
}

async fn run_batch(engine: sync::Arc<Engine>) {
    loop {
        if engine.advance() {
            tokio::time::sleep(BATCH_INTERVAL).await;
        } else {
            engine.wake.notified().await;
        }
    }
}
