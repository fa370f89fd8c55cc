//! Sums the evidence of all instances on one rollout and counts each request once.

use std::collections::BTreeMap;

use crate::balance::Reporter;
use crate::rollout::{CellKey, Counts, Evidence, LatencySum};

/// Counts since the start of a rollout by key.
type Cells = BTreeMap<CellKey, Counts>;

/// Evidence of this instance and of others.
///
/// Reports hold all counts since the start of the rollout, so that a lost or repeated report
/// changes nothing.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: Cells,
    reports: BTreeMap<Reporter, Cells>,
    /// Counts of instances that have restarted since and count from zero again.
    ended: BTreeMap<Reporter, Cells>,
    /// Highest total that was taken.
    taken: Cells,
}

impl Ledger {
    /// Adds counts of this instance.
    pub fn record(&mut self, key: CellKey, counts: &Counts) {
        self.own.entry(key).or_default().merge(counts);
    }

    /// Replaces the counts of a reporter.
    pub fn set_report(&mut self, reporter: Reporter, evidence: &Evidence) {
        let cells: Cells = evidence.cells.iter().cloned().collect();
        if let Some(before) = self.reports.insert(reporter.clone(), cells.clone())
            && matches!(reporter, Reporter::Instance(_))
            && requests(&cells) < requests(&before)
        {
            merge(self.ended.entry(reporter).or_default(), &before);
        }
    }

    /// Returns the counts of this instance and of the selected reporters.
    pub fn total(&self, includes: impl Fn(&Reporter) -> bool) -> Evidence {
        Evidence::new(self.total_cells(includes))
    }

    /// Returns the counts by which the total exceeds the highest one taken before.
    ///
    /// The total may fall when an instance gets its reports from another relay; counts that were
    /// taken are not taken again when it rises.
    pub fn take_new(&mut self, includes: impl Fn(&Reporter) -> bool) -> Evidence {
        let mut new = Cells::new();
        for (key, total) in self.total_cells(includes) {
            let taken = self.taken.entry(key.clone()).or_default();
            let counts = Counts {
                succeeded: total.succeeded.saturating_sub(taken.succeeded),
                failed: total.failed.saturating_sub(taken.failed),
                first_token: excess(total.first_token, taken.first_token),
                between_tokens: excess(total.between_tokens, taken.between_tokens),
            };
            if counts != Counts::default() {
                taken.merge(&counts);
                new.insert(key, counts);
            }
        }
        Evidence::new(new)
    }

    fn total_cells(&self, includes: impl Fn(&Reporter) -> bool) -> Cells {
        let mut total = self.own.clone();
        for (reporter, cells) in self.reports.iter().chain(&self.ended) {
            if includes(reporter) {
                merge(&mut total, cells);
            }
        }
        total
    }
}

fn excess(total: LatencySum, taken: LatencySum) -> LatencySum {
    if total.samples <= taken.samples {
        return LatencySum::default();
    }
    LatencySum { samples: total.samples - taken.samples, sum_ln: total.sum_ln - taken.sum_ln }
}

fn merge(into: &mut Cells, cells: &Cells) {
    for (key, counts) in cells {
        into.entry(key.clone()).or_default().merge(counts);
    }
}

fn requests(cells: &Cells) -> u32 {
    cells.values().map(Counts::requests).sum()
}
