//! Judges a new version by comparison with the old one in the same minutes.

use std::collections;
use std::sync::Arc;

use derive_more::Display;

use crate::rollout::{Band, Counts, Evidence, Latency, Side};
use crate::time::Millis;

/// Span over which present rates are taken.
const RECENT: Millis = Millis::from_secs(60);
/// Span for which counts are kept, so that a version with little traffic has enough samples.
const WINDOW: Millis = Millis::from_secs(600);
/// Length of the slots that make up the window.
const SLOT: Millis = Millis(1_000);
/// Error rate assumed before the old version has shown its own.
const PRIOR_ERROR_RATE: f64 = 0.005;
/// Lowest error rate taken for the old version; with a lower one, five chance failures in a row of
/// requests would count as a bad version.
const MIN_ERROR_RATE: f64 = 0.005;
/// Requests that the assumed error rate counts for.
const PRIOR_REQUESTS: f64 = 100.0;
/// A bad version has at least this many times the old one's error rate.
const BAD_RATE_FACTOR: f64 = 4.0;
/// A bad version has an error rate at least this much above the old one's.
const BAD_RATE_MARGIN: f64 = 0.05;
/// Log likelihood ratio at which a version counts as bad. The test restarts whenever the ratio
/// falls to 0 (Page's test), so it is run many times a move; one run in about 10^6 may be wrong.
const BAD_BOUND: f64 = 13.8;
/// The same when the deadline is at risk, where a move held at its share by some failures would
/// otherwise never end; one run in about 10^4 may be wrong.
const LATE_BAD_BOUND: f64 = 9.2;
/// Ratio of geometric mean latencies above which a version counts as slow.
const SLOW_RATIO: f64 = 2.0;
/// The same when the old version has no samples in the window, so that its earlier ones are used.
const SLOW_RATIO_EARLIER: f64 = 2.5;
/// Latency samples of both versions that suffice for a comparison.
const ENOUGH_LATENCIES: u32 = 20;
/// Evidence for growth from which routes must show latencies; below, the next step is still small.
const MIN_ROUTE_LATENCY_NEED: f64 = 1.0;
/// Fewest latency samples that hold growth when they are slow.
const MIN_SUSPICIOUS: u32 = 3;
/// Fewest latency samples of either version; the fewer there are, the larger the ratio must be.
const MIN_LATENCIES: u32 = 6;
/// Share of the old version's traffic from which a route must have shown itself before growth.
const MAIN_ROUTE_SHARE: f64 = 0.05;
/// Log likelihood ratio that growth needs on each such route; it stands for 5 requests without a
/// failure, or many more after one.
const ROUTE_NEEDED: f64 = 0.24;
/// Part of the evidence for growth that each such route must give, where that is less.
const ROUTE_PART: f64 = 0.2;
/// Bound of a route's good standing: a route that starts to fail holds growth at the first failure.
const BEST_STANDING: f64 = 1.0;
/// Bound of a route's bad standing: about 10 requests without a failure restore it, so that one
/// chance failure on a route with little traffic does not hold a good version for hours.
const WORST_STANDING: f64 = 0.26;

/// How much evidence a verdict needs, as log likelihood ratios.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Evidence for the version that growth needs.
    pub growth: f64,
    /// Evidence against the version at which it counts as bad.
    pub bad: f64,
}

/// What the evidence says.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Verdict {
    /// There is enough evidence of the present step, and none against the version.
    #[display("enough evidence: {requests} requests at this step")]
    Good {
        /// Requests on the new route at the present step.
        requests: u32,
    },
    /// There is not enough evidence yet.
    #[display("evidence is missing: {reason}")]
    Missing {
        /// What is missing.
        reason: String,
    },
    /// The version is bad.
    #[display("{reason}")]
    Bad {
        /// What shows it.
        reason: String,
    },
}

/// Which requests of a route a cell holds.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
enum Scope {
    /// All of them: failures at any load count together.
    #[display("any")]
    All,
    /// Those in a load band.
    #[display("{_0}")]
    Load(Band),
}

/// Keeps the evidence on one move.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    cells: collections::BTreeMap<(Arc<str>, Scope), Cell>,
    /// Log likelihood ratio of the present step, over all cells.
    step_ratio: f64,
    step: Counts,
    first: Option<Millis>,
}

#[derive(Clone, Debug, Default)]
struct Cell {
    old: Window,
    new: Window,
    old_total: Counts,
    /// Log likelihood ratio over the move, bounded below so that failures soon show.
    standing: f64,
    /// Log likelihood ratio since it last fell to 0.
    ratio: f64,
}

/// Latencies of the two versions, compared by their mean logarithms.
struct Comparison {
    /// Samples of the version that has fewer.
    samples: u32,
    difference: f64,
    limit: f64,
}

/// Counts by slot, the latest last.
#[derive(Clone, Debug, Default)]
struct Window {
    slots: collections::VecDeque<(u64, Counts)>,
}

/// Which latency is compared.
type Measure = (&'static str, fn(&Counts) -> Latency);

const MEASURES: [Measure; 2] =
    [("time to first token", |c| c.first_token), ("time between tokens", |c| c.between_tokens)];

impl Bounds {
    /// Bounds for a veto by one instance, which does not decide on growth.
    pub const VETO: Self = Self { growth: f64::INFINITY, bad: BAD_BOUND };

    /// Creates the bounds of a driver.
    pub fn new(growth: f64, is_late: bool) -> Self {
        Self { growth, bad: if is_late { LATE_BAD_BOUND } else { BAD_BOUND } }
    }
}

impl Judge {
    /// Adds evidence.
    pub fn add(&mut self, now: Millis, evidence: &Evidence) {
        self.first.get_or_insert(now);
        // The old version's counts come first, because they are the measure of the new one's.
        for (key, counts) in evidence.cells.iter().filter(|(key, _)| key.side == Side::Old) {
            for scope in [Scope::All, Scope::Load(key.band)] {
                let cell = self.cells.entry((key.route.clone(), scope)).or_default();
                cell.old.add(now, counts);
                cell.old_total.merge(counts);
            }
        }
        for (key, counts) in evidence.cells.iter().filter(|(key, _)| key.side == Side::New) {
            let overall = self.old_rate();
            for scope in [Scope::All, Scope::Load(key.band)] {
                let cell = self.cells.entry((key.route.clone(), scope)).or_default();
                let change = cell.add_new(now, counts, overall);
                if scope == Scope::All {
                    self.step_ratio += change;
                    self.step.merge(counts);
                }
            }
        }
    }

    /// Starts a new step: evidence for growth counts anew, evidence against the version stays.
    pub fn start_step(&mut self) {
        self.step_ratio = 0.0;
        self.step = Counts::default();
    }

    /// Returns the requests a second on both routes in the last minute.
    pub fn rate(&self, now: Millis) -> f64 {
        let window = |cell: &Cell| {
            let both = cell.old.total(now).requests() + cell.new.total(now).requests();
            f64::from(both)
        };
        let requests: f64 = self.routes().map(|(_, cell)| window(cell)).sum();
        let first = self.first.unwrap_or(now);
        let span = (now.since(first) + SLOT).min(RECENT);
        requests * 1_000.0 / span.0 as f64
    }

    /// Returns what the evidence says.
    pub fn verdict(&self, now: Millis, bounds: Bounds) -> Verdict {
        for ((route, scope), cell) in &self.cells {
            if let Some(reason) = cell.fault(now, *scope, bounds.bad) {
                let reason = format!("{reason} (route {route}, {scope} load)");
                return Verdict::Bad { reason };
            }
        }
        match self.missing(now, bounds.growth) {
            Some(reason) => Verdict::Missing { reason },
            None => Verdict::Good { requests: self.step.requests() },
        }
    }

    fn missing(&self, now: Millis, needed: f64) -> Option<String> {
        let requests = self.step.requests();
        if self.step_ratio > -needed {
            return Some(format!(
                "{requests} requests, {} of them failed, at this step",
                self.step.failed
            ));
        }
        if let Some(route) = self.unproven_route(ROUTE_NEEDED.min(needed * ROUTE_PART)) {
            return Some(format!("too few good requests on route {route}"));
        }
        let is_timed = self.routes().any(|(_, c)| c.old_total.first_token.samples > 0);
        let samples = self.step.first_token.samples;
        if is_timed && samples < ENOUGH_LATENCIES.min(requests / 2) {
            return Some(format!(
                "{samples} latencies of upstreams that are not cold, of {requests} requests"
            ));
        }
        if is_timed && needed >= MIN_ROUTE_LATENCY_NEED { self.doubtful_latency(now) } else { None }
    }

    /// Returns a route that has much of the old version's traffic and too little evidence.
    fn unproven_route(&self, needed: f64) -> Option<&str> {
        self.main_routes().find(|(_, cell)| cell.standing > -needed).map(|(route, _)| route)
    }

    /// Returns the routes that have much of the old version's traffic.
    fn main_routes(&self) -> impl Iterator<Item = (&str, &Cell)> {
        let total: u32 = self.routes().map(|(_, cell)| cell.old_total.requests()).sum();
        let least = MAIN_ROUTE_SHARE * f64::from(total);
        self.routes().filter(move |(_, cell)| f64::from(cell.old_total.requests()) >= least)
    }

    /// Tells of a main route with too few latencies to tell whether it is slow.
    fn doubtful_latency(&self, now: Millis) -> Option<String> {
        for (route, all) in self.main_routes() {
            let bands = [Band::Low, Band::High].map(|band| (Arc::from(route), Scope::Load(band)));
            let cells = bands.iter().filter_map(|key| self.cells.get(key));
            let seen: u32 = cells.clone().map(Cell::latencies).max().unwrap_or(0);
            if all.old_total.first_token.samples > 0 && seen < MIN_SUSPICIOUS {
                return Some(format!("too few latencies on route {route}"));
            }
            if cells.into_iter().any(|cell| cell.is_suspicious(now)) {
                return Some(format!("too few latencies on route {route}, which seems slow"));
            }
        }
        None
    }

    /// Returns the old version's error rate over the whole move.
    fn old_rate(&self) -> f64 {
        let mut total = Counts::default();
        for (_, cell) in self.routes() {
            total.merge(&cell.old_total);
        }
        smoothed_rate(&total, PRIOR_ERROR_RATE)
    }

    fn routes(&self) -> impl Iterator<Item = (&str, &Cell)> {
        let all = self.cells.iter().filter(|((_, scope), _)| *scope == Scope::All);
        all.map(|((route, _), cell)| (route.as_ref(), cell))
    }
}

impl Cell {
    /// Adds counts of the new version and returns the change of the log likelihood ratio.
    fn add_new(&mut self, now: Millis, counts: &Counts, overall: f64) -> f64 {
        self.new.add(now, counts);
        let change = log_likelihood_ratio(self.old_rate(now, overall), counts);
        self.ratio = (self.ratio + change).max(0.0);
        self.standing = (self.standing + change).clamp(-BEST_STANDING, WORST_STANDING);
        change
    }

    /// Returns the old version's error rate in the same minute.
    fn old_rate(&self, now: Millis, overall: f64) -> f64 {
        smoothed_rate(&self.old.total(now), overall)
    }

    fn fault(&self, now: Millis, scope: Scope, bad: f64) -> Option<String> {
        if self.ratio >= bad {
            let counts = self.new.total(now);
            return Some(format!(
                "{} of {} requests failed in the last minute, {} of {} on the old route",
                counts.failed,
                counts.requests(),
                self.old.total(now).failed,
                self.old.total(now).requests()
            ));
        }
        // Latencies depend on the load, so they are compared within a band.
        if scope == Scope::All {
            return None;
        }
        MEASURES.iter().find_map(|measure| self.slowness(now, *measure))
    }

    /// Returns how many latencies of the new version are at hand.
    fn latencies(&self) -> u32 {
        self.new.slots.iter().map(|(_, counts)| counts.first_token.samples).sum()
    }

    /// Returns whether the version seems slow, with too few samples to be sure.
    fn is_suspicious(&self, now: Millis) -> bool {
        let is_slow = |measure: &Measure| {
            let comparison = self.compare(now, measure.1);
            comparison.is_some_and(|c| c.samples >= MIN_SUSPICIOUS && c.difference > c.limit)
        };
        MEASURES.iter().any(is_slow)
    }

    fn slowness(&self, now: Millis, (name, latency): Measure) -> Option<String> {
        let comparison = self.compare(now, latency)?;
        if comparison.samples < MIN_LATENCIES {
            return None;
        }
        // The limit is the same number of standard errors for any number of samples.
        let enough = f64::from(ENOUGH_LATENCIES);
        let scale = (enough / f64::from(comparison.samples)).sqrt().max(1.0);
        let ratio = comparison.difference.exp();
        let is_slow = comparison.difference > comparison.limit * scale;
        is_slow.then(|| format!("{name} is {ratio:.1} times that of the old version"))
    }

    /// Compares the newest latencies with the old version's over the same time or, when it has
    /// none, with its earlier ones.
    fn compare(&self, now: Millis, latency: fn(&Counts) -> Latency) -> Option<Comparison> {
        let (new, since) = self.new.latest(now, latency);
        let mut limit = SLOW_RATIO;
        let mut old = self.old.since(since, latency);
        if old.samples < MIN_LATENCIES {
            old = latency(&self.old_total);
            limit = SLOW_RATIO_EARLIER;
        }
        let samples = new.samples.min(old.samples);
        if samples == 0 {
            return None;
        }
        Some(Comparison { samples, difference: new.mean_ln() - old.mean_ln(), limit: limit.ln() })
    }
}

impl Window {
    fn add(&mut self, now: Millis, counts: &Counts) {
        let slot = now.0 / SLOT.0;
        match self.slots.back_mut() {
            Some((last, present)) if *last == slot => present.merge(counts),
            _ => self.slots.push_back((slot, *counts)),
        }
        let first = slot.saturating_sub(WINDOW.0 / SLOT.0);
        while self.slots.front().is_some_and(|(slot, _)| *slot < first) {
            self.slots.pop_front();
        }
    }

    fn within(&self, now: Millis, span: Millis) -> impl Iterator<Item = &(u64, Counts)> {
        let first = (now.0 / SLOT.0).saturating_sub(span.0 / SLOT.0);
        self.slots.iter().rev().take_while(move |(slot, _)| *slot >= first)
    }

    /// Returns the present counts.
    fn total(&self, now: Millis) -> Counts {
        let mut total = Counts::default();
        for (_, counts) in self.within(now, RECENT) {
            total.merge(counts);
        }
        total
    }

    /// Returns the fewest latest samples that suffice for a comparison, and their first slot.
    fn latest(&self, now: Millis, latency: fn(&Counts) -> Latency) -> (Latency, u64) {
        let mut sum = Latency::default();
        let mut since = u64::MAX;
        for (slot, counts) in self.within(now, WINDOW) {
            sum.merge(latency(counts));
            since = *slot;
            if sum.samples >= ENOUGH_LATENCIES {
                break;
            }
        }
        (sum, since)
    }

    fn since(&self, since: u64, latency: fn(&Counts) -> Latency) -> Latency {
        let mut sum = Latency::default();
        for (_, counts) in self.slots.iter().rev().take_while(|(slot, _)| *slot >= since) {
            sum.merge(latency(counts));
        }
        sum
    }
}

/// Returns the error rate of counts, drawn towards a prior when there are few.
fn smoothed_rate(counts: &Counts, prior: f64) -> f64 {
    let failed = f64::from(counts.failed) + prior * PRIOR_REQUESTS;
    failed / (f64::from(counts.requests()) + PRIOR_REQUESTS)
}

/// Compares a bad version with one like the old, by the failures among some requests.
fn log_likelihood_ratio(old_rate: f64, counts: &Counts) -> f64 {
    let like_old = old_rate.clamp(MIN_ERROR_RATE, 0.5);
    let bad = (like_old * BAD_RATE_FACTOR).max(like_old + BAD_RATE_MARGIN).min(0.95);
    let failure = (bad / like_old).ln();
    let success = ((1.0 - bad) / (1.0 - like_old)).ln();
    f64::from(counts.failed) * failure + f64::from(counts.succeeded) * success
}
