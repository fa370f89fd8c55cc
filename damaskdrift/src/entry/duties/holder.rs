//! Work of the instance that holds the duties: it settles usage windows and reports them.

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
/// Largest number of windows that are reported at the same time.
const MAX_CONCURRENT_REPORTS: usize = 4;
/// Time for which an instance must have received reports before it settles a window without those of
/// some instances. Other instances connect to a new one within this time.
const LISTENING_TIME: Millis = Millis(2_500);
/// Time between two ticks from which the instance was frozen and has missed reports.
const FREEZE_LIMIT: Millis = Millis(1_000);

/// A call that has ended.
struct EndedCall {
    subject: Subject,
    fence: id::FencingToken,
    result: Result<port::DutyReply, client::Failure>,
}

/// What a call is about. Calls about one subject are made one after another.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Subject {
    /// The report of a usage window.
    Usage(u64),
}

/// State of the calls about one subject.
#[derive(Debug)]
struct CallState {
    in_flight: bool,
    pause: Millis,
    next_at: Millis,
}

/// The result of a write of the record.
type Written = (duty::Record, Result<Option<u64>, port::StoreError>);

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
    listening_since: Millis,
    last_tick: Millis,
    last_role: membership::Role,
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
            listening_since: now,
            last_tick: now,
            last_role: membership::Role::default(),
        });
        Self { work }
    }

    /// Performs what is due. Returns `false` if the instance must give up its leadership because a
    /// higher fencing token was seen.
    pub fn tick(
        &mut self,
        entry: &Rc<state::Entry>,
        lease: Option<&leadership::HeldLease>,
    ) -> bool {
        self.work.as_mut().is_none_or(|work| work.tick(entry, lease))
    }
}

impl Work {
    fn tick(&mut self, entry: &Rc<state::Entry>, lease: Option<&leadership::HeldLease>) -> bool {
        let now = clock::now();
        let role = entry.layout().role;
        if now.since(self.last_tick) >= FREEZE_LIMIT || role != self.last_role {
            self.listening_since = now;
        }
        (self.last_tick, self.last_role) = (now, role);
        self.update_holding(entry, lease, now);
        self.record_ended_calls(entry);
        self.record_written(entry);
        if self.holding.is_fenced() {
            return false;
        }
        let Some(fence) = self.holding.token(now) else {
            return true;
        };
        self.settle(entry, fence);
        self.report(entry, fence);
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
        }
        if lease.is_none() {
            // A successor makes the calls that have not ended.
            self.calls.abort_all();
            self.call_states.clear();
            self.rate = None;
        }
    }

    /// Writes the windows that are due to the store.
    fn settle(&mut self, entry: &Rc<state::Entry>, fence: id::FencingToken) {
        let now = clock::now();
        let Some(usage) = &entry.duties.usage else {
            return;
        };
        if !self.write.is_empty() || now < self.next_write {
            return;
        }
        let true_now = usage.true_time(entry);
        let may_miss = now.since(self.listening_since) >= LISTENING_TIME;
        let ledger = usage.ledger.borrow();
        let mut record = entry.duties.record.borrow().clone();
        let registered = entry.registered_domains();
        let complete_until =
            ledger.complete_until(registered.iter().map(|(id, domain)| (id, domain)), true_now);
        let due = usage.rules.due(&ledger, &record, complete_until, may_miss, true_now);
        if due.is_empty() {
            return;
        }
        let mut settled = Vec::with_capacity(due.len());
        for window in due {
            let counts = ledger.total(window);
            let requests: u64 = counts.values().sum();
            let missing_ms = usage.rules.end_of(window).0.saturating_sub(complete_until.0);
            let workspaces = counts.len();
            log::info!(
                window, requests, workspaces, missing_ms, fence:% = fence; "usage window settled"
            );
            settled.push(duty::Settled { window, counts, is_acknowledged: false });
        }
        record.settle(settled);
        self.spawn_write(entry, record, fence);
    }

    fn spawn_write(
        &mut self,
        entry: &Rc<state::Entry>,
        record: duty::Record,
        fence: id::FencingToken,
    ) {
        let entry = entry.clone();
        self.write.spawn_local(async move {
            let written = entry.port.put_duty_record(&record, fence).await;
            (record, written)
        });
    }

    fn record_written(&mut self, entry: &Rc<state::Entry>) {
        while let Some(written) = self.write.try_join_next() {
            let pause = clock::now() + WRITE_RETRY_PAUSE;
            match written {
                Ok((record, Ok(Some(revision)))) => {
                    let change = port::DutyRecord { record: Some(record), revision };
                    duties::set_record(entry, change);
                    metrics::counter!("duty_record_writes").increment(1);
                }
                Ok((_, Ok(None))) => {
                    log::info!("record of duties not written; another one is newer");
                    self.next_write = pause;
                }
                Ok((_, Err(error))) => {
                    log::warn!(cause:% = error; "record of duties not written");
                    self.next_write = pause;
                }
                Err(error) => {
                    log::error!(cause:% = error; "task that writes the record of duties failed");
                    self.next_write = pause;
                }
            }
        }
    }

    /// Reports settled windows that were not accepted yet, oldest first.
    fn report(&mut self, entry: &Rc<state::Entry>, fence: id::FencingToken) {
        if entry.duties.usage.is_none() {
            return;
        }
        let now = clock::now();
        let record = entry.duties.record.borrow();
        metrics::gauge!("usage_windows_unreported").set(record.unacknowledged().count() as f64);
        for settled in record.unacknowledged().take(MAX_CONCURRENT_REPORTS) {
            let subject = Subject::Usage(settled.window);
            if !self.may_call(&subject, now) {
                continue;
            }
            let call =
                port::DutyCall::Usage { window: settled.window, counts: settled.counts.clone() };
            self.spawn_call(entry, subject, call, fence);
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
        subject: Subject,
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
            EndedCall { subject, fence, result }
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
        let EndedCall { subject, fence, result } = call;
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
                let Subject::Usage(window) = subject;
                entry.duties.record.borrow_mut().acknowledge(window);
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
