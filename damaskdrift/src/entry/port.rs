//! Interface between an entry instance and the platform that it runs on.

use std::fmt;
use std::fmt::Debug;
use std::net;
use std::rc::Rc;

use damaskdrift_core::balance;
use damaskdrift_core::duty;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::quarantine;
use damaskdrift_core::rollout;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use futures_util::future::LocalBoxFuture;
use hyper::HeaderMap;
use hyper::http::{request, response};
use thiserror::Error;

use crate::entry::client;

/// Fields of a caller's request head that routing and forwarding depend on.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request id; the same in every attempt.
    pub id: String,
    /// Host name without port.
    pub host: String,
    /// How long the caller waits for the response, if it set a limit.
    pub timeout: Option<Millis>,
    /// API key of the caller; absent from anonymous requests.
    pub api_key: Option<String>,
    /// The prompt; absent from requests that are not for a model engine.
    pub prompt: Option<Prompt>,
}

/// Size and segments of the prompt of a request.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Model that the request is for.
    pub model: id::Model,
    /// Tokens of the prompt plus the maximum number of output tokens.
    pub tokens: u64,
    /// Segments in prompt order; the last one is specific to this request.
    pub segments: Vec<prefix_cache::Segment>,
}

impl Prompt {
    /// Returns the ids of the segments that other requests may have as well.
    pub fn shared_segments(&self) -> Rc<[u64]> {
        let shared = self.segments.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|segment| segment.id).collect()
    }
}

/// Values that are added to the caller's headers when a request is forwarded.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHeaders<'a> {
    /// The only upstream that may run the request.
    pub upstream: &'a id::Upstream,
    /// Time left to respond, if it is limited.
    pub timeout: Option<Millis>,
    /// Workspace that the caller's API key belongs to; absent for anonymous requests.
    pub workspace: Option<&'a id::Workspace>,
    /// Values for model engines; absent if the request has no prompt.
    pub engine: Option<EngineHeaders<'a>>,
}

/// Values that are added to the headers of a request to a model engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineHeaders<'a> {
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Salt under which segments of the prompt are cached.
    pub salt: &'a str,
    /// Version of the weights on which the engine may start the request.
    pub expected_version: u64,
    /// Caching step for each segment of the prompt.
    pub plan: &'a prefix_cache::Plan,
    /// Time on the upstreams' clock at which a fetch of segments is abandoned; absent while that
    /// clock is unknown.
    pub fetch_deadline_ms: Option<u64>,
}

/// Error for a request whose head is malformed.
#[derive(Clone, Debug, Error)]
#[error("{_0}")]
pub struct InvalidHead(pub String);

/// Result of matching the head of an upstream's response to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResponseCheck {
    /// The response belongs to the request.
    Valid,
    /// The upstream did not run the request.
    NotRun,
    /// The request reached an upstream with another id or other weights, which did not run it.
    ///
    /// Holds the id and the version of the weights that the response reports.
    Misdirected(Option<id::Upstream>, Option<u64>),
    /// The response cannot be attributed to the request, for the given reason.
    Mismatched(&'static str),
}

/// What an upstream said about itself in the response to a call of the instance itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallNotice {
    /// The upstream that the response names, if it names one.
    pub upstream: Option<id::Upstream>,
    /// The notice.
    pub notice: balance::Notice,
}

/// Data that an instance publishes under its registration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Address for connections from other instances.
    pub address: net::SocketAddr,
    /// Failure domain that the instance runs in.
    pub domain: id::FailureDomain,
    /// Capacity relative to other instances.
    pub capacity: u32,
}

/// A decoded change of an item in the platform store.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration was written.
    Config(Box<routing::Document>),
    /// An upstream was added or its record changed.
    Upstream(balance::Record),
    /// The record of an upstream was removed.
    UpstreamRemoved(id::Upstream),
    /// The target version of a model's weights was set.
    TargetWeights(balance::Weights),
    /// Operators took a failure domain out of service (`true`) or returned it to service (`false`).
    DomainOutOfService(id::FailureDomain, bool),
    /// Operators ordered a rollout of a service's software, or removed the order (`None`).
    RolloutOrder(id::Service, Option<rollout::Order>),
    /// The status of a rollout was written or removed (`None`).
    RolloutStatus(id::Service, Option<rollout::Status>),
    /// The durable record of quarantined segments was written or removed (`None`).
    Quarantine(Option<quarantine::Record>),
    /// An instance registered, or its registration ended (`None`).
    Instance(id::Instance, Option<Registration>),
    /// An instance became leader under a fencing token, or there is no leader (`None`).
    Leader(Option<(id::Instance, id::FencingToken)>),
    /// The record of the duties was written, or removed.
    DutyRecord(DutyRecord),
    /// An item could not be decoded.
    Unreadable {
        /// Key of the item.
        key: String,
        /// The error.
        reason: String,
        /// The change to apply instead, which withdraws what the key stood for before.
        removal: Option<Box<Change>>,
    },
}

/// The record of the duties in the platform store.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyRecord {
    /// The record; `None` if it was removed or cannot be decoded.
    pub record: Option<duty::Record>,
    /// Revision that a write must replace; 0 if there is no record.
    pub revision: u64,
}

/// A call of a duty.
#[derive(Clone, Debug, PartialEq)]
pub enum DutyCall {
    /// Reports the requests of a usage window by workspace.
    Usage {
        /// Number of the window.
        window: u64,
        /// Requests by workspace.
        counts: duty::WindowCounts,
    },
    /// Orders the number of upstreams of a service in a failure domain.
    Scale {
        /// The service.
        service: id::Service,
        /// The failure domain.
        domain: id::FailureDomain,
        /// The number of upstreams.
        count: u32,
    },
}

/// Reply to a call of a duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyReply {
    /// The call was accepted, now or before.
    Accepted,
    /// A call with a higher fencing token was accepted.
    Fenced,
    /// All instances together made too many calls.
    TooManyCalls,
    /// The call was refused with this status.
    Refused(u16),
}

/// A written or removed item of the platform store, still encoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Full key in the store.
    pub key: String,
    /// Value in the encoding of the store; `None` when the item was removed.
    pub value: Option<String>,
    /// Store revision of the write or removal.
    pub revision: u64,
}

/// Items of the platform store up to a revision.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Store revision up to which the batch is complete.
    pub revision: u64,
    /// Items in the order of the store.
    pub items: Vec<Item>,
}

/// Error of a call to the platform store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store has compacted the history after the requested revision.
    #[error("the history after the revision is no longer available")]
    HistoryLost,
    /// The store rejected the call with this status and changed nothing.
    #[error("the store refused the call with status {_0}")]
    Refused(u16),
    /// The lease has expired or was revoked.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The call failed; whether it took effect is unknown.
    #[error(transparent)]
    Failed(#[from] client::Failure),
    /// The response does not match the protocol.
    #[error("the store's response cannot be decoded: {_0}")]
    Protocol(String),
}

/// Kind of a store entry that an instance holds under a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseKind {
    /// Registration of a live instance.
    Instance,
    /// Leadership: the leader orders weight loads and frees cached segments of old weights.
    Leader,
}

// The texts are values of the log key `kind` and stay the same if a variant is renamed.
impl fmt::Display for LeaseKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Instance => "Instance",
            Self::Leader => "Duty",
        })
    }
}

/// An order to an upstream to load weights.
#[derive(Clone, Debug)]
pub struct Order {
    /// Upstream that has to load the weights.
    pub upstream: id::Upstream,
    /// Model and version to load.
    pub weights: balance::Weights,
    /// The leader that sends the order.
    pub leader: id::Instance,
    /// Fencing token of the leader lease.
    pub fence: id::FencingToken,
    /// Number of orders that the upstream had accepted according to its latest report.
    pub sequence: u64,
}

/// Reply of an upstream to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The upstream executes the order or has the weights already.
    Accepted,
    /// Another order is in progress, or one was accepted since the report.
    Conflict,
    /// The upstream has accepted an order with a higher fencing token.
    Fenced,
    /// The upstream rejected the order with this status.
    Refused(u16),
}

/// Status report of a model engine.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of orders accepted since the engine started.
    pub order_sequence: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Number of running requests.
    pub running: u32,
    /// Loaded version of each model's weights.
    pub weights: Vec<balance::Weights>,
}

/// Protocols of the platform that an entry instance runs on.
///
/// Calls to the platform store and to upstreams are limited in time and never retried.
pub trait Port: Debug {
    /// Returns whether a request to the readiness address is a readiness check.
    fn is_readiness_check(&self, parts: &request::Parts) -> bool;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns which header is malformed.
    fn decode_request(&self, parts: &request::Parts) -> Result<RequestHead, InvalidHead>;

    /// Returns the headers of a request to an upstream.
    fn forward_headers(&self, caller: &HeaderMap, forward: &ForwardHeaders<'_>) -> HeaderMap;

    /// Checks whether the head of an upstream's response belongs to the request with this id.
    fn check_response(&self, parts: &response::Parts, id: &str) -> ResponseCheck;

    /// Returns whether the head of an upstream's response names the request that it belongs to.
    fn names_request(&self, parts: &response::Parts) -> bool;

    /// Decodes what an upstream says about itself in a response; nothing if the response cannot be
    /// attributed to the request with this id and to this upstream.
    fn decode_notice(
        &self,
        parts: &response::Parts,
        id: &str,
        upstream: &id::Upstream,
    ) -> balance::Notice;

    /// Removes and returns the notices in the responses to reports and orders from this address.
    fn take_call_notices(&self, address: net::SocketAddr) -> Vec<CallNotice>;

    /// Lists all items of the platform store.
    fn list(&self) -> LocalBoxFuture<'_, Result<Batch, StoreError>>;

    /// Decodes an item; returns `None` if its key is of no concern to entry instances.
    fn decode_item(&self, item: &Item) -> Option<Change>;

    /// Waits for changes after a revision; returns an empty batch when the wait ends without any.
    fn watch(&self, after: u64, wait: Millis) -> LocalBoxFuture<'_, Result<Batch, StoreError>>;

    /// Grants a new lease.
    fn grant_lease(&self, ttl: Millis) -> LocalBoxFuture<'_, Result<u64, StoreError>>;

    /// Renews a lease for its full TTL.
    fn renew_lease(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Revokes a lease, which removes the entries under it.
    fn revoke_lease(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Writes an entry under a lease and returns the revision of the write.
    ///
    /// Leadership is claimed only if there is no leader; otherwise returns `None`. A registration
    /// replaces an earlier one of the same instance.
    fn claim<'a>(
        &'a self,
        kind: LeaseKind,
        instance: &'a id::Instance,
        registration: &'a Registration,
        lease: u64,
    ) -> LocalBoxFuture<'a, Result<Option<u64>, StoreError>>;

    /// Writes the status of a rollout and returns the revision of the write.
    ///
    /// Returns `None` if the status in the store no longer has the revision `known`, which is 0 if
    /// there was none, or if another leader has claimed leadership since.
    fn put_rollout_status<'a>(
        &'a self,
        service: &'a id::Service,
        status: &'a rollout::Status,
        known: u64,
        fence: id::FencingToken,
    ) -> LocalBoxFuture<'a, Result<Option<u64>, StoreError>>;

    /// Writes the record of quarantined segments and returns the revision of the write.
    ///
    /// Returns `None` if the record in the store no longer has the revision `known`, which is 0 if
    /// there was none, or if another leader has claimed leadership since.
    fn put_quarantine<'a>(
        &'a self,
        blames: &'a [quarantine::RecordedBlame],
        known: u64,
        fence: id::FencingToken,
    ) -> LocalBoxFuture<'a, Result<Option<u64>, StoreError>>;

    /// Writes the record of the duties and returns the revision of the write.
    ///
    /// Returns `None` if the record in the store no longer has the revision of this one, or if
    /// another leader has claimed leadership since.
    fn put_duty_record<'a>(
        &'a self,
        record: &'a duty::Record,
        fence: id::FencingToken,
    ) -> LocalBoxFuture<'a, Result<Option<u64>, StoreError>>;

    /// Makes a call of a duty. One that fails may still be executed later.
    fn call_duty<'a>(
        &'a self,
        call: &'a DutyCall,
        holder: &'a id::Instance,
        fence: id::FencingToken,
    ) -> LocalBoxFuture<'a, Result<DutyReply, client::Failure>>;

    /// Requests the status report of a model engine.
    fn engine_report(
        &self,
        address: net::SocketAddr,
    ) -> LocalBoxFuture<'_, Result<Report, client::Failure>>;

    /// Orders a model engine to load weights.
    fn send_order<'a>(
        &'a self,
        address: net::SocketAddr,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<OrderReply, client::Failure>>;

    /// Waits for events of a cache store after a position.
    fn cache_events(
        &self,
        address: net::SocketAddr,
        since: u64,
        wait: Millis,
    ) -> LocalBoxFuture<'_, Result<prefix_cache::Page, client::Failure>>;

    /// Lists all segments in a cache store.
    fn cache_contents(
        &self,
        address: net::SocketAddr,
    ) -> LocalBoxFuture<'_, Result<prefix_cache::Page, client::Failure>>;

    /// Frees segments, given by salt and id, in a cache store if it is still in this epoch.
    fn free_segments<'a>(
        &'a self,
        address: net::SocketAddr,
        epoch: u64,
        segments: &'a [(String, u64)],
    ) -> LocalBoxFuture<'a, Result<(), client::Failure>>;
}
