//! Limits on what clients may take from an instance: memory, file descriptors and time.

mod account;
mod connections;
mod descriptors;
mod lines;
mod progress;

pub use account::{Account, Guard, Kind, SMALL_BYTES, Short, capacity};
pub use connections::{Connections, Id, Phase, Wanted};
pub use descriptors::Descriptors;
pub use lines::Lines;
pub use progress::{Reason, Timeouts, body_due};

/// Bytes of a connection without a request: its buffers, its task and its entries in tables.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Read buffer that is part of them.
pub const READ_BUFFER_BYTES: usize = 8 << 10;
/// Bytes of a request at an upstream, beside its header and its body: the buffers of the
/// upstream's connection and the task that forwards the response.
pub const REQUEST_BYTES: usize = 24 << 10;
/// Bytes of a response that a caller does not read, beside what waits in the connection's write
/// buffer: a read buffer of the upstream's connection and two frames of the same size.
pub const UNREAD_RESPONSE_BYTES: usize = 192 << 10;
/// Bytes of one field in the map of a request's header: its entry, and its share of the map's
/// growth.
const FIELD_BYTES: usize = 160;
/// Number of header maps of a request: the caller's and the one that is sent to an upstream.
const HEADER_MAPS: usize = 2;
/// Bytes that a field takes on the wire beside its name and value: colon, CR and LF.
const FIELD_SEPARATOR_BYTES: usize = 3;

/// Returns the memory that the header of a request takes, with the copy for the upstream.
pub fn header_memory(fields: usize, bytes: usize) -> usize {
    HEADER_MAPS * (fields * FIELD_BYTES + bytes)
}

/// Returns the smallest number of bytes with which a header of these fields can be sent.
pub fn header_bytes<'a>(fields: impl Iterator<Item = (&'a str, &'a [u8])>) -> usize {
    fields.map(|(name, value)| name.len() + value.len() + FIELD_SEPARATOR_BYTES).sum()
}

/// Returns the largest number of fields in a header of a size.
pub const fn max_fields(header_bytes: usize) -> usize {
    // The name has at least one byte.
    header_bytes / (FIELD_SEPARATOR_BYTES + 1) + 1
}
