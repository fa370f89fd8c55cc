//! Settlement of usage windows: which windows are due, and the record of settled ones.

use crate::duty::ledger;
use crate::duty::scaling;
use crate::time::{Millis, UnixMillis};

/// Time after the end of a window from which it is settled if all counts of it are known. Reports of
/// an instance that was slow for a moment arrive by then.
const EARLIEST: Millis = Millis(3_000);
/// Time before a report is due at which its window is settled at the latest. It leaves time for the
/// write and for a repeated call.
const RESERVE: Millis = Millis(2_500);
/// Age of the reports of all instances, counted from the end of a window, from which its counts are
/// complete. It covers differences between the instances' estimates of true time.
const CLOCK_TOLERANCE: Millis = Millis(300);
/// Number of windows that are reported after a time without a holder; older ones are left out.
const MAX_BEHIND: u64 = 60;
/// Number of acknowledged windows that the record keeps. The last one shows which is the next.
const KEPT_ACKNOWLEDGED: usize = 1;
/// Number of windows that the record keeps in total. The cloud is out of reach for minutes then.
const MAX_KEPT: usize = 64;

/// Time limits of usage reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageRules {
    /// Length of a window.
    pub window: Millis,
    /// Time after the end of a window at which its report is due.
    pub late: Millis,
}

/// A window whose counts are fixed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settled {
    /// Number of the window.
    pub window: u64,
    /// The counts that are reported.
    pub counts: ledger::WindowCounts,
    /// Whether the report was accepted.
    pub is_acknowledged: bool,
}

/// What holders of the duties keep in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Revision of the record in the store; 0 if it holds none.
    pub revision: u64,
    /// The last settled windows in ascending order.
    pub windows: Vec<Settled>,
    /// The last order of each service and failure domain that was scaled.
    pub orders: Vec<scaling::ScaleOrder>,
}

impl UsageRules {
    /// Returns the window that contains a time.
    pub fn window_at(&self, at: UnixMillis) -> u64 {
        at.0 / self.window.0.max(1)
    }

    /// Returns the first window that begins at or after a time.
    pub fn window_from(&self, at: UnixMillis) -> u64 {
        at.0.div_ceil(self.window.0.max(1))
    }

    /// Returns the end of a window.
    pub fn end_of(&self, window: u64) -> UnixMillis {
        UnixMillis((window + 1).saturating_mul(self.window.0.max(1)))
    }

    /// Returns whether the report of a window should have been made already.
    pub fn is_late(&self, window: u64, now: UnixMillis) -> bool {
        now.0 >= self.end_of(window).0.saturating_add(self.late.0)
    }

    /// Returns the windows to settle now, oldest first.
    ///
    /// `complete_until` is the time up to which the counts of all instances are known. `may_miss`
    /// says whether windows may be settled without the counts of some instances when their reports
    /// are nearly due.
    pub fn due(
        &self,
        ledger: &ledger::Ledger,
        record: &Record,
        complete_until: UnixMillis,
        may_miss: bool,
        now: UnixMillis,
    ) -> Vec<u64> {
        let first = match record.last_window() {
            Some(last) => last + 1,
            None => ledger.first_counted().unwrap_or(u64::MAX).min(ledger.first_window()),
        };
        let current = self.window_at(now);
        let first = first.max(current.saturating_sub(MAX_BEHIND));
        let earliest = Millis(EARLIEST.0.min(self.late.0 / 3));
        let latest = self.late - Millis(RESERVE.0.min(self.late.0 / 2));
        let mut due = Vec::new();
        for window in first..current {
            let end = self.end_of(window);
            let passed = Millis(now.0.saturating_sub(end.0));
            let is_complete = complete_until.0 >= end.0 + CLOCK_TOLERANCE.0;
            if !(is_complete && passed >= earliest || may_miss && passed >= latest) {
                break;
            }
            due.push(window);
        }
        due
    }
}

impl Record {
    /// Returns the last settled window.
    pub fn last_window(&self) -> Option<u64> {
        self.windows.last().map(|settled| settled.window)
    }

    /// Returns the windows whose reports are not known to be accepted.
    pub fn unacknowledged(&self) -> impl Iterator<Item = &Settled> {
        self.windows.iter().filter(|settled| !settled.is_acknowledged)
    }

    /// Marks the report of a window as accepted.
    pub fn acknowledge(&mut self, window: u64) {
        for settled in &mut self.windows {
            if settled.window == window {
                settled.is_acknowledged = true;
            }
        }
    }

    /// Adds windows with their counts and drops the oldest that need not be kept.
    pub fn settle(&mut self, windows: Vec<Settled>) {
        self.windows.extend(windows);
        let acknowledged = self.windows.iter().filter(|settled| settled.is_acknowledged).count();
        let mut surplus = acknowledged.saturating_sub(KEPT_ACKNOWLEDGED);
        self.windows.retain(|settled| {
            let is_dropped = settled.is_acknowledged && surplus > 0;
            surplus -= usize::from(is_dropped);
            !is_dropped
        });
        let excess = self.windows.len().saturating_sub(MAX_KEPT);
        self.windows.drain(..excess);
    }

    /// Adds orders, which replace the last ones of the same services and failure domains.
    pub fn order(&mut self, orders: Vec<scaling::ScaleOrder>) {
        for order in orders {
            let is_same =
                |o: &scaling::ScaleOrder| o.service == order.service && o.domain == order.domain;
            self.orders.retain(|known| !is_same(known));
            self.orders.push(order);
        }
    }

    /// Marks an order as accepted.
    pub fn acknowledge_order(&mut self, accepted: &scaling::ScaleOrder) {
        for order in &mut self.orders {
            if order == accepted {
                order.is_acknowledged = true;
            }
        }
    }

    /// Replaces the record by a newer one from the store. What this instance knows to be accepted
    /// stays so.
    pub fn replace(&mut self, newer: Self) {
        let acknowledged: Vec<u64> =
            self.windows.iter().filter(|w| w.is_acknowledged).map(|w| w.window).collect();
        let orders: Vec<_> = self.orders.iter().filter(|o| o.is_acknowledged).cloned().collect();
        *self = newer;
        for window in acknowledged {
            self.acknowledge(window);
        }
        for order in orders {
            let accepted = scaling::ScaleOrder { is_acknowledged: false, ..order };
            self.acknowledge_order(&accepted);
        }
    }
}
