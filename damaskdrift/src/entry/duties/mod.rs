//! Duties that the leader performs for the fleet, and the counts of requests that it needs for them.
//!
//! Without the duties in the settings, nothing here does anything and no message grows.

mod holder;
mod report;

pub use holder::Driver;
pub use report::{apply, begin_round, encode};

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::duty;
use damaskdrift_core::id;
use damaskdrift_core::time::{Millis, UnixMillis};
use rand::RngExt as _;

use crate::entry::clock;
use crate::entry::peers;
use crate::entry::port;
use crate::entry::settings;
use crate::entry::state;

/// How often new counts are reported to other instances. What an instance counted since is lost if
/// it is killed.
const REPORT_INTERVAL: Millis = Millis(200);

/// What an instance knows of the duties.
#[derive(Debug, Default)]
pub struct Duties {
    /// Clocks, counts and settled windows; `None` if usage reports are no duty.
    usage: Option<Usage>,
    /// What the holders of the duties have written to the store.
    record: RefCell<duty::Record>,
    /// Whether the reports to other instances that are now created include counts.
    reports_counts: Cell<bool>,
    reported_at: Cell<Millis>,
}

/// State of the usage reports.
#[derive(Debug)]
struct Usage {
    rules: duty::UsageRules,
    process: duty::Process,
    clocks: RefCell<duty::Clocks>,
    ledger: RefCell<duty::Ledger>,
    /// Whether this instance has counted a request that it has not reported yet.
    has_news: Cell<bool>,
}

impl Duties {
    /// Creates the state of a new instance.
    pub fn new(settings: &settings::Settings) -> Self {
        let rules = settings.duties.as_ref().and_then(|duties| duties.usage);
        let usage = rules.map(|rules| {
            let process = duty::Process {
                instance: settings.instance.clone(),
                boot: rand::rng().random_range(1..u64::MAX),
            };
            let mut clocks = duty::Clocks::default();
            clocks.set_own(clock::wall_offset());
            let started_at = clocks.true_time(|_| false, clock::now());
            let first_window = rules.window_from(started_at);
            let ledger = duty::Ledger::new(settings.domain.clone(), process.clone(), first_window);
            Usage {
                rules,
                process,
                clocks: RefCell::new(clocks),
                ledger: RefCell::new(ledger),
                has_news: Cell::new(false),
            }
        });
        Self { usage, ..Self::default() }
    }
}

impl Usage {
    /// Returns the true time by the clocks of all instances that this one hears of.
    fn true_time(&self, entry: &state::Entry) -> UnixMillis {
        let role = entry.layout().role;
        let mut clocks = self.clocks.borrow_mut();
        clocks.set_own(clock::wall_offset());
        clocks.true_time(|reporter| peers::counts(reporter, role), clock::now())
    }
}

/// Counts a request that an upstream began to run. Anonymous requests belong to no workspace and are
/// not counted.
pub fn count(entry: &state::Entry, workspace: Option<&id::Workspace>) {
    let (Some(usage), Some(workspace)) = (&entry.duties.usage, workspace) else {
        return;
    };
    let window = usage.rules.window_at(usage.true_time(entry));
    if usage.ledger.borrow_mut().record(workspace, window) {
        usage.has_news.set(true);
    } else {
        metrics::counter!("usage_counted_late").increment(1);
    }
}

/// Applies the record of settled windows that the store holds.
pub fn set_record(entry: &state::Entry, change: port::DutyRecord) {
    let mut record = entry.duties.record.borrow_mut();
    let port::DutyRecord { record: newer, revision } = change;
    match newer {
        Some(newer) if revision > record.revision => {
            record.replace(duty::Record { revision, ..newer });
            drop(record);
            drop_settled(entry);
        }
        Some(_) => {}
        // What was settled stays settled, and the next write creates or replaces the key.
        None => record.revision = revision,
    }
}

/// Records that a list of the store does not contain a record.
pub fn record_absent(entry: &state::Entry) {
    entry.duties.record.borrow_mut().revision = 0;
}

/// Drops the counts of settled windows.
fn drop_settled(entry: &state::Entry) {
    let Some(usage) = &entry.duties.usage else {
        return;
    };
    if let Some(last) = entry.duties.record.borrow().last_window() {
        let now = usage.true_time(entry);
        usage.ledger.borrow_mut().settle(last, now);
    }
}

/// Reports new counts to other instances until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    let Some(usage) = &entry.duties.usage else {
        return;
    };
    loop {
        tokio::time::sleep(Duration::from(REPORT_INTERVAL)).await;
        if usage.has_news.take() {
            entry.report_due.notify_one();
        }
    }
}
