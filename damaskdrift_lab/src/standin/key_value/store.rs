//! Keys of the key-value service with their values, revisions and TTLs.

use std::collections;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Value of a key and the revision of its last write.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Value as the writer sent it.
    pub value: Bytes,
    /// Revision of the write, counted over all keys from 1.
    pub revision: u64,
    expires_at: Option<Instant>,
}

/// Keys of the service, in memory.
#[derive(Debug, Default)]
pub struct Store {
    entries: collections::HashMap<String, Entry>,
    revision: u64,
}

/// Result of a compare-and-swap of a key's revision.
#[derive(Clone, Debug)]
pub enum SwapResult {
    /// The change took effect; holds the revision of the key's last write.
    Applied(u64),
    /// The key has another revision; holds its current entry, if any.
    Conflict(Option<Entry>),
}

impl Store {
    /// Returns the entry of a key unless it is absent or expired.
    pub fn get(&mut self, key: &str, now: Instant) -> Option<Entry> {
        let entry = self.entries.get(key)?;
        if entry.expires_at.is_some_and(|expires_at| expires_at <= now) {
            self.entries.remove(key);
            return None;
        }
        Some(entry.clone())
    }

    /// Writes a key if it has the expected revision, where 0 stands for an absent key.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expected: u64,
        ttl: Option<Duration>,
        now: Instant,
    ) -> SwapResult {
        let current = self.get(key, now);
        if current.as_ref().map_or(0, |entry| entry.revision) != expected {
            return SwapResult::Conflict(current);
        }
        self.revision += 1;
        let expires_at = ttl.and_then(|ttl| now.checked_add(ttl));
        let entry = Entry { value, revision: self.revision, expires_at };
        self.entries.insert(key.to_owned(), entry);
        SwapResult::Applied(self.revision)
    }

    /// Restarts the TTL of a key if it has the expected revision.
    pub fn renew(&mut self, key: &str, expected: u64, ttl: Duration, now: Instant) -> SwapResult {
        let current = self.get(key, now);
        match self.entries.get_mut(key) {
            Some(entry) if entry.revision == expected => {
                entry.expires_at = now.checked_add(ttl);
                SwapResult::Applied(expected)
            }
            _ => SwapResult::Conflict(current),
        }
    }

    /// Deletes a key if it has the expected revision.
    pub fn delete(&mut self, key: &str, expected: u64, now: Instant) -> SwapResult {
        match self.get(key, now) {
            Some(entry) if entry.revision == expected => {
                self.entries.remove(key);
                SwapResult::Applied(expected)
            }
            current => SwapResult::Conflict(current),
        }
    }
}
