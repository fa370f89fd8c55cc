//! Failures of a call to an upstream.

use damaskdrift_core::code;
use thiserror::Error;

/// A call to an upstream that received no complete response.
#[derive(Clone, Debug, Error)]
#[error("{message}")]
pub struct Failure {
    /// The result code for the caller's response and the logs.
    pub code: code::Code,
    /// Whether a byte of the request may have reached the upstream.
    pub sent: bool,
    /// The cause in plain words; part of the response to the caller.
    pub message: String,
}

impl Failure {
    /// Creates a failure that occurred before the first byte of the request was written.
    pub fn unsent(code: code::Code, message: String) -> Self {
        Self { code, sent: false, message }
    }

    /// Creates a failure that occurred after the first byte of the request may have been written.
    pub fn sent(code: code::Code, message: String) -> Self {
        Self { code, sent: true, message }
    }
}
