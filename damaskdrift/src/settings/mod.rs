//! Settings of an instance, read from TOML.

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
    /// Who the instance is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// How operators authenticate.
    pub operators: Operators,
    /// Limits on callers and upstream calls.
    #[serde(default)]
    pub limits: Limits,
    /// How the instance stops.
    #[serde(default)]
    pub drain: Drain,
    /// How the instance logs.
    #[serde(default)]
    pub log: Log,
}

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("[{}] cannot read {}: {source}", code::Code::SettingsUnreadable.number(), path.display())]
    Unreadable {
        /// The file.
        path: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file has a fault.
    #[error("[{}] {}: {message}", code::Code::SettingsInvalid.number(), path.display())]
    Invalid {
        /// The file.
        path: path::PathBuf,
        /// The key, line and fault.
        message: String,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the key, line and fault.
    pub fn load(path: &path::Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|source| Error::Unreadable { path: path.to_owned(), source })?;
        let invalid = |message| Error::Invalid { path: path.to_owned(), message };
        let settings = Self::parse(&text).map_err(invalid)?;
        let faults = settings.faults();
        if faults.is_empty() { Ok(settings) } else { Err(invalid(faults.join("; "))) }
    }

    fn parse(text: &str) -> Result<Self, String> {
        let deserializer = toml::Deserializer::parse(text).map_err(|error| error.to_string())?;
        serde_path_to_error::deserialize(deserializer).map_err(|error| {
            let key = error.path().to_string();
            format!("{key}: {}", error.into_inner())
        })
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        self.instance.check(&mut faults);
        self.limits.check(&mut faults);
        self.operators.check(&mut faults);
        faults
    }
}
