//! Error type of the lab's programs.

use std::io;

use thiserror::Error;

/// Reason why a program of the lab failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{_0}")]
    Usage(String),
    /// An operation on a socket, file or process failed.
    #[error("{_0}: {_1}")]
    Io(String, io::Error),
    /// A process, response or measurement differs from what was expected.
    #[error("{_0}")]
    Unexpected(String),
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}
