//! Keys, values and revisions of the key-value service.

use std::collections;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// A stored value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The value.
    pub value: Bytes,
    /// Revision at which it was written.
    pub revision: u64,
    expires: Option<Instant>,
}

/// All keys of the service.
#[derive(Debug, Default)]
pub struct Store {
    entries: collections::HashMap<String, Entry>,
    revision: u64,
}

/// Result of a conditional change.
#[derive(Clone, Debug)]
pub enum Swap {
    /// The change took effect; the key was written at this revision.
    Done(u64),
    /// The key has another entry, or none.
    Conflict(Option<Entry>),
}

impl Store {
    /// Returns the entry of a key unless it is absent or expired.
    pub fn get(&mut self, key: &str, now: Instant) -> Option<Entry> {
        let entry = self.entries.get(key)?;
        if entry.expires.is_some_and(|expires| expires <= now) {
            self.entries.remove(key);
            return None;
        }
        Some(entry.clone())
    }

    /// Writes a key that has the expected revision; 0 means that it must be absent.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expected: u64,
        ttl: Option<Duration>,
        now: Instant,
    ) -> Swap {
        let present = self.get(key, now);
        if present.as_ref().map_or(0, |entry| entry.revision) != expected {
            return Swap::Conflict(present);
        }
        self.revision += 1;
        let entry =
            Entry { value, revision: self.revision, expires: ttl.and_then(|t| now.checked_add(t)) };
        self.entries.insert(key.to_owned(), entry);
        Swap::Done(self.revision)
    }

    /// Extends the life of a key that has the expected revision.
    pub fn renew(&mut self, key: &str, expected: u64, ttl: Duration, now: Instant) -> Swap {
        let present = self.get(key, now);
        match self.entries.get_mut(key) {
            Some(entry) if entry.revision == expected => {
                entry.expires = now.checked_add(ttl);
                Swap::Done(expected)
            }
            _ => Swap::Conflict(present),
        }
    }

    /// Deletes a key that has the expected revision.
    pub fn delete(&mut self, key: &str, expected: u64, now: Instant) -> Swap {
        match self.get(key, now) {
            Some(entry) if entry.revision == expected => {
                self.entries.remove(key);
                Swap::Done(expected)
            }
            present => Swap::Conflict(present),
        }
    }
}
