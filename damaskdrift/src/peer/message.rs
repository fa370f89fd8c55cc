//! Messages between instances, encoded as CBOR in binary WebSocket frames.
//!
//! Heartbeats make up nearly all traffic of an idle fleet, so their names are one letter on the
//! wire and empty fields are left out.

use damaskdrift_core::admission;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::rollout;
use damaskdrift_core::time::Millis;
use serde::{Deserialize, Serialize};

/// Protocol version; connections to peers with a different version are closed.
pub const PROTOCOL: u16 = 1;
/// Maximum size of an encoded frame in bytes, sent or received.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Frame sent over a connection between instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// First frame in each direction.
    Hello(Hello),
    /// Request with the number that its reply must carry.
    #[serde(rename = "q")]
    Request(u64, Request),
    /// Reply to the request with the same number.
    #[serde(rename = "a")]
    Reply(u64, Reply),
    /// Load that an entry instance has on upstreams; replaces its previous report.
    #[serde(rename = "l")]
    Load(Box<Load>),
    /// Change or snapshot of the contents of a cache store.
    #[serde(rename = "k")]
    CacheStoreUpdate(CacheStoreUpdate),
    /// Relayed changes of the platform store.
    #[serde(rename = "c")]
    Changes(Changes),
}

/// Changes of the platform store, relayed as the store reported them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Changes {
    /// Revision before the first change, and revision after the last.
    #[serde(rename = "r")]
    pub range: (u64, u64),
    /// Key, value in the store's own encoding or `None` if the key was removed, and revision.
    #[serde(rename = "v")]
    pub items: Vec<Change>,
    /// Milliseconds since the sender saw the store recover from an outage; absent if it saw none.
    #[serde(rename = "o")]
    pub restored_ago_ms: Option<u64>,
}

/// One change of the platform store: key, value or `None` if the key was removed, and revision.
pub type Change = (String, Option<String>, u64);

/// Largest total of keys and values of changes that are sent in one frame, in bytes. The remainder of
/// [`MAX_MESSAGE_BYTES`] is for their encoding; a single value has at most 1.4 MB.
const MAX_CHANGES_BYTES: usize = MAX_MESSAGE_BYTES / 4 * 3;

/// Splits changes into consecutive ranges of revisions that each fit into a frame.
///
/// Changes of one revision stay together, since a receiver has applied all of them or none.
pub fn split_changes(
    (before, last): (u64, u64),
    mut changes: Vec<Change>,
) -> Vec<((u64, u64), Vec<Change>)> {
    changes.sort_by_key(|(_, _, revision)| *revision);
    let mut parts = Vec::new();
    let (mut from, mut part, mut bytes) = (before, Vec::new(), 0);
    for change in changes {
        let (key, value, revision) = &change;
        let size = key.len() + value.as_ref().map_or(0, String::len);
        let previous = part.last().map(|(_, _, revision): &Change| *revision);
        if let Some(previous) = previous.filter(|previous| previous < revision)
            && bytes + size > MAX_CHANGES_BYTES
        {
            parts.push(((from, previous), std::mem::take(&mut part)));
            (from, bytes) = (previous, 0);
        }
        bytes += size;
        part.push(change);
    }
    parts.push(((from, last), part));
    parts
}

/// Revision of the platform store that the sender has installed, and how current it is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreView {
    /// Revision installed at the sender.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Milliseconds since the sender sent the request whose response confirmed the revision.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// `sent_at_ms` of the newest load report that the sender got from this frame's receiver.
    ///
    /// The age counts from that time, so that a frame delayed in transit cannot make the revision
    /// look more current than it is.
    #[serde(rename = "e")]
    pub echo: u64,
}

/// Instances whose work a load report covers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// The sender only.
    #[default]
    #[serde(rename = "i")]
    Own,
    /// All instances of the sender's failure domain, given by name.
    #[serde(rename = "d")]
    Domain(String),
    /// All instances except the receiver.
    #[serde(rename = "o")]
    Others,
}

/// Change or snapshot of the contents of a cache store, relayed by the instance that follows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheStoreUpdate {
    /// Upstream id of the store.
    #[serde(rename = "s")]
    pub store: String,
    /// Epoch of the store, which differs after a restart.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Event position that the update starts from, and position to continue from.
    #[serde(rename = "r")]
    pub range: (u64, u64),
    /// Milliseconds since the sender queried the store.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Whether the update is a full snapshot of the contents instead of changes.
    #[serde(rename = "l")]
    pub is_snapshot: bool,
    /// Per prompt segment: whether it was stored rather than removed, its salt, id and token count.
    #[serde(rename = "v")]
    pub events: Vec<(bool, String, u64, u64)>,
    /// The store's clock in milliseconds, if it reported one.
    #[serde(rename = "c")]
    pub clock_ms: Option<u64>,
}

/// Load on upstreams, and the weight versions observed there.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Instance that sent the report.
    #[serde(rename = "i")]
    pub instance: String,
    /// The sender's failure domain.
    #[serde(rename = "d", default)]
    pub failure_domain: String,
    /// Instances whose load is included.
    #[serde(rename = "c", default)]
    pub scope: Scope,
    /// Time of sending in milliseconds of the sender's clock.
    #[serde(rename = "t", default)]
    pub sent_at_ms: u64,
    /// Revision of the platform store that the sender has installed.
    #[serde(rename = "r", default)]
    pub revision: u64,
    /// How current the sender's revision is; set for receivers that do not watch the store
    /// themselves.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub store_view: Option<StoreView>,
    /// Cache stores for which the sender needs a snapshot.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub missing_snapshots: Vec<String>,
    /// Per busy upstream: requests in flight, their tokens, and tokens of pending prefill.
    #[serde(rename = "u")]
    pub upstreams: Vec<(String, u32, u64, u64)>,
    /// For each entry of `upstreams`, milliseconds since a byte arrived from there, and for which
    /// requests have been in flight there; absent from older instances.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub contacts: Vec<(Option<u64>, Option<u64>)>,
    /// Weights that upstreams reported: upstream, model and version.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub weights: Vec<(String, String, u64)>,
    /// Upstreams that are loading weights, and milliseconds for which to keep avoiding them.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub loading: Vec<(String, u64)>,
    /// Target versions that still decide something: model, version, and milliseconds since it was
    /// set.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<(String, u64, u64)>,
    /// What upstreams recently said about themselves.
    #[serde(rename = "n", default, skip_serializing_if = "Notices::is_empty")]
    pub notices: Notices,
    /// Crashes of upstreams, and segments of prompts that are blamed for them; absent if no report
    /// of them is due.
    #[serde(rename = "pq", default, skip_serializing_if = "Option::is_none")]
    pub quarantine: Option<Quarantine>,
    /// Evidence on running rollouts of software versions.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutEvidence>,
    /// Clocks and counts of requests; absent where usage reports are no duty or none is due.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Wall clocks of instances, and numbers of requests that upstreams began.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Lowest of the wall clocks when the report was sent, in milliseconds.
    #[serde(rename = "t")]
    pub clock_ms: u64,
    /// Differences of other wall clocks from the lowest, in milliseconds.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub spread: Vec<i64>,
    /// Number of instances whose clocks these represent.
    #[serde(rename = "n")]
    pub instances: u32,
    /// Random number of the sender's process.
    #[serde(rename = "b", default)]
    pub boot: u64,
    /// Unix time in milliseconds up to which the counts are complete.
    #[serde(rename = "u", default)]
    pub complete_until: u64,
    /// First window that began after the start of an instance that the sender knows of.
    #[serde(rename = "f", default)]
    pub first_window: u64,
    /// By window that is not settled, the number of requests by workspace.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub counts: Vec<(u64, Vec<(String, u64)>)>,
    /// Requests that wait for an upstream with room.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub waiting: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Evidence on the rollout of a service's software version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RolloutEvidence {
    /// Service that the rollout is of.
    #[serde(rename = "s")]
    pub service: String,
    /// Store revision of the order.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Milliseconds since the order was learned.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Counts since the order.
    #[serde(rename = "e")]
    pub evidence: rollout::Evidence,
    /// Why the sender sends nothing more to the new version.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub veto: Option<String>,
}

/// What upstreams recently said about themselves in responses.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notices {
    /// Upstreams that leave: id, start of the process if known, and milliseconds since the notice.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<(String, Option<u64>, u64)>,
    /// Upstreams that asked an instance for a pause, and milliseconds left of it.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub pausing: Vec<(String, u64)>,
}

impl Notices {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.pausing.is_empty()
    }
}

/// Crashes of upstreams that the sender knows of, and the segments of prompts that it blames.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quarantine {
    /// Per crash: upstream, Unix time of its start or 0, milliseconds since the crash, and the
    /// segments that may have caused it.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<(String, u64, u64, Vec<CrashCandidate>)>,
    /// Per blamed segment: id, number of crashes, milliseconds since the last one, and whether it
    /// was answered since.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub blames: Vec<(u64, u32, u64, bool)>,
}

/// A segment in flight at a crash: id, position in the prompt, and whether it is known to have been
/// answered never (0), before the crash (1) or since (2).
pub type CrashCandidate = (u64, u8, u8);

/// Handshake message with which an instance identifies itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL`].
    pub protocol: u16,
    /// Instance that sends the message.
    pub instance: id::Instance,
    /// The sender's failure domain.
    pub failure_domain: id::FailureDomain,
    /// Boot id of the sender, new at each start of its process.
    pub boot: id::Boot,
}

/// Request to another instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Request {
    /// Sends a heartbeat and expects one back.
    #[serde(rename = "p")]
    Ping(Heartbeat),
    /// Requests the installed fleet document.
    Fleet,
    /// Sends a newer fleet document to install.
    FleetPush(FleetValue),
    /// Requests slots from the limit owner.
    Allotment(AllotmentRequest),
    /// Requests the number of requests in flight to the upstreams of a group.
    InFlight(u16),
    /// Reports request counts of a running move to the instance that drives it.
    Evidence(Evidence),
    /// Requests the peer's status as JSON.
    Status,
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// Replies to a heartbeat.
    #[serde(rename = "p")]
    Pong(Pong),
    /// The installed fleet document; absent before the first one.
    Fleet(Option<FleetValue>),
    /// The request was processed.
    Ack,
    /// Slots granted by the limit owner.
    Allotments(Allotments),
    /// The replying instance does not own the limits of the group.
    NotOwner,
    /// Requests in flight, one entry per upstream.
    InFlight(Vec<InFlight>),
    /// The instance's status as JSON.
    Status(String),
    /// The instance cannot handle the request; carries the number of a result code.
    Refused(u16),
}

/// State that an instance reports in each heartbeat.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Revision of the installed fleet document.
    #[serde(rename = "r")]
    pub revision: id::Revision,
    /// Whether the sender is draining before it stops.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
    /// Moves that the sender knows to be vetoed.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub vetoes: Vec<Veto>,
}

/// Reply to a heartbeat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Pong {
    /// The replying instance's own heartbeat.
    #[serde(rename = "h")]
    pub heartbeat: Heartbeat,
    /// Age of the last confirmation that the revision is current; absent if there was none.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub confirmed_age: Option<Millis>,
    /// Per member, the age of the evidence that it knows no higher revision.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<(id::Instance, Millis)>,
}

/// Veto with which an instance stops a move on the basis of its own observations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Veto {
    /// Name of the vetoed move.
    pub name: id::Move,
    /// Reason shown to operators.
    pub reason: String,
}

/// Fleet document with its revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetValue {
    /// Revision at which the document was written.
    pub revision: id::Revision,
    /// The document as JSON, as stored in the key-value service.
    pub document: String,
}

/// Request for slots of the upstreams of a group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AllotmentRequest {
    /// Number of the group of upstreams.
    pub group: u16,
    /// Demand, one entry per upstream.
    pub entries: Vec<admission::Demand>,
}

/// Slots granted for the upstreams of a group.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Allotments {
    /// Fencing token of the limit owner's lease.
    pub fencing: id::FencingToken,
    /// Grants, one entry per upstream.
    pub entries: Vec<admission::Grant>,
}

/// Requests in flight at one upstream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InFlight {
    /// Upstream that handles the requests.
    pub upstream: id::Upstream,
    /// Boot id of the upstream, new at each start of its process.
    pub boot: id::Boot,
    /// Number of requests in flight from the replying instance.
    pub requests: u32,
}

/// Counts of a running move's requests since the previous report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Evidence {
    /// Name of the running move.
    pub name: id::Move,
    /// Counts as JSON of the `rollout` module's evidence type.
    pub counts: String,
}

impl CacheStoreUpdate {
    /// Extends this update by the next one of the same store, and returns whether it continues this
    /// one without a gap.
    pub fn append(&mut self, next: &Self) -> bool {
        let continues = self.store == next.store
            && self.epoch == next.epoch
            && self.range.1 == next.range.0
            && !next.is_snapshot;
        if continues {
            self.range.1 = next.range.1;
            self.age_ms = next.age_ms;
            self.events.extend_from_slice(&next.events);
            self.clock_ms = next.clock_ms.or(self.clock_ms);
        }
        continues
    }
}

impl FleetValue {
    /// Parses and resolves the document.
    ///
    /// # Errors
    ///
    /// Returns why the document cannot be parsed, or its faults joined in one line.
    pub fn snapshot(&self) -> Result<fleet::Snapshot, String> {
        let document = serde_json::from_str(&self.document).map_err(|error| error.to_string())?;
        fleet::Snapshot::new(self.revision, document).map_err(|faults| {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            faults.join("; ")
        })
    }
}
