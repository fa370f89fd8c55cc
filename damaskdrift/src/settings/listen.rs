//! Addresses of the listeners.

use std::net;

use serde::Deserialize;

/// Section `listen`: the addresses that the instance binds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address of the HTTP listener for callers.
    pub callers: net::SocketAddr,
    /// Address of the HTTP listener for operators, which also serves metrics and health checks.
    pub operators: net::SocketAddr,
    /// Address of the listener for other instances.
    pub peers: net::SocketAddr,
}
