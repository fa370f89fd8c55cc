//! Detection of event streams that end inside an event.

use hyper::header;
use hyper::http::response;

/// Media type of event streams.
const MEDIA_TYPE: &str = "text/event-stream";
/// Endings of an event: an empty line, for each kind of line end.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
/// Length of the longest of [`EVENT_ENDS`].
const MAX_END_BYTES: usize = 3;

/// The part of an event stream that has arrived.
///
/// The framing of HTTP alone does not show that a stream is complete: one without a length and
/// without chunks ends with its connection, also if the upstream crashes.
#[derive(Debug, Default)]
pub struct EventStream {
    last_bytes: Vec<u8>,
}

impl EventStream {
    /// Returns the state of a stream that is about to arrive, or `None` if the response is not an
    /// event stream.
    pub fn of_response(parts: &response::Parts) -> Option<Self> {
        let media_type = parts.headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
        let media_type = media_type.split(';').next().unwrap_or_default().trim();
        (parts.status.is_success() && media_type.eq_ignore_ascii_case(MEDIA_TYPE))
            .then(Self::default)
    }

    /// Records bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        let tail = &bytes[bytes.len().saturating_sub(MAX_END_BYTES)..];
        self.last_bytes.extend_from_slice(tail);
        let excess = self.last_bytes.len().saturating_sub(MAX_END_BYTES);
        self.last_bytes.drain(..excess);
    }

    /// Returns whether the bytes so far end with a complete event.
    pub fn is_between_events(&self) -> bool {
        EVENT_ENDS.iter().any(|end| self.last_bytes.ends_with(end))
    }
}

/// Returns whether a response has neither a length nor chunks and ends with its connection.
pub fn is_close_delimited(parts: &response::Parts) -> bool {
    !parts.headers.contains_key(header::CONTENT_LENGTH)
        && !parts.headers.contains_key(header::TRANSFER_ENCODING)
}
