//! Failures of operators' commands.

use damaskdrift_core::code;
use thiserror::Error;

/// A command that failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("[{}] {_0}", code::Code::UsageError.number())]
    Usage(String),
}
