//! Simulated engine with one queue, one prefix cache and one transfer link.

use std::collections;
use std::time::{Duration, Instant};

use damaskdrift_core::block;
use damaskdrift_core::id;

use crate::experiment::returning_prompts::workload::MICROS_PER_SEC;
use crate::standin::engine::cache::Cache;

/// Prefill rate of an engine in tokens per second.
pub const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Size of a block: 16 tokens of 128 KiB.
pub const BLOCK_BYTES: u64 = 2 << 20;
/// Rate of a healthy link in bytes per second (25 Gbit/s).
pub const LINK_BYTES_PER_S: f64 = 3.125e9;
/// Number of blocks that an import transfers at a time.
pub const BATCH_BLOCKS: usize = 16;

/// Capacity of an engine's prefix cache.
const CACHE_BLOCKS: usize = 8_192;
/// Time until a cache event is visible to instances.
const EVENT_DELAY: Duration = Duration::from_millis(200);
/// Share of cache events that are lost.
const EVENT_GAP_RATE: f64 = 0.05;
/// Retention of past loads, from which delayed load reports are served.
const LOAD_RETENTION_US: u64 = MICROS_PER_SEC;

/// A period in which the links of some engines are slow.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Start, in microseconds of simulated time (inclusive).
    pub from: u64,
    /// End, in microseconds of simulated time (exclusive).
    pub until: u64,
    /// Number of affected engines, counted from index 0.
    pub engine_count: usize,
    /// Factor by which the link rate is multiplied.
    pub rate_factor: f64,
}

/// A simulated engine.
pub struct Engine {
    /// Identifier under which instances record estimates.
    pub id: id::Upstream,
    /// Blocks in the prefix cache, with delayed and incomplete events.
    pub cache: Cache,
    /// Indices of the jobs that wait for prefill, oldest first.
    pub queue: collections::VecDeque<usize>,
    /// Index of the job in prefill.
    pub running: Option<usize>,
    /// End of the running prefill in microseconds; absent while the engine is idle.
    pub busy_until: Option<u64>,
    /// Total bytes transferred on the link.
    pub link_bytes: u64,
    index: usize,
    /// Time in microseconds at which the link has transferred everything queued on it.
    link_free_at: u64,
    /// Loads with the times in microseconds at which they were recorded, oldest first.
    load_history: collections::VecDeque<(u64, usize)>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(index: usize, seed: u64) -> Self {
        let seed = seed.wrapping_add(index as u64);
        Self {
            id: id::Upstream::new(&format!("engine-{index}")),
            cache: Cache::new(CACHE_BLOCKS, EVENT_DELAY, EVENT_GAP_RATE, seed),
            queue: collections::VecDeque::new(),
            running: None,
            busy_until: None,
            link_bytes: 0,
            index,
            link_free_at: 0,
            load_history: collections::VecDeque::from([(0, 0)]),
        }
    }

    /// Returns the number of queued and running jobs.
    pub fn load(&self) -> usize {
        self.queue.len() + usize::from(self.busy_until.is_some())
    }

    /// Records the current load, from which delayed load reports are served.
    pub fn record_load(&mut self, now: u64) {
        self.load_history.push_back((now, self.load()));
        while self.load_history.len() > 1 && self.load_history[1].0 + LOAD_RETENTION_US <= now {
            self.load_history.pop_front();
        }
    }

    /// Returns the recorded load at an earlier time.
    pub fn load_at(&self, at: u64) -> usize {
        let index = self.load_history.partition_point(|(time, _)| *time <= at);
        self.load_history[index.saturating_sub(1)].1
    }

    /// Returns the current rate of the link in bytes per second.
    pub fn link_bytes_per_s(&self, slowdown: &Slowdown, now: u64) -> f64 {
        let is_slow =
            self.index < slowdown.engine_count && (slowdown.from..slowdown.until).contains(&now);
        if is_slow { LINK_BYTES_PER_S * slowdown.rate_factor } else { LINK_BYTES_PER_S }
    }

    /// Returns the bytes queued on the link, derived from its current rate.
    pub fn link_queued_bytes(&self, slowdown: &Slowdown, now: u64) -> u64 {
        let secs = self.link_free_at.saturating_sub(now) as f64 / MICROS_PER_SEC as f64;
        (secs * self.link_bytes_per_s(slowdown, now)) as u64
    }

    /// Queues blocks on the link and returns the end of their transfer in microseconds.
    pub fn transfer(&mut self, blocks: usize, slowdown: &Slowdown, now: u64) -> u64 {
        let bytes = blocks as u64 * BLOCK_BYTES;
        let micros = bytes as f64 / self.link_bytes_per_s(slowdown, now) * MICROS_PER_SEC as f64;
        self.link_bytes += bytes;
        self.link_free_at = self.link_free_at.max(now) + micros as u64;
        self.link_free_at
    }

    /// Returns the prompt tokens that are not cached, at least 1.
    pub fn uncached_tokens(&self, chain: &[block::Key], tokens: usize) -> usize {
        (tokens - self.cache.prefix_len(chain) * block::BLOCK_TOKENS).max(1)
    }
}

/// Converts simulated time to an instant of the process clock, which the cache uses.
pub fn to_instant(clock_start: Instant, now: u64) -> Instant {
    clock_start + Duration::from_micros(now)
}
