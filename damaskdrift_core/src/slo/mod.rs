//! Service-level burn rates over pairs of windows.

mod series;

use std::collections;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Millis;

pub use series::{Series, Total};

/// A long window, the short one that confirms it is still going on, and the limit for both.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Pair {
    /// Short window.
    pub short: Millis,
    /// Long window.
    pub long: Millis,
    /// Burn rate above which both windows raise an alert.
    pub limit: f64,
}

/// The window pairs, the fastest first.
pub const PAIRS: [Pair; 4] = [
    Pair { short: Millis::from_secs(300), long: Millis::from_secs(3_600), limit: 14.4 },
    Pair { short: Millis::from_secs(1_800), long: Millis::from_secs(6 * 3_600), limit: 6.0 },
    Pair { short: Millis::from_secs(2 * 3_600), long: Millis::from_secs(24 * 3_600), limit: 3.0 },
    Pair { short: Millis::from_secs(6 * 3_600), long: Millis::from_secs(72 * 3_600), limit: 1.0 },
];

/// What a service-level objective is about.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Requests that succeeded.
    #[display("availability")]
    Availability,
    /// Requests whose first token came in time.
    #[display("first-token")]
    FirstToken,
    /// Requests whose tokens followed each other in time.
    #[display("between-tokens")]
    BetweenTokens,
}

/// Burn rates of one window pair.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burn {
    /// The windows.
    pub pair: Pair,
    /// Burn rate in the short window.
    pub short: f64,
    /// Burn rate in the long window.
    pub long: f64,
    /// Whether both exceed the limit.
    pub is_alert: bool,
}

/// Counts good and bad requests by workspace and measure.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    series: collections::BTreeMap<(id::Workspace, Measure), Series>,
}

impl Ledger {
    /// Counts one request.
    pub fn count(
        &mut self,
        now: Millis,
        workspace: &id::Workspace,
        measure: Measure,
        is_good: bool,
    ) {
        let series = self.series.entry((workspace.clone(), measure)).or_default();
        series.count(now, is_good);
    }

    /// Returns the burn rates of all series; `objective` gives a workspace's share of good requests.
    pub fn report(
        &self,
        now: Millis,
        objective: impl Fn(&id::Workspace) -> f64,
    ) -> Vec<(id::Workspace, Measure, Vec<Burn>)> {
        let mut report = Vec::new();
        for ((workspace, measure), series) in &self.series {
            report.push((workspace.clone(), *measure, burns(series, now, objective(workspace))));
        }
        report
    }
}

/// Returns the burn rates of a series against an objective below 1.
pub fn burns(series: &Series, now: Millis, objective: f64) -> Vec<Burn> {
    let mut burns = Vec::new();
    for pair in PAIRS {
        let short = burn_rate(series.total(now, pair.short), objective);
        let long = burn_rate(series.total(now, pair.long), objective);
        let is_alert = short > pair.limit && long > pair.limit;
        burns.push(Burn { pair, short, long, is_alert });
    }
    burns
}

/// Returns the bad share divided by the error budget; without requests nothing burns.
pub fn burn_rate(total: Total, objective: f64) -> f64 {
    if total.requests == 0 {
        return 0.0;
    }
    let bad = f64::from(total.bad) / f64::from(total.requests);
    // An objective of 1 would leave no budget; documents with it are refused.
    bad / (1.0 - objective).max(f64::EPSILON)
}
