//! Estimate of which blocks each engine holds.

use std::collections;

use crate::block;
use crate::id;

/// Most blocks remembered of one upstream; each takes some tens of bytes.
const MAX_BLOCKS: usize = 1 << 16;

/// Outdated uses that are always tolerated, so that a small cache is not tidied all the time.
const MIN_USES: usize = 1_024;

/// What a cache event says of a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The engine holds the block.
    Stored,
    /// The engine dropped the block.
    Evicted,
}

/// Remembers which blocks engines hold, from requests sent and from cache events.
///
/// Events come late and with gaps, so the estimate can be wrong both ways; a wrong one costs time
/// and never correctness, because the engine computes whatever it does not hold.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    upstreams: collections::HashMap<id::Upstream, Held>,
}

#[derive(Clone, Debug, Default)]
struct Held {
    boot: Option<id::Boot>,
    used: collections::HashMap<u64, u64>,
    /// Uses in order of time; one that is not the latest of its block is skipped.
    uses: collections::VecDeque<(u64, u64)>,
    clock: u64,
}

impl Residency {
    /// Notes the start of an upstream; what was known of an earlier start is forgotten.
    pub fn set_boot(&mut self, upstream: &id::Upstream, boot: &id::Boot) {
        let held = self.upstreams.entry(upstream.clone()).or_default();
        if held.boot.as_ref() != Some(boot) {
            *held = Held { boot: Some(boot.clone()), ..Held::default() };
        }
    }

    /// Notes that an upstream computed or imported a chain.
    pub fn note_chain(&mut self, upstream: &id::Upstream, chain: &[block::Key]) {
        let held = self.upstreams.entry(upstream.clone()).or_default();
        for key in chain {
            held.touch(short(key));
        }
    }

    /// Notes a cache event.
    pub fn note_event(&mut self, upstream: &id::Upstream, key: &block::Key, change: Change) {
        let held = self.upstreams.entry(upstream.clone()).or_default();
        match change {
            Change::Stored => held.touch(short(key)),
            Change::Evicted => held.remove(short(key)),
        }
    }

    /// Forgets the least recently used blocks above the number that an upstream reports.
    pub fn limit(&mut self, upstream: &id::Upstream, blocks: usize) {
        if let Some(held) = self.upstreams.get_mut(upstream) {
            held.shrink(blocks);
        }
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &id::Upstream) {
        self.upstreams.remove(upstream);
    }

    /// Returns how many blocks from the start of a chain an upstream seems to hold.
    pub fn prefix(&self, upstream: &id::Upstream, chain: &[block::Key]) -> usize {
        let Some(held) = self.upstreams.get(upstream) else {
            return 0;
        };
        chain.iter().take_while(|key| held.used.contains_key(&short(key))).count()
    }
}

impl Held {
    fn touch(&mut self, key: u64) {
        self.clock += 1;
        self.used.insert(key, self.clock);
        self.uses.push_back((self.clock, key));
        self.shrink(MAX_BLOCKS);
        if self.uses.len() > 2 * self.used.len() + MIN_USES {
            self.uses.retain(|(clock, key)| self.used.get(key) == Some(clock));
        }
    }

    fn remove(&mut self, key: u64) {
        self.used.remove(&key);
    }

    fn shrink(&mut self, blocks: usize) {
        while self.used.len() > blocks {
            let Some((clock, key)) = self.uses.pop_front() else {
                return;
            };
            if self.used.get(&key) == Some(&clock) {
                self.used.remove(&key);
            }
        }
    }
}

/// Shortens a key; a collision only makes the estimate wrong.
fn short(key: &block::Key) -> u64 {
    let bytes = key.as_bytes().first_chunk().expect("a key is longer than 8 bytes");
    u64::from_le_bytes(*bytes)
}
