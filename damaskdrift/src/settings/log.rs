//! Log settings.

use serde::Deserialize;

/// Section `log`: format and filter of the log on standard error.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Format of a log line.
    pub format: Format,
    /// Log filter such as `info` or `damaskdrift::peer=debug,info`.
    pub filter: String,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// One human-readable line per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: Format::Text, filter: "info".to_owned() }
    }
}
