//! The account of the bytes that an instance holds for others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use thiserror::Error;

/// Largest header or body of a request that may use the reserve for small ones.
pub const SMALL_BYTES: usize = 64 << 10;
/// Part of the account, as a divisor, that large headers and bodies cannot take.
const SMALL_RESERVE: usize = 4;
/// Memory that the process needs for itself: code, configuration, tables of upstreams and segments,
/// and messages between instances.
const PROCESS_BYTES: u64 = 32 << 20;
/// Part of the memory left, as a divisor, that the allocator may lose to fragmentation.
const FRAGMENTATION: u64 = 8;
/// Smallest account, as a divisor of the memory, on a machine that is smaller than planned for.
const MIN_ACCOUNT: u64 = 8;

/// What holds bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The buffers of a client's connection.
    Connection,
    /// The header of a request and what an instance needs to forward it.
    Request,
    /// The body of a request, also while it is kept for another attempt.
    Body,
    /// A response that the client does not read.
    Response,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Connection, Self::Request, Self::Body, Self::Response];

    /// Returns the name for metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Request => "request",
            Self::Body => "body",
            Self::Response => "response",
        }
    }
}

/// The account has not enough bytes left.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the instance has no memory left for this")]
pub struct Short;

/// The bytes that an instance may hold for others, and those in use.
///
/// The counters are atomic because a body that an account was charged for may be owned by any
/// thread; an instance itself runs on one.
#[derive(Debug)]
pub struct Account {
    capacity: usize,
    used: AtomicUsize,
    used_by_large: AtomicUsize,
    by_kind: [AtomicUsize; Kind::ALL.len()],
}

/// Bytes taken from an account, which are returned when this is dropped.
#[derive(Debug)]
pub struct Guard {
    account: Arc<Account>,
    kind: Kind,
    bytes: usize,
}

/// Returns the size of the account of a machine with this memory.
pub fn capacity(memory: u64) -> usize {
    let usable = memory / 5 * 4;
    let left = usable.saturating_sub(PROCESS_BYTES);
    let bytes = (left - left / FRAGMENTATION).max(memory / MIN_ACCOUNT);
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

impl Account {
    /// Creates an account of this size.
    pub fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            used: AtomicUsize::default(),
            used_by_large: AtomicUsize::default(),
            by_kind: Default::default(),
        })
    }

    /// Returns a guard that holds no bytes yet.
    pub fn guard(self: &Arc<Self>, kind: Kind) -> Guard {
        Guard { account: self.clone(), kind, bytes: 0 }
    }

    /// Returns the size of the account.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the bytes that one kind has in use.
    pub fn used_by(&self, kind: Kind) -> usize {
        self.by_kind[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns how many bytes are missing for a holding to grow; zero if it may.
    pub fn missing(&self, kind: Kind, from: usize, to: usize) -> usize {
        let added = to.saturating_sub(from);
        let total = (self.used() + added).saturating_sub(self.capacity);
        if large_part(kind, to) == 0 {
            return total;
        }
        let large = self.used_by_large.load(Ordering::Relaxed) + to - large_part(kind, from);
        total.max(large.saturating_sub(self.capacity - self.capacity / SMALL_RESERVE))
    }
}

impl Guard {
    /// Changes the number of bytes held. A reduction always succeeds.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has not enough bytes left; the guard is then unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Short> {
        if bytes > self.bytes && self.account.missing(self.kind, self.bytes, bytes) > 0 {
            return Err(Short);
        }
        let account = &self.account;
        replace(&account.used, self.bytes, bytes);
        let large = |bytes| large_part(self.kind, bytes);
        replace(&account.used_by_large, large(self.bytes), large(bytes));
        replace(&account.by_kind[self.kind as usize], self.bytes, bytes);
        self.bytes = bytes;
        Ok(())
    }

    /// Returns how many bytes the account lacks for the guard to hold this number.
    pub fn missing(&self, bytes: usize) -> usize {
        self.account.missing(self.kind, self.bytes, bytes)
    }

    /// Returns the number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // A reduction cannot fail.
        let _ = self.resize(0);
    }
}

/// Returns the part of a holding that may not use the reserve for small requests.
fn large_part(kind: Kind, bytes: usize) -> usize {
    let is_of_request = matches!(kind, Kind::Request | Kind::Body);
    if is_of_request && bytes > SMALL_BYTES { bytes } else { 0 }
}

fn replace(counter: &AtomicUsize, from: usize, to: usize) {
    if to >= from {
        counter.fetch_add(to - from, Ordering::Relaxed);
    } else {
        counter.fetch_sub(from - to, Ordering::Relaxed);
    }
}
