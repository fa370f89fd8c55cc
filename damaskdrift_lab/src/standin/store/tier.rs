//! Blocks in the memory and disk tiers.

use std::collections;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskdrift_core::block;

/// Longest life of a pin.
const MAX_PIN: Duration = Duration::from_secs(60);

/// Why a call was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The block is absent, pinned or has another generation.
    Conflict,
    /// No block can be freed.
    Full,
}

/// Blocks in the memory and disk tiers.
#[derive(Debug)]
pub struct Tiers {
    memory_bytes: usize,
    disk_bytes: usize,
    evict: bool,
    blocks: collections::HashMap<block::Key, Stored>,
    clock: u64,
    pins: u64,
}

#[derive(Debug)]
struct Stored {
    generation: u64,
    data: Bytes,
    manifest: Option<block::Manifest>,
    used: u64,
    on_disk: bool,
    pinned_until: Option<Instant>,
}

impl Tiers {
    /// Creates empty tiers.
    pub fn new(memory_bytes: usize, disk_bytes: usize, evict: bool) -> Self {
        let blocks = collections::HashMap::new();
        Self { memory_bytes, disk_bytes, evict, blocks, clock: 0, pins: 0 }
    }

    /// Returns the number of blocks and the bytes in memory and on disk.
    pub fn size(&self) -> (usize, usize, usize) {
        (self.blocks.len(), self.tier_bytes(false), self.tier_bytes(true))
    }

    /// Returns whether a block has a generation.
    pub fn is_current(&self, key: &block::Key, generation: u64) -> bool {
        self.blocks.get(key).is_some_and(|stored| stored.generation == generation)
    }

    /// Writes a block, which nobody can find until its manifest is written.
    ///
    /// # Errors
    ///
    /// Returns a conflict when the key has a sealed block of this or a later generation or a
    /// pinned one, and that the store is full when no space can be freed.
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
        let stored = Stored {
            generation,
            data,
            manifest: None,
            used: self.clock,
            on_disk: false,
            pinned_until: None,
        };
        self.blocks.insert(key, stored);
        Ok(())
    }

    /// Seals a block.
    ///
    /// # Errors
    ///
    /// Returns a conflict when no whole block of that generation is there.
    pub fn seal(&mut self, key: &block::Key, manifest: block::Manifest) -> Result<(), Refusal> {
        let stored = self.blocks.get_mut(key).ok_or(Refusal::Conflict)?;
        if stored.generation != manifest.generation || stored.data.len() as u64 != manifest.bytes {
            return Err(Refusal::Conflict);
        }
        stored.manifest = Some(manifest);
        Ok(())
    }

    /// Returns the manifest of a sealed block.
    pub fn manifest(&self, key: &block::Key) -> Option<&block::Manifest> {
        self.blocks.get(key)?.manifest.as_ref()
    }

    /// Keeps a sealed block from being freed for a time and returns the pin's id.
    ///
    /// # Errors
    ///
    /// Returns a conflict when the generation changed.
    pub fn pin(
        &mut self,
        key: &block::Key,
        generation: u64,
        ttl: Duration,
        now: Instant,
    ) -> Result<u64, Refusal> {
        let stored = self.sealed(key, generation)?;
        let until = now + ttl.min(MAX_PIN);
        stored.pinned_until = stored.pinned_until.max(Some(until));
        self.pins += 1;
        Ok(self.pins)
    }

    /// Returns the data of a sealed block and whether it lies on disk.
    ///
    /// # Errors
    ///
    /// Returns a conflict when the generation changed.
    pub fn read(&mut self, key: &block::Key, generation: u64) -> Result<(Bytes, bool), Refusal> {
        self.clock += 1;
        let used = self.clock;
        let stored = self.sealed(key, generation)?;
        stored.used = used;
        Ok((stored.data.clone(), stored.on_disk))
    }

    /// Frees a block, unless it is pinned.
    pub fn free(&mut self, key: &block::Key, now: Instant) -> bool {
        let is_free = self.blocks.get(key).is_some_and(|stored| !stored.is_pinned(now));
        is_free && self.blocks.remove(key).is_some()
    }

    fn sealed(&mut self, key: &block::Key, generation: u64) -> Result<&mut Stored, Refusal> {
        let stored = self.blocks.get_mut(key).ok_or(Refusal::Conflict)?;
        let is_sealed = stored.manifest.is_some() && stored.generation == generation;
        if is_sealed { Ok(stored) } else { Err(Refusal::Conflict) }
    }

    fn make_room(&mut self, bytes: usize, now: Instant) -> Result<(), Refusal> {
        if bytes > self.memory_bytes {
            return Err(Refusal::Full);
        }
        while self.tier_bytes(false) + bytes > self.memory_bytes {
            let key = self.oldest(false, now).ok_or(Refusal::Full)?;
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
            let key = self.oldest(true, now).ok_or(Refusal::Full)?;
            self.blocks.remove(&key);
        }
        Ok(())
    }

    fn oldest(&self, on_disk: bool, now: Instant) -> Option<block::Key> {
        let candidates = self.blocks.iter();
        let candidates = candidates.filter(|(_, s)| s.on_disk == on_disk && !s.is_pinned(now));
        candidates.min_by_key(|(_, stored)| stored.used).map(|(key, _)| *key)
    }

    fn tier_bytes(&self, on_disk: bool) -> usize {
        let blocks = self.blocks.values().filter(|stored| stored.on_disk == on_disk);
        blocks.map(|stored| stored.data.len()).sum()
    }
}

impl Stored {
    fn is_pinned(&self, now: Instant) -> bool {
        self.pinned_until.is_some_and(|until| now < until)
    }
}
