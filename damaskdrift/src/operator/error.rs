//! Errors of operators' commands.

use std::io;
use std::path;

use damaskdrift_core::code;
use thiserror::Error;

use crate::cli;
use crate::settings;

/// Error with which a command fails.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("[{}] {_0}", code::Code::UsageError.number())]
    Usage(String),
    /// A file cannot be read or written.
    #[error("[{}] cannot access {}: {source}", code::Code::SettingsUnreadable.number(), path.display())]
    File {
        /// Path of the file.
        path: path::PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A settings file has faults.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A fleet document has faults, which are printed one per line.
    #[error("[{}] {} has {} faults:\n  {}", code::Code::DocumentInvalid.number(), path.display(), faults.len(), faults.join("\n  "))]
    Document {
        /// Path of the document.
        path: path::PathBuf,
        /// Faults, each with key and line.
        faults: Vec<String>,
    },
    /// The instance cannot be reached or did not respond in time.
    #[error("[{}] no answer from instance {address}: {message}{}", code::Code::PeerUnreachable.number(), retry_hint(*is_change))]
    Unreachable {
        /// Address of the instance's operators' listener.
        address: std::net::SocketAddr,
        /// Cause of the failure.
        message: String,
        /// Whether the request would have changed the fleet document.
        is_change: bool,
    },
    /// The instance refused the request.
    #[error("[{code}] {message}")]
    Refused {
        /// Number of the result code, 0 if the response has none.
        code: u64,
        /// Cause, and what the operator can do about it.
        message: String,
        /// Response body, which `--json` prints unchanged.
        body: serde_json::Value,
    },
    /// The response does not have the expected form.
    #[error("[{}] instance {address} sent an unexpected answer: {message}", code::Code::Internal.number())]
    InvalidResponse {
        /// Address of the instance's operators' listener.
        address: std::net::SocketAddr,
        /// Difference from the expected form.
        message: String,
    },
    /// The plot cannot be drawn or written.
    #[error("[{}] cannot draw the plot: {_0}", code::Code::Internal.number())]
    Plot(String),
}

impl Error {
    /// Returns the exit code of the process that fails with the error.
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
