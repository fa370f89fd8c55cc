//! Settings of an entry instance.

use std::net;

use damaskdrift_core::duty;
use damaskdrift_core::id;
use damaskdrift_core::retry;
use damaskdrift_core::rollout;
use damaskdrift_core::time::Millis;

/// Settings of an entry instance, fixed while it runs.
// The platform's `check` command prints this struct with `Debug`, so the field names are part of
// its output.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique among all instances.
    pub instance: id::Instance,
    /// Failure domain that the instance runs in.
    pub domain: id::FailureDomain,
    /// Capacity relative to other instances; those with the highest capacity become relays.
    pub capacity: u32,
    /// Listen address for callers.
    pub callers: net::SocketAddr,
    /// Listen address for the platform's readiness checks.
    pub readiness: net::SocketAddr,
    /// Listen address for connections of other instances.
    pub peers: net::SocketAddr,
    /// Listen address for metrics.
    pub metrics: net::SocketAddr,
    /// Time for which a removed API key may still be accepted after the configuration change was
    /// acknowledged.
    pub revocation: Millis,
    /// Limit on retries, for all instances together.
    pub repeats: retry::Bound,
    /// Limit on requests to an unproven software version, for all instances together.
    pub exposure: rollout::ExposureLimit,
    /// Grace period: time from the stop signal until the instance is killed.
    pub grace: Millis,
    /// Time after a new target version of a model's weights from which requests must not start on
    /// older ones.
    pub version_limit: Millis,
    /// Minimum time between the orders of a leader and those of its successor; zero where upstreams
    /// themselves reject orders of a former leader.
    pub turn: Millis,
    /// Minimum TTL of a lease in the platform store.
    pub shortest_lease: Millis,
    /// Memory of the machine in bytes; `None` if the control group or the system tells it.
    pub memory_bytes: Option<u64>,
    /// File descriptors that the process may open; `None` if only the system limits them.
    pub file_descriptors: Option<u32>,
    /// Duties that the leader performs for the fleet; `None` if the platform asks for none.
    pub duties: Option<Duties>,
}

/// Duties that the leader performs for the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// Time limits of usage reports; `None` if they are no duty.
    pub usage: Option<duty::UsageRules>,
    /// Whether the leader orders the number of upstreams of services that may be scaled.
    pub does_scaling: bool,
    /// Largest number of calls per second of all instances together.
    pub calls_per_s: f64,
    /// Minimum time between the actions of another holder and of an instance that held the duties
    /// before it.
    pub turn: Millis,
}
