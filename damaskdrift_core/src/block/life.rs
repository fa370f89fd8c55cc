//! Life cycle of a block in a store: written, sealed, pinned for a transfer, freed.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::block;
use crate::time::Millis;

/// Time before the end of a pin at which it no longer counts.
///
/// The pin's life is counted from the time its request was sent, so clocks need not agree; the
/// margin covers the time from the last check to the use of the data.
pub const PIN_MARGIN: Millis = Millis(50);

/// Seals a block; it is written after the block's data.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Generation of the block; memory that is used again gets a new one.
    pub generation: u64,
    /// Length of the data in bytes.
    pub bytes: u64,
    /// BLAKE3 hash of the data in hexadecimal.
    pub checksum: String,
}

/// A block in one state of its life cycle.
#[derive(Debug, Display)]
#[display("block {key} of generation {generation}")]
pub struct Block<S> {
    key: block::Key,
    generation: u64,
    state: S,
}

/// The data is being written; nobody may read it.
#[derive(Debug)]
pub struct Writing {
    hasher: blake3::Hasher,
    bytes: u64,
}

/// The manifest is written; the data may be pinned.
#[derive(Debug)]
pub struct Sealed {
    manifest: Manifest,
}

/// The store keeps the data until the pin expires.
#[derive(Debug)]
pub struct Pinned {
    manifest: Manifest,
    until: Millis,
}

/// The memory may be used for other data under another generation.
#[derive(Debug)]
pub struct Freed;

/// Why data that was read may not be used; its tokens are computed again.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum Doubt {
    /// The pin expired before the data was checked.
    #[error("the pin expired during the transfer")]
    PinExpired,
    /// The data has another length than the manifest says.
    #[error("the data has another length than the manifest says")]
    Length,
    /// The data has another checksum than the manifest says.
    #[error("the data has another checksum than the manifest says")]
    Checksum,
}

impl<S> Block<S> {
    /// Returns the key.
    pub fn key(&self) -> &block::Key {
        &self.key
    }

    /// Returns the generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}

impl Block<Writing> {
    /// Starts to write a block under a generation that its key never had.
    pub fn new(key: block::Key, generation: u64) -> Self {
        Self { key, generation, state: Writing { hasher: blake3::Hasher::new(), bytes: 0 } }
    }

    /// Adds data that was written.
    pub fn append(&mut self, data: &[u8]) {
        self.state.hasher.update(data);
        self.state.bytes += data.len() as u64;
    }

    /// Ends the writing; the manifest has to be stored last.
    pub fn seal(self) -> Block<Sealed> {
        let Self { key, generation, state } = self;
        let checksum = state.hasher.finalize().to_hex().to_string();
        let manifest = Manifest { generation, bytes: state.bytes, checksum };
        Block { key, generation, state: Sealed { manifest } }
    }
}

impl Block<Sealed> {
    /// Takes up a block whose manifest was read from a store.
    pub fn with_manifest(key: block::Key, manifest: Manifest) -> Self {
        Self { key, generation: manifest.generation, state: Sealed { manifest } }
    }

    /// Returns the manifest.
    pub fn manifest(&self) -> &Manifest {
        &self.state.manifest
    }

    /// Notes that the store confirmed a pin whose request was sent at a time.
    pub fn pin(self, sent_at: Millis, ttl: Millis) -> Block<Pinned> {
        let Self { key, generation, state } = self;
        let state = Pinned { manifest: state.manifest, until: sent_at + ttl - PIN_MARGIN };
        Block { key, generation, state }
    }

    /// Notes that the store freed the block or has another generation of it.
    pub fn free(self) -> Block<Freed> {
        Block { key: self.key, generation: self.generation, state: Freed }
    }
}

impl Block<Pinned> {
    /// Returns the manifest.
    pub fn manifest(&self) -> &Manifest {
        &self.state.manifest
    }

    /// Returns whether the pin still counts.
    pub fn is_held(&self, now: Millis) -> bool {
        now < self.state.until
    }

    /// Returns data that was read if there is no doubt that it is the block's.
    ///
    /// # Errors
    ///
    /// Returns the doubt; the tokens are to be computed again.
    pub fn check<'a>(&self, data: &'a [u8], now: Millis) -> Result<&'a [u8], Doubt> {
        if !self.is_held(now) {
            return Err(Doubt::PinExpired);
        }
        if data.len() as u64 != self.state.manifest.bytes {
            return Err(Doubt::Length);
        }
        if blake3::hash(data).to_hex().as_str() != self.state.manifest.checksum {
            return Err(Doubt::Checksum);
        }
        Ok(data)
    }

    /// Gives up the pin.
    pub fn release(self) -> Block<Sealed> {
        let Self { key, generation, state } = self;
        Block { key, generation, state: Sealed { manifest: state.manifest } }
    }
}
