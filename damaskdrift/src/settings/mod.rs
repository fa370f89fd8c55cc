//! Settings of an instance, read from a TOML file.

mod drain;
mod instance;
mod limits;
mod listen;
mod log;
mod operators;
mod platform;

use std::fs;
use std::io;
use std::path;

use damaskdrift_core::code;
use serde::Deserialize;
use thiserror::Error;

pub use drain::Drain;
pub use instance::Instance;
pub use limits::Limits;
pub use listen::Listen;
pub use log::{Format, Log};
pub use operators::Operators;
pub use platform::Platform;

/// All settings of an instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the instance.
    pub instance: Instance,
    /// Addresses of its listeners.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Source of the operators' token.
    pub operators: Operators,
    /// Limits on callers and upstream calls.
    #[serde(default)]
    pub limits: Limits,
    /// Draining at shutdown.
    #[serde(default)]
    pub drain: Drain,
    /// Log format and filter.
    #[serde(default)]
    pub log: Log,
}

/// A settings file that cannot be read or is invalid.
#[derive(Debug, Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("[{}] cannot read {}: {source}", code::Code::SettingsUnreadable.number(), path.display())]
    Unreadable {
        /// Path of the settings file.
        path: path::PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not valid TOML or holds an invalid value.
    #[error("[{}] {}: {message}", code::Code::SettingsInvalid.number(), path.display())]
    Invalid {
        /// Path of the settings file.
        path: path::PathBuf,
        /// The key, the line where known, and what is wrong.
        message: String,
    },
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns which keys are invalid and why, or that the file cannot be read.
    pub fn load(path: &path::Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|source| Error::Unreadable { path: path.to_owned(), source })?;
        let invalid = |message| Error::Invalid { path: path.to_owned(), message };
        let settings = Self::parse(&text).map_err(invalid)?;
        let errors = settings.validate();
        if errors.is_empty() { Ok(settings) } else { Err(invalid(errors.join("; "))) }
    }

    fn parse(text: &str) -> Result<Self, String> {
        let deserializer = toml::Deserializer::parse(text).map_err(|error| error.to_string())?;
        serde_path_to_error::deserialize(deserializer).map_err(|error| {
            let key = error.path().to_string();
            format!("{key}: {}", error.into_inner())
        })
    }

    fn validate(&self) -> Vec<String> {
        let mut errors = Vec::new();
        self.instance.validate(&mut errors);
        self.limits.validate(&mut errors);
        self.operators.validate(&mut errors);
        errors
    }
}
