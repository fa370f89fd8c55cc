//! Estimates which blocks each engine holds in its prefix cache.

use std::collections;

use crate::block;
use crate::id;

/// Maximum number of tracked blocks per upstream; each takes some tens of bytes.
const MAX_BLOCKS: usize = 1 << 16;

/// Number of outdated uses always tolerated, so that a small cache is not compacted on each use.
const MIN_OUTDATED_USES: usize = 1_024;

/// Change of a block in an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// The engine added the block to its cache.
    Stored,
    /// The engine evicted the block from its cache.
    Evicted,
}

/// Estimates which blocks engines hold, from completed requests and cache events.
///
/// Events arrive late and with gaps, so the estimate can be too high or too low. An error costs
/// time but never correctness, because the engine computes every block it does not hold.
#[derive(Clone, Debug, Default)]
pub struct Residency {
    upstreams: collections::HashMap<id::Upstream, UpstreamBlocks>,
}

#[derive(Clone, Debug, Default)]
struct UpstreamBlocks {
    boot: Option<id::Boot>,
    /// Clock value of the latest use of each block.
    last_used: collections::HashMap<u64, u64>,
    /// Uses in chronological order; entries other than the latest of a block are skipped.
    uses: collections::VecDeque<(u64, u64)>,
    clock: u64,
}

impl Residency {
    /// Sets the boot of an upstream and discards the blocks of an earlier boot.
    pub fn set_boot(&mut self, upstream: &id::Upstream, boot: &id::Boot) {
        let blocks = self.upstreams.entry(upstream.clone()).or_default();
        if blocks.boot.as_ref() != Some(boot) {
            *blocks = UpstreamBlocks { boot: Some(boot.clone()), ..UpstreamBlocks::default() };
        }
    }

    /// Records that an upstream computed or imported a chain.
    pub fn record_chain(&mut self, upstream: &id::Upstream, chain: &[block::Key]) {
        let blocks = self.upstreams.entry(upstream.clone()).or_default();
        for key in chain {
            blocks.touch(short_key(key));
        }
    }

    /// Records a cache event of an upstream.
    pub fn record_event(&mut self, upstream: &id::Upstream, key: &block::Key, event: CacheEvent) {
        let blocks = self.upstreams.entry(upstream.clone()).or_default();
        match event {
            CacheEvent::Stored => blocks.touch(short_key(key)),
            CacheEvent::Evicted => blocks.remove(short_key(key)),
        }
    }

    /// Removes the least recently used blocks above `max_blocks`, the number that an upstream
    /// reports.
    pub fn truncate(&mut self, upstream: &id::Upstream, max_blocks: usize) {
        if let Some(blocks) = self.upstreams.get_mut(upstream) {
            blocks.truncate(max_blocks);
        }
    }

    /// Removes an upstream and its blocks.
    pub fn remove(&mut self, upstream: &id::Upstream) {
        self.upstreams.remove(upstream);
    }

    /// Returns the number of leading blocks of a chain that an upstream is estimated to hold.
    pub fn prefix_len(&self, upstream: &id::Upstream, chain: &[block::Key]) -> usize {
        let Some(blocks) = self.upstreams.get(upstream) else {
            return 0;
        };
        chain.iter().take_while(|key| blocks.last_used.contains_key(&short_key(key))).count()
    }
}

impl UpstreamBlocks {
    fn touch(&mut self, key: u64) {
        self.clock += 1;
        self.last_used.insert(key, self.clock);
        self.uses.push_back((self.clock, key));
        self.truncate(MAX_BLOCKS);
        if self.uses.len() > 2 * self.last_used.len() + MIN_OUTDATED_USES {
            self.uses.retain(|(clock, key)| self.last_used.get(key) == Some(clock));
        }
    }

    fn remove(&mut self, key: u64) {
        self.last_used.remove(&key);
    }

    fn truncate(&mut self, max_blocks: usize) {
        while self.last_used.len() > max_blocks {
            let Some((clock, key)) = self.uses.pop_front() else {
                return;
            };
            if self.last_used.get(&key) == Some(&clock) {
                self.last_used.remove(&key);
            }
        }
    }
}

/// Truncates a key to 64 bits; a collision only makes the estimate wrong.
fn short_key(key: &block::Key) -> u64 {
    let bytes = key.as_bytes().first_chunk().expect("a key is longer than 8 bytes");
    u64::from_le_bytes(*bytes)
}
