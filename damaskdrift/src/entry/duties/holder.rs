//! Work of the instance that holds the duties: it settles usage windows, decides on orders, and makes
//! the calls.

use std::collections::BTreeMap;
use std::rc::Rc;

use damaskdrift_core::duty;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::time::Millis;
use rand::RngExt as _;
use tokio::task::JoinSet;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::duties;
use crate::entry::duties::scaling;
use crate::entry::leadership;
use crate::entry::port;
use crate::entry::settings;
use crate::entry::state;

/// Pause after a write of the record that failed or met another record. The other one arrives by the
/// watch of the store meanwhile.
const WRITE_RETRY_PAUSE: Millis = Millis(300);
/// First and maximum pause before a call without an accepted response is repeated; it doubles in
/// between.
const RETRY_PAUSE: (Millis, Millis) = (Millis(300), Millis(2_000));
/// Pause before a call that was refused for another reason than its rate or token is repeated.
const REFUSED_PAUSE: Millis = Millis(20_000);
/// Number of concurrent calls from which no window is reported.
const MAX_CONCURRENT_CALLS: usize = 4;
/// Time for which an instance must have received reports before it settles a window without those of
/// some instances. Other instances connect to a new one within this time.
const LISTENING_TIME: Millis = Millis(2_500);
/// Shortest time between two times at which an instance gives up its leadership because it does not
/// hear of most others.
const CUT_OFF_INTERVAL: Millis = Millis(60_000);

/// A call that has ended.
struct EndedCall {
    subject: Subject,
    /// The order that the call is about.
    order: Option<duty::ScaleOrder>,
    fence: id::FencingToken,
    result: Result<port::DutyReply, client::Failure>,
}

/// What a call is about. Calls about one subject are made one after another.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Subject {
    /// The report of a usage window.
    Usage(u64),
    /// The number of upstreams of a service in a failure domain.
    Scale(id::Service, id::FailureDomain),
}

/// State of the calls about one subject.
#[derive(Debug)]
struct CallState {
    in_flight: bool,
    pause: Millis,
    next_at: Millis,
}

/// What a write of the record adds to it.
#[derive(Debug, Default)]
struct Additions {
    windows: Vec<duty::Settled>,
    /// Time by which the counts of an instance end before the end of the first window.
    missing: Millis,
    orders: Vec<duty::ScaleOrder>,
}

/// A write of the record that has ended.
struct Written {
    record: duty::Record,
    additions: Additions,
    result: Result<Option<u64>, port::StoreError>,
}

/// Performs the duties while this instance is the leader.
#[derive(Debug)]
pub struct Driver {
    work: Option<Work>,
}

/// State of the duties of an instance that is configured for them.
#[derive(Debug)]
struct Work {
    holding: duty::Holding,
    /// The token that the instance acted with at the last tick.
    fence: Option<id::FencingToken>,
    calls_per_s: f64,
    rate: Option<duty::CallRate>,
    calls: JoinSet<EndedCall>,
    call_states: BTreeMap<Subject, CallState>,
    write: JoinSet<Written>,
    next_write: Millis,
    scaling: Option<scaling::Scaling>,
    /// When the instance last gave up its leadership because it does not hear of most others.
    cut_off_at: Option<Millis>,
}

impl Driver {
    /// Creates the state of an instance that has just started.
    pub fn new(settings: &settings::Settings) -> Self {
        let now = clock::now();
        let work = settings.duties.as_ref().map(|duties| Work {
            holding: duty::Holding::new(duties.turn, now),
            fence: None,
            calls_per_s: duties.calls_per_s,
            rate: None,
            calls: JoinSet::new(),
            call_states: BTreeMap::new(),
            write: JoinSet::new(),
            next_write: Millis(0),
            scaling: duties.does_scaling.then(scaling::Scaling::default),
            cut_off_at: None,
        });
        Self { work }
    }

    /// Performs what is due. Returns `false` if the instance must give up its leadership, because a
    /// higher fencing token was seen or because it does not get the reports of most others.
    pub fn tick(
        &mut self,
        entry: &Rc<state::Entry>,
        lease: Option<&leadership::HeldLease>,
    ) -> bool {
        let (Some(work), Some(state)) = (&mut self.work, &entry.duties.state) else {
            return true;
        };
        work.tick(entry, state, lease)
    }
}

impl Work {
    fn tick(
        &mut self,
        entry: &Rc<state::Entry>,
        state: &duties::State,
        lease: Option<&leadership::HeldLease>,
    ) -> bool {
        let now = clock::now();
        // Observed by every instance that knows the load, so that a new holder can decide.
        if let Some(scaling) = &mut self.scaling
            && entry.layout().role != membership::Role::Leaf
        {
            scaling.observe(entry, state);
        }
        self.update_holding(entry, lease, now);
        self.record_ended_calls(entry);
        self.record_written(entry);
        if self.holding.is_fenced() {
            return false;
        }
        // An instance that became the leader before it knew of the others. It hears of its relays'
        // sums only, and relays claim the leadership.
        if lease.is_some() && entry.layout().role == membership::Role::Leaf {
            log::info!("the leader has become a leaf");
            return false;
        }
        let Some(fence) = self.holding.token(now) else {
            return true;
        };
        if !self.write_due(entry, state, fence) {
            return false;
        }
        self.call_due(entry, state, fence);
        true
    }

    fn update_holding(
        &mut self,
        entry: &Rc<state::Entry>,
        lease: Option<&leadership::HeldLease>,
        now: Millis,
    ) {
        let leader = entry.leader.borrow();
        if leader.as_ref().is_some_and(|(id, _)| *id != entry.settings.instance) {
            self.holding.record_other(now);
        }
        let lease =
            lease.map(|lease| duty::Lease { token: lease.fence, is_valid: lease.is_valid(now) });
        self.holding.update(lease, now);
        let fence = self.holding.token(now);
        if self.fence != fence {
            log::info!(fence:? = fence.map(|fence| fence.0); "holding of the duties changed");
            self.fence = fence;
            if fence.is_none() {
                metrics::gauge!("usage_windows_unreported").set(0.0);
            }
        }
        if lease.is_none() {
            // A successor makes the calls that have not ended.
            self.calls.abort_all();
            self.call_states.clear();
            self.rate = None;
        }
    }

    /// Writes the windows and orders that are due to the store. Returns `false` if the instance does
    /// not hear of most others, so that one of them should do it.
    fn write_due(
        &mut self,
        entry: &Rc<state::Entry>,
        state: &duties::State,
        fence: id::FencingToken,
    ) -> bool {
        let now = clock::now();
        if !self.write.is_empty() || now < self.next_write {
            return true;
        }
        let is_listening = now.since(state.listening_since.get()) >= LISTENING_TIME;
        let mut record = entry.duties.record.borrow().clone();
        let mut additions = settle(entry, state, &record, is_listening);
        if additions.missing > Millis(0) && self.is_cut_off(entry, state, now) {
            return false;
        }
        if let Some(scaling) = self.scaling.as_ref().filter(|_| is_listening) {
            additions.orders = scaling.due(entry, &record, state.true_time());
        }
        if additions.windows.is_empty() && additions.orders.is_empty() {
            return true;
        }
        record.settle(additions.windows.clone());
        record.order(additions.orders.clone());
        let entry = entry.clone();
        self.write.spawn_local(async move {
            let result = entry.port.put_duty_record(&record, fence).await;
            Written { record, additions, result }
        });
        true
    }

    /// Returns whether this instance hears of less than half of the registered instances, unless it
    /// gave up its leadership for this reason not long ago.
    fn is_cut_off(&mut self, entry: &state::Entry, state: &duties::State, now: Millis) -> bool {
        let (heard, registered) = (state.heard_instances(), entry.registered_instances().len());
        if heard * 2 >= registered
            || self.cut_off_at.is_some_and(|at| now.since(at) < CUT_OFF_INTERVAL)
        {
            return false;
        }
        log::warn!(heard, registered; "most instances are not heard of");
        self.cut_off_at = Some(now);
        true
    }

    fn record_written(&mut self, entry: &Rc<state::Entry>) {
        while let Some(written) = self.write.try_join_next() {
            let written = match written {
                Ok(written) => written,
                Err(error) => {
                    log::error!(cause:% = error; "task that writes the record of duties failed");
                    continue;
                }
            };
            self.next_write = clock::now() + WRITE_RETRY_PAUSE;
            match written.result {
                Ok(Some(revision)) => {
                    self.next_write = Millis(0);
                    let change = port::DutyRecord { record: Some(written.record), revision };
                    duties::set_record(entry, change);
                    metrics::counter!("duty_record_writes").increment(1);
                    log_additions(&written.additions, revision);
                }
                Ok(None) => log::info!("record of duties not written; another one is newer"),
                Err(error) => log::warn!(cause:% = error; "record of duties not written"),
            }
        }
    }

    /// Makes the calls that were not accepted yet: reports of windows, then orders. Reports that are
    /// already late wait for the others.
    fn call_due(
        &mut self,
        entry: &Rc<state::Entry>,
        state: &duties::State,
        fence: id::FencingToken,
    ) {
        let (now, true_now) = (clock::now(), state.true_time());
        let record = entry.duties.record.borrow();
        metrics::gauge!("usage_windows_unreported").set(record.unacknowledged().count() as f64);
        let mut windows: Vec<_> = record.unacknowledged().collect();
        windows.sort_by_key(|settled| {
            let is_late = state.rules.is_some_and(|rules| rules.is_late(settled.window, true_now));
            (is_late, settled.window)
        });
        for settled in windows {
            let subject = Subject::Usage(settled.window);
            if self.calls.len() >= MAX_CONCURRENT_CALLS || !self.may_call(&subject, now) {
                continue;
            }
            let counts = settled.counts.clone();
            let call = port::DutyCall::Usage { window: settled.window, counts };
            self.spawn_call(entry, (subject, None), call, fence);
        }
        if self.scaling.is_none() {
            return;
        }
        for order in record.orders.iter().filter(|order| !order.is_acknowledged) {
            let subject = Subject::Scale(order.service.clone(), order.domain.clone());
            if !self.may_call(&subject, now) {
                continue;
            }
            let call = port::DutyCall::Scale {
                service: order.service.clone(),
                domain: order.domain.clone(),
                count: order.count,
            };
            self.spawn_call(entry, (subject, Some(order.clone())), call, fence);
        }
    }

    /// Returns whether a call about a subject may be made now, and takes it from the rate.
    fn may_call(&mut self, subject: &Subject, now: Millis) -> bool {
        let state = self.call_states.get(subject);
        if state.is_some_and(|state| state.in_flight || now < state.next_at) {
            return false;
        }
        let rate = self.rate.get_or_insert_with(|| duty::CallRate::new(self.calls_per_s, now));
        rate.try_take(now)
    }

    fn spawn_call(
        &mut self,
        entry: &Rc<state::Entry>,
        (subject, order): (Subject, Option<duty::ScaleOrder>),
        call: port::DutyCall,
        fence: id::FencingToken,
    ) {
        let state = self.call_states.entry(subject.clone());
        let state = state.or_insert(CallState {
            in_flight: true,
            pause: RETRY_PAUSE.0,
            next_at: Millis(0),
        });
        state.in_flight = true;
        let entry = entry.clone();
        self.calls.spawn_local(async move {
            let result = entry.port.call_duty(&call, &entry.settings.instance, fence).await;
            EndedCall { subject, order, fence, result }
        });
    }

    fn record_ended_calls(&mut self, entry: &Rc<state::Entry>) {
        while let Some(ended) = self.calls.try_join_next() {
            let call = match ended {
                Ok(call) => call,
                Err(error) if error.is_cancelled() => continue,
                Err(error) => {
                    log::error!(cause:% = error; "task that makes a call of a duty failed");
                    self.call_states.clear();
                    continue;
                }
            };
            self.record_ended_call(entry, call);
        }
    }

    fn record_ended_call(&mut self, entry: &Rc<state::Entry>, call: EndedCall) {
        let now = clock::now();
        let EndedCall { subject, order, fence, result } = call;
        let outcome = match &result {
            Ok(port::DutyReply::Accepted) => "accepted",
            Ok(port::DutyReply::Fenced) => "fenced",
            Ok(port::DutyReply::TooManyCalls) => "too many calls",
            Ok(port::DutyReply::Refused(_)) => "refused",
            Err(_) => "no response",
        };
        metrics::counter!("duty_calls", "outcome" => outcome).increment(1);
        match result {
            Ok(port::DutyReply::Accepted) => {
                log::info!(subject:?, fence:% = fence; "call of a duty accepted");
                self.call_states.remove(&subject);
                let mut record = entry.duties.record.borrow_mut();
                if let Subject::Usage(window) = subject {
                    record.acknowledge(window);
                }
                if let Some(order) = order {
                    record.acknowledge_order(&order);
                }
                return;
            }
            Ok(port::DutyReply::Fenced) => {
                log::warn!(subject:?, fence:% = fence; "fenced by a newer holder of the duties");
                self.holding.record_refusal(fence);
                self.calls.abort_all();
                return;
            }
            Ok(port::DutyReply::TooManyCalls) => {
                log::warn!(subject:?, fence:% = fence; "call of a duty refused; too many calls");
                if let Some(rate) = &mut self.rate {
                    rate.record_refusal(now);
                }
            }
            Ok(port::DutyReply::Refused(status)) => {
                log::warn!(subject:?, fence:% = fence, status; "call of a duty refused");
                if let Some(state) = self.call_states.get_mut(&subject) {
                    state.pause = REFUSED_PAUSE;
                }
            }
            Err(error) => {
                log::warn!(subject:?, fence:% = fence, cause:% = error; "no response to a duty");
            }
        }
        if let Some(state) = self.call_states.get_mut(&subject) {
            let jitter = entry.rng.borrow_mut().random_range(0..=state.pause.0 / 4);
            state.in_flight = false;
            state.next_at = now + state.pause + Millis(jitter);
            state.pause = Millis(state.pause.0 * 2).min(RETRY_PAUSE.1);
        }
    }
}

/// Returns the windows that are due to be settled, with their counts.
fn settle(
    entry: &state::Entry,
    state: &duties::State,
    record: &duty::Record,
    may_miss: bool,
) -> Additions {
    let mut additions = Additions::default();
    let Some(rules) = &state.rules else {
        return additions;
    };
    let true_now = state.true_time();
    let ledger = state.ledger.borrow();
    let registered = entry.registered_domains();
    let complete_until =
        ledger.complete_until(registered.iter().map(|(id, domain)| (id, domain)), true_now);
    for window in rules.due(&ledger, record, complete_until, may_miss, true_now) {
        let missing = Millis(rules.end_of(window).0.saturating_sub(complete_until.0));
        additions.missing = additions.missing.max(missing);
        let counts = ledger.total(window);
        additions.windows.push(duty::Settled { window, counts, is_acknowledged: false });
    }
    additions
}

fn log_additions(additions: &Additions, revision: u64) {
    let missing_ms = additions.missing.0;
    for settled in &additions.windows {
        let requests: u64 = settled.counts.values().sum();
        let (window, workspaces) = (settled.window, settled.counts.len());
        log::info!(window, requests, workspaces, missing_ms, revision; "usage window settled");
    }
    for order in &additions.orders {
        log::info!(
            service:% = order.service, domain:% = order.domain, count = order.count, revision;
            "number of upstreams decided"
        );
    }
}
