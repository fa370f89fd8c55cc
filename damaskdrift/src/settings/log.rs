//! How the instance logs.

use serde::Deserialize;

/// Section `log`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Layout of a line.
    pub format: Format,
    /// Filter such as `info` or `damaskdrift::peer=debug,info`.
    pub filter: String,
}

/// Layout of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// One readable line an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: Format::Text, filter: "info".to_owned() }
    }
}
