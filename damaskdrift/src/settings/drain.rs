//! How the instance stops.

use serde::Deserialize;

/// Section `drain`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// How long callers are still accepted after SIGTERM, in milliseconds.
    pub accept_ms: u64,
    /// Longest time to wait for running requests, in milliseconds; absent means no limit.
    pub deadline_ms: Option<u64>,
}

impl Default for Drain {
    fn default() -> Self {
        Self { accept_ms: 3_000, deadline_ms: None }
    }
}
