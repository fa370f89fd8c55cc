//! The configuration of an entry instance as its operators wrote it.

use std::net;
use std::sync::Arc;

use crate::id;
use crate::time::Millis;

/// What may be sent a second time on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// A request may run more than once.
    Any,
    /// A request runs at most once.
    Never,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Share relative to the other targets of the route.
    pub weight: u32,
}

/// A route, selected by host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: Arc<str>,
    /// Host name without port.
    pub host: String,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Services that serve the route; never empty.
    pub targets: Vec<Target>,
    /// What may be sent a second time.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub is_stream: bool,
    /// Longest time until the final answer.
    pub timeout: Option<Millis>,
    /// Time within which an answer, or the first event of a stream, has its full worth.
    pub target_latency: Millis,
    /// Most upstreams that one request may be run on.
    pub attempts: u32,
    /// Rank of the route, 0 first.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_open: bool,
}

/// A workspace, selected by a caller's key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// The workspace.
    pub id: id::Workspace,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
    /// Whether kept KV cache is shared with no other workspace.
    pub is_isolated: bool,
    /// Keys of the workspace's callers.
    pub keys: Vec<String>,
}

/// The cold start of a service's upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cold {
    /// How long an upstream stays cold after its start.
    pub span: Millis,
    /// Requests a second that a cold upstream bears from all instances together.
    pub per_second: f64,
}

/// What the upstreams of a service hold as model engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for KV cache, in tokens.
    pub capacity_tokens: u64,
}

/// A service and the limits of each of its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service.
    pub id: id::Service,
    /// Connections that one upstream accepts from all callers together.
    pub connections: u32,
    /// Cold start.
    pub cold: Cold,
    /// Set for services whose upstreams are model engines.
    pub engine: Option<Engine>,
}

/// A store of kept KV cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Store {
    /// The store.
    pub id: id::Upstream,
    /// Its address.
    pub address: net::SocketAddr,
    /// The failure domain it stands in.
    pub domain: id::FailureDomain,
    /// Room for KV cache, in tokens.
    pub capacity_tokens: u64,
    /// Whether the store drops nothing by itself.
    pub is_managed: bool,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest header of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take for a header.
    pub header_timeout: Millis,
    /// How long a connection may stay without a request.
    pub idle_timeout: Millis,
}

/// The configuration as one document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Rises with each change; a document never replaces one with a higher version.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services in any order.
    pub services: Vec<Service>,
    /// Stores of kept KV cache.
    pub stores: Vec<Store>,
    /// Workspaces; `None` when callers need no key on any route.
    pub workspaces: Option<Vec<Workspace>>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}
