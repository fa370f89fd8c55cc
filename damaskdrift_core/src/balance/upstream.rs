//! State of each upstream as known to one instance.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net;
use std::sync::Arc;

use derive_more::AddAssign;

use crate::balance::contact;
use crate::balance::health;
use crate::balance::notice;
use crate::id;
use crate::time::Millis;

/// Window over which requests to a cold upstream are counted. It is longer than the second to which
/// [`max_requests_per_s`](crate::routing::ColdStart::max_requests_per_s) refers, because the
/// network delay of requests varies.
const COLD_WINDOW: Millis = Millis(1_100);
/// Maximum number of prompt segments remembered per upstream.
const MAX_SEGMENTS: usize = 256;

/// A model that an upstream serves, with the version of its loaded weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The model to which the weights belong.
    pub model: id::Model,
    /// Version of the loaded weights.
    pub version: u64,
}

/// An upstream as listed by discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The id, which stays the same across restarts.
    pub id: id::Upstream,
    /// The service to which the upstream belongs.
    pub service: id::Service,
    /// The address to which requests are sent.
    pub address: net::SocketAddr,
    /// The failure domain in which the upstream runs.
    pub domain: id::FailureDomain,
    /// Version of the upstream's software, which rollouts move requests between.
    pub software: id::Software,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts no new requests.
    pub is_draining: bool,
    /// Time for which the upstream remains cold, counted from when the record was written.
    pub cold_remaining: Millis,
    /// Unix time of the upstream's start, which distinguishes restarts under one id; `None` if its
    /// entry does not give it.
    pub started_at: Option<u64>,
    /// Weights of each model that the upstream serves.
    pub weights: Vec<Weights>,
    /// Number of orders that the upstream has accepted since its start.
    pub order_sequence: u64,
}

/// Time after which discovery reflects the weights that an upstream itself reported: two of the
/// upstream's writes and the propagation of the change.
const DISCOVERY_LAG: Millis = Millis(3_000);
/// Age from which a load report is ignored.
const REPORT_TTL: Millis = Millis(1_500);

/// Unfinished requests of one or more instances at an upstream.
#[derive(AddAssign, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of requests that the upstream has not finished.
    pub in_flight: u32,
    /// Tokens that these requests hold or will hold in the KV cache.
    pub tokens: u64,
    /// Prompt tokens that were to be prefilled when these requests were sent, counted only for
    /// requests without a first chunk.
    pub pending_prefill: u64,
    /// When these instances last heard from the upstream, and since when they wait.
    pub contact: contact::Contact,
}

/// A request that an upstream has not finished, with its share of the upstream's load.
#[derive(Debug)]
pub struct InFlightRequest {
    /// Tokens that the request holds or will hold in the KV cache.
    pub tokens: u64,
    /// Prompt tokens still to be prefilled; 0 after the first chunk.
    pub pending_prefill: u64,
}

/// An upstream with its health and load as known to this instance.
#[derive(Debug)]
pub struct Upstream {
    /// The latest record from discovery.
    pub record: Record,
    /// Failures and delays that this instance observed.
    pub health: health::Health,
    /// Load from this instance.
    pub own: Load,
    /// Load from all other instances, summed from their reports.
    pub others: Load,
    /// Time until which requests avoid the upstream, because it refused one as full or is loading
    /// weights.
    pub avoid_until: Millis,
    silence: contact::Silence,
    cold_until: Millis,
    recent_sends: VecDeque<Millis>,
    /// Time of the last use of each remembered segment, by salt and segment id.
    segments: HashMap<(Arc<str>, u64), Millis>,
    /// When the upstream itself last reported its weights.
    weights_reported_at: Option<Millis>,
}

/// The source of a load report.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reporter {
    /// One instance, for its own load.
    Instance(id::Instance),
    /// All instances of a failure domain, as one sum.
    Domain(id::FailureDomain),
    /// All instances except the receiver of the report, as one sum.
    Others,
}

/// The time of a report and the load by upstream.
type Report = (Millis, Vec<(id::Upstream, Load)>);

/// All upstreams known to an instance.
#[derive(Debug, Default)]
pub struct Upstreams {
    /// What the upstreams say about themselves. It outlasts their records, because an entry that has
    /// lapsed may be listed again.
    pub notices: notice::Notices,
    all: BTreeMap<id::Upstream, Upstream>,
    reports: HashMap<Reporter, Report>,
    baseline_delays: HashMap<id::Service, health::BaselineDelay>,
    /// Tokens of fetches in progress by cache store: of this instance, and of the others.
    fetches: BTreeMap<id::Upstream, (Load, Load)>,
}

impl Upstream {
    fn new(record: Record, cold_until: Millis) -> Self {
        Self {
            record,
            health: health::Health::default(),
            own: Load::default(),
            others: Load::default(),
            avoid_until: Millis(0),
            silence: contact::Silence::default(),
            cold_until,
            recent_sends: VecDeque::new(),
            segments: HashMap::new(),
            weights_reported_at: None,
        }
    }

    /// Returns the version of a model's weights, or `None` if the upstream does not serve it.
    pub fn version(&self, model: &id::Model) -> Option<u64> {
        self.record.weights.iter().find(|w| w.model == *model).map(|w| w.version)
    }

    /// Returns whether the upstream is still cold after its start.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns the load from all instances.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load += self.others;
        load
    }

    /// Records that something arrived from the upstream.
    pub fn record_contact(&mut self, now: Millis) {
        self.own.contact.heard_at = Some(now);
        self.update_silence(now);
    }

    /// Returns whether the upstream responds, as far as the evidence of all instances shows.
    pub fn response(&self, now: Millis) -> contact::Response {
        self.silence.response(now)
    }

    fn update_silence(&mut self, now: Millis) {
        let load = self.load();
        self.silence.update(load.in_flight, load.pending_prefill, load.contact, now);
    }

    /// Returns how many requests this instance sent to the upstream within the window over which
    /// the request rate of a cold upstream is limited.
    pub fn recent_sends(&self, now: Millis) -> usize {
        self.recent_sends.iter().filter(|at| now.since(**at) < COLD_WINDOW).count()
    }

    /// Returns whether this instance remembers sending the segment to the upstream under the salt.
    pub fn has_segment(&self, salt: &Arc<str>, segment: u64) -> bool {
        self.segments.contains_key(&(salt.clone(), segment))
    }

    /// Adds a sent request to the load.
    pub fn begin_request(&mut self, req: &InFlightRequest, now: Millis) {
        self.own.contact.waiting_since.get_or_insert(now);
        self.own.in_flight += 1;
        self.own.tokens += req.tokens;
        self.own.pending_prefill += req.pending_prefill;
        while self.recent_sends.front().is_some_and(|at| now.since(*at) >= COLD_WINDOW) {
            self.recent_sends.pop_front();
        }
        // Recorded for warm upstreams too, because a restart may become known only afterwards.
        self.recent_sends.push_back(now);
    }

    /// Removes a request's prompt from the pending prefill once the prefill is done.
    pub fn finish_prefill(&mut self, req: &mut InFlightRequest) {
        let prefilled = std::mem::take(&mut req.pending_prefill);
        self.own.pending_prefill = self.own.pending_prefill.saturating_sub(prefilled);
    }

    /// Removes an ended request from the load.
    pub fn end_request(&mut self, req: &mut InFlightRequest) {
        self.finish_prefill(req);
        self.own.in_flight = self.own.in_flight.saturating_sub(1);
        if self.own.in_flight == 0 {
            self.own.contact.waiting_since = None;
        }
        self.own.tokens = self.own.tokens.saturating_sub(std::mem::take(&mut req.tokens));
    }

    /// Records that a request with this segment was sent to the upstream, evicting the least
    /// recently used segment at the limit.
    pub fn record_segment(&mut self, salt: &Arc<str>, segment: u64, now: Millis) {
        if self.segments.len() >= MAX_SEGMENTS {
            let oldest = self.segments.iter().min_by_key(|(_, at)| **at);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.segments.remove(&key);
            }
        }
        self.segments.insert((salt.clone(), segment), now);
    }

    /// Returns when this instance last sent a request with this segment to the upstream.
    pub fn segment_used_at(&self, salt: &Arc<str>, segment: u64) -> Option<Millis> {
        self.segments.get(&(salt.clone(), segment)).copied()
    }

    /// Sets the version of a model's weights to one that the upstream itself reported.
    pub fn set_version(&mut self, model: &id::Model, version: u64, now: Millis) {
        self.weights_reported_at = Some(now);
        self.guess_version(model, version);
    }

    /// Sets the version of a model's weights to a guess, which the next record replaces.
    pub fn guess_version(&mut self, model: &id::Model, version: u64) {
        for weights in &mut self.record.weights {
            if weights.model == *model {
                if version > weights.version {
                    // The upstream was avoided while it loaded these weights.
                    self.avoid_until = Millis(0);
                }
                weights.version = version;
            }
        }
    }
}

impl Upstreams {
    /// Adds or updates an upstream from its record.
    ///
    /// An upstream that has started or restarted counts as cold for `cold_duration`, or longer if
    /// its record says so. `cold_duration` is zero for upstreams that ran before this instance
    /// started.
    pub fn install(&mut self, record: Record, cold_duration: Millis, now: Millis) {
        let known = self.all.get_mut(&record.id);
        let cold_until = now + record.cold_remaining;
        match known {
            Some(known) if known.record.started_at == record.started_at => {
                if record.cold_remaining > Millis(0) {
                    known.cold_until = known.cold_until.max(cold_until);
                }
                // Discovery lags behind the version that the upstream itself reported. The reported
                // version is preferred only for that lag, because it may have been misread.
                let mut record = record;
                if known.weights_reported_at.is_some_and(|at| now.since(at) < DISCOVERY_LAG) {
                    for weights in &mut record.weights {
                        let reported = known.version(&weights.model).unwrap_or(0);
                        weights.version = weights.version.max(reported);
                    }
                }
                known.record = record;
            }
            _ => {
                let cold_until = cold_until.max(now + cold_duration);
                self.all.insert(record.id.clone(), Upstream::new(record, cold_until));
            }
        }
    }

    /// Removes an upstream and returns whether it was known.
    pub fn remove(&mut self, id: &id::Upstream) -> bool {
        self.all.remove(id).is_some()
    }

    /// Records how much longer than estimated an upstream took for the first chunk of a response.
    ///
    /// Only the excess over the service's baseline counts against the upstream, because a delay
    /// common to all upstreams of the service does not distinguish one of them.
    pub fn observe_delay(&mut self, id: &id::Upstream, delay: Millis, now: Millis) {
        if let Some(upstream) = self.all.get_mut(id) {
            let service = upstream.record.service.clone();
            let baseline = self.baseline_delays.entry(service).or_default();
            upstream.health.observe_delay(baseline.observe(delay), now);
        }
    }

    /// Records that a request fetches `tokens` from a cache store.
    pub fn begin_fetch(&mut self, store: &id::Upstream, tokens: u64) {
        let (own, _) = self.fetches.entry(store.clone()).or_default();
        own.in_flight += 1;
        own.tokens += tokens;
    }

    /// Records that a fetch from a cache store has ended.
    pub fn end_fetch(&mut self, store: &id::Upstream, tokens: u64) {
        if let Some((own, _)) = self.fetches.get_mut(store) {
            own.in_flight = own.in_flight.saturating_sub(1);
            own.tokens = own.tokens.saturating_sub(tokens);
        }
    }

    /// Returns the tokens that requests of all instances are fetching from a cache store.
    pub fn fetching(&self, store: &id::Upstream) -> u64 {
        self.fetches.get(store).map_or(0, |(own, others)| own.tokens + others.tokens)
    }

    /// Stores a report of other instances' load, replacing the reporter's previous one.
    pub fn set_report(
        &mut self,
        reporter: Reporter,
        loads: Vec<(id::Upstream, Load)>,
        now: Millis,
    ) {
        self.reports.insert(reporter, (now, loads));
        self.sum_reports(now);
    }

    /// Drops the reports of reporters for which `keep` returns `false`.
    pub fn retain_reports(&mut self, keep: impl Fn(&Reporter) -> bool, now: Millis) {
        self.reports.retain(|reporter, _| keep(reporter));
        self.sum_reports(now);
    }

    /// Drops expired reports and sums the others into [`Upstream::others`].
    pub fn sum_reports(&mut self, now: Millis) {
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        for upstream in self.all.values_mut() {
            upstream.others = Load::default();
        }
        self.fetches.retain(|_, (own, _)| own.in_flight > 0);
        for (_, others) in self.fetches.values_mut() {
            *others = Load::default();
        }
        for (_, loads) in self.reports.values() {
            for (id, load) in loads {
                match self.all.get_mut(id) {
                    Some(upstream) => upstream.others += *load,
                    None => self.fetches.entry(id.clone()).or_default().1 += *load,
                }
            }
        }
        for upstream in self.all.values_mut() {
            upstream.update_silence(now);
        }
    }

    /// Returns the load from this instance and the selected reporters, ordered by upstream, of the
    /// upstreams that have requests in flight or were heard recently.
    pub fn load_by_upstream(
        &self,
        includes: impl Fn(&Reporter) -> bool,
        now: Millis,
    ) -> Vec<(id::Upstream, Load)> {
        let mut sums: BTreeMap<&id::Upstream, Load> = BTreeMap::new();
        for (id, upstream) in &self.all {
            let heard_at = upstream.own.contact.heard_at;
            let is_heard = heard_at.is_some_and(|at| now.since(at) < REPORT_TTL);
            if upstream.own.in_flight > 0 || is_heard {
                sums.insert(id, upstream.own);
            }
        }
        for (store, (own, _)) in &self.fetches {
            if own.in_flight > 0 {
                sums.insert(store, *own);
            }
        }
        for (reporter, (_, loads)) in &self.reports {
            if !includes(reporter) {
                continue;
            }
            for (id, load) in loads {
                *sums.entry(id).or_default() += *load;
            }
        }
        sums.into_iter().map(|(id, load)| (id.clone(), load)).collect()
    }

    /// Returns an upstream, or `None` if it is not known.
    pub fn get(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.all.get(id)
    }

    /// Returns an upstream mutably, or `None` if it is not known.
    pub fn get_mut(&mut self, id: &id::Upstream) -> Option<&mut Upstream> {
        self.all.get_mut(id)
    }

    /// Iterates over all upstreams in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.all.values()
    }

    /// Returns the ids of all upstreams in ascending order.
    pub fn ids(&self) -> Vec<id::Upstream> {
        self.all.keys().cloned().collect()
    }
}
