//! Limits on callers and upstream calls.

use serde::Deserialize;

/// Section `limits`: sizes and timeouts of callers' requests and upstream calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time a caller may take to send the headers of a request, and separately its body, in
    /// milliseconds.
    pub read_timeout_ms: u64,
    /// Longest time to connect to an upstream, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time to wait for an upstream's response head, or between two chunks of the body, in
    /// milliseconds.
    pub upstream_timeout_ms: u64,
    /// Longest time a request may wait for a slot, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Time without confirmation after which the configuration counts as stale, in milliseconds.
    pub freshness_limit_ms: u64,
    /// Largest fleet size that operators plan for, in instances.
    pub fleet_max: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            read_timeout_ms: 10_000,
            connect_timeout_ms: 1_000,
            upstream_timeout_ms: 30_000,
            queue_timeout_ms: 10_000,
            freshness_limit_ms: 2_000,
            fleet_max: 16,
        }
    }
}

impl Limits {
    pub(super) fn validate(&self, errors: &mut Vec<String>) {
        let positive = [
            ("max_body_bytes", self.max_body_bytes),
            ("read_timeout_ms", self.read_timeout_ms),
            ("connect_timeout_ms", self.connect_timeout_ms),
            ("upstream_timeout_ms", self.upstream_timeout_ms),
            ("freshness_limit_ms", self.freshness_limit_ms),
            ("fleet_max", u64::from(self.fleet_max)),
        ];
        for (key, value) in positive {
            if value == 0 {
                errors.push(format!("limits.{key}: must be at least 1"));
            }
        }
    }
}
