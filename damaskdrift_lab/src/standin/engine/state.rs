//! State of the stand-in and the rules for taking requests.

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

/// Time between two steps of the batch.
const STEP: Duration = Duration::from_millis(1);
/// Slowdown of the batch above the cold limit with `--cold-overload slow`.
const OVERLOAD_SLOWDOWN: f64 = 20.0;
/// Prefill rate reported when it is unlimited, because JSON has no infinity.
const UNLIMITED_RATE: f64 = 1e9;

/// A running stand-in.
pub struct Engine {
    /// The flags.
    pub cfg: options::Options,
    /// Identifies this start.
    pub boot: String,
    state: sync::Mutex<State>,
    wake: Notify,
}

/// A request as it came in.
#[derive(Debug)]
pub struct Submission {
    /// The request id.
    pub id: String,
    /// The workspace.
    pub workspace: String,
    /// Root of the prompt's chain of block keys.
    pub root: block::Key,
    /// Priority, 0 highest.
    pub priority: u8,
    /// The route.
    pub route: &'static str,
    /// The prompt.
    pub prompt: String,
    /// Length of the answer in tokens.
    pub tokens: usize,
}

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A stream of this id is known.
    Duplicate,
    /// A fault makes the request fail.
    Fault,
    /// The cold limit is exceeded.
    Cold,
    /// No version is loaded.
    Unloaded,
}

/// What the load report says.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Load {
    /// Identifies the start.
    pub boot_id: String,
    /// The weight version.
    pub version: String,
    /// Whether the engine is in a cold start.
    pub cold: bool,
    /// Requests that have their first token.
    pub running: usize,
    /// Requests that wait for their first token, whether in the batch or not.
    pub queued: usize,
    /// Prompt tokens that the batch computes a second.
    pub prefill_tokens_per_s: f64,
    /// Blocks in the prefix cache.
    pub cached_blocks: usize,
}

/// Counts for tests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Stats {
    /// Most requests in flight during a cold start.
    pub peak_running_while_cold: usize,
    /// The cold limit.
    pub cold_limit: usize,
    /// Requests that exceeded the cold limit.
    pub breaches: u64,
    /// Requests received.
    pub requests: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens taken from the cache.
    pub cached_tokens: u64,
}

struct State {
    version: String,
    is_loaded: bool,
    orders: order::Log,
    batch: batch::Batch,
    cache: cache::Cache,
    streams: collections::HashMap<String, sync::Arc<stream::Buffer>>,
    ended: collections::VecDeque<(Instant, String)>,
    fault: fault::Active,
    cold_until: Instant,
    advanced_at: Instant,
    loads: collections::VecDeque<(Instant, Load)>,
    stats: Stats,
    rng: ChaCha8Rng,
}

impl Engine {
    /// Creates an engine and starts its batch loop.
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
            ended: collections::VecDeque::new(),
            fault: fault::Active::new(fault::Fault::default(), now),
            cold_until: now + cfg.cold,
            advanced_at: now,
            loads: collections::VecDeque::new(),
            stats: Stats { cold_limit: cfg.cold_limit, ..Stats::default() },
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
        };
        let boot = format!("{:016x}", rand::random::<u64>());
        let wake = Notify::new();
        let engine = sync::Arc::new(Self { cfg, boot, state: sync::Mutex::new(state), wake });
        engine.advance();
        tokio::spawn(run_batch(engine.clone()));
        engine
    }

    /// Returns the weight version served now.
    pub fn version(&self) -> String {
        self.lock().version.clone()
    }

    /// Takes a request.
    ///
    /// # Errors
    ///
    /// Returns why it was not taken; nothing of it runs then.
    pub fn submit(&self, submission: Submission) -> Result<sync::Arc<stream::Buffer>, Refusal> {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.advance(&self.cfg, &self.boot, now);
        state.stats.requests += 1;
        if state.streams.contains_key(&submission.id) {
            return Err(Refusal::Duplicate);
        }
        if !state.is_loaded {
            return Err(Refusal::Unloaded);
        }
        state.check_cold(&self.cfg, now)?;
        let slow_factor = state.check_fault(submission.route, now)?;
        let buffer = stream::Buffer::new(&submission.id, &submission.workspace);
        state.streams.insert(submission.id, buffer.clone());
        let prompt = submission.prompt;
        let words = text::words(&self.cfg.model, &state.version, &prompt, submission.tokens);
        let version = id::Version::new(&state.version);
        let mut job = batch::Job::new(buffer.clone(), submission.root, version, prompt, words);
        job.slow_factor = slow_factor;
        state.batch.push(submission.priority, job);
        state.advance(&self.cfg, &self.boot, now);
        drop(guard);
        self.wake.notify_one();
        Ok(buffer)
    }

    /// Returns the stream of a request if it belongs to the workspace.
    pub fn stream(&self, request: &str, workspace: &str) -> Option<sync::Arc<stream::Buffer>> {
        let state = self.lock();
        state.streams.get(request).filter(|buffer| buffer.workspace == workspace).cloned()
    }

    /// Cancels a request; returns whether its stream is known.
    pub fn cancel(&self, request: &str, workspace: &str) -> bool {
        let mut state = self.lock();
        let is_known =
            state.streams.get(request).is_some_and(|buffer| buffer.workspace == workspace);
        if is_known && state.batch.cancel(request) {
            state.ended.push_back((Instant::now(), request.to_owned()));
        }
        is_known
    }

    /// Returns the load as it was some time ago.
    pub fn load(&self) -> Load {
        let now = Instant::now();
        let mut state = self.lock();
        state.advance(&self.cfg, &self.boot, now);
        let seen_at = now.checked_sub(self.cfg.load_lag).unwrap_or(now);
        while state.loads.len() > 1 && state.loads[1].0 <= seen_at {
            state.loads.pop_front();
        }
        state.loads.front().map(|(_, load)| load.clone()).expect("the start records a load")
    }

    /// Returns the visible cache events after a position, and the next position.
    pub fn cache_events(&self, after: u64) -> (Vec<cache::Event>, u64) {
        self.lock().cache.events(after, Instant::now())
    }

    /// Returns counts for tests.
    pub fn stats(&self) -> Stats {
        let state = self.lock();
        Stats {
            prefill_tokens: state.batch.prefill_tokens,
            cached_tokens: state.batch.cached_tokens,
            ..state.stats.clone()
        }
    }

    /// Replaces the fault, and starts or ends a cold start if the fault says so.
    pub fn set_fault(&self, fault: fault::Fault) {
        let now = Instant::now();
        let mut state = self.lock();
        match fault.cold {
            // A cold start keeps the boot id here: engines also turn cold without a restart.
            Some(true) => {
                state.cold_until = now + self.cfg.cold;
                state.cache.clear(now);
            }
            Some(false) => state.cold_until = now,
            None => {}
        }
        state.fault = fault::Active::new(fault, now);
    }

    /// Returns whether a block is in the prefix cache.
    pub fn holds(&self, key: &block::Key) -> bool {
        self.lock().cache.contains(key)
    }

    /// Puts an imported block into the prefix cache.
    pub fn keep(&self, key: &block::Key) {
        self.lock().cache.store(&[*key], Instant::now());
    }

    /// Takes an order; returns whether it was taken.
    pub fn take_order(&self, order: &order::Order) -> bool {
        let mut state = self.lock();
        if !state.orders.take(order, self.cfg.check_fencing) {
            return false;
        }
        if order.kind == order::Kind::Unload {
            state.is_loaded = false;
        }
        true
    }

    /// Returns the orders taken, the latest last.
    pub fn orders(&self) -> Vec<order::Order> {
        self.lock().orders.taken().to_vec()
    }

    /// Serves the version of a load order from now on, unless a later order was taken.
    ///
    /// Requests that run keep the answer of the version they started with. The new version starts
    /// cold and with an empty prefix cache, because no block of another version may be used.
    pub fn finish_load(&self, order: &order::Order) {
        let now = Instant::now();
        let mut state = self.lock();
        if !state.orders.is_latest(order) {
            return;
        }
        state.version = order.version.clone();
        state.is_loaded = true;
        state.cold_until = now + self.cfg.cold;
        state.cache.clear(now);
    }

    fn advance(&self) -> bool {
        let mut state = self.lock();
        state.advance(&self.cfg, &self.boot, Instant::now());
        state.batch.in_flight() > 0
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    fn check_cold(&mut self, cfg: &options::Options, now: Instant) -> Result<(), Refusal> {
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

    fn check_fault(&mut self, route: &str, now: Instant) -> Result<f64, Refusal> {
        let in_flight = self.batch.in_flight() + 1;
        let Some(fault) = self.fault.shown(route, in_flight, now) else {
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

    fn advance(&mut self, cfg: &options::Options, boot: &str, now: Instant) {
        let seconds = now.saturating_duration_since(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        let slowdown = self.slowdown(cfg, now);
        let done = self.batch.advance(cfg, &mut self.cache, seconds, slowdown, now);
        self.ended.extend(done.into_iter().map(|id| (now, id)));
        self.forget(cfg, now);
        self.record_load(cfg, boot, slowdown, now);
    }

    fn forget(&mut self, cfg: &options::Options, now: Instant) {
        while let Some((ended_at, _)) = self.ended.front() {
            if now < *ended_at + cfg.stream_keep {
                return;
            }
            if let Some((_, id)) = self.ended.pop_front() {
                self.streams.remove(&id);
            }
        }
    }

    fn record_load(&mut self, cfg: &options::Options, boot: &str, slowdown: f64, now: Instant) {
        let rate = if cfg.prefill_rate == 0.0 { UNLIMITED_RATE } else { cfg.prefill_rate };
        let load = Load {
            boot_id: boot.to_owned(),
            version: self.version.clone(),
            cold: self.is_cold(now),
            running: self.batch.decoding(),
            queued: self.batch.queued(),
            prefill_tokens_per_s: rate / slowdown,
            cached_blocks: self.cache.len(),
        };
        if self.loads.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        let oldest = now.checked_sub(cfg.load_lag).unwrap_or(now);
        while self.loads.len() > 1 && self.loads[1].0 <= oldest {
            self.loads.pop_front();
        }
        self.loads.push_back((now, load));
    }
}

async fn run_batch(engine: sync::Arc<Engine>) {
    loop {
        if engine.advance() {
            tokio::time::sleep(STEP).await;
        } else {
            engine.wake.notified().await;
        }
    }
}
