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

/// Counts of a window pair, the short window first.
pub type Counted = (Total, Total);

/// Counts of one workspace and measure in all window pairs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The workspace.
    pub workspace: id::Workspace,
    /// The measure.
    pub measure: Measure,
    /// Counts by window pair.
    pub windows: [Counted; PAIRS.len()],
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

    /// Returns the counts of all series.
    pub fn totals(&self, now: Millis) -> Vec<Row> {
        let mut rows = Vec::new();
        for ((workspace, measure), series) in &self.series {
            let counted =
                |pair: Pair| (series.total(now, pair.short), series.total(now, pair.long));
            let windows = PAIRS.map(counted);
            rows.push(Row { workspace: workspace.clone(), measure: *measure, windows });
        }
        rows
    }
}

/// Adds the rows of several instances.
pub fn merge(rows: impl IntoIterator<Item = Row>) -> Vec<Row> {
    let mut merged: collections::BTreeMap<_, Row> = collections::BTreeMap::new();
    for row in rows {
        let key = (row.workspace.clone(), row.measure);
        let Some(sum) = merged.get_mut(&key) else {
            merged.insert(key, row);
            continue;
        };
        for ((short, long), (more_short, more_long)) in sum.windows.iter_mut().zip(row.windows) {
            short.add(more_short);
            long.add(more_long);
        }
    }
    merged.into_values().collect()
}

/// Returns the burn rates of a row against an objective below 1.
pub fn burns(row: &Row, objective: f64) -> Vec<Burn> {
    let mut burns = Vec::new();
    for (pair, (short, long)) in PAIRS.into_iter().zip(row.windows) {
        let short = burn_rate(short, objective);
        let long = burn_rate(long, objective);
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
