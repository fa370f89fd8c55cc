//! Prefix cache with least-recently-used eviction, and its event log with delays and losses.

use std::collections;
use std::time::{Duration, Instant};

use damaskdrift_core::block;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Maximum number of events retained for readers.
const MAX_EVENTS: usize = 20_000;
/// Stale entries always tolerated in the queue of uses, so that the queue of a small cache isn't
/// compacted on almost every use.
const STALE_USES_ALLOWANCE: usize = 1_024;

/// Set of KV cache blocks in an engine's accelerator memory.
pub struct Cache {
    capacity: usize,
    event_delay: Duration,
    event_gap_rate: f64,
    last_used: collections::HashMap<block::Key, u64>,
    /// Uses in order of time; only the latest use of a block counts, earlier ones are stale.
    uses: collections::VecDeque<(u64, block::Key)>,
    clock: u64,
    seq: u64,
    events: collections::VecDeque<LoggedEvent>,
    rng: ChaCha8Rng,
}

/// Change of a block in the cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// Event as sent to readers.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Position in the log, counted from 1; a missing position is a lost event.
    pub seq: u64,
    /// Key of the block.
    pub block: block::Key,
    /// Whether the block was added or removed.
    pub kind: EventKind,
}

struct LoggedEvent {
    visible_at: Instant,
    event: Event,
}

impl Cache {
    /// Creates an empty cache with a capacity in blocks.
    ///
    /// Events become visible after `event_delay`, and a share of `event_gap_rate` of them is lost.
    pub fn new(capacity: usize, event_delay: Duration, event_gap_rate: f64, seed: u64) -> Self {
        Self {
            capacity,
            event_delay,
            event_gap_rate,
            last_used: collections::HashMap::new(),
            uses: collections::VecDeque::new(),
            clock: 0,
            seq: 0,
            events: collections::VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Returns whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    /// Returns whether a block is cached.
    pub fn contains(&self, key: &block::Key) -> bool {
        self.last_used.contains_key(key)
    }

    /// Returns the length of the cached prefix of a chain, in blocks.
    pub fn prefix_len(&self, chain: &[block::Key]) -> usize {
        chain.iter().take_while(|key| self.last_used.contains_key(key)).count()
    }

    /// Marks the cached prefix of a chain as recently used and returns its length, in blocks.
    pub fn touch_prefix(&mut self, chain: &[block::Key]) -> usize {
        let len = self.prefix_len(chain);
        for key in &chain[..len] {
            self.touch(*key);
        }
        len
    }

    /// Inserts blocks, evicting the least recently used ones when the cache is full.
    pub fn insert(&mut self, chain: &[block::Key], now: Instant) {
        for key in chain {
            let is_new = !self.last_used.contains_key(key);
            self.touch(*key);
            if !is_new {
                continue;
            }
            self.record_event(*key, EventKind::Stored, now);
            if self.last_used.len() > self.capacity {
                self.evict_one(now);
            }
        }
    }

    /// Evicts all blocks, as a restart of the engine would.
    pub fn clear(&mut self, now: Instant) {
        while !self.last_used.is_empty() {
            self.evict_one(now);
        }
    }

    /// Returns the visible events after a position, and the position to continue from.
    pub fn events(&self, after: u64, now: Instant) -> (Vec<Event>, u64) {
        let start = self.events.partition_point(|logged| logged.event.seq <= after);
        let visible = self.events.range(start..).take_while(|r| r.visible_at <= now);
        let events: Vec<Event> = visible.map(|logged| logged.event.clone()).collect();
        let next = events.last().map_or(after, |event| event.seq);
        (events, next)
    }

    fn touch(&mut self, key: block::Key) {
        self.clock += 1;
        self.last_used.insert(key, self.clock);
        self.uses.push_back((self.clock, key));
        if self.uses.len() > 2 * self.last_used.len() + STALE_USES_ALLOWANCE {
            self.uses.retain(|(clock, key)| self.last_used.get(key) == Some(clock));
        }
    }

    fn evict_one(&mut self, now: Instant) {
        while let Some((clock, key)) = self.uses.pop_front() {
            if self.last_used.get(&key) == Some(&clock) {
                self.last_used.remove(&key);
                self.record_event(key, EventKind::Evicted, now);
                return;
            }
        }
    }

    fn record_event(&mut self, block: block::Key, kind: EventKind, now: Instant) {
        self.seq += 1;
        if self.event_gap_rate > 0.0 && self.rng.random_bool(self.event_gap_rate) {
            return;
        }
        let event = Event { seq: self.seq, block, kind };
        self.events.push_back(LoggedEvent { visible_at: now + self.event_delay, event });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
