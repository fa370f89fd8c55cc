//! Prefix cache with least-recently-used eviction and delayed, gappy events.

use std::collections;
use std::time::{Duration, Instant};

use damaskdrift_core::block;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Most events kept for readers.
const EVENT_LIMIT: usize = 20_000;
/// Outdated uses that are always tolerated, so that a small cache is not tidied all the time.
const MIN_USES: usize = 1_024;

/// Blocks that an engine holds in accelerator memory.
pub struct Cache {
    capacity: usize,
    delay: Duration,
    gap_rate: f64,
    used: collections::HashMap<block::Key, u64>,
    /// Uses in order of time; one that is not the latest of its block is skipped.
    uses: collections::VecDeque<(u64, block::Key)>,
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
            uses: collections::VecDeque::new(),
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

    /// Returns the length of the held prefix of a chain, in blocks.
    pub fn prefix(&self, chain: &[block::Key]) -> usize {
        chain.iter().take_while(|key| self.used.contains_key(key)).count()
    }

    /// Marks the held prefix of a chain as used and returns its length in blocks.
    pub fn touch_prefix(&mut self, chain: &[block::Key]) -> usize {
        let held = self.prefix(chain);
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
        let start = self.events.partition_point(|recorded| recorded.event.seq <= after);
        let visible = self.events.range(start..).take_while(|r| r.visible_at <= now);
        let events: Vec<Event> = visible.map(|recorded| recorded.event.clone()).collect();
        let next = events.last().map_or(after, |event| event.seq);
        (events, next)
    }

    fn touch(&mut self, key: block::Key) {
        self.clock += 1;
        self.used.insert(key, self.clock);
        self.uses.push_back((self.clock, key));
        if self.uses.len() > 2 * self.used.len() + MIN_USES {
            self.uses.retain(|(clock, key)| self.used.get(key) == Some(clock));
        }
    }

    fn evict_one(&mut self, now: Instant) {
        while let Some((clock, key)) = self.uses.pop_front() {
            if self.used.get(&key) == Some(&clock) {
                self.used.remove(&key);
                self.record(key, Kind::Evicted, now);
                return;
            }
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
