//! The configuration document of entry instances, as written by operators.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;

use crate::duty;
use crate::id;
use crate::time::Millis;

/// Whether a request of a route may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A request may run more than once.
    MayRunAgain,
    /// A request runs at most once; it is retried only after an attempt that did not run.
    AtMostOnce,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// A route, selected by host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Arc<str>,
    /// Host name without port.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Services that the requests are distributed to; never empty.
    pub targets: Vec<Target>,
    /// Whether a request may be retried after an attempt that may have run.
    pub retry_policy: RetryPolicy,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Time within which a request must complete; `None` for no limit.
    pub timeout: Option<Millis>,
    /// Latency objective for the response, or for the first chunk of a stream.
    pub target_latency: Millis,
    /// Time without a chunk after which callers abandon a stream; `None` if they wait until the
    /// timeout.
    pub caller_patience: Option<Millis>,
    /// Maximum number of upstreams on which one request may run.
    pub max_attempts: u32,
    /// Priority of the route's requests; 0 is the highest.
    pub priority: u8,
    /// Whether callers need no key.
    pub allows_anonymous: bool,
}

/// A workspace, selected by the caller's key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// The workspace.
    pub id: id::Workspace,
    /// Priority that overrides the route's; `None` to use the route's.
    pub priority: Option<u8>,
    /// Whether cached prompt segments are not shared with other workspaces.
    pub is_isolated: bool,
    /// Keys that authenticate the workspace's callers.
    pub keys: Vec<String>,
}

/// Duration and capacity of the cold start of a service's upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdStart {
    /// How long an upstream stays cold after its start.
    pub duration: Millis,
    /// Requests per second that a cold upstream can sustain from all instances together; 0 for no
    /// limit.
    pub max_requests_per_s: f64,
}

/// Capacity of each upstream of a service whose upstreams are model engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Size of an engine's KV cache, in tokens.
    pub capacity_tokens: u64,
    /// Size of the cached KV of one token, in bytes; 0 if unknown.
    pub token_bytes: u64,
    /// Speed of an engine's link for transfers of cached KV, in Mbit/s; 0 if unknown.
    pub link_mbit_per_s: u64,
}

/// A service and the limits that apply to each of its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service.
    pub id: id::Service,
    /// Connections that one upstream accepts from all of its clients together.
    pub connections: u32,
    /// Cold start of an upstream.
    pub cold_start: ColdStart,
    /// Capacity of an engine; `None` for services whose upstreams are not model engines.
    pub engine: Option<Engine>,
}

/// A cache store, which holds prompt segments outside the engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheStore {
    /// The cache store.
    pub id: id::Upstream,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Failure domain that it runs in.
    pub domain: id::FailureDomain,
    /// Capacity for cached KV, in tokens.
    pub capacity_tokens: u64,
    /// Speed of the store's link, in Mbit/s; 0 if unknown.
    pub link_mbit_per_s: u64,
    /// Time before the first byte of each transfer.
    pub first: Millis,
    /// Whether instances manage its eviction; the store then evicts nothing by itself.
    pub is_managed: bool,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request header, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a caller must send a complete header.
    pub header_timeout: Millis,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Millis,
}

/// A complete configuration document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Version, which increases with each change; a document never replaces one of a higher
    /// version.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services in any order.
    pub services: Vec<Service>,
    /// Cache stores in any order.
    pub cache_stores: Vec<CacheStore>,
    /// Workspaces; `None` if callers need no key on any route.
    pub workspaces: Option<Vec<Workspace>>,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Services whose number of upstreams the leader orders, if that is its duty.
    pub scaling: BTreeMap<id::Service, duty::ScalingLimits>,
}
