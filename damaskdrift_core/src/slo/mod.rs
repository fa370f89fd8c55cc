//! Burn rates of service-level objectives over pairs of windows.

mod series;

use std::collections;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Millis;

pub use series::{Series, Total};

/// A long window, a short one that confirms that the burn is still in progress, and their limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowPair {
    /// Length of the short window.
    pub short: Millis,
    /// Length of the long window.
    pub long: Millis,
    /// Burn rate that both windows must exceed to raise an alert.
    pub limit: f64,
}

/// Window pairs of all alerts, from the shortest windows to the longest.
pub const WINDOW_PAIRS: [WindowPair; 4] = [
    WindowPair { short: Millis::from_secs(300), long: Millis::from_secs(3_600), limit: 14.4 },
    WindowPair { short: Millis::from_secs(1_800), long: Millis::from_secs(6 * 3_600), limit: 6.0 },
    WindowPair {
        short: Millis::from_secs(2 * 3_600),
        long: Millis::from_secs(24 * 3_600),
        limit: 3.0,
    },
    WindowPair {
        short: Millis::from_secs(6 * 3_600),
        long: Millis::from_secs(72 * 3_600),
        limit: 1.0,
    },
];

/// Aspect of service that the requests of a workspace are judged by.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// A request is good if it succeeded.
    #[display("availability")]
    Availability,
    /// A request is good if its first token arrived within the objective's limit.
    #[display("first-token")]
    FirstToken,
    /// A request is good if the time between its tokens was within the objective's limit.
    #[display("between-tokens")]
    BetweenTokens,
}

/// Counts in the windows of a pair, the short window first.
pub type WindowTotals = (Total, Total);

/// Counts of one workspace and measure in all window pairs, as instances report them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Workspace whose requests are counted.
    pub workspace: id::Workspace,
    /// Measure by which the requests count as good or bad.
    pub measure: Measure,
    /// Counts by window pair, in the order of [`WINDOW_PAIRS`].
    pub windows: [WindowTotals; WINDOW_PAIRS.len()],
}

/// Burn rates of one window pair.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnRates {
    /// Windows and limit that the rates belong to.
    pub pair: WindowPair,
    /// Burn rate in the short window.
    pub short: f64,
    /// Burn rate in the long window.
    pub long: f64,
    /// Whether both rates exceed the limit.
    pub is_alert: bool,
}

/// Counts good and bad requests over time, by workspace and measure.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    series: collections::BTreeMap<(id::Workspace, Measure), Series>,
}

impl Recorder {
    /// Counts one request as good or bad at `now`.
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

    /// Returns the counts of all workspaces and measures in the windows that end at `now`.
    pub fn totals(&self, now: Millis) -> Vec<Row> {
        let mut rows = Vec::new();
        for ((workspace, measure), series) in &self.series {
            let totals =
                |pair: WindowPair| (series.total(now, pair.short), series.total(now, pair.long));
            let windows = WINDOW_PAIRS.map(totals);
            rows.push(Row { workspace: workspace.clone(), measure: *measure, windows });
        }
        rows
    }
}

/// Merges the rows of several instances, adding those of the same workspace and measure.
pub fn merge(rows: impl IntoIterator<Item = Row>) -> Vec<Row> {
    let mut merged: collections::BTreeMap<_, Row> = collections::BTreeMap::new();
    for row in rows {
        let key = (row.workspace.clone(), row.measure);
        let Some(sum) = merged.get_mut(&key) else {
            merged.insert(key, row);
            continue;
        };
        for ((short, long), (other_short, other_long)) in sum.windows.iter_mut().zip(row.windows) {
            short.add(other_short);
            long.add(other_long);
        }
    }
    merged.into_values().collect()
}

/// Returns the burn rates of a row by window pair, for an objective below 1.
pub fn burn_rates(row: &Row, objective: f64) -> Vec<BurnRates> {
    let mut rates = Vec::new();
    for (pair, (short, long)) in WINDOW_PAIRS.into_iter().zip(row.windows) {
        let short = burn_rate(short, objective);
        let long = burn_rate(long, objective);
        let is_alert = short > pair.limit && long > pair.limit;
        rates.push(BurnRates { pair, short, long, is_alert });
    }
    rates
}

/// Returns the fraction of bad requests divided by the error budget, or 0 without requests.
pub fn burn_rate(total: Total, objective: f64) -> f64 {
    if total.requests == 0 {
        return 0.0;
    }
    let bad_fraction = f64::from(total.bad) / f64::from(total.requests);
    // An objective of 1 leaves no error budget. `fleet::check` rejects it; the minimum avoids a
    // division by zero.
    bad_fraction / (1.0 - objective).max(f64::EPSILON)
}
