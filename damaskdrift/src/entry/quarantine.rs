//! Quarantine of prompt segments: evidence from the requests of this instance, its exchange with
//! other instances, and the refusal of requests.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::id;
use damaskdrift_core::quarantine;
use damaskdrift_core::time::Millis;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::refusal;
use crate::entry::state;
use crate::peer::message;

/// Pauses before each look whether an upstream that broke a connection has ended. Discovery shows a
/// restart after some seconds.
const CHECK_PAUSES_MS: [u64; 4] = [10, 200, 1_000, 3_000];
/// Number of these looks that open a connection. The address of an ended upstream refuses it at
/// once, and each connection costs a live upstream time.
const CONNECTION_CHECKS: usize = 2;
/// Time for which an ended upstream is remembered, for requests whose broken connection is noticed
/// later than others.
const ENDED_TTL: Millis = Millis(10_000);
/// Time after the first chunk of an answer from which its request is no candidate for the crash of
/// its engine. A request crashes an engine when its answer begins, and some events may be sent until
/// then.
const BEGIN_TIME: Millis = Millis(500);
/// Number of chunks from which an answer without length and chunks shows that the engine did not
/// crash when it began.
const MIN_UNFRAMED_CHUNKS: u32 = 2;

/// The shared segments of a request and the engine that it was sent to.
#[derive(Clone, Debug)]
pub struct Exposure {
    request_id: Rc<str>,
    incarnation: quarantine::Incarnation,
    address: net::SocketAddr,
    segments: Rc<[u64]>,
    first_chunk_at: Option<Millis>,
    chunks: u32,
    broken_at: Option<Millis>,
}

/// An engine that broke connections.
#[derive(Debug, Default)]
struct Broken {
    /// Set once the engine is known to have ended.
    ended_at: Option<Millis>,
    /// Requests that it broke off before it was known to have ended.
    pending: Vec<Exposure>,
}

/// Quarantine of prompt segments at one instance.
#[derive(Debug)]
pub struct Quarantine {
    ledger: RefCell<quarantine::Ledger>,
    broken: RefCell<BTreeMap<quarantine::Incarnation, Broken>>,
    /// Changes whenever segments are put in quarantine.
    blamed: watch::Sender<()>,
    /// From when requests run on new weights of a model, and on new software of a service, whose
    /// change this instance has seen.
    renewed_weights: RefCell<HashMap<id::Model, Millis>>,
    renewed_software: RefCell<HashMap<id::Service, Millis>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        let (ledger, broken) = (RefCell::default(), RefCell::default());
        Self {
            ledger,
            broken,
            blamed: watch::Sender::new(()),
            renewed_weights: RefCell::default(),
            renewed_software: RefCell::default(),
        }
    }
}

impl Exposure {
    /// Creates the exposure of an engine to a request.
    pub fn new(
        entry: &state::Entry,
        upstream: &id::Upstream,
        request_id: &str,
        segments: &Rc<[u64]>,
    ) -> Option<Self> {
        let upstreams = entry.upstreams.borrow();
        let record = &upstreams.get(upstream)?.record;
        let incarnation = quarantine::Incarnation {
            upstream: upstream.clone(),
            started_at: record.started_at.unwrap_or(0),
        };
        let (request_id, segments) = (Rc::from(request_id), segments.clone());
        let (first_chunk_at, broken_at, address) = (None, None, record.address);
        let chunks = 0;
        Some(Self { request_id, incarnation, address, segments, first_chunk_at, chunks, broken_at })
    }

    /// Records the arrival of a chunk of the answer.
    pub fn record_chunk(&mut self) {
        self.first_chunk_at.get_or_insert_with(clock::now);
        self.chunks = self.chunks.saturating_add(1);
    }

    /// Records that the answer is complete.
    ///
    /// An answer that ends with its connection after its first chunk is no evidence: an engine that
    /// crashes on the request may close the connection like that.
    pub fn record_answer(&self, entry: &state::Entry, is_close_delimited: bool) {
        if is_close_delimited && self.chunks < MIN_UNFRAMED_CHUNKS {
            return;
        }
        entry.quarantine.ledger.borrow_mut().record_answer(&self.segments, clock::now());
    }

    /// Records that the connection of the request broke, and finds out whether the engine ended.
    pub fn record_break(mut self, entry: &Rc<state::Entry>) {
        self.broken_at = Some(clock::now());
        let mut all = entry.quarantine.broken.borrow_mut();
        let is_first = !all.contains_key(&self.incarnation);
        let broken = all.entry(self.incarnation.clone()).or_default();
        if broken.ended_at.is_some() {
            drop(all);
            record_crash(entry, &[self]);
            return;
        }
        let check = is_first.then(|| check(entry.clone(), self.incarnation.clone(), self.address));
        broken.pending.push(self);
        if let Some(check) = check {
            task::spawn_local(check);
        }
    }

    /// Returns the segments that may have ended the engine.
    fn candidates(&self) -> &[u64] {
        let has_begun = match (self.first_chunk_at, self.broken_at) {
            (Some(first), Some(broken)) => broken.since(first) >= BEGIN_TIME,
            _ => false,
        };
        if has_begun { &[] } else { &self.segments }
    }
}

impl Quarantine {
    /// Returns what the instance knows of crashes.
    pub fn ledger(&self) -> &RefCell<quarantine::Ledger> {
        &self.ledger
    }

    /// Records that all requests for a model run on new weights from this time on.
    pub fn record_new_weights(&self, model: id::Model, from: Millis) {
        self.renewed_weights.borrow_mut().insert(model, from);
    }

    /// Records that all requests to a service run on new software from this time on.
    pub fn record_new_software(&self, service: id::Service, from: Millis) {
        self.renewed_software.borrow_mut().insert(service, from);
    }

    /// Returns when the upstreams of a request last got new weights or software.
    fn renewed_at(&self, service: &id::Service, model: Option<&id::Model>) -> Option<Millis> {
        let weights = model.and_then(|model| self.renewed_weights.borrow().get(model).copied());
        weights.max(self.renewed_software.borrow().get(service).copied())
    }

    /// Returns whether a request whose engine broke its connection may be sent to another one.
    pub fn may_repeat(&self, segments: &[u64]) -> bool {
        self.ledger.borrow().may_repeat(segments)
    }

    /// Returns the refusal of a request that has a segment in quarantine and was already accepted.
    pub fn check(&self, segments: &[u64]) -> Option<refusal::Refusal> {
        let segment = *self.ledger.borrow().blamed(segments, clock::now())?;
        let reason = format!("segment {segment} is in quarantine");
        Some(refusal::Refusal::not_run(code::Code::SegmentQuarantined, reason))
    }
}

/// Decides whether a request to a service with these shared segments is accepted.
///
/// # Errors
///
/// Returns the refusal of a request with a segment in quarantine.
pub fn admit(
    entry: &state::Entry,
    service: &id::Service,
    model: Option<&id::Model>,
    segments: &[u64],
) -> Result<(), refusal::Refusal> {
    let renewed_at = entry.quarantine.renewed_at(service, model);
    let registered = entry.registered_instances();
    let own = &entry.settings.instance;
    let mut ledger = entry.quarantine.ledger.borrow_mut();
    let instances = (own, &*registered);
    match ledger.admit_after_renewal(segments, renewed_at, instances, clock::now()) {
        quarantine::Admission::Admitted => Ok(()),
        quarantine::Admission::Quarantined { segment, crashes, retry_after } => {
            let reason = format!(
                "segment {segment} is in quarantine; {crashes} upstreams ended on requests with it"
            );
            let refusal = refusal::Refusal::not_run(code::Code::SegmentQuarantined, reason);
            Err(refusal.with_retry_after(Duration::from(retry_after)))
        }
    }
}

/// Waits until one of these segments is put in quarantine, and returns the refusal.
pub async fn blamed(entry: Rc<state::Entry>, segments: Rc<[u64]>) -> refusal::Refusal {
    let mut changes = entry.quarantine.blamed.subscribe();
    loop {
        if let Some(refusal) = entry.quarantine.check(&segments) {
            return refusal;
        }
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Blames segments for the crashes known so far. It is called at each report, because a crash has to
/// be some time old before it counts.
pub fn update(entry: &state::Entry) {
    let mut ledger = entry.quarantine.ledger.borrow_mut();
    let now = clock::now();
    let found = ledger.update(now);
    metrics::gauge!("segments_in_quarantine").set(ledger.quarantined() as f64);
    drop(ledger);
    entry
        .quarantine
        .broken
        .borrow_mut()
        .retain(|_, broken| broken.ended_at.is_none_or(|at| now.since(at) < ENDED_TTL));
    if found.is_empty() {
        return;
    }
    for (segment, blame) in found {
        let (crashes, last_ms_ago) = (blame.crashes, now.since(blame.last_at).0);
        log::warn!(segment, crashes, last_ms_ago; "segment put in quarantine");
    }
    entry.quarantine.blamed.send_replace(());
    entry.report_due.notify_one();
}

/// Returns what is reported to other instances, if anything is due.
pub fn encode(entry: &state::Entry) -> Option<message::Quarantine> {
    let now = clock::now();
    let report = entry.quarantine.ledger.borrow().report(now)?;
    let mut crashes = Vec::with_capacity(report.crashes.len());
    for (incarnation, crash) in report.crashes {
        let mut candidates = Vec::with_capacity(crash.candidates.len());
        for (segment, candidate) in crash.candidates {
            candidates.push((segment, candidate.depth, encode_standing(candidate.standing)));
        }
        let upstream = incarnation.upstream.to_string();
        crashes.push((upstream, incarnation.started_at, now.since(crash.at).0, candidates));
    }
    let mut blames = Vec::with_capacity(report.blames.len());
    for (segment, blame) in report.blames {
        blames.push((segment, blame.crashes, now.since(blame.last_at).0, blame.is_lifted));
    }
    Some(message::Quarantine { crashes, blames })
}

/// Applies the report of another instance.
pub fn apply(entry: &state::Entry, message: &message::Quarantine) {
    let now = clock::now();
    let mut report = quarantine::Report::default();
    for (upstream, started_at, age_ms, candidates) in &message.crashes {
        let upstream = id::Upstream::new(upstream);
        let incarnation = quarantine::Incarnation { upstream, started_at: *started_at };
        let mut crash = quarantine::Crash::new(now - Millis(*age_ms));
        for (segment, depth, standing) in candidates {
            let standing = decode_standing(*standing);
            crash.add(*segment, quarantine::Candidate { depth: *depth, standing });
        }
        report.crashes.push((incarnation, crash));
    }
    for (segment, crashes, age_ms, is_lifted) in &message.blames {
        let last_at = now - Millis(*age_ms);
        let blame = quarantine::Blame { crashes: *crashes, last_at, is_lifted: *is_lifted };
        report.blames.push((*segment, blame));
    }
    entry.quarantine.ledger.borrow_mut().merge(report, now);
    update(entry);
}

fn encode_standing(standing: quarantine::Standing) -> u8 {
    match standing {
        quarantine::Standing::Unanswered => 0,
        quarantine::Standing::AnsweredBefore => 1,
        quarantine::Standing::AnsweredSince => 2,
    }
}

fn decode_standing(code: u8) -> quarantine::Standing {
    match code {
        0 => quarantine::Standing::Unanswered,
        1 => quarantine::Standing::AnsweredBefore,
        _ => quarantine::Standing::AnsweredSince,
    }
}

/// Looks repeatedly whether an upstream that broke a connection has ended, and records the crash.
async fn check(
    entry: Rc<state::Entry>,
    incarnation: quarantine::Incarnation,
    address: net::SocketAddr,
) {
    let mut is_ended = false;
    for (number, pause_ms) in CHECK_PAUSES_MS.into_iter().enumerate() {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let connects = number < CONNECTION_CHECKS;
        if is_replaced(&entry, &incarnation) || (connects && refuses_connections(address).await) {
            is_ended = true;
            break;
        }
    }
    let mut all = entry.quarantine.broken.borrow_mut();
    if !is_ended {
        all.remove(&incarnation);
        return;
    }
    let broken = all.entry(incarnation).or_default();
    broken.ended_at = Some(clock::now());
    let pending = std::mem::take(&mut broken.pending);
    drop(all);
    metrics::counter!("upstream_crashes").increment(1);
    record_crash(&entry, &pending);
}

/// Returns whether discovery no longer lists this start of the upstream.
fn is_replaced(entry: &state::Entry, incarnation: &quarantine::Incarnation) -> bool {
    let upstreams = entry.upstreams.borrow();
    let record = upstreams.get(&incarnation.upstream).map(|upstream| &upstream.record);
    record.is_none_or(|record| record.started_at.unwrap_or(0) != incarnation.started_at)
}

async fn refuses_connections(address: net::SocketAddr) -> bool {
    let connected = tokio::time::timeout(client::CONNECT_TIMEOUT, TcpStream::connect(address));
    match connected.await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        // A link that is cut neither accepts nor refuses a connection.
        Ok(Ok(_)) | Err(_) => false,
    }
}

fn record_crash(entry: &Rc<state::Entry>, exposures: &[Exposure]) {
    let now = clock::now();
    let mut ledger = entry.quarantine.ledger.borrow_mut();
    for exposure in exposures {
        let candidates = exposure.candidates();
        log::warn!(
            request = &*exposure.request_id, upstream:% = exposure.incarnation.upstream,
            started_at = exposure.incarnation.started_at, has_begun = candidates.is_empty(),
            segments:? = exposure.segments;
            "upstream ended while the request was in flight"
        );
        ledger.record_crash(&exposure.incarnation, candidates, now);
    }
    drop(ledger);
    update(entry);
    entry.report_due.notify_one();
}
