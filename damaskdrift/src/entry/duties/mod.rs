//! Duties that the leader performs for the fleet, and what it needs to know of other instances.
//!
//! Without duties in the settings, nothing here does anything and no message grows.

mod holder;
mod report;
mod scaling;

pub use holder::Driver;
pub use report::{apply, begin_round, encode};

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::balance;
use damaskdrift_core::duty;
use damaskdrift_core::id;
use damaskdrift_core::membership;
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
/// Time between two rounds of [`run`] from which the instance was frozen and has missed reports.
const FREEZE_LIMIT: Millis = Millis(1_000);
/// Time for which a number of waiting requests counts.
const WAITING_TTL: Millis = Millis(1_500);

/// What an instance knows of the duties.
#[derive(Debug, Default)]
pub struct Duties {
    /// `None` if the fleet has no duties.
    state: Option<State>,
    /// What the holders of the duties have written to the store.
    record: RefCell<duty::Record>,
    /// Whether the reports to other instances that are now created include counts.
    reports_counts: Cell<bool>,
    reported_at: Cell<Millis>,
}

/// State of the duties at one instance.
#[derive(Debug)]
struct State {
    /// Time limits of usage reports; `None` if they are no duty.
    rules: Option<duty::UsageRules>,
    process: duty::Process,
    clocks: RefCell<duty::Clocks>,
    /// The clocks of all instances, as they were at the last update.
    sample: RefCell<duty::Sample>,
    /// True time minus [`clock::now`], in milliseconds.
    offset: Cell<i64>,
    ledger: RefCell<duty::Ledger>,
    /// Requests that wait for room at other instances.
    waiting: RefCell<BTreeMap<balance::Reporter, (Millis, u32)>>,
    /// Whether this instance has counted a request that it has not reported yet.
    has_news: Cell<bool>,
    /// Since when reports of other instances arrive without interruption.
    listening_since: Cell<Millis>,
}

impl Duties {
    /// Creates the state of a new instance.
    pub fn new(settings: &settings::Settings) -> Self {
        let state = settings.duties.as_ref().map(|duties| State::new(settings, duties.usage));
        Self { state, ..Self::default() }
    }
}

impl State {
    fn new(settings: &settings::Settings, rules: Option<duty::UsageRules>) -> Self {
        let process = duty::Process {
            instance: settings.instance.clone(),
            boot: rand::rng().random_range(1..u64::MAX),
        };
        let now = clock::now();
        let offset = clock::wall_offset();
        let started_at = UnixMillis(now.0.saturating_add_signed(offset));
        let first_window = rules.map_or(u64::MAX, |rules| rules.window_from(started_at));
        let ledger = duty::Ledger::new(settings.domain.clone(), process.clone(), first_window);
        Self {
            rules,
            process,
            clocks: RefCell::default(),
            sample: RefCell::default(),
            offset: Cell::new(offset),
            ledger: RefCell::new(ledger),
            waiting: RefCell::default(),
            has_news: Cell::new(false),
            listening_since: Cell::new(now),
        }
    }

    /// Returns the true time by the clocks of all instances that this one hears of.
    fn true_time(&self) -> UnixMillis {
        UnixMillis(clock::now().0.saturating_add_signed(self.offset.get()))
    }

    fn update_offset(&self, entry: &state::Entry) {
        let (role, now) = (entry.layout().role, clock::now());
        let mut clocks = self.clocks.borrow_mut();
        clocks.set_own(clock::wall_offset());
        let includes = |reporter: &balance::Reporter| peers::counts(reporter, role);
        let offset = clocks.offset(includes, now);
        self.sample.replace(clocks.sample(includes, now));
        let change = offset.abs_diff(self.offset.replace(offset));
        if change >= FREEZE_LIMIT.0 {
            log::warn!(change_ms = change; "estimate of true time changed");
        }
    }

    /// Returns the number of instances whose reports arrived within the last seconds.
    fn heard_instances(&self) -> usize {
        self.sample.borrow().instances as usize
    }

    /// Returns the requests that wait for room at this instance and the selected reporters.
    fn waiting(&self, entry: &state::Entry, includes: impl Fn(&balance::Reporter) -> bool) -> u32 {
        let now = clock::now();
        let mut total = entry.waiting.get();
        for (reporter, (at, waiting)) in &*self.waiting.borrow() {
            if includes(reporter) && now.since(*at) < WAITING_TTL {
                total = total.saturating_add(*waiting);
            }
        }
        total
    }
}

/// Counts a request that an upstream began to run. Anonymous requests belong to no workspace and are
/// not counted.
pub fn count(entry: &state::Entry, workspace: Option<&id::Workspace>) {
    let (Some(state), Some(workspace)) = (&entry.duties.state, workspace) else {
        return;
    };
    let Some(rules) = &state.rules else {
        return;
    };
    let window = rules.window_at(state.true_time());
    if state.ledger.borrow_mut().record(workspace, window) {
        state.has_news.set(true);
    } else {
        metrics::counter!("usage_counted_late").increment(1);
    }
}

/// Applies the record of the duties that the store holds.
pub fn set_record(entry: &state::Entry, change: port::DutyRecord) {
    let Some(state) = &entry.duties.state else {
        return;
    };
    let mut record = entry.duties.record.borrow_mut();
    let port::DutyRecord { record: newer, revision } = change;
    match newer {
        Some(newer) if revision > record.revision => {
            record.replace(duty::Record { revision, ..newer });
            if let Some(last) = record.last_window() {
                state.ledger.borrow_mut().settle(last, state.true_time());
            }
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

/// Follows the clocks and reports new counts to other instances until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    let Some(state) = &entry.duties.state else {
        return;
    };
    let mut last = clock::now();
    let mut last_role = membership::Role::default();
    loop {
        tokio::time::sleep(Duration::from(REPORT_INTERVAL)).await;
        let (now, role) = (clock::now(), entry.layout().role);
        if now.since(last) >= FREEZE_LIMIT || role != last_role {
            state.listening_since.set(now);
        }
        (last, last_role) = (now, role);
        state.update_offset(&entry);
        if state.has_news.take() {
            entry.report_due.notify_one();
        }
    }
}
