//! Compares the new version of a move with the old one over the same minutes.

use std::collections;
use std::sync::Arc;

use derive_more::Display;

use crate::rollout::{Counts, Evidence, LatencySum, LoadBand, Side};
use crate::time::Millis;

/// Window of the current error and request rates.
const RATE_WINDOW: Millis = Millis::from_secs(60);
/// Time for which counts are retained, so that a version with little traffic has enough samples.
const RETENTION: Millis = Millis::from_secs(600);
/// Width of the buckets in which counts are retained.
const BUCKET_WIDTH: Millis = Millis(1_000);
/// Error rate assumed for the old version until it has enough requests.
const PRIOR_ERROR_RATE: f64 = 0.005;
/// Lower bound of the old version's error rate in the test. With a lower rate, five chance failures
/// in a sequence of requests would classify a version as bad.
const MIN_ERROR_RATE: f64 = 0.005;
/// Weight of the assumed error rate, in requests.
const PRIOR_REQUESTS: f64 = 100.0;
/// Minimum ratio of a bad version's error rate to the old version's.
const BAD_RATE_FACTOR: f64 = 4.0;
/// Minimum difference between a bad version's error rate and the old version's.
const BAD_RATE_MARGIN: f64 = 0.05;
/// Log likelihood ratio at which a version is classified as bad. The test (Page's CUSUM test)
/// restarts whenever the ratio falls to 0 and so runs many times during a move; the bound allows a
/// false positive in about one of 10^6 runs.
const BAD_LLR: f64 = 13.8;
/// [`BAD_LLR`] of a move whose deadline is at risk: occasional failures could otherwise hold its
/// share forever. The bound allows a false positive in about one of 10^4 runs.
const AT_RISK_BAD_LLR: f64 = 9.2;
/// Ratio of geometric mean latencies above which a version is classified as slow.
const SLOW_RATIO: f64 = 2.0;
/// [`SLOW_RATIO`] for a comparison with the old version's samples of the whole move, which is used
/// when it has too few in the same period.
const SLOW_RATIO_HISTORICAL: f64 = 2.5;
/// Latency samples of each version that suffice for a comparison; with fewer, a higher ratio is
/// required to classify a version as slow.
const FULL_LATENCY_SAMPLES: u32 = 20;
/// Required log likelihood ratio from which each route must also have latency samples; steps that
/// require less lead to a share that is still small.
const ROUTE_LATENCY_MIN_LLR: f64 = 1.0;
/// Minimum latency samples with which suspected slowness holds growth.
const MIN_SUSPECT_SAMPLES: u32 = 3;
/// Minimum latency samples of each version to classify it as slow; the fewer samples there are, the
/// larger the ratio must be.
const MIN_LATENCY_SAMPLES: u32 = 6;
/// Share of the old version's traffic from which a route must have its own evidence before growth.
const MAJOR_ROUTE_SHARE: f64 = 0.05;
/// Log likelihood ratio required for growth on each major route; it corresponds to 5 requests
/// without a failure, or many more after one.
const ROUTE_GROWTH_LLR: f64 = 0.24;
/// Fraction of the ratio required for growth that is required on each major route, if that is less
/// than [`ROUTE_GROWTH_LLR`].
const ROUTE_GROWTH_FACTOR: f64 = 0.2;
/// Bound of a route's log likelihood ratio in favor of the new version. With it, the first failure
/// on a route holds growth.
const MAX_FAVORABLE_LLR: f64 = 1.0;
/// Bound of a route's log likelihood ratio against the new version. About 10 requests without a
/// failure offset it, so that one chance failure on a route with little traffic does not hold a
/// good version for hours.
const MAX_ADVERSE_LLR: f64 = 0.26;

/// Evidence required for a verdict, as log likelihood ratios.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Evidence in favor of the new version that growth requires.
    pub growth: f64,
    /// Evidence against the new version at which it is classified as bad.
    pub bad: f64,
}

/// Result of a comparison of the two versions.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Verdict {
    /// The current step has enough evidence, and the new version is not classified as bad.
    #[display("enough evidence: {requests} requests at this step")]
    Good {
        /// Number of requests on the new route at the current step.
        requests: u32,
    },
    /// The evidence does not suffice for growth.
    #[display("evidence is missing: {reason}")]
    Insufficient {
        /// Evidence that is still insufficient.
        reason: String,
    },
    /// The new version fails more often than the old one or is slower.
    #[display("{reason}")]
    Bad {
        /// Measured difference, with the route and the load.
        reason: String,
    },
}

/// Requests of a route that a cell covers.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
enum Scope {
    /// All requests; failures are counted regardless of the load.
    #[display("any")]
    All,
    /// Requests in one load band, as latencies depend on the load.
    #[display("{_0}")]
    Load(LoadBand),
}

/// Accumulates the evidence on one move and compares the two versions.
#[derive(Clone, Debug, Default)]
pub struct Analyzer {
    cells: collections::BTreeMap<(Arc<str>, Scope), Cell>,
    /// Log likelihood ratio of the current step, summed over all routes.
    step_llr: f64,
    step_counts: Counts,
    first_evidence_at: Option<Millis>,
}

/// Counts and test statistics of one route in one scope.
#[derive(Clone, Debug, Default)]
struct Cell {
    old: Window,
    new: Window,
    /// Counts of the old version over the whole move.
    old_total: Counts,
    /// Log likelihood ratio over the move, bounded so that new failures take effect soon and one
    /// chance failure does not hold growth for long.
    clamped_llr: f64,
    /// Log likelihood ratio since it last fell to 0, as in Page's test.
    cusum: f64,
}

/// Comparison of the two versions' latencies by their mean logarithms.
struct Comparison {
    /// Number of samples of the version that has fewer.
    samples: u32,
    ln_ratio: f64,
    ln_limit: f64,
}

/// Counts per bucket in order of time.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: collections::VecDeque<(u64, Counts)>,
}

/// Name of a latency metric and its accessor.
type LatencyMetric = (&'static str, fn(&Counts) -> LatencySum);

const LATENCY_METRICS: [LatencyMetric; 2] =
    [("time to first token", |c| c.first_token), ("time between tokens", |c| c.between_tokens)];

impl Bounds {
    /// Bounds for vetoes by a single instance, which never decides on growth.
    pub const VETO: Self = Self { growth: f64::INFINITY, bad: BAD_LLR };

    /// Creates the bounds for a driver's decision; `is_at_risk` lowers the bound for a bad version.
    pub fn new(growth: f64, is_at_risk: bool) -> Self {
        Self { growth, bad: if is_at_risk { AT_RISK_BAD_LLR } else { BAD_LLR } }
    }
}

impl Analyzer {
    /// Adds evidence received at `now`.
    pub fn add(&mut self, now: Millis, evidence: &Evidence) {
        self.first_evidence_at.get_or_insert(now);
        // The old version's counts are added first, because the new one's are compared with them.
        for (key, counts) in evidence.cells.iter().filter(|(key, _)| key.side == Side::Old) {
            for scope in [Scope::All, Scope::Load(key.band)] {
                let cell = self.cells.entry((key.route.clone(), scope)).or_default();
                cell.old.add(now, counts);
                cell.old_total.merge(counts);
            }
        }
        for (key, counts) in evidence.cells.iter().filter(|(key, _)| key.side == Side::New) {
            let overall_rate = self.old_rate();
            for scope in [Scope::All, Scope::Load(key.band)] {
                let cell = self.cells.entry((key.route.clone(), scope)).or_default();
                let change = cell.add_new(now, counts, overall_rate);
                if scope == Scope::All {
                    self.step_llr += change;
                    self.step_counts.merge(counts);
                }
            }
        }
    }

    /// Resets the evidence for growth at the start of a step; evidence against the version remains.
    pub fn start_step(&mut self) {
        self.step_llr = 0.0;
        self.step_counts = Counts::default();
    }

    /// Returns the requests per second on both routes together in the last minute.
    pub fn request_rate(&self, now: Millis) -> f64 {
        let recent_requests = |cell: &Cell| {
            let both =
                cell.old.recent_total(now).requests() + cell.new.recent_total(now).requests();
            f64::from(both)
        };
        let requests: f64 = self.routes().map(|(_, cell)| recent_requests(cell)).sum();
        let first = self.first_evidence_at.unwrap_or(now);
        let span = (now.since(first) + BUCKET_WIDTH).min(RATE_WINDOW);
        requests * 1_000.0 / span.0 as f64
    }

    /// Returns the verdict on the new version.
    pub fn verdict(&self, now: Millis, bounds: Bounds) -> Verdict {
        for ((route, scope), cell) in &self.cells {
            if let Some(reason) = cell.bad_reason(now, *scope, bounds.bad) {
                let reason = format!("{reason} (route {route}, {scope} load)");
                return Verdict::Bad { reason };
            }
        }
        match self.missing_evidence(now, bounds.growth) {
            Some(reason) => Verdict::Insufficient { reason },
            None => Verdict::Good { requests: self.step_counts.requests() },
        }
    }

    fn missing_evidence(&self, now: Millis, required_llr: f64) -> Option<String> {
        let requests = self.step_counts.requests();
        if self.step_llr > -required_llr {
            return Some(format!(
                "{requests} requests, {} of them failed, at this step",
                self.step_counts.failed
            ));
        }
        if let Some(route) =
            self.insufficient_route(ROUTE_GROWTH_LLR.min(required_llr * ROUTE_GROWTH_FACTOR))
        {
            return Some(format!("too few good requests on route {route}"));
        }
        let has_latencies = self.routes().any(|(_, c)| c.old_total.first_token.samples > 0);
        let samples = self.step_counts.first_token.samples;
        if has_latencies && samples < FULL_LATENCY_SAMPLES.min(requests / 2) {
            return Some(format!(
                "{samples} latencies of upstreams that are not cold, of {requests} requests"
            ));
        }
        if has_latencies && required_llr >= ROUTE_LATENCY_MIN_LLR {
            self.insufficient_latencies(now)
        } else {
            None
        }
    }

    /// Returns a major route whose evidence does not suffice for growth.
    fn insufficient_route(&self, required_llr: f64) -> Option<&str> {
        self.major_routes()
            .find(|(_, cell)| cell.clamped_llr > -required_llr)
            .map(|(route, _)| route)
    }

    /// Returns the routes with at least [`MAJOR_ROUTE_SHARE`] of the old version's traffic.
    fn major_routes(&self) -> impl Iterator<Item = (&str, &Cell)> {
        let total: u32 = self.routes().map(|(_, cell)| cell.old_total.requests()).sum();
        let min_requests = MAJOR_ROUTE_SHARE * f64::from(total);
        self.routes().filter(move |(_, cell)| f64::from(cell.old_total.requests()) >= min_requests)
    }

    /// Returns why a major route has too few latency samples to rule out that it is slow.
    fn insufficient_latencies(&self, now: Millis) -> Option<String> {
        for (route, all) in self.major_routes() {
            let bands =
                [LoadBand::Low, LoadBand::High].map(|band| (Arc::from(route), Scope::Load(band)));
            let cells = bands.iter().filter_map(|key| self.cells.get(key));
            let samples: u32 = cells.clone().map(Cell::latency_samples).max().unwrap_or(0);
            if all.old_total.first_token.samples > 0 && samples < MIN_SUSPECT_SAMPLES {
                return Some(format!("too few latencies on route {route}"));
            }
            if cells.into_iter().any(|cell| cell.is_suspected_slow(now)) {
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
    /// Adds counts of the new version and returns their log likelihood ratio.
    fn add_new(&mut self, now: Millis, counts: &Counts, overall_rate: f64) -> f64 {
        self.new.add(now, counts);
        let change = log_likelihood_ratio(self.old_rate(now, overall_rate), counts);
        self.cusum = (self.cusum + change).max(0.0);
        self.clamped_llr = (self.clamped_llr + change).clamp(-MAX_FAVORABLE_LLR, MAX_ADVERSE_LLR);
        change
    }

    /// Returns the old version's error rate in the last minute; `overall_rate` is the prior.
    fn old_rate(&self, now: Millis, overall_rate: f64) -> f64 {
        smoothed_rate(&self.old.recent_total(now), overall_rate)
    }

    fn bad_reason(&self, now: Millis, scope: Scope, bad: f64) -> Option<String> {
        if self.cusum >= bad {
            let counts = self.new.recent_total(now);
            return Some(format!(
                "{} of {} requests failed in the last minute, {} of {} on the old route",
                counts.failed,
                counts.requests(),
                self.old.recent_total(now).failed,
                self.old.recent_total(now).requests()
            ));
        }
        // Latencies depend on the load, so they are compared within a load band only.
        if scope == Scope::All {
            return None;
        }
        LATENCY_METRICS.iter().find_map(|metric| self.slow_reason(now, *metric))
    }

    /// Returns the number of retained samples of the new version's time to first token.
    fn latency_samples(&self) -> u32 {
        self.new.buckets.iter().map(|(_, counts)| counts.first_token.samples).sum()
    }

    /// Returns whether the new version exceeds the slow ratio, possibly with too few samples to
    /// classify it as slow.
    fn is_suspected_slow(&self, now: Millis) -> bool {
        let is_slow = |metric: &LatencyMetric| {
            let comparison = self.compare(now, metric.1);
            comparison.is_some_and(|c| c.samples >= MIN_SUSPECT_SAMPLES && c.ln_ratio > c.ln_limit)
        };
        LATENCY_METRICS.iter().any(is_slow)
    }

    fn slow_reason(&self, now: Millis, (name, latency): LatencyMetric) -> Option<String> {
        let comparison = self.compare(now, latency)?;
        if comparison.samples < MIN_LATENCY_SAMPLES {
            return None;
        }
        // Keeps the limit at the same number of standard errors for any number of samples.
        let full = f64::from(FULL_LATENCY_SAMPLES);
        let scale = (full / f64::from(comparison.samples)).sqrt().max(1.0);
        let ratio = comparison.ln_ratio.exp();
        let is_slow = comparison.ln_ratio > comparison.ln_limit * scale;
        is_slow.then(|| format!("{name} is {ratio:.1} times that of the old version"))
    }

    /// Compares the new version's latest latencies with the old version's over the same period or,
    /// when it has too few samples there, with those of the whole move.
    fn compare(&self, now: Millis, latency: fn(&Counts) -> LatencySum) -> Option<Comparison> {
        let (new, since) = self.new.latest(now, latency);
        let mut limit = SLOW_RATIO;
        let mut old = self.old.since(since, latency);
        if old.samples < MIN_LATENCY_SAMPLES {
            old = latency(&self.old_total);
            limit = SLOW_RATIO_HISTORICAL;
        }
        let samples = new.samples.min(old.samples);
        if samples == 0 {
            return None;
        }
        Some(Comparison { samples, ln_ratio: new.mean_ln() - old.mean_ln(), ln_limit: limit.ln() })
    }
}

impl Window {
    fn add(&mut self, now: Millis, counts: &Counts) {
        let bucket = now.0 / BUCKET_WIDTH.0;
        match self.buckets.back_mut() {
            Some((last, current)) if *last == bucket => current.merge(counts),
            _ => self.buckets.push_back((bucket, *counts)),
        }
        let first = bucket.saturating_sub(RETENTION.0 / BUCKET_WIDTH.0);
        while self.buckets.front().is_some_and(|(bucket, _)| *bucket < first) {
            self.buckets.pop_front();
        }
    }

    fn within(&self, now: Millis, span: Millis) -> impl Iterator<Item = &(u64, Counts)> {
        let first = (now.0 / BUCKET_WIDTH.0).saturating_sub(span.0 / BUCKET_WIDTH.0);
        self.buckets.iter().rev().take_while(move |(bucket, _)| *bucket >= first)
    }

    /// Returns the counts of the last [`RATE_WINDOW`].
    fn recent_total(&self, now: Millis) -> Counts {
        let mut total = Counts::default();
        for (_, counts) in self.within(now, RATE_WINDOW) {
            total.merge(counts);
        }
        total
    }

    /// Returns the latest latencies, going back only until they suffice for a comparison, and the
    /// number of the first bucket they come from.
    fn latest(&self, now: Millis, latency: fn(&Counts) -> LatencySum) -> (LatencySum, u64) {
        let mut sum = LatencySum::default();
        let mut since = u64::MAX;
        for (bucket, counts) in self.within(now, RETENTION) {
            sum.merge(latency(counts));
            since = *bucket;
            if sum.samples >= FULL_LATENCY_SAMPLES {
                break;
            }
        }
        (sum, since)
    }

    fn since(&self, since: u64, latency: fn(&Counts) -> LatencySum) -> LatencySum {
        let mut sum = LatencySum::default();
        for (_, counts) in self.buckets.iter().rev().take_while(|(bucket, _)| *bucket >= since) {
            sum.merge(latency(counts));
        }
        sum
    }
}

/// Returns the error rate of counts, smoothed towards a prior rate.
fn smoothed_rate(counts: &Counts, prior: f64) -> f64 {
    let failed = f64::from(counts.failed) + prior * PRIOR_REQUESTS;
    failed / (f64::from(counts.requests()) + PRIOR_REQUESTS)
}

/// Returns the log likelihood ratio of a bad version to one with the old version's error rate,
/// given the outcomes of some requests.
fn log_likelihood_ratio(old_rate: f64, counts: &Counts) -> f64 {
    let baseline_rate = old_rate.clamp(MIN_ERROR_RATE, 0.5);
    let bad = (baseline_rate * BAD_RATE_FACTOR).max(baseline_rate + BAD_RATE_MARGIN).min(0.95);
    let failure = (bad / baseline_rate).ln();
    let success = ((1.0 - bad) / (1.0 - baseline_rate)).ln();
    f64::from(counts.failed) * failure + f64::from(counts.succeeded) * success
}
