//! What an entry instance needs of the platform it runs on.

use std::fmt::Debug;
use std::net;

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use futures_util::future::LocalBoxFuture;
use hyper::HeaderMap;
use hyper::http::{request, response};
use thiserror::Error;

use crate::entry::client;

/// A caller's request as far as decisions depend on it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the request; the same in each send.
    pub id: String,
    /// Host name without port.
    pub host: String,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt, for requests to model engines.
    pub prompt: Option<Prompt>,
}

/// The prompt of a request.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The model it is for.
    pub model: id::Model,
    /// Tokens of the prompt and the most of the answer together.
    pub tokens: u64,
    /// Parts in order; the last belongs to this request alone.
    pub parts: Vec<prefix_cache::Segment>,
}

/// What a sent request carries beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The upstream that alone may run it.
    pub upstream: &'a id::Upstream,
    /// The time that is left.
    pub deadline: Option<Millis>,
    /// The workspace that holds the caller's key.
    pub workspace: Option<&'a id::Workspace>,
    /// What applies to model engines.
    pub engine: Option<EngineForward<'a>>,
}

/// What a request sent to a model engine carries.
#[derive(Clone, Copy, Debug)]
pub struct EngineForward<'a> {
    /// Rank of the request, 0 first.
    pub priority: u8,
    /// Salt under which parts of its prompt are kept.
    pub salt: &'a str,
    /// Version of the weights that it may begin on.
    pub version: u64,
    /// Steps for the parts of its prompt.
    pub plan: &'a prefix_cache::Plan,
    /// Time on the clock of upstreams by which a fetch has to end.
    pub fetch_until_ms: Option<u64>,
}

/// A request whose head cannot be understood.
#[derive(Clone, Debug, Error)]
#[error("{_0}")]
pub struct BadCall(pub String);

/// What the head of an upstream's answer tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It is the answer to this request.
    Genuine,
    /// The upstream did not run the request.
    NotRun,
    /// Another upstream, or one with other weights, got the request and did not run it; its own id
    /// and the version of its weights, if it told them.
    Misdirected(Option<id::Upstream>, Option<u64>),
    /// It is not the answer to this request; why.
    Foreign(&'static str),
}

/// What an instance tells of itself where it registers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Its address for other instances.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::FailureDomain,
    /// What it can bear relative to other instances.
    pub capacity: u32,
}

/// One change of what the platform's store holds, decoded.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Config(Box<routing::Document>),
    /// An upstream was listed or its entry changed.
    Upstream(balance::Record),
    /// An upstream's entry was removed.
    UpstreamGone(id::Upstream),
    /// New weights of a model were named.
    Weights(balance::Weights),
    /// Operators took a failure domain out, or back in.
    DomainOut(id::FailureDomain, bool),
    /// An instance registered, or its registration ended.
    Instance(id::Instance, Option<Registration>),
    /// A duty was taken by an instance under a fencing number, or became free.
    Duty(Option<(id::Instance, id::FencingToken)>),
    /// An entry that cannot be used; the key and why.
    Unreadable(String, String),
}

/// An item of the store as it was written, or removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value in the store's own encoding; `None` when it was removed.
    pub value: Option<String>,
    /// Revision of the write or removal.
    pub revision: u64,
}

/// Items up to a revision.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The revision of the store that the items reach.
    pub revision: u64,
    /// The items in order.
    pub items: Vec<Item>,
}

/// A failed call of the platform's store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store no longer has the history that was asked for.
    #[error("the history after the revision is no longer available")]
    HistoryLost,
    /// The store refused the call and did nothing.
    #[error("the store refused the call with status {_0}")]
    Refused(u16),
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseEnded,
    /// Nothing is known of the call's effect.
    #[error(transparent)]
    Failed(#[from] client::Failure),
    /// The answer does not fit the protocol.
    #[error("the store's answer cannot be read: {_0}")]
    Protocol(String),
}

/// What an instance registers under a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entry {
    /// That it is live.
    Instance,
    /// That it orders new weights and frees kept parts.
    Duty,
}

/// An order for new weights.
#[derive(Clone, Debug)]
pub struct Order {
    /// The upstream it is for.
    pub upstream: id::Upstream,
    /// The weights to load.
    pub weights: balance::Weights,
    /// Name of the holder of the duty.
    pub holder: id::Instance,
    /// Fencing number of the duty.
    pub fence: id::FencingToken,
    /// Orders that the upstream had accepted when its report was read.
    pub sequence: u64,
}

/// An upstream's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// It carries the order out, or the order holds already.
    Accepted,
    /// Another order is under way, or one came between.
    Conflict,
    /// A holder with a higher fencing number has ordered.
    Fenced,
    /// It refused the order; its status.
    Refused(u16),
}

/// A model engine's report on itself.
#[derive(Clone, Debug)]
pub struct Report {
    /// Orders accepted since its start.
    pub order_sequence: u64,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Requests that run.
    pub running: u32,
    /// Weights of each model.
    pub weights: Vec<balance::Weights>,
}

/// The platform that an entry instance runs on.
///
/// Calls of the store and of upstreams have a bound on their time and are not repeated.
pub trait Port: Debug {
    /// Returns whether a request on the readiness address asks whether the instance is ready.
    fn is_readiness(&self, parts: &request::Parts) -> bool;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the head.
    fn decode_call(&self, parts: &request::Parts) -> Result<Call, BadCall>;

    /// Returns the headers of a request to an upstream.
    fn forward_headers(&self, caller: &HeaderMap, forward: &Forward<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer to the request with this id.
    fn decode_answer(&self, parts: &response::Parts, id: &str) -> Answer;

    /// Reads everything that the store holds for the system.
    fn list(&self) -> LocalBoxFuture<'_, Result<Batch, StoreError>>;

    /// Decodes an item; `None` for one that does not concern the system.
    fn decode_item(&self, item: &Item) -> Option<Change>;

    /// Waits for changes after a revision.
    fn watch(&self, after: u64, wait: Millis) -> LocalBoxFuture<'_, Result<Batch, StoreError>>;

    /// Takes a new lease.
    fn lease(&self, life: Millis) -> LocalBoxFuture<'_, Result<u64, StoreError>>;

    /// Renews a lease.
    fn keep(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease; entries under it are removed.
    fn end(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), StoreError>>;

    /// Writes an entry of an instance under a lease; the duty only if nobody has it. Returns the
    /// revision of the write, or `None` if another instance has the duty.
    fn claim<'a>(
        &'a self,
        entry: Entry,
        instance: &'a id::Instance,
        registration: &'a Registration,
        lease: u64,
    ) -> LocalBoxFuture<'a, Result<Option<u64>, StoreError>>;

    /// Asks an engine for its report.
    fn report(
        &self,
        address: net::SocketAddr,
    ) -> LocalBoxFuture<'_, Result<Report, client::Failure>>;

    /// Orders an engine to load weights.
    fn order<'a>(
        &'a self,
        address: net::SocketAddr,
        order: &'a Order,
    ) -> LocalBoxFuture<'a, Result<OrderReply, client::Failure>>;

    /// Waits for events of a store of kept KV cache.
    fn events(
        &self,
        address: net::SocketAddr,
        since: u64,
        wait: Millis,
    ) -> LocalBoxFuture<'_, Result<prefix_cache::Page, client::Failure>>;

    /// Lists all that a store of kept KV cache holds.
    fn held(
        &self,
        address: net::SocketAddr,
    ) -> LocalBoxFuture<'_, Result<prefix_cache::Page, client::Failure>>;

    /// Frees parts at a store that is still in the given epoch.
    fn free<'a>(
        &'a self,
        address: net::SocketAddr,
        epoch: u64,
        parts: &'a [(String, u64)],
    ) -> LocalBoxFuture<'a, Result<(), client::Failure>>;
}
