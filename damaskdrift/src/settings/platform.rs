//! Addresses of the platform's services.

use std::net;

use serde::Deserialize;

/// Section `platform`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Key-value service.
    pub key_value: net::SocketAddr,
    /// Instance list.
    pub instance_list: net::SocketAddr,
    /// Longest wait for an answer of the key-value service, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    1_000
}
