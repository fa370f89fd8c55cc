//! How fast a client has to send and to read.

use crate::time::Millis;

/// Time in which a body need not grow, for the start of its sender.
const BODY_START: Millis = Millis(5_000);
/// Rate at which a body has to grow on average, in bytes per millisecond.
const MIN_BODY_BYTES_PER_MS: u64 = 1;

/// Why the instance closed a connection or refused to admit one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// Nothing was sent within the idle timeout.
    Idle,
    /// The header of a request was not complete in time.
    SlowHeader,
    /// The body of a request grew too slowly.
    SlowBody,
    /// The client took no byte of a response.
    SlowReader,
    /// The account of bytes was short.
    MemoryShort,
    /// All descriptors for such connections were in use.
    DescriptorsShort,
}

impl Reason {
    /// Returns the name for metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHeader => "slow-header",
            Self::SlowBody => "slow-body",
            Self::SlowReader => "slow-reader",
            Self::MemoryShort => "memory-short",
            Self::DescriptorsShort => "descriptors-short",
        }
    }
}

/// Times after which a connection without progress is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Time without a request.
    pub idle: Millis,
    /// Time from the first byte of a header to its end.
    pub header: Millis,
    /// Time in which a client takes no byte of a response.
    pub read: Millis,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { idle: Millis(15_000), header: Millis(15_000), read: Millis(30_000) }
    }
}

/// Returns when a body of which `bytes` have arrived must have grown further.
pub fn body_due(started_at: Millis, bytes: usize) -> Millis {
    started_at + BODY_START + Millis(bytes as u64 / MIN_BODY_BYTES_PER_MS)
}
