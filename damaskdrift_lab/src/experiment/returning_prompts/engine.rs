//! Model of an engine: one queue, one prefix cache and one transfer link.

use std::collections;
use std::time::{Duration, Instant};

use damaskdrift_core::block;
use damaskdrift_core::id;

use crate::experiment::returning_prompts::workload::SECOND;
use crate::standin::engine::cache::Cache;

/// Prompt tokens that an engine computes a second.
pub const PREFILL_RATE: f64 = 8_000.0;
/// Size of a block: 16 tokens of 128 KiB.
pub const BLOCK_BYTES: u64 = 2 << 20;
/// Bytes a second of a healthy link: 25 Gbit/s.
pub const LINK_RATE: f64 = 3.125e9;
/// Blocks of one transfer on the link.
pub const BATCH: usize = 16;

/// Blocks in the prefix cache of an engine.
const CACHE_BLOCKS: usize = 8_192;
/// Delay and share of loss of cache events.
const EVENT_DELAY: Duration = Duration::from_millis(200);
const EVENT_GAP_RATE: f64 = 0.05;
/// Time for which the queue length is remembered for late reports.
const HISTORY: u64 = SECOND;

/// A slow time of some links.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// First and last microsecond.
    pub from: u64,
    /// First microsecond after it.
    pub until: u64,
    /// Engines below this index are affected.
    pub engines: usize,
    /// Factor on the rate.
    pub factor: f64,
}

/// An engine.
pub struct Engine {
    /// Its name.
    pub id: id::Upstream,
    /// Its prefix cache.
    pub cache: Cache,
    /// Jobs that wait.
    pub queue: collections::VecDeque<usize>,
    /// The job that is computed.
    pub running: Option<usize>,
    /// End of the running prefill.
    pub busy_until: Option<u64>,
    /// Bytes carried by the link.
    pub link_bytes: u64,
    index: usize,
    link_free_at: u64,
    history: collections::VecDeque<(u64, usize)>,
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
            history: collections::VecDeque::from([(0, 0)]),
        }
    }

    /// Returns the requests that wait or run.
    pub fn load(&self) -> usize {
        self.queue.len() + usize::from(self.busy_until.is_some())
    }

    /// Remembers the queue length for late reports.
    pub fn note_load(&mut self, now: u64) {
        self.history.push_back((now, self.load()));
        while self.history.len() > 1 && self.history[1].0 + HISTORY <= now {
            self.history.pop_front();
        }
    }

    /// Returns the load at an earlier time.
    pub fn load_at(&self, at: u64) -> usize {
        let index = self.history.partition_point(|(time, _)| *time <= at);
        self.history[index.saturating_sub(1)].1
    }

    /// Returns the rate of the link in bytes a second.
    pub fn link_rate(&self, slowdown: &Slowdown, now: u64) -> f64 {
        let is_slow =
            self.index < slowdown.engines && (slowdown.from..slowdown.until).contains(&now);
        if is_slow { LINK_RATE * slowdown.factor } else { LINK_RATE }
    }

    /// Returns the bytes queued on the link.
    pub fn link_queued(&self, slowdown: &Slowdown, now: u64) -> u64 {
        let secs = self.link_free_at.saturating_sub(now) as f64 / SECOND as f64;
        (secs * self.link_rate(slowdown, now)) as u64
    }

    /// Queues blocks on the link and returns when they have passed.
    pub fn transfer(&mut self, blocks: usize, slowdown: &Slowdown, now: u64) -> u64 {
        let bytes = blocks as u64 * BLOCK_BYTES;
        let micros = bytes as f64 / self.link_rate(slowdown, now) * SECOND as f64;
        self.link_bytes += bytes;
        self.link_free_at = self.link_free_at.max(now) + micros as u64;
        self.link_free_at
    }

    /// Returns the tokens of a prompt that the cache does not hold.
    pub fn missing(&self, chain: &[block::Key], tokens: usize) -> usize {
        (tokens - self.cache.prefix_len(chain) * block::BLOCK_TOKENS).max(1)
    }
}

/// Converts a time of the model for the cache, which uses the process clock.
pub fn instant(base: Instant, now: u64) -> Instant {
    base + Duration::from_micros(now)
}
