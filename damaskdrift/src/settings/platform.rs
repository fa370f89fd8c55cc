//! Addresses of the platform's services.

use std::net;

use serde::Deserialize;

/// Section `platform`: the external services that the instance depends on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the key-value service.
    pub key_value: net::SocketAddr,
    /// Address of the instance list service.
    pub instance_list: net::SocketAddr,
    /// Longest wait for a response of the platform's services, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    1_000
}
