//! Failures of a call to an upstream.

use damaskdrift_core::code;
use thiserror::Error;

/// A call to an upstream that brought no complete answer.
#[derive(Clone, Debug, Error)]
#[error("{message}")]
pub struct Failure {
    /// The code that callers and logs show.
    pub code: code::Code,
    /// Whether a byte of the request may have reached the upstream.
    pub sent: bool,
    /// What happened.
    pub message: String,
}

impl Failure {
    /// Creates a failure before the first byte of the request was written.
    pub fn unsent(code: code::Code, message: String) -> Self {
        Self { code, sent: false, message }
    }

    /// Creates a failure after the first byte of the request was written.
    pub fn sent(code: code::Code, message: String) -> Self {
        Self { code, sent: true, message }
    }
}
