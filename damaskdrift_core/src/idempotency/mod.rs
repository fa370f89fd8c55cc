//! At-most-once execution of calls that must not be retried.
//!
//! A call is claimed in the key-value service before its first byte is sent, and its response is
//! recorded before it is returned to the caller. The code that uses this module performs the writes
//! and passes in their outcomes; this module decides on each next step and does no I/O.

mod call;
mod claim;
mod record;
mod release;

pub use call::{Call, CallAttempt, Claimed, RecordStep, Resolved, Sent, Unclaimed};
pub use claim::{ClaimStep, Duplicate};
pub use record::{AttemptId, BodyHash, InvalidRecord, Record, Response, State, key};
pub use release::{Release, ReleaseStep};

use crate::id;
use crate::time::Millis;

/// Retention of a record; its key may be used for another call afterwards.
pub const RETENTION: Millis = Millis::from_secs(24 * 60 * 60);
/// Largest response body that is recorded, in bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Largest total size of response headers that are recorded, in bytes.
///
/// One header byte takes up to 6 bytes in a record, and the key-value service stores values of up
/// to 1 MB.
pub const MAX_HEADER_BYTES: usize = 64 << 10;
/// Longest time between requesting a claim and sending the call.
///
/// A process that was paused for longer must not send the call, because the record may have expired
/// and another attempt may have claimed the key.
pub const MAX_CLAIM_AGE: Millis = Millis::from_secs(60);

/// A value read from the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stored<'a> {
    /// Revision at which the value was written.
    pub revision: id::Revision,
    /// Encoded [`Record`].
    pub value: &'a [u8],
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome<'a> {
    /// The value was written at this revision.
    Done(id::Revision),
    /// The key had another revision; holds the current value, or `None` if the key is absent.
    Conflict(Option<Stored<'a>>),
    /// No response arrived; the write may have taken effect or may still do so.
    Lost,
    /// The key-value service refused the write, which had no effect.
    Refused,
}
