//! Failures of operators' commands.

use std::io;
use std::path;

use damaskdrift_core::code;
use thiserror::Error;

use crate::cli;
use crate::settings;

/// A command that failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("[{}] {_0}", code::Code::UsageError.number())]
    Usage(String),
    /// A file cannot be read or written.
    #[error("[{}] cannot access {}: {source}", code::Code::SettingsUnreadable.number(), path.display())]
    File {
        /// The file.
        path: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A settings file has faults.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A fleet document has faults; one line each.
    #[error("[{}] {} has {} faults:\n  {}", code::Code::DocumentInvalid.number(), path.display(), faults.len(), faults.join("\n  "))]
    Document {
        /// The file.
        path: path::PathBuf,
        /// The faults with key and line.
        faults: Vec<String>,
    },
    /// The instance cannot be reached or did not answer.
    #[error("[{}] no answer from instance {address}: {message}{}", code::Code::PeerUnreachable.number(), retry_hint(*is_change))]
    Unreachable {
        /// The operators' listener that was called.
        address: std::net::SocketAddr,
        /// The cause.
        message: String,
        /// Whether the call would have changed the fleet document.
        is_change: bool,
    },
    /// The instance refused the call.
    #[error("[{code}] {message}")]
    Refused {
        /// Number of the result code.
        code: u64,
        /// What was wrong and what to do.
        message: String,
        /// The answer's body.
        body: serde_json::Value,
    },
    /// The answer does not have the expected form.
    #[error("[{}] instance {address} sent an unexpected answer: {message}", code::Code::Internal.number())]
    Answer {
        /// The operators' listener that was called.
        address: std::net::SocketAddr,
        /// What was wrong.
        message: String,
    },
    /// A plot cannot be drawn.
    #[error("[{}] cannot draw the plot: {_0}", code::Code::Internal.number())]
    Plot(String),
}

impl Error {
    /// Returns the process exit code of the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => cli::EXIT_USAGE,
            _ => cli::EXIT_FAILED,
        }
    }

    /// Returns the error as JSON for `--json`.
    pub fn to_json(&self) -> serde_json::Value {
        match self {
            Self::Refused { body, .. } => body.clone(),
            other => serde_json::json!({"error": {"message": other.to_string()}}),
        }
    }
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(format!("{error}; add --help for the options"))
    }
}

fn retry_hint(is_change: bool) -> &'static str {
    if is_change {
        "; the change may have been made, see 'damaskdrift template history' at another instance"
    } else {
        "; name another instance with --instance IP:PORT"
    }
}
