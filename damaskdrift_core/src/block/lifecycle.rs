//! Lifecycle of a block in a cache store: written, sealed, pinned for a transfer, freed.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::block;
use crate::time::Millis;

/// Time before the expiry of a pin at which it is treated as expired.
///
/// The TTL of a pin is counted from the time its request was sent, so clocks need not agree. The
/// margin covers the time from the last verification to the use of the data.
pub const PIN_MARGIN: Millis = Millis(50);

/// Metadata that seals a block; it is written after the block's data.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Generation of the block; reused memory gets a new one.
    pub generation: u64,
    /// Length of the data in bytes.
    pub bytes: u64,
    /// BLAKE3 hash of the data in hexadecimal notation.
    pub checksum: String,
}

/// A block in state `S` of its lifecycle.
#[derive(Debug, Display)]
#[display("block {key} of generation {generation}")]
pub struct Block<S> {
    key: block::Key,
    generation: u64,
    state: S,
}

/// State of a block whose data is being written and must not be read.
#[derive(Debug)]
pub struct Writing {
    hasher: blake3::Hasher,
    bytes: u64,
}

/// State of a block whose manifest is complete, so that it can be pinned.
#[derive(Debug)]
pub struct Sealed {
    manifest: Manifest,
}

/// State of a block whose data the cache store retains until the pin expires.
#[derive(Debug)]
pub struct Pinned {
    manifest: Manifest,
    valid_until: Millis,
}

/// State of a block whose memory can be reused under another generation.
#[derive(Debug)]
pub struct Freed;

/// Reason to discard data read from a cache store; its tokens are recomputed.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum IntegrityError {
    /// The pin expired before the data was verified.
    #[error("the pin expired during the transfer")]
    PinExpired,
    /// The length of the data differs from the manifest.
    #[error("the length of the data does not match the manifest")]
    Length,
    /// The checksum of the data differs from the manifest.
    #[error("the checksum of the data does not match the manifest")]
    Checksum,
}

impl<S> Block<S> {
    /// Returns the key of the block.
    pub fn key(&self) -> &block::Key {
        &self.key
    }

    /// Returns the generation of the block's memory.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}

impl Block<Writing> {
    /// Creates an empty block under a generation that was never used for its key.
    pub fn new(key: block::Key, generation: u64) -> Self {
        Self { key, generation, state: Writing { hasher: blake3::Hasher::new(), bytes: 0 } }
    }

    /// Includes written data in the checksum and the length.
    pub fn append(&mut self, data: &[u8]) {
        self.state.hasher.update(data);
        self.state.bytes += data.len() as u64;
    }

    /// Completes the block; its manifest must be stored after all of its data.
    pub fn seal(self) -> Block<Sealed> {
        let Self { key, generation, state } = self;
        let checksum = state.hasher.finalize().to_hex().to_string();
        let manifest = Manifest { generation, bytes: state.bytes, checksum };
        Block { key, generation, state: Sealed { manifest } }
    }
}

impl Block<Sealed> {
    /// Creates a sealed block from a manifest read from a cache store.
    pub fn with_manifest(key: block::Key, manifest: Manifest) -> Self {
        Self { key, generation: manifest.generation, state: Sealed { manifest } }
    }

    /// Returns the manifest of the block.
    pub fn manifest(&self) -> &Manifest {
        &self.state.manifest
    }

    /// Marks the block as pinned after the cache store confirmed a pin requested at `sent_at`.
    pub fn pin(self, sent_at: Millis, ttl: Millis) -> Block<Pinned> {
        let Self { key, generation, state } = self;
        let state = Pinned { manifest: state.manifest, valid_until: sent_at + ttl - PIN_MARGIN };
        Block { key, generation, state }
    }

    /// Marks the block as freed, or replaced by another generation, in the cache store.
    pub fn free(self) -> Block<Freed> {
        Block { key: self.key, generation: self.generation, state: Freed }
    }
}

impl Block<Pinned> {
    /// Returns the manifest of the block.
    pub fn manifest(&self) -> &Manifest {
        &self.state.manifest
    }

    /// Returns whether the pin is still valid.
    pub fn is_pin_valid(&self, now: Millis) -> bool {
        now < self.state.valid_until
    }

    /// Verifies the pin, length and checksum of data that was read, and returns the data.
    ///
    /// # Errors
    ///
    /// Returns an [`IntegrityError`] if the data must be discarded and its tokens recomputed.
    pub fn verify<'a>(&self, data: &'a [u8], now: Millis) -> Result<&'a [u8], IntegrityError> {
        if !self.is_pin_valid(now) {
            return Err(IntegrityError::PinExpired);
        }
        if data.len() as u64 != self.state.manifest.bytes {
            return Err(IntegrityError::Length);
        }
        if blake3::hash(data).to_hex().as_str() != self.state.manifest.checksum {
            return Err(IntegrityError::Checksum);
        }
        Ok(data)
    }

    /// Drops the pin.
    pub fn release(self) -> Block<Sealed> {
        let Self { key, generation, state } = self;
        Block { key, generation, state: Sealed { manifest: state.manifest } }
    }
}
