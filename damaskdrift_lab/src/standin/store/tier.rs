//! KV cache blocks in a memory and a disk tier, with LRU eviction.

use std::collections;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskdrift_core::block;

/// Maximum TTL of a pin.
const MAX_PIN_TTL: Duration = Duration::from_secs(60);

/// Reason for which a call was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The block is absent, not sealed, pinned or of another generation.
    Conflict,
    /// No space can be freed for the block.
    Full,
}

/// Memory tier and disk tier of a store.
#[derive(Debug)]
pub struct Tiers {
    memory_bytes: usize,
    disk_bytes: usize,
    evict: bool,
    blocks: collections::HashMap<block::Key, StoredBlock>,
    /// Logical clock for `StoredBlock::last_used`.
    clock: u64,
    last_pin_id: u64,
}

#[derive(Debug)]
struct StoredBlock {
    generation: u64,
    data: Bytes,
    manifest: Option<block::Manifest>,
    last_used: u64,
    on_disk: bool,
    pinned_until: Option<Instant>,
}

impl Tiers {
    /// Creates empty tiers with their capacities in bytes.
    pub fn new(memory_bytes: usize, disk_bytes: usize, evict: bool) -> Self {
        let blocks = collections::HashMap::new();
        Self { memory_bytes, disk_bytes, evict, blocks, clock: 0, last_pin_id: 0 }
    }

    /// Returns the number of blocks, the bytes in memory and the bytes on disk.
    pub fn size(&self) -> (usize, usize, usize) {
        (self.blocks.len(), self.tier_bytes(false), self.tier_bytes(true))
    }

    /// Returns whether a block is present in the given generation.
    pub fn is_current(&self, key: &block::Key, generation: u64) -> bool {
        self.blocks.get(key).is_some_and(|stored| stored.generation == generation)
    }

    /// Writes a block; readers can't access it until it is sealed.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Conflict`] when the key has a sealed block of this generation, a block of
    /// a later generation or a pinned block, and [`Refusal::Full`] when no space can be freed.
    pub fn write(
        &mut self,
        key: block::Key,
        generation: u64,
        data: Bytes,
        now: Instant,
    ) -> Result<(), Refusal> {
        if let Some(stored) = self.blocks.get(&key) {
            let is_sealed = stored.manifest.is_some() && stored.generation >= generation;
            if is_sealed || stored.generation > generation || stored.is_pinned(now) {
                return Err(Refusal::Conflict);
            }
            self.blocks.remove(&key);
        }
        self.make_room(data.len(), now)?;
        self.clock += 1;
        let stored = StoredBlock {
            generation,
            data,
            manifest: None,
            last_used: self.clock,
            on_disk: false,
            pinned_until: None,
        };
        self.blocks.insert(key, stored);
        Ok(())
    }

    /// Stores the manifest of a block, which makes it readable.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Conflict`] when the block is absent, or its generation or size differs
    /// from the manifest.
    pub fn seal(&mut self, key: &block::Key, manifest: block::Manifest) -> Result<(), Refusal> {
        let stored = self.blocks.get_mut(key).ok_or(Refusal::Conflict)?;
        if stored.generation != manifest.generation || stored.data.len() as u64 != manifest.bytes {
            return Err(Refusal::Conflict);
        }
        stored.manifest = Some(manifest);
        Ok(())
    }

    /// Returns the manifest of a block, or `None` when the block is absent or not sealed.
    pub fn manifest(&self, key: &block::Key) -> Option<&block::Manifest> {
        self.blocks.get(key)?.manifest.as_ref()
    }

    /// Protects a sealed block from eviction and replacement for `ttl`, at most 60 s, and
    /// returns the pin's id.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Conflict`] when no sealed block of this generation is present.
    pub fn pin(
        &mut self,
        key: &block::Key,
        generation: u64,
        ttl: Duration,
        now: Instant,
    ) -> Result<u64, Refusal> {
        let stored = self.sealed(key, generation)?;
        let until = now + ttl.min(MAX_PIN_TTL);
        stored.pinned_until = stored.pinned_until.max(Some(until));
        self.last_pin_id += 1;
        Ok(self.last_pin_id)
    }

    /// Returns the data of a sealed block and whether it is in the disk tier.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Conflict`] when no sealed block of this generation is present.
    pub fn read(&mut self, key: &block::Key, generation: u64) -> Result<(Bytes, bool), Refusal> {
        self.clock += 1;
        let last_used = self.clock;
        let stored = self.sealed(key, generation)?;
        stored.last_used = last_used;
        Ok((stored.data.clone(), stored.on_disk))
    }

    /// Frees a block unless it is pinned; returns whether it was freed.
    pub fn free(&mut self, key: &block::Key, now: Instant) -> bool {
        let is_unpinned = self.blocks.get(key).is_some_and(|stored| !stored.is_pinned(now));
        is_unpinned && self.blocks.remove(key).is_some()
    }

    fn sealed(&mut self, key: &block::Key, generation: u64) -> Result<&mut StoredBlock, Refusal> {
        let stored = self.blocks.get_mut(key).ok_or(Refusal::Conflict)?;
        let is_sealed = stored.manifest.is_some() && stored.generation == generation;
        if is_sealed { Ok(stored) } else { Err(Refusal::Conflict) }
    }

    fn make_room(&mut self, bytes: usize, now: Instant) -> Result<(), Refusal> {
        if bytes > self.memory_bytes {
            return Err(Refusal::Full);
        }
        while self.tier_bytes(false) + bytes > self.memory_bytes {
            let key = self.least_recently_used(false, now).ok_or(Refusal::Full)?;
            let len = self.blocks.get(&key).map_or(0, |stored| stored.data.len());
            self.make_room_on_disk(len, now)?;
            if let Some(stored) = self.blocks.get_mut(&key) {
                stored.on_disk = true;
            }
        }
        Ok(())
    }

    fn make_room_on_disk(&mut self, bytes: usize, now: Instant) -> Result<(), Refusal> {
        if bytes > self.disk_bytes {
            return Err(Refusal::Full);
        }
        while self.tier_bytes(true) + bytes > self.disk_bytes {
            if !self.evict {
                return Err(Refusal::Full);
            }
            let key = self.least_recently_used(true, now).ok_or(Refusal::Full)?;
            self.blocks.remove(&key);
        }
        Ok(())
    }

    fn least_recently_used(&self, on_disk: bool, now: Instant) -> Option<block::Key> {
        let candidates = self.blocks.iter();
        let candidates = candidates.filter(|(_, s)| s.on_disk == on_disk && !s.is_pinned(now));
        candidates.min_by_key(|(_, stored)| stored.last_used).map(|(key, _)| *key)
    }

    fn tier_bytes(&self, on_disk: bool) -> usize {
        let blocks = self.blocks.values().filter(|stored| stored.on_disk == on_disk);
        blocks.map(|stored| stored.data.len()).sum()
    }
}

impl StoredBlock {
    fn is_pinned(&self, now: Instant) -> bool {
        self.pinned_until.is_some_and(|until| now < until)
    }
}
