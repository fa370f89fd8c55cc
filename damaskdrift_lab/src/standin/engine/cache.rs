//! Prefix cache with least-recently-used eviction and delayed, gappy events.

use std::collections;
use std::time::{Duration, Instant};

use damaskdrift_core::block;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Most events kept for readers.
const EVENT_LIMIT: usize = 20_000;

/// Blocks that an engine holds in accelerator memory.
pub struct Cache {
    capacity: usize,
    delay: Duration,
    gap_rate: f64,
    used: collections::HashMap<block::Key, u64>,
    by_use: collections::BTreeMap<u64, block::Key>,
    clock: u64,
    seq: u64,
    events: collections::VecDeque<Recorded>,
    rng: ChaCha8Rng,
}

/// Tells what happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The block is in the cache.
    Stored,
    /// The block was dropped.
    Evicted,
}

/// An event as readers get it.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Position of the event.
    pub seq: u64,
    /// The block.
    pub block: block::Key,
    /// What happened.
    pub kind: Kind,
}

struct Recorded {
    visible_at: Instant,
    event: Event,
}

impl Cache {
    /// Creates an empty cache of a capacity in blocks.
    pub fn new(capacity: usize, delay: Duration, gap_rate: f64, seed: u64) -> Self {
        Self {
            capacity,
            delay,
            gap_rate,
            used: collections::HashMap::new(),
            by_use: collections::BTreeMap::new(),
            clock: 0,
            seq: 0,
            events: collections::VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the number of blocks held.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Returns whether a block is held.
    pub fn contains(&self, key: &block::Key) -> bool {
        self.used.contains_key(key)
    }

    /// Marks the held prefix of a chain as used and returns its length in blocks.
    pub fn touch_prefix(&mut self, chain: &[block::Key]) -> usize {
        let held = chain.iter().take_while(|key| self.used.contains_key(key)).count();
        for key in &chain[..held] {
            self.touch(*key);
        }
        held
    }

    /// Stores blocks, evicting the least recently used ones when the cache is full.
    pub fn store(&mut self, chain: &[block::Key], now: Instant) {
        for key in chain {
            let is_new = !self.used.contains_key(key);
            self.touch(*key);
            if !is_new {
                continue;
            }
            self.record(*key, Kind::Stored, now);
            if self.used.len() > self.capacity {
                self.evict_one(now);
            }
        }
    }

    /// Drops all blocks, as a restart of the engine does.
    pub fn clear(&mut self, now: Instant) {
        while !self.used.is_empty() {
            self.evict_one(now);
        }
    }

    /// Returns the events after a position that are old enough to be visible, and the next position.
    pub fn events(&self, after: u64, now: Instant) -> (Vec<Event>, u64) {
        let visible = self.events.iter().take_while(|recorded| recorded.visible_at <= now);
        let events: Vec<Event> = visible
            .filter(|recorded| recorded.event.seq > after)
            .map(|recorded| recorded.event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.seq);
        (events, next)
    }

    fn touch(&mut self, key: block::Key) {
        self.clock += 1;
        if let Some(last) = self.used.insert(key, self.clock) {
            self.by_use.remove(&last);
        }
        self.by_use.insert(self.clock, key);
    }

    fn evict_one(&mut self, now: Instant) {
        if let Some((_, key)) = self.by_use.pop_first() {
            self.used.remove(&key);
            self.record(key, Kind::Evicted, now);
        }
    }

    fn record(&mut self, block: block::Key, kind: Kind, now: Instant) {
        self.seq += 1;
        if self.gap_rate > 0.0 && self.rng.random_bool(self.gap_rate) {
            return;
        }
        let event = Event { seq: self.seq, block, kind };
        self.events.push_back(Recorded { visible_at: now + self.delay, event });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
