//! Addresses of the listeners.

use std::net;

use serde::Deserialize;

/// Section `listen`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP listener.
    pub callers: net::SocketAddr,
    /// Operators' HTTP listener, also for metrics and health.
    pub operators: net::SocketAddr,
    /// Listener for other instances.
    pub peers: net::SocketAddr,
}
