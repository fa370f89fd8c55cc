//! Mergeable counts of what requests on the two routes of a move showed.

use std::collections;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Tells which route of a move a request took.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// The route that traffic leaves.
    Old,
    /// The route that traffic goes to.
    New,
}

/// Tells how high the load was when a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Band {
    /// Below half of the recent peak.
    #[display("low")]
    Low,
    /// At least half of the recent peak.
    #[display("high")]
    High,
}

/// Groups requests that are compared with each other.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Which route of the move.
    pub side: Side,
    /// The part of the traffic that fails together, such as a failure domain.
    pub route: Arc<str>,
    /// Load band.
    pub band: Band,
}

/// Sum of logarithms, from which the geometric mean follows.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Latency {
    /// Number of samples.
    pub samples: u32,
    /// Sum of the natural logarithms of the samples in milliseconds.
    pub sum_ln: f64,
}

/// Counts of finished requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that succeeded.
    pub succeeded: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Times to first token on upstreams that were not cold.
    pub first_token: Latency,
    /// Times between tokens on upstreams that were not cold.
    pub between_tokens: Latency,
}

/// Counts since the last report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Evidence {
    /// Counts by key.
    pub cells: Vec<(Key, Counts)>,
}

impl Latency {
    /// Adds a sample.
    pub fn add(&mut self, sample: Millis) {
        self.samples += 1;
        // A sample below the resolution of the clock counts as 1 ms.
        self.sum_ln += (sample.0.max(1) as f64).ln();
    }

    /// Adds the samples of another sum.
    pub fn merge(&mut self, other: Self) {
        self.samples += other.samples;
        self.sum_ln += other.sum_ln;
    }

    /// Returns the mean logarithm.
    pub fn mean_ln(self) -> f64 {
        self.sum_ln / f64::from(self.samples.max(1))
    }
}

impl Counts {
    /// Adds the counts of another part.
    pub fn merge(&mut self, other: &Self) {
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.first_token.merge(other.first_token);
        self.between_tokens.merge(other.between_tokens);
    }

    /// Returns the number of requests.
    pub fn requests(&self) -> u32 {
        self.succeeded + self.failed
    }
}

impl Evidence {
    /// Creates evidence from counts by key.
    pub fn new(cells: collections::BTreeMap<Key, Counts>) -> Self {
        Self { cells: cells.into_iter().collect() }
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }
}
