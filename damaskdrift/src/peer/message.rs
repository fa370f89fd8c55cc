//! Messages between instances, encoded as CBOR in binary WebSocket frames.
//!
//! Heartbeats make up nearly all traffic of an idle fleet, so their names are one letter on the
//! wire and empty fields are left out.

use damaskdrift_core::admission;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use serde::{Deserialize, Serialize};

/// Protocol version; a peer with another one is refused.
pub const PROTOCOL: u16 = 1;
/// Largest message accepted, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// One frame on a connection.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// First frame in each direction.
    Hello(Hello),
    /// A request with its correlation number.
    #[serde(rename = "q")]
    Request(u64, Request),
    /// The reply to the request of that number.
    #[serde(rename = "a")]
    Reply(u64, Reply),
    /// What an entry instance has at upstreams; a later one replaces it.
    #[serde(rename = "l")]
    Load(Load),
    /// What a store of kept KV cache answered.
    #[serde(rename = "k")]
    Kept(Kept),
    /// Changes of the platform's store.
    #[serde(rename = "c")]
    Changes(Changes),
}

/// Changes of the platform's store, as it told them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    /// Revision that the changes follow on, and revision that they reach.
    #[serde(rename = "r")]
    pub range: (u64, u64),
    /// Key, value in the store's own encoding unless the key was removed, and revision.
    #[serde(rename = "v")]
    pub items: Vec<(String, Option<String>, u64)>,
    /// Milliseconds since the sender saw the store return from an outage, if it saw one.
    #[serde(rename = "o")]
    pub restored_ago_ms: Option<u64>,
}

/// How current the sender's view of the platform's store is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct View {
    /// Revision that the sender has installed.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Milliseconds since the store was asked for the answer that confirmed it.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// The sending time in the newest report that the sender had from the receiver. The age
    /// counts from then, so that a frame which was held up on its way confirms nothing late.
    #[serde(rename = "e")]
    pub echo: u64,
}

/// Whose work a report tells.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Covers {
    /// The sender's.
    #[default]
    #[serde(rename = "i")]
    Own,
    /// That of all instances of the sender's failure domain.
    #[serde(rename = "d")]
    Domain(String),
    /// That of all instances but the receiver.
    #[serde(rename = "o")]
    Others,
}

/// What a store of kept KV cache answered to the sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Kept {
    /// The store.
    #[serde(rename = "s")]
    pub store: String,
    /// The start of the store.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Where the question began and where the next one begins.
    #[serde(rename = "r")]
    pub range: (u64, u64),
    /// Milliseconds since the question was asked.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Whether the answer lists all that is held.
    #[serde(rename = "l")]
    pub is_list: bool,
    /// Whether a part was stored, its salt, its id and its tokens.
    #[serde(rename = "v")]
    pub events: Vec<(bool, String, u64, u64)>,
    /// The store's clock, in milliseconds.
    #[serde(rename = "c")]
    pub clock_ms: Option<u64>,
}

/// Work at upstreams, and what was seen of their weights.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// The sender.
    #[serde(rename = "i")]
    pub instance: String,
    /// The sender's failure domain.
    #[serde(rename = "d", default)]
    pub failure_domain: String,
    /// Whose work it is.
    #[serde(rename = "c", default)]
    pub covers: Covers,
    /// When the report was sent, on the sender's clock, in milliseconds.
    #[serde(rename = "t", default)]
    pub sent_ms: u64,
    /// Revision of the platform's store that the sender has installed.
    #[serde(rename = "r", default)]
    pub revision: u64,
    /// How current the sender's view is, for an instance that does not follow the store itself.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub view: Option<View>,
    /// Stores of kept KV cache of which the sender needs a list.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub lacking: Vec<String>,
    /// Upstreams with work: requests in flight, their tokens, and tokens still to be read.
    #[serde(rename = "u")]
    pub upstreams: Vec<(String, u32, u64, u64)>,
    /// Weights that upstreams showed: upstream, model and version.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub weights: Vec<(String, String, u64)>,
    /// Upstreams that are loading weights, and for how many more milliseconds to avoid them.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub loading: Vec<(String, u64)>,
}

/// Introduces an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Protocol version.
    pub protocol: u16,
    /// The sender.
    pub instance: id::Instance,
    /// The sender's failure domain.
    pub failure_domain: id::FailureDomain,
    /// The sender's start.
    pub boot: id::Boot,
}

/// Requests between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Request {
    /// Heartbeat.
    #[serde(rename = "p")]
    Ping(Heartbeat),
    /// Asks for the installed fleet document.
    Fleet,
    /// Offers a newer fleet document.
    FleetPush(FleetValue),
    /// Asks the limit owner for slots.
    Allotment(AllotmentRequest),
    /// Asks for the requests in flight to the upstreams of a group.
    InFlight(u16),
    /// Reports evidence on a running move to its driver.
    Evidence(Evidence),
    /// Asks for the peer's status as JSON.
    Status,
}

/// Replies between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// Answers a heartbeat.
    #[serde(rename = "p")]
    Pong(Pong),
    /// The installed fleet document, if there is one.
    Fleet(Option<FleetValue>),
    /// The request was taken.
    Ack,
    /// Slots granted by the limit owner.
    Allotments(Allotments),
    /// The receiver does not own the group.
    NotOwner,
    /// Requests in flight.
    InFlight(Vec<InFlight>),
    /// Status as JSON.
    Status(String),
    /// The request cannot be handled here, with the number of a result code.
    Refused(u16),
}

/// What a heartbeat says of its sender.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Installed revision.
    #[serde(rename = "r")]
    pub revision: id::Revision,
    /// Whether the sender is stopping.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Vetoed moves that the sender knows.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub vetoes: Vec<Veto>,
}

/// Answers a heartbeat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Pong {
    /// What the heartbeat says of its sender.
    #[serde(rename = "h")]
    pub heartbeat: Heartbeat,
    /// Age of the last confirmation that the revision is current, if there was one.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub confirmed_age: Option<Millis>,
    /// Age of the sender's evidence that other members know no higher revision.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<(id::Instance, Millis)>,
}

/// Stops a move on an instance's own evidence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Veto {
    /// The move.
    pub name: id::Move,
    /// Why.
    pub reason: String,
}

/// A fleet document at its revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetValue {
    /// Revision at which the document was written.
    pub revision: id::Revision,
    /// The document as JSON, as stored in the key-value service.
    pub document: String,
}

/// Asks for slots of the upstreams of a group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AllotmentRequest {
    /// The group of upstreams.
    pub group: u16,
    /// One entry an upstream.
    pub entries: Vec<admission::Demand>,
}

/// Slots granted for the upstreams of a group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Allotments {
    /// Fencing number of the owner's lease.
    pub fencing: id::FencingToken,
    /// One entry an upstream.
    pub entries: Vec<admission::Grant>,
}

/// Requests in flight at one upstream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InFlight {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The start of the upstream.
    pub boot: id::Boot,
    /// Requests in flight.
    pub requests: u32,
}

/// Evidence on a running move since the last report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Evidence {
    /// The move.
    pub name: id::Move,
    /// Counts as JSON of the `rollout` module's evidence type.
    pub counts: String,
}

impl FleetValue {
    /// Parses and resolves the document.
    ///
    /// # Errors
    ///
    /// Returns the faults.
    pub fn snapshot(&self) -> Result<fleet::Snapshot, String> {
        let document = serde_json::from_str(&self.document).map_err(|error| error.to_string())?;
        fleet::Snapshot::new(self.revision, document).map_err(|faults| {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            faults.join("; ")
        })
    }
}
