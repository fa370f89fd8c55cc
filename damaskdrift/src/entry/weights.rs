//! Leader task that rolls out new weights to upstreams and frees cached segments of old weights.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::time::Millis;
use damaskdrift_core::weights;
use tokio::task::JoinSet;

use crate::entry::clock;
use crate::entry::duties;
use crate::entry::leadership;
use crate::entry::notices;
use crate::entry::port;
use crate::entry::quarantine_record;
use crate::entry::rollouts;
use crate::entry::state;

/// How often the leader checks for upstreams behind the target version.
const TICK: Duration = Duration::from_millis(50);
/// Minimum interval between report reads of an upstream with an order in progress; reports lag by
/// a few hundred milliseconds and each read is a call to the upstream.
const REPORT_INTERVAL: Millis = Millis(150);
/// Time after a release of leadership in favour of another instance in which this one does not claim
/// it. Others claim it within 1.2 s.
const RELEASE_PAUSE: Millis = Millis(2_400);
/// Time for which the time of a request for a report is remembered.
const REPORT_TIME_RETENTION: Millis = Millis(10_000);
/// How long requests avoid an upstream that was ordered to load weights, unless it reports the new
/// version earlier: its running requests finish first, and the load takes about half a second.
const LOAD_AVOIDANCE: Millis = Millis(1_000);
/// Delay before the segments of a salt that no upstream uses any longer are freed; it exceeds the
/// duration of a fetch and the delay with which instances learn of new versions.
const FREE_DELAY: Millis = Millis(4_000);
/// Minimum interval between attempts to free segments.
const FREE_INTERVAL: Millis = Millis(300);
/// Maximum number of segments freed by one call.
const FREE_BATCH: usize = 100;

/// Result of a call to an upstream in the course of a load.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    /// The upstream executes the order, or needs none.
    Accepted,
    /// The upstream executes another order.
    Busy,
    /// The upstream may execute the order, but did not respond to it.
    Unanswered,
    /// The order was not sent, for a reason that does not concern the upstream.
    Unsent,
    /// The order was refused, or the upstream's report is not available.
    Failed,
    /// The upstream has accepted an order of a newer leader.
    Fenced,
    /// The report of an upstream with an order in progress was read.
    ReportRead,
}

/// A call to an upstream that has ended.
struct EndedCall {
    model: id::Model,
    upstream: id::Upstream,
    /// When the order that the call concerns was scheduled.
    ordered_at: Millis,
    result: CallResult,
}

/// State of the leader's work during one term.
#[derive(Default)]
struct Term {
    /// Whether anything was done in this term.
    is_started: bool,
    schedulers: HashMap<id::Model, weights::LoadScheduler>,
    /// Calls in progress. They are not awaited in turn, because an upstream that does not respond
    /// would delay the orders to all others and the renewal of the lease.
    calls: JoinSet<EndedCall>,
    /// Calls that free segments, in progress.
    frees: JoinSet<()>,
    /// When the report of each upstream with a pending order was last requested.
    report_requested_at: HashMap<id::Upstream, Millis>,
    /// Upstreams whose report is being read.
    reading: BTreeSet<id::Upstream>,
    /// Salts that no upstream uses, and since when.
    unused_salts: HashMap<Arc<str>, Millis>,
    last_free: Millis,
}

/// Claims leadership and does the leader's work until the instance stops.
pub async fn run(entry: Rc<state::Entry>) {
    let mut lease: Option<leadership::HeldLease> = None;
    let mut term = Term::default();
    let mut driver = rollouts::Driver::default();
    let mut quarantine = quarantine_record::Driver::default();
    let mut duties = duties::Driver::new(&entry.settings);
    let mut next_claim = clock::now();
    while !entry.stopping.is_cancelled() {
        let now = clock::now();
        if now >= next_claim && entry.table.borrow().is_some() {
            leadership::renew_or_claim(&entry, &mut lease).await;
            let wait = if lease.is_some() {
                leadership::renewal_interval()
            } else {
                leadership::claim_backoff(&entry)
            };
            next_claim = clock::now() + wait;
        }
        if lease.is_none() && term.is_started {
            // Another leader may have acted since; this also cancels the calls in progress.
            term = Term::default();
        }
        if let Some(held) = lease {
            driver.tick(&entry, &held).await;
            quarantine.tick(&entry, &held).await;
            let now = clock::now();
            let may_order = now.since(held.claimed_at) >= entry.settings.turn;
            if may_order && held.is_valid(now) && !term.tick(&entry, held) {
                log::warn!(fence:% = held.fence; "fenced by a newer leader; releasing leadership");
                term = Term::default();
                leadership::release(&entry, lease.take()).await;
                next_claim = clock::now() + entry.settings.turn;
            }
        }
        if !duties.tick(&entry, lease.as_ref()) {
            log::warn!("releasing leadership for another holder of the duties");
            term = Term::default();
            leadership::release(&entry, lease.take()).await;
            next_claim = clock::now() + RELEASE_PAUSE;
        }
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = entry.stopping.cancelled() => {}
        }
    }
    leadership::release(&entry, lease).await;
}

impl Term {
    /// Sends due orders and frees unused segments. Returns false if fenced by a newer leader.
    fn tick(&mut self, entry: &Rc<state::Entry>, lease: leadership::HeldLease) -> bool {
        self.is_started = true;
        if !self.record_ended_calls() {
            return false;
        }
        let targets = entry.target_versions.borrow().clone();
        for (model, targets) in &targets {
            self.read_reports(entry, model);
            let candidates = candidates(entry, model, clock::now());
            let scheduler = self.schedulers.entry(model.clone()).or_default();
            let limit = entry.old_weights_limit();
            let Some(version) = targets.newest() else {
                continue;
            };
            let now = clock::now();
            for upstream in scheduler.schedule(&candidates, targets, limit, now) {
                let weights = balance::Weights { model: model.clone(), version };
                let (entry, model) = (entry.clone(), model.clone());
                self.calls.spawn_local(async move {
                    let result = order_load(&entry, &upstream, &weights, lease).await;
                    EndedCall { model, upstream, ordered_at: now, result }
                });
            }
        }
        self.free_unused(entry);
        true
    }

    /// Records the results of ended calls. Returns false if fenced by a newer leader.
    fn record_ended_calls(&mut self) -> bool {
        let mut is_leader = true;
        while let Some(ended) = self.calls.try_join_next() {
            let call = match ended {
                Ok(call) => call,
                Err(error) => {
                    log::error!(cause:% = error; "task that calls an upstream failed");
                    continue;
                }
            };
            let Some(scheduler) = self.schedulers.get_mut(&call.model) else {
                continue;
            };
            let (id, ordered_at, now) = (&call.upstream, call.ordered_at, clock::now());
            self.reading.remove(id);
            match call.result {
                CallResult::Accepted => scheduler.record_accepted(id, ordered_at),
                CallResult::Busy => scheduler.record_busy(id, ordered_at, now),
                CallResult::Unanswered => scheduler.record_unanswered(id, ordered_at, now),
                CallResult::Unsent => scheduler.record_unsent(id, ordered_at),
                CallResult::Failed => scheduler.record_failure(id, ordered_at, now),
                CallResult::Fenced => is_leader = false,
                CallResult::ReportRead => {}
            }
        }
        is_leader
    }

    /// Reads the reports of upstreams with an order in progress.
    fn read_reports(&mut self, entry: &Rc<state::Entry>, model: &id::Model) {
        let now = clock::now();
        let Some(scheduler) = self.schedulers.get(model) else {
            return;
        };
        for (id, ordered_at) in scheduler.pending() {
            let requested_at = self.report_requested_at.entry(id.clone()).or_default();
            let is_recent = now.since(ordered_at.max(*requested_at)) < REPORT_INTERVAL;
            if is_recent || self.reading.contains(id) {
                continue;
            }
            *requested_at = now;
            self.reading.insert(id.clone());
            let (entry, model, upstream) = (entry.clone(), model.clone(), id.clone());
            self.calls.spawn_local(async move {
                let result = match read_report(&entry, &upstream).await {
                    Some(_) => CallResult::ReportRead,
                    None => CallResult::Failed,
                };
                EndedCall { model, upstream, ordered_at, result }
            });
        }
        self.report_requested_at.retain(|_, at| now.since(*at) < REPORT_TIME_RETENTION);
    }

    /// Frees cached segments of versions older than any that an upstream runs.
    fn free_unused(&mut self, entry: &Rc<state::Entry>) {
        let now = clock::now();
        while let Some(ended) = self.frees.try_join_next() {
            if let Err(error) = ended {
                log::error!(cause:% = error; "task that frees cached segments failed");
            }
        }
        if now.since(self.last_free) < FREE_INTERVAL || !self.frees.is_empty() {
            return;
        }
        self.last_free = now;
        let stores = entry.cache_stores.borrow().records();
        for store in stores {
            if !store.is_managed {
                continue;
            }
            let Some((epoch, segments)) = self.unused_segments(entry, &store.id, now) else {
                continue;
            };
            let entry = entry.clone();
            self.frees.spawn_local(async move {
                let freed = segments.len();
                match entry.port.free_segments(store.address, epoch, &segments).await {
                    Ok(()) => {
                        log::info!(
                            store:% = store.id, freed; "unused cached segments freed"
                        );
                    }
                    Err(error) => {
                        log::warn!(
                            store:% = store.id, cause:% = error; "cached segments not freed"
                        );
                    }
                }
            });
        }
    }

    fn unused_segments(
        &mut self,
        entry: &state::Entry,
        store: &id::Upstream,
        now: Millis,
    ) -> Option<(u64, Vec<(String, u64)>)> {
        let table = entry.table.borrow().clone()?;
        let stores = entry.cache_stores.borrow();
        let contents = stores.contents(store)?;
        let epoch = contents.epoch()?;
        let mut freed = Vec::new();
        for (salt, segments) in contents.segments_by_salt() {
            let Some(fields) = prefix_cache::parse_salt(salt) else {
                continue;
            };
            let oldest = oldest_version(entry, &fields.model);
            let is_version_used = oldest.is_none_or(|oldest| fields.version >= oldest);
            let is_scope_used = table.cache_scopes.is_used(fields.scope);
            if segments.is_empty() || (is_version_used && is_scope_used) {
                self.unused_salts.remove(salt);
                continue;
            }
            let since = *self.unused_salts.entry(salt.clone()).or_insert(now);
            // Instances that are cut off use scopes of an earlier configuration for some time.
            let delay =
                if is_scope_used { FREE_DELAY } else { FREE_DELAY + entry.settings.revocation };
            if now.since(since) < delay {
                continue;
            }
            freed.extend(segments.keys().map(|segment| (salt.to_string(), *segment)));
        }
        freed.truncate(FREE_BATCH);
        (!freed.is_empty()).then_some((epoch, freed))
    }
}

/// Returns the oldest version of a model that any upstream runs.
fn oldest_version(entry: &state::Entry, model: &id::Model) -> Option<u64> {
    entry.upstreams.borrow().iter().filter_map(|upstream| upstream.version(model)).min()
}

/// Returns the upstreams that may load a new version of a model.
fn candidates(entry: &state::Entry, model: &id::Model, now: Millis) -> Vec<weights::Candidate> {
    let upstreams = entry.upstreams.borrow();
    let mut candidates = Vec::new();
    for upstream in upstreams.iter() {
        if upstream.record.is_draining
            || !upstreams.notices.may_send(&upstream.record, clock::now())
        {
            continue;
        }
        let Some(version) = upstream.version(model) else {
            continue;
        };
        candidates.push(weights::Candidate {
            id: upstream.record.id.clone(),
            started_at: upstream.record.started_at,
            version,
            running: upstream.load().in_flight,
            is_responsive: upstream.response(now) == balance::Response::Usual,
        });
    }
    candidates
}

/// Reads the report of an upstream and applies the weights in it; `None` if it is not available.
async fn read_report(entry: &Rc<state::Entry>, id: &id::Upstream) -> Option<port::Report> {
    let address = notices::address(entry, id)?;
    let incarnation = notices::incarnation(entry, id);
    let report = entry.port.engine_report(address).await;
    notices::apply_called(entry, notices::Recipient { id, incarnation }, "report");
    match report {
        Ok(report) => {
            if let Some(upstream) = entry.upstreams.borrow_mut().get_mut(id) {
                upstream.record_contact(clock::now());
                for weights in &report.weights {
                    upstream.set_version(&weights.model, weights.version, clock::now());
                }
            }
            let mut observed = entry.observed_weights.borrow_mut();
            for weights in &report.weights {
                observed.record_version(id, weights.clone(), clock::now());
            }
            entry.report_due.notify_one();
            Some(report)
        }
        Err(error) => {
            log::info!(upstream:% = id, cause:% = error; "upstream report not available");
            None
        }
    }
}

/// Orders an upstream to load weights, unless its report says that it has them or is busy.
async fn order_load(
    entry: &Rc<state::Entry>,
    id: &id::Upstream,
    weights: &balance::Weights,
    lease: leadership::HeldLease,
) -> CallResult {
    let Some(report) = read_report(entry, id).await else {
        return CallResult::Failed;
    };
    let loaded = report.weights.iter().find(|w| w.model == weights.model).map(|w| w.version);
    if loaded.is_some_and(|version| version >= weights.version) {
        return CallResult::Accepted;
    }
    if report.is_busy {
        // The order in progress may be this one, if its response was lost; later reports show it.
        return CallResult::Busy;
    }
    // The lease may have expired while the report was read.
    if !lease.is_valid(clock::now()) {
        return CallResult::Unsent;
    }
    // The report itself may have said that the upstream wants nothing more.
    let Some(address) = notices::address(entry, id) else {
        return CallResult::Unsent;
    };
    if let Some(upstream) = entry.upstreams.borrow_mut().get_mut(id) {
        upstream.avoid_until = clock::now() + LOAD_AVOIDANCE;
    }
    entry.observed_weights.borrow_mut().record_loading(id, clock::now() + LOAD_AVOIDANCE);
    entry.report_due.notify_one();
    let order = port::Order {
        upstream: id.clone(),
        weights: weights.clone(),
        leader: entry.settings.instance.clone(),
        fence: lease.fence,
        sequence: report.order_sequence,
    };
    let incarnation = notices::incarnation(entry, id);
    let reply = entry.port.send_order(address, &order).await;
    notices::apply_called(entry, notices::Recipient { id, incarnation }, "order");
    log::info!(
        upstream:% = id, version = order.weights.version, fence:% = order.fence,
        sequence = order.sequence, reply:?;
        "ordered to load weights"
    );
    match reply {
        Ok(port::OrderReply::Accepted) => CallResult::Accepted,
        Ok(port::OrderReply::Fenced) => CallResult::Fenced,
        Ok(port::OrderReply::Conflict) => CallResult::Busy,
        Ok(port::OrderReply::Refused(_)) => CallResult::Failed,
        // The order may still be executed. The next one is sent only if the report shows no order in
        // progress, and its sequence number excludes the late execution.
        Err(_) => CallResult::Unanswered,
    }
}
