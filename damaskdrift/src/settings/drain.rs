//! Settings for draining at shutdown.

use serde::Deserialize;

/// Section `drain`: how the instance stops.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// Time for which new connections from callers are still accepted after SIGTERM, in
    /// milliseconds.
    pub accept_ms: u64,
    /// Longest time to wait for running requests, in milliseconds; absent means no limit.
    pub deadline_ms: Option<u64>,
}

impl Default for Drain {
    fn default() -> Self {
        Self { accept_ms: 3_000, deadline_ms: None }
    }
}
