//! At-most-once execution of calls that may not be repeated.
//!
//! A call is claimed in the key-value service before its first byte is sent, and its answer is
//! recorded before the caller gets it. The caller of this module writes the records and reports
//! what became of each write; every decision is made here.

mod call;
mod claim;
mod record;
mod release;

pub use call::{Answered, Call, Claimed, Recording, Sent, Ticket, Unclaimed};
pub use claim::{Claim, Repeat};
pub use record::{Answer, Attempt, BodyHash, Invalid, Record, State, key};
pub use release::{Release, Releasing};

use crate::id;
use crate::time::Millis;

/// How long a record is kept; a key may be used anew afterwards.
pub const RETENTION: Millis = Millis::from_secs(24 * 60 * 60);
/// Largest body that is recorded, in bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Largest headers that are recorded, in bytes. One byte takes up to 6 in a record, and the
/// key-value service holds values up to 1 MB.
pub const MAX_HEADER_BYTES: usize = 64 << 10;
/// Longest time between asking for a claim and sending. A holder that was paused for longer must
/// not send, because its record may have expired by then and another attempt may hold the key.
pub const SEND_WITHIN: Millis = Millis::from_secs(60);

/// A stored value with the revision at which it was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stored<'a> {
    /// The revision.
    pub revision: id::Revision,
    /// The value.
    pub value: &'a [u8],
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written<'a> {
    /// The value was written at this revision.
    Done(id::Revision),
    /// The key had another revision; its present value is given unless the key is absent.
    Conflict(Option<Stored<'a>>),
    /// No answer came; the write may have taken effect or may still do so.
    Lost,
    /// The service refused the write, which had no effect.
    Refused,
}
