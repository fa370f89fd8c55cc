//! How operators authenticate.

use std::env;
use std::fs;
use std::path;

use serde::Deserialize;

/// Section `operators`; the token comes from a file or an environment variable, never from here.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// File that holds the token.
    pub token_file: Option<path::PathBuf>,
    /// Environment variable that holds the token.
    pub token_env: Option<String>,
}

impl Operators {
    /// Reads the operators' token.
    ///
    /// # Errors
    ///
    /// Returns which source is missing or empty.
    pub fn token(&self) -> Result<String, String> {
        let token = match (&self.token_file, &self.token_env) {
            (Some(path), None) => fs::read_to_string(path)
                .map_err(|error| format!("operators.token_file: {}: {error}", path.display()))?,
            (None, Some(name)) => {
                env::var(name).map_err(|error| format!("operators.token_env: {name}: {error}"))?
            }
            _ => return Err("operators: set exactly one of token_file and token_env".to_owned()),
        };
        let token = token.trim();
        if token.is_empty() {
            return Err("operators: the token is empty".to_owned());
        }
        Ok(token.to_owned())
    }

    pub(super) fn check(&self, faults: &mut Vec<String>) {
        if let Err(fault) = self.token() {
            faults.push(fault);
        }
    }
}
