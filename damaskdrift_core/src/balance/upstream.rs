//! What one instance knows of each upstream.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net;
use std::sync::Arc;

use derive_more::AddAssign;

use crate::balance::condition;
use crate::id;
use crate::time::Millis;

/// Window over which requests to a cold upstream are counted. It is longer than the second for
/// which a cold rate holds, because requests travel for a varying time.
const COLD_WINDOW: Millis = Millis(1_100);
/// Shared parts of a prompt that an instance remembers for each upstream.
const REMEMBERED_PARTS: usize = 256;

/// The weights of a model that an upstream runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: id::Model,
    /// Version of its weights.
    pub version: u64,
}

/// An upstream as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The upstream.
    pub id: id::Upstream,
    /// The service it belongs to.
    pub service: id::Service,
    /// Its address.
    pub address: net::SocketAddr,
    /// The failure domain it stands in.
    pub domain: id::FailureDomain,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How much longer it is cold, counted from when the record was written.
    pub cold_for: Millis,
    /// Unix time of its start; tells two starts under one id apart.
    pub born: Option<u64>,
    /// Weights of each model it serves.
    pub weights: Vec<Weights>,
    /// Orders that it has accepted since its start.
    pub order_sequence: u64,
}

/// Time after which a list has caught up with what an upstream itself showed of its weights: two
/// of its writes and the way of the change.
const LIST_LAG: Millis = Millis(3_000);
/// Age of a report above which it no longer counts.
const REPORT_LIFE: Millis = Millis(1_500);

/// Work that instances have at an upstream.
#[derive(AddAssign, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that it has not finished.
    pub in_flight: u32,
    /// Tokens of these requests.
    pub tokens: u64,
    /// Tokens of these requests that were still to be read when they were sent, for those
    /// without a first event.
    pub unread: u64,
}

/// A request that an upstream has not finished.
#[derive(Debug)]
pub struct Sent {
    /// Prompt tokens that the request holds or will hold.
    pub tokens: u64,
    /// Prompt tokens that it had to read when it was sent.
    pub unread: u64,
}

/// An upstream, and what this instance does there.
#[derive(Debug)]
pub struct Upstream {
    /// What discovery lists.
    pub record: Record,
    /// How well it answers.
    pub condition: condition::Condition,
    /// Work of this instance there.
    pub own: Load,
    /// Work of other instances there, as they report it.
    pub others: Load,
    /// Until when requests avoid it, because it refused one as full or while it loads weights.
    pub avoid_until: Millis,
    cold_until: Millis,
    cold_sends: VecDeque<Millis>,
    parts: HashMap<(Arc<str>, u64), Millis>,
    /// When the upstream itself last showed its weights.
    shown: Option<Millis>,
}

/// Whose work a report tells.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Reporter {
    /// One instance's.
    Instance(id::Instance),
    /// That of all instances of a failure domain.
    Domain(id::FailureDomain),
    /// That of all other instances of the fleet.
    Others,
}

/// Work by upstream, and when it was reported.
type Report = (Millis, Vec<(id::Upstream, Load)>);

/// All upstreams that an instance knows.
#[derive(Debug, Default)]
pub struct Upstreams {
    all: BTreeMap<id::Upstream, Upstream>,
    reports: HashMap<Reporter, Report>,
    usual_delays: HashMap<id::Service, condition::UsualDelay>,
}

impl Upstream {
    fn new(record: Record, cold_until: Millis) -> Self {
        Self {
            record,
            condition: condition::Condition::default(),
            own: Load::default(),
            others: Load::default(),
            avoid_until: Millis(0),
            cold_until,
            cold_sends: VecDeque::new(),
            parts: HashMap::new(),
            shown: None,
        }
    }

    /// Returns the version of a model's weights.
    pub fn version(&self, model: &id::Model) -> Option<u64> {
        self.record.weights.iter().find(|w| w.model == *model).map(|w| w.version)
    }

    /// Returns whether the upstream is in a cold start.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns the work of all instances there.
    pub fn load(&self) -> Load {
        Load {
            in_flight: self.own.in_flight + self.others.in_flight,
            tokens: self.own.tokens + self.others.tokens,
            unread: self.own.unread + self.others.unread,
        }
    }

    /// Returns how many requests this instance sent to it while it was cold, in the last window.
    pub fn cold_sends(&self, now: Millis) -> usize {
        self.cold_sends.iter().filter(|at| now.since(**at) < COLD_WINDOW).count()
    }

    /// Returns whether this instance sent the part of a prompt there, under the same salt.
    pub fn remembers(&self, salt: &Arc<str>, part: u64) -> bool {
        self.parts.contains_key(&(salt.clone(), part))
    }

    /// Notes that a request was sent.
    pub fn start(&mut self, sent: &Sent, now: Millis) {
        self.own.in_flight += 1;
        self.own.tokens += sent.tokens;
        self.own.unread += sent.unread;
        while self.cold_sends.front().is_some_and(|at| now.since(*at) >= COLD_WINDOW) {
            self.cold_sends.pop_front();
        }
        // Kept for warm upstreams too: one may turn out to have become cold a moment ago.
        self.cold_sends.push_back(now);
    }

    /// Notes that a request's prompt was read.
    pub fn read(&mut self, sent: &mut Sent) {
        self.own.unread = self.own.unread.saturating_sub(std::mem::take(&mut sent.unread));
    }

    /// Notes that a request has ended.
    pub fn end(&mut self, sent: &mut Sent) {
        self.read(sent);
        self.own.in_flight = self.own.in_flight.saturating_sub(1);
        self.own.tokens = self.own.tokens.saturating_sub(std::mem::take(&mut sent.tokens));
    }

    /// Notes that the upstream has read a part of a prompt.
    pub fn remember(&mut self, salt: &Arc<str>, part: u64, now: Millis) {
        if self.parts.len() >= REMEMBERED_PARTS {
            let oldest = self.parts.iter().min_by_key(|(_, at)| **at).map(|(key, _)| key.clone());
            if let Some(key) = oldest {
                self.parts.remove(&key);
            }
        }
        self.parts.insert((salt.clone(), part), now);
    }

    /// Returns when the newest request was sent that needed this part.
    pub fn remembered_at(&self, salt: &Arc<str>, part: u64) -> Option<Millis> {
        self.parts.get(&(salt.clone(), part)).copied()
    }

    /// Sets a model's version to one that the upstream itself showed.
    pub fn set_version(&mut self, model: &id::Model, version: u64, now: Millis) {
        self.shown = Some(now);
        for weights in &mut self.record.weights {
            if weights.model == *model {
                if version > weights.version {
                    // It was avoided while it loaded them.
                    self.avoid_until = Millis(0);
                }
                weights.version = version;
            }
        }
    }
}

impl Upstreams {
    /// Installs a record. An upstream whose start is new counts as cold for `cold_span`, unless
    /// its record says how long it is cold; `cold_span` is zero for upstreams that were there
    /// before this instance.
    pub fn install(&mut self, record: Record, cold_span: Millis, now: Millis) {
        let known = self.all.get_mut(&record.id);
        let reported = now + record.cold_for;
        match known {
            Some(known) if known.record.born == record.born => {
                if record.cold_for > Millis(0) {
                    known.cold_until = known.cold_until.max(reported);
                }
                // A list lags behind what the upstream itself showed, but not for long: what was
                // shown may have been misread.
                let mut record = record;
                if known.shown.is_some_and(|at| now.since(at) < LIST_LAG) {
                    for weights in &mut record.weights {
                        let shown = known.version(&weights.model).unwrap_or(0);
                        weights.version = weights.version.max(shown);
                    }
                }
                known.record = record;
            }
            _ => {
                let cold_until = reported.max(now + cold_span);
                self.all.insert(record.id.clone(), Upstream::new(record, cold_until));
            }
        }
    }

    /// Removes an upstream that is gone.
    pub fn remove(&mut self, id: &id::Upstream) -> bool {
        self.all.remove(id).is_some()
    }

    /// Takes into account how much longer than estimated an upstream took for the first piece of an
    /// answer. What all upstreams of its service take longer says nothing of this one.
    pub fn observe_delay(&mut self, id: &id::Upstream, delay: Millis, now: Millis) {
        if let Some(upstream) = self.all.get_mut(id) {
            let usual = self.usual_delays.entry(upstream.record.service.clone()).or_default();
            upstream.condition.observe_delay(usual.observe(delay), now);
        }
    }

    /// Takes a report of others' work into account; it replaces the one before.
    pub fn set_report(
        &mut self,
        reporter: Reporter,
        loads: Vec<(id::Upstream, Load)>,
        now: Millis,
    ) {
        self.reports.insert(reporter, (now, loads));
        self.sum_reports(now);
    }

    /// Drops the reports that the predicate does not keep.
    pub fn retain_reports(&mut self, keep: impl Fn(&Reporter) -> bool, now: Millis) {
        self.reports.retain(|reporter, _| keep(reporter));
        self.sum_reports(now);
    }

    /// Sums the reports, without those that are too old to count.
    pub fn sum_reports(&mut self, now: Millis) {
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_LIFE);
        for upstream in self.all.values_mut() {
            upstream.others = Load::default();
        }
        for (_, loads) in self.reports.values() {
            for (id, load) in loads {
                if let Some(upstream) = self.all.get_mut(id) {
                    upstream.others += *load;
                }
            }
        }
    }

    /// Returns the work of this instance and of the chosen reporters, by upstream.
    pub fn work(&self, includes: impl Fn(&Reporter) -> bool) -> Vec<(id::Upstream, Load)> {
        let mut sums: BTreeMap<&id::Upstream, Load> = BTreeMap::new();
        for (id, upstream) in &self.all {
            if upstream.own.in_flight > 0 {
                sums.insert(id, upstream.own);
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

    /// Returns an upstream.
    pub fn get(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.all.get(id)
    }

    /// Returns an upstream for changes.
    pub fn get_mut(&mut self, id: &id::Upstream) -> Option<&mut Upstream> {
        self.all.get_mut(id)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.all.values()
    }

    /// Returns the ids of all upstreams.
    pub fn ids(&self) -> Vec<id::Upstream> {
        self.all.keys().cloned().collect()
    }
}
