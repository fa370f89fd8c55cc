//! Aggregates the samples of single requests into evidence.

use std::collections;
use std::sync::Arc;

use crate::id;
use crate::rollout::{CellKey, Counts, Evidence, LoadBand, Side};
use crate::time::Millis;

/// Time for which latencies are withheld. Engines report a cold start with a lag, and latencies
/// measured during that lag say nothing about the version.
pub const COLD_REPORT_LAG: Millis = Millis(1_500);

/// Width of the buckets in which requests are counted.
const LOAD_BUCKET_WIDTH: Millis = Millis(1_000);
/// Number of the latest buckets that make up the current load.
const LOAD_BUCKETS: usize = 5;
/// Number of buckets over which the peak load is taken.
const PEAK_BUCKETS: usize = 600;

/// Outcome of one finished request on a route of a move.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Route of the move that the request took.
    pub side: Side,
    /// Part of the traffic with a common cause of failure, such as a failure domain.
    pub route: Arc<str>,
    /// Upstream that ran the request, if known.
    pub upstream: Option<id::Upstream>,
    /// Whether the request succeeded.
    pub succeeded: bool,
    /// Time to first token, if one was received.
    pub first_token: Option<Millis>,
    /// Longest time between two tokens, if measured.
    pub between_tokens: Option<Millis>,
    /// Whether the upstream was in a cold start.
    pub cold: bool,
}

/// Collects the samples of one move on one instance.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    ready: collections::BTreeMap<CellKey, Counts>,
    delayed: collections::VecDeque<DelayedLatencies>,
    load: LoadTracker,
}

#[derive(Clone, Debug)]
struct DelayedLatencies {
    at: Millis,
    upstream: Option<id::Upstream>,
    key: CellKey,
    counts: Counts,
}

/// Request counts per bucket in order of time.
#[derive(Clone, Debug, Default)]
struct LoadTracker {
    buckets: collections::VecDeque<u32>,
    bucket: u64,
    peak: u32,
}

impl Collector {
    /// Counts the outcome of a request and withholds its latencies for [`COLD_REPORT_LAG`].
    pub fn add(&mut self, now: Millis, sample: &Sample) {
        let band = self.load.count(now);
        let key = CellKey { side: sample.side, route: sample.route.clone(), band };
        let counts = self.ready.entry(key.clone()).or_default();
        if sample.succeeded {
            counts.succeeded += 1;
        } else {
            counts.failed += 1;
        }
        if sample.cold {
            if let Some(upstream) = &sample.upstream {
                self.mark_cold(upstream);
            }
            return;
        }
        let mut counts = Counts::default();
        if let Some(first_token) = sample.first_token {
            counts.first_token.add(first_token);
        }
        if let Some(between_tokens) = sample.between_tokens {
            counts.between_tokens.add(between_tokens);
        }
        // Latencies of both routes are delayed, so that they are compared over the same period.
        let upstream = sample.upstream.clone();
        self.delayed.push_back(DelayedLatencies { at: now, upstream, key, counts });
    }

    /// Drops the withheld latencies of an upstream that reported a cold start.
    pub fn mark_cold(&mut self, upstream: &id::Upstream) {
        self.delayed.retain(|delayed| delayed.upstream.as_ref() != Some(upstream));
    }

    /// Returns and clears the evidence collected since the last call, without withheld latencies.
    pub fn take(&mut self, now: Millis) -> Evidence {
        while let Some(delayed) = self.delayed.front() {
            if now.since(delayed.at) < COLD_REPORT_LAG {
                break;
            }
            self.ready.entry(delayed.key.clone()).or_default().merge(&delayed.counts);
            self.delayed.pop_front();
        }
        Evidence::new(std::mem::take(&mut self.ready))
    }
}

impl LoadTracker {
    /// Counts a request and returns the band of the current load.
    fn count(&mut self, now: Millis) -> LoadBand {
        let bucket = now.0 / LOAD_BUCKET_WIDTH.0;
        if bucket > self.bucket || self.buckets.is_empty() {
            self.advance(bucket);
        }
        if let Some(last) = self.buckets.back_mut() {
            *last += 1;
        }
        let current: u32 = self.buckets.iter().rev().take(LOAD_BUCKETS).sum();
        self.peak = self.peak.max(current);
        if 2 * current >= self.peak { LoadBand::High } else { LoadBand::Low }
    }

    /// Starts a bucket and recomputes the peak, so that it is not recomputed for each request.
    fn advance(&mut self, bucket: u64) {
        let skipped = bucket.saturating_sub(self.bucket).clamp(1, PEAK_BUCKETS as u64);
        for _ in 0..skipped {
            self.buckets.push_back(0);
        }
        self.bucket = bucket;
        let excess = self.buckets.len().saturating_sub(PEAK_BUCKETS);
        self.buckets.drain(..excess);
        let sum = |window: &[u32]| window.iter().sum::<u32>();
        let peak = self.buckets.make_contiguous().windows(LOAD_BUCKETS).map(sum).max();
        self.peak = peak.unwrap_or(0);
    }
}
