//! Mergeable outcome and latency counts of the requests on the two routes of a move.

use std::collections;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Route of a move that a request took.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// Route that the move shifts traffic away from.
    Old,
    /// Route that the move shifts traffic to.
    New,
}

/// Load on a move's routes when a request ran, relative to the recent peak on the same instance.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadBand {
    /// Below half of the recent peak.
    #[display("low")]
    Low,
    /// At least half of the recent peak.
    #[display("high")]
    High,
}

/// Identifies a group of requests that are counted together.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CellKey {
    /// Route of the move that the requests took.
    pub side: Side,
    /// Part of the traffic with a common cause of failure, such as a failure domain.
    pub route: Arc<str>,
    /// Load at the time of the requests.
    pub band: LoadBand,
}

/// Sum of the logarithms of latencies, from which their geometric mean is derived.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LatencySum {
    /// Number of latencies in the sum.
    pub samples: u32,
    /// Sum of the natural logarithms of the latencies in milliseconds.
    pub sum_ln: f64,
}

/// Outcomes and latencies of finished requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Number of requests that succeeded.
    pub succeeded: u32,
    /// Number of requests that failed.
    pub failed: u32,
    /// Times to first token on upstreams that were not in a cold start.
    pub first_token: LatencySum,
    /// Longest times between two tokens on upstreams that were not in a cold start.
    pub between_tokens: LatencySum,
}

/// Counts collected by one instance since its last report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Evidence {
    /// Counts of each group of requests, ordered by key.
    pub cells: Vec<(CellKey, Counts)>,
}

impl LatencySum {
    /// Adds one latency.
    pub fn add(&mut self, sample: Millis) {
        self.samples += 1;
        // A latency below the clock's resolution counts as 1 ms, as the logarithm of 0 is infinite.
        self.sum_ln += (sample.0.max(1) as f64).ln();
    }

    /// Adds the latencies of another sum.
    pub fn merge(&mut self, other: Self) {
        self.samples += other.samples;
        self.sum_ln += other.sum_ln;
    }

    /// Returns the mean of the logarithms, or 0 without samples.
    pub fn mean_ln(self) -> f64 {
        self.sum_ln / f64::from(self.samples.max(1))
    }
}

impl Counts {
    /// Adds other counts to these.
    pub fn merge(&mut self, other: &Self) {
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.first_token.merge(other.first_token);
        self.between_tokens.merge(other.between_tokens);
    }

    /// Returns the number of requests, whether they succeeded or failed.
    pub fn requests(&self) -> u32 {
        self.succeeded + self.failed
    }
}

impl Evidence {
    /// Creates evidence from counts by key.
    pub fn new(cells: collections::BTreeMap<CellKey, Counts>) -> Self {
        Self { cells: cells.into_iter().collect() }
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }
}
