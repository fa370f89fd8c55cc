//! Settings of an entry instance.

use std::net;

use damaskdrift_core::id;
use damaskdrift_core::retry;
use damaskdrift_core::time::Millis;

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Failure domain of the instance.
    pub domain: id::FailureDomain,
    /// What the instance can bear relative to other instances; the ablest pass reports on.
    pub capacity: u32,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for the platform's readiness checks.
    pub readiness: net::SocketAddr,
    /// Address for other instances.
    pub peers: net::SocketAddr,
    /// Address that serves metrics.
    pub metrics: net::SocketAddr,
    /// Time after the acknowledged change of the configuration in which a removed key may be used.
    pub revocation: Millis,
    /// Bound on repeated sends, for all instances together.
    pub repeats: retry::Limit,
    /// Time that a stopping instance has until it is killed.
    pub grace: Millis,
    /// Time after which requests on older weights than the newest named must not begin.
    pub version_limit: Millis,
    /// Least time between the orders of two holders of a duty; zero where upstreams refuse the
    /// orders of the earlier holder themselves.
    pub turn: Millis,
    /// Least life of a lease at the platform's store.
    pub shortest_lease: Millis,
}
