//! Authentication of operators.

use std::env;
use std::fs;
use std::path;

use serde::Deserialize;

/// Section `operators`: where to read the operators' token; the settings never hold the token
/// itself.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// Path of the file with the token; exactly one of the two sources must be set.
    pub token_file: Option<path::PathBuf>,
    /// Name of the environment variable with the token.
    pub token_env: Option<String>,
}

impl Operators {
    /// Reads the operators' token.
    ///
    /// # Errors
    ///
    /// Returns which source is unset, unreadable or empty.
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

    pub(super) fn validate(&self, errors: &mut Vec<String>) {
        if let Err(error) = self.token() {
            errors.push(error);
        }
    }
}
