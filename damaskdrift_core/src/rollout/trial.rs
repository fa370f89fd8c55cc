//! Trial of a service's new software version, as one instance sees it.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;

use crate::balance::Reporter;
use crate::id;
use crate::rollout::{
    Analyzer, Bounds, CellKey, Counts, DelayComparison, Evidence, Exposure, ExposureLimit,
    LatencySum, Ledger, LoadBand, Side, Verdict,
};
use crate::time::Millis;

/// Shares of the requests that the new version receives after the trial, in percent. Each step
/// doubles the load at least, so that a version that fails under load is found at a moderate one.
pub const RAMP_PERCENTS: [u8; 4] = [0, 25, 50, 100];
/// Fraction of the time budget after which the share may grow beyond the exposure limit. Until then
/// a version that fails only after some time is found at a small share.
const RAMP_START_FRACTION: f64 = 0.55;
/// Fraction of the time budget after which a version must have begun to grow; with less evidence
/// than growth requires it is taken back.
const RAMP_LATEST_FRACTION: f64 = 0.75;
/// Fraction of the time budget that each share lasts at least.
const RAMP_DWELL_FRACTION: f64 = 0.06;
/// Minimum time at each share: a few reports of all instances.
const RAMP_MIN_DWELL: Millis = Millis(700);
/// Log likelihood ratio that the first growth requires; about 60 requests without a failure.
const FIRST_GROWTH_LLR: f64 = 3.0;
/// Log likelihood ratio that each later growth requires.
const GROWTH_LLR: f64 = 1.0;
/// Time before the end of the budget at which old upstreams are no longer waited for.
const COMPLETION_RESERVE: Millis = Millis(1_200);

/// Ratio to the old version's mean delay of the first chunk from which a response counts as slow.
/// The first chunks on a version with empty caches come up to half as late again.
const SLOW_FIRST_CHUNK: f64 = 2.0;
/// Ratio to the old version's mean time between chunks from which a response counts as slow. The
/// old version exceeds it in about one of fourteen responses, which the test takes into account.
const SLOW_GAP: f64 = 1.8;
/// Minimum difference to the old version's mean of a slow response. Shorter ones are caused by the
/// network and by scheduling.
const SLOW_MARGIN: Millis = Millis(20);
/// Samples of the old version's delay from which responses are compared with it.
const MIN_REFERENCE_SAMPLES: u32 = 8;
/// Expected delay to which measured ones are scaled, so that prompts of different sizes compare.
const REFERENCE_DELAY: Millis = Millis(100);
/// Route under which the evidence of all routes together is tested.
const ALL_ROUTES: &str = "all routes";

/// Order of operators to move a service's requests to a software version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Service whose requests are to be moved.
    pub service: id::Service,
    /// Software version that is to serve them.
    pub target: id::Software,
    /// Time within which the move has to end.
    pub duration: Millis,
    /// Store revision of the order.
    pub revision: u64,
}

/// State of a rollout that the driver has written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrialState {
    /// The new version is on trial or its share grows.
    Running,
    /// The new version serves all requests.
    Completed,
    /// The new version was taken back.
    RolledBack,
}

/// Status of a rollout as written by the driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// How far the rollout is.
    pub state: TrialState,
    /// Software version that the status is about.
    pub target: id::Software,
    /// Index of the current share in [`RAMP_PERCENTS`].
    pub step: usize,
    /// Store revision of the status.
    pub revision: u64,
}

/// Upstreams of a service that a request may be sent to, by their software.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Selection<'a> {
    /// All upstreams.
    #[default]
    Any,
    /// Upstreams with this version.
    Only(&'a id::Software),
    /// Upstreams with another version than these.
    Except(&'a [id::Software]),
}

/// End of a request, as far as it is evidence on the version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The response was complete.
    Answered,
    /// The response was an error, broke off or did not come in time.
    Failed,
    /// The request ended for a reason that says nothing about the upstream.
    Abandoned,
}

/// Next action of the driver, with the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TrialDecision {
    /// Nothing changes.
    Hold(String),
    /// The new version receives the share of this step.
    Grow(usize, String),
    /// The new version keeps all requests.
    Complete(String),
    /// The old version keeps all requests.
    RollBack(String),
}

/// A request that an upstream has not answered completely.
#[derive(Clone, Debug)]
struct Pending {
    key: CellKey,
    sent_at: Millis,
    /// Time of an idle upstream until the first chunk.
    expected: Millis,
    is_cold: bool,
    first_chunk_at: Option<Millis>,
    last_chunk_at: Millis,
    chunks: u32,
}

/// Trial of one order.
#[derive(Clone, Debug)]
pub struct Trial {
    /// The order.
    pub order: Order,
    /// When the order was written, as far as any instance knows, on this instance's clock.
    pub ordered_at: Millis,
    status: Option<Status>,
    /// The target, and targets of earlier orders that were not completed.
    unproven: Vec<id::Software>,
    /// When this instance learned of the current step.
    step_since: Millis,
    exposure: Exposure,
    ledger: Ledger,
    analyzer: Analyzer,
    delays: DelayComparison,
    pending: BTreeMap<u64, Pending>,
    next_serial: u64,
    /// Counts and delays of the old version by route; the delay of the first chunk is scaled to
    /// [`REFERENCE_DELAY`].
    reference: BTreeMap<Arc<str>, Counts>,
    veto: Option<String>,
}

impl Selection<'_> {
    /// Returns whether upstreams with this version are selected.
    pub fn includes(&self, software: &id::Software) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => software == *version,
            Self::Except(versions) => !versions.contains(software),
        }
    }
}

impl Trial {
    /// Creates the trial of an order that this instance learned of at `now`.
    pub fn new(order: Order, now: Millis, rng: &mut impl Rng) -> Self {
        Self {
            unproven: vec![order.target.clone()],
            order,
            ordered_at: now,
            status: None,
            step_since: now,
            exposure: Exposure::new(rng),
            ledger: Ledger::default(),
            analyzer: Analyzer::default(),
            delays: DelayComparison::default(),
            pending: BTreeMap::new(),
            next_serial: 0,
            reference: BTreeMap::new(),
            veto: None,
        }
    }

    /// Marks the unproven versions of the service's previous order, which this one replaces.
    ///
    /// Upstreams of a version that was taken back, or was still on trial, may run for some time.
    pub fn with_previous(mut self, previous: &Self) -> Self {
        if previous.state() != TrialState::Completed {
            for software in &previous.unproven {
                if !self.unproven.contains(software) {
                    self.unproven.push(software.clone());
                }
            }
        }
        self
    }

    /// Applies a status from the store, unless it belongs to an earlier order.
    pub fn set_status(&mut self, status: Status, now: Millis) {
        let is_current = self.status.as_ref().is_none_or(|s| s.revision <= status.revision);
        if status.target != self.order.target
            || status.revision < self.order.revision
            || !is_current
        {
            return;
        }
        let before = self.step();
        if status.step != before {
            self.step_since = now;
            self.analyzer.start_step();
        }
        self.status = Some(status);
    }

    /// Returns the state of the rollout.
    pub fn state(&self) -> TrialState {
        self.status.as_ref().map_or(TrialState::Running, |status| status.state)
    }

    /// Returns the revision of the status, or `None` if this order has none yet.
    pub fn status_revision(&self) -> Option<u64> {
        self.status.as_ref().map(|status| status.revision)
    }

    /// Returns the index of the current share in [`RAMP_PERCENTS`].
    pub fn step(&self) -> usize {
        self.status.as_ref().map_or(0, |status| status.step).min(RAMP_PERCENTS.len() - 1)
    }

    /// Returns why this instance sends nothing to the new version, if evidence speaks against it.
    pub fn veto(&self) -> Option<&str> {
        self.veto.as_deref()
    }

    /// Applies the veto of another instance. Instances see the same evidence, but not at once.
    pub fn set_veto(&mut self, reason: &str) {
        self.veto.get_or_insert_with(|| reason.to_owned());
    }

    /// Returns the side that serves upstreams with this software.
    pub fn side(&self, software: &id::Software) -> Side {
        if *software == self.order.target { Side::New } else { Side::Old }
    }

    /// Returns whether the next request may be sent to an upstream of the new version.
    ///
    /// `is_current` tells whether this instance knows what the driver has written; otherwise the
    /// version may have been taken back. `draw` is a random number from 0 to 1.
    pub fn admits_new(&self, limit: &ExposureLimit, is_current: bool, draw: f64) -> bool {
        match self.state() {
            TrialState::Completed => return true,
            TrialState::RolledBack => return false,
            TrialState::Running => {}
        }
        if !is_current || self.veto.is_some() {
            return false;
        }
        let share = f64::from(RAMP_PERCENTS[self.step()]) / 100.0;
        draw < share || self.exposure.admits_new(limit, 1.0)
    }

    /// Returns the upstreams for the next request; see [`Self::admits_new`].
    pub fn selection(&self, limit: &ExposureLimit, is_current: bool, draw: f64) -> Selection<'_> {
        if self.admits_new(limit, is_current, draw) {
            Selection::Only(&self.order.target)
        } else {
            self.proven()
        }
    }

    /// Returns the upstreams whose versions need no further evidence.
    pub fn proven(&self) -> Selection<'_> {
        Selection::Except(&self.unproven)
    }

    /// Returns whether a request may be sent to an upstream with this software now.
    pub fn may_send(
        &self,
        software: &id::Software,
        limit: &ExposureLimit,
        is_current: bool,
    ) -> bool {
        self.proven().includes(software)
            || *software == self.order.target && self.admits_new(limit, is_current, 0.0)
    }

    /// Counts a request that is sent, and returns the number under which its end is reported.
    ///
    /// `expected` is the time until the first chunk of an idle upstream's response, if it depends
    /// on the request.
    pub fn begin(
        &mut self,
        side: Side,
        route: &Arc<str>,
        expected: Option<Millis>,
        is_cold: bool,
        now: Millis,
    ) -> u64 {
        self.exposure.record(side == Side::New);
        let key = CellKey { side, route: route.clone(), band: LoadBand::High };
        let serial = self.next_serial;
        self.next_serial += 1;
        let pending = Pending {
            key,
            sent_at: now,
            expected: expected.unwrap_or(REFERENCE_DELAY),
            is_cold,
            first_chunk_at: None,
            last_chunk_at: now,
            chunks: 0,
        };
        self.pending.insert(serial, pending);
        serial
    }

    /// Records a chunk of a response.
    pub fn record_chunk(&mut self, serial: u64, now: Millis) {
        if let Some(pending) = self.pending.get_mut(&serial) {
            pending.first_chunk_at.get_or_insert(now);
            pending.last_chunk_at = now;
            pending.chunks += 1;
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, serial: u64, outcome: Outcome, now: Millis) {
        let Some(pending) = self.pending.remove(&serial) else {
            return;
        };
        let is_slow = self.is_slow(&pending, now, outcome == Outcome::Answered);
        match outcome {
            Outcome::Abandoned if !is_slow => {}
            Outcome::Failed => self.record(&pending, true),
            Outcome::Answered | Outcome::Abandoned => self.record(&pending, is_slow),
        }
    }

    /// Stores the report of other instances, which learned of the order `age` ago.
    pub fn set_report(
        &mut self,
        reporter: Reporter,
        age: Millis,
        evidence: &Evidence,
        now: Millis,
    ) {
        self.ordered_at = self.ordered_at.min(now - age);
        self.ledger.set_report(reporter, evidence);
    }

    /// Returns the evidence of this instance and of the selected reporters.
    pub fn evidence(&self, includes: impl Fn(&Reporter) -> bool) -> Evidence {
        self.ledger.total(includes)
    }

    /// Examines requests without a response and new evidence of all instances. Returns true if the
    /// evidence now speaks against the new version.
    pub fn update(&mut self, includes: impl Fn(&Reporter) -> bool + Copy, now: Millis) -> bool {
        let is_slow = |(_, pending): &(&u64, &Pending)| self.is_slow(pending, now, false);
        let slow: Vec<u64> = self.pending.iter().filter(is_slow).map(|(id, _)| *id).collect();
        for serial in slow {
            if let Some(pending) = self.pending.remove(&serial) {
                self.record(&pending, true);
            }
        }
        self.reference.clear();
        for (key, counts) in &self.ledger.total(includes).cells {
            if key.side == Side::Old {
                self.reference.entry(key.route.clone()).or_default().merge(counts);
            }
        }
        let evidence = self.ledger.take_new(includes);
        if !evidence.is_empty() {
            self.delays.add(&evidence);
            self.analyzer.add(now, &for_test(evidence));
        }
        if self.veto.is_some() || self.state() != TrialState::Running {
            return false;
        }
        self.veto = match self.analyzer.verdict(now, Bounds::VETO) {
            Verdict::Bad { reason } => Some(reason),
            Verdict::Good { .. } | Verdict::Insufficient { .. } => self.delays.slow_reason(),
        };
        self.veto.is_some()
    }

    /// Decides what the driver writes next. `old_running` is the number of requests that old
    /// upstreams run.
    pub fn decide(&self, old_running: u32, now: Millis) -> TrialDecision {
        if let Some(reason) = &self.veto {
            return TrialDecision::RollBack(reason.clone());
        }
        let age = now.since(self.ordered_at);
        let budget = self.order.duration;
        let at = |fraction: f64| Millis((budget.0 as f64 * fraction) as u64);
        let step = self.step();
        let (growth, latest) =
            if step == 0 { (FIRST_GROWTH_LLR, RAMP_LATEST_FRACTION) } else { (GROWTH_LLR, 1.0) };
        let verdict = self.analyzer.verdict(now, Bounds::new(growth, false));
        let requests = match verdict {
            Verdict::Bad { reason } => return TrialDecision::RollBack(reason),
            Verdict::Good { requests } => requests,
            verdict @ Verdict::Insufficient { .. } if age >= at(latest) => {
                return TrialDecision::RollBack(format!("{verdict}, {age} after the order"));
            }
            verdict @ Verdict::Insufficient { .. } => {
                return TrialDecision::Hold(verdict.to_string());
            }
        };
        let dwell = at(RAMP_DWELL_FRACTION).max(RAMP_MIN_DWELL);
        let stayed = now.since(self.step_since);
        let share = RAMP_PERCENTS[step];
        let delays = self.delays.summary();
        let reason = format!("{requests} requests at this share show no fault; {delays}");
        if step == 0 && age < at(RAMP_START_FRACTION) {
            return TrialDecision::Hold(format!("{age} of {budget} since the order"));
        }
        if step > 0 && stayed < dwell {
            return TrialDecision::Hold(format!("{stayed} of {dwell} at {share}%"));
        }
        if step + 1 < RAMP_PERCENTS.len() {
            return TrialDecision::Grow(step + 1, reason);
        }
        if old_running > 0 && age + COMPLETION_RESERVE < budget {
            return TrialDecision::Hold(format!("old upstreams run {old_running} requests"));
        }
        TrialDecision::Complete(reason)
    }

    /// Returns the requests that this instance sent, and how many of them to the new version.
    pub fn exposure(&self) -> (u64, u64) {
        self.exposure.counts()
    }

    /// Returns whether a response took several times as long as those of the old version on the
    /// same route. The delays of cold upstreams are not compared.
    fn is_slow(&self, pending: &Pending, now: Millis, is_complete: bool) -> bool {
        let Some(usual) = self.reference.get(&pending.key.route).filter(|_| !pending.is_cold)
        else {
            return false;
        };
        let Some(first_chunk_at) = pending.first_chunk_at else {
            return pending.is_late(now, usual.first_token);
        };
        if pending.is_late(first_chunk_at, usual.first_token) {
            return true;
        }
        // The next chunk of an incomplete response arrives now at the earliest.
        let (until, gaps) = match is_complete {
            true => (pending.last_chunk_at, pending.chunks.saturating_sub(1)),
            false => (now, pending.chunks),
        };
        let gap = mean_gap(first_chunk_at, until, gaps);
        gaps > 0 && exceeds(gap, usual.between_tokens, 1.0, SLOW_GAP)
    }

    fn record(&mut self, pending: &Pending, has_failed: bool) {
        // The responses of cold upstreams show only whether they fail.
        if pending.is_cold && !has_failed {
            return;
        }
        let mut counts = Counts {
            succeeded: u32::from(!has_failed),
            failed: u32::from(has_failed),
            ..Counts::default()
        };
        if let Some(at) = pending.first_chunk_at.filter(|_| !pending.is_cold) {
            counts.first_token.add(pending.scaled(at));
            if pending.chunks > 1 {
                let gap = mean_gap(at, pending.last_chunk_at, pending.chunks - 1);
                counts.between_tokens.add(gap);
            }
        }
        self.ledger.record(pending.key.clone(), &counts);
    }
}

impl Pending {
    /// Returns whether a first chunk at a time is late, given the scaled delays of others.
    fn is_late(&self, at: Millis, usual: LatencySum) -> bool {
        let scale = self.expected.0.max(1) as f64 / REFERENCE_DELAY.0 as f64;
        exceeds(at.since(self.sent_at), usual, scale, SLOW_FIRST_CHUNK)
    }

    /// Returns the delay until a time, scaled to a request with [`REFERENCE_DELAY`].
    fn scaled(&self, at: Millis) -> Millis {
        Millis(at.since(self.sent_at).0 * REFERENCE_DELAY.0 / self.expected.0.max(1))
    }
}

/// Returns the mean time between chunks.
fn mean_gap(first: Millis, last: Millis, gaps: u32) -> Millis {
    Millis(last.since(first).0 / u64::from(gaps.max(1)))
}

/// Returns whether a delay is more than `factor` times the mean of the given ones times `scale`.
fn exceeds(delay: Millis, usual: LatencySum, scale: f64, factor: f64) -> bool {
    let mean = usual.mean_ln().exp() * scale;
    usual.samples >= MIN_REFERENCE_SAMPLES
        && delay.0 as f64 > (mean * factor).max(mean + SLOW_MARGIN.0 as f64)
}

/// Returns the evidence without latencies, which are judged request by request, and with the sum of
/// all routes as one more route.
fn for_test(evidence: Evidence) -> Evidence {
    let all: Arc<str> = Arc::from(ALL_ROUTES);
    let mut cells: BTreeMap<CellKey, Counts> = BTreeMap::new();
    for (key, counts) in evidence.cells {
        let counts =
            Counts { succeeded: counts.succeeded, failed: counts.failed, ..Counts::default() };
        let sum = CellKey { route: all.clone(), ..key.clone() };
        cells.entry(sum).or_default().merge(&counts);
        cells.entry(key).or_default().merge(&counts);
    }
    Evidence::new(cells)
}
