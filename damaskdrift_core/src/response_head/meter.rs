//! Counts the bytes and the interim responses until a response head is complete.

use std::error;

use derive_more::Display;

/// Maximum size of a response head together with all interim responses before it, in bytes.
pub const MAX_BYTES: usize = 64 << 10;
/// Maximum number of interim responses before a response head.
pub const MAX_INTERIM_RESPONSES: u32 = 32;
/// Length of a status line up to its status: `HTTP/1.1 200`.
const STATUS_END: usize = 12;
/// Start of the status in a status line.
const STATUS_START: usize = 9;

/// A limit that a response head exceeded.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Limit {
    /// See [`MAX_BYTES`].
    #[display("response head exceeds {MAX_BYTES} bytes")]
    Bytes,
    /// See [`MAX_INTERIM_RESPONSES`].
    #[display("more than {MAX_INTERIM_RESPONSES} interim responses")]
    InterimResponses,
}

/// Whether a response head has arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// More bytes of the head are expected.
    Incomplete,
    /// The head is complete; all further bytes belong to the body.
    Complete,
}

/// Follows the bytes of a connection from a request to the end of its response head.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    bytes: usize,
    interim_responses: u32,
    /// Number of bytes of the current line, without its end.
    line_len: usize,
    /// Start of the current head's status line.
    status_line: [u8; STATUS_END],
    /// Whether the status line of the current head has ended.
    is_in_headers: bool,
}

impl error::Error for Limit {}

impl Limit {
    /// Returns the name of the limit in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Bytes => "response-head-bytes",
            Self::InterimResponses => "interim-responses",
        }
    }
}

impl Meter {
    /// Counts bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Returns the limit that is exceeded before the head is complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Progress, Limit> {
        for byte in bytes {
            self.bytes += 1;
            match byte {
                b'\n' if self.line_len > 0 => {
                    self.is_in_headers = true;
                    self.line_len = 0;
                }
                // Empty lines before a status line are no end of a head.
                b'\n' if !self.is_in_headers => {}
                b'\n' if !self.is_interim() => return Ok(Progress::Complete),
                b'\n' => {
                    self.interim_responses += 1;
                    if self.interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(Limit::InterimResponses);
                    }
                    self.is_in_headers = false;
                }
                b'\r' => {}
                _ => {
                    if !self.is_in_headers && self.line_len < STATUS_END {
                        self.status_line[self.line_len] = *byte;
                    }
                    self.line_len += 1;
                }
            }
            if self.bytes >= MAX_BYTES {
                return Err(Limit::Bytes);
            }
        }
        Ok(Progress::Incomplete)
    }

    /// Returns whether the current head is that of an interim response. After status 101 the
    /// connection changes its protocol, so that is a final one.
    fn is_interim(&self) -> bool {
        let status = &self.status_line[STATUS_START..];
        status[0] == b'1' && status != b"101"
    }
}
