//! Leader task that rolls out new weights to upstreams and frees cached segments of old weights.

use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::time::Millis;
use damaskdrift_core::weights;
use tokio::task;

use crate::entry::clock;
use crate::entry::leadership;
use crate::entry::port;
use crate::entry::rollouts;
use crate::entry::state;

/// How often the leader checks for upstreams behind the target version.
const TICK: Duration = Duration::from_millis(50);
/// Minimum interval between report reads of an upstream with an order in progress; reports lag by
/// a few hundred milliseconds and each read is a call to the upstream.
const REPORT_INTERVAL: Millis = Millis(150);
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

/// State of the leader's work.
#[derive(Default)]
struct Rollout {
    schedulers: HashMap<id::Model, weights::LoadScheduler>,
    /// When the report of each upstream was last requested.
    report_requested_at: HashMap<id::Upstream, Millis>,
    /// Salts that no upstream uses, and since when.
    unused_salts: HashMap<Arc<str>, Millis>,
    last_free: Millis,
}

/// Claims leadership and does the leader's work until the instance stops.
pub async fn run(entry: Rc<state::Entry>) {
    let mut lease: Option<leadership::HeldLease> = None;
    let mut rollout = Rollout::default();
    let mut driver = rollouts::Driver::default();
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
        if let Some(held) = &lease {
            driver.tick(&entry, held).await;
            let now = clock::now();
            let may_order = now.since(held.claimed_at) >= entry.settings.turn;
            if may_order && held.is_valid(now) && !rollout.tick(&entry, held).await {
                log::warn!(fence:% = held.fence; "fenced by a newer leader; releasing leadership");
                leadership::release(&entry, lease.take()).await;
                next_claim = clock::now() + entry.settings.turn;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = entry.stopping.cancelled() => {}
        }
    }
    leadership::release(&entry, lease).await;
}

impl Rollout {
    /// Sends due orders and frees unused segments. Returns false if fenced by a newer leader.
    async fn tick(&mut self, entry: &Rc<state::Entry>, lease: &leadership::HeldLease) -> bool {
        let targets: Vec<_> = {
            let targets = entry.target_versions.borrow();
            targets.iter().map(|(model, (version, _))| (model.clone(), *version)).collect()
        };
        for (model, target) in targets {
            self.read_reports(entry, &model).await;
            let candidates = candidates(entry, &model);
            let scheduler = self.schedulers.entry(model.clone()).or_default();
            let due = scheduler.schedule(&candidates, target, clock::now());
            let mut orders = Vec::new();
            for id in due {
                let Some(address) = address(entry, &id) else {
                    continue;
                };
                let weights = balance::Weights { model: model.clone(), version: target };
                let order = (id.clone(), weights, lease.fence, address);
                orders.push((id, task::spawn_local(order_load(entry.clone(), order))));
            }
            for (id, order) in orders {
                match order.await {
                    Ok(port::OrderReply::Accepted) => {}
                    Ok(port::OrderReply::Fenced) => return false,
                    Ok(_) => scheduler.record_refusal(&id),
                    Err(error) => {
                        log::error!(cause:% = error; "task that orders to load weights failed");
                    }
                }
            }
        }
        self.free_unused(entry).await;
        true
    }

    /// Reads the reports of upstreams with an order in progress.
    async fn read_reports(&mut self, entry: &Rc<state::Entry>, model: &id::Model) {
        let now = clock::now();
        let Some(scheduler) = self.schedulers.get(model) else {
            return;
        };
        let mut reads = Vec::new();
        for id in scheduler.pending() {
            let requested_at = self.report_requested_at.entry(id.clone()).or_default();
            if now.since(*requested_at) < REPORT_INTERVAL {
                continue;
            }
            *requested_at = now;
            if let Some(address) = address(entry, id) {
                reads.push(task::spawn_local(read_report(entry.clone(), id.clone(), address)));
            }
        }
        for read in reads {
            if let Err(error) = read.await {
                log::error!(cause:% = error; "task that reads an upstream's report failed");
            }
        }
    }

    /// Frees cached segments of versions older than any that an upstream runs.
    async fn free_unused(&mut self, entry: &Rc<state::Entry>) {
        let now = clock::now();
        if now.since(self.last_free) < FREE_INTERVAL {
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
            let freed = segments.len();
            match entry.port.free_segments(store.address, epoch, &segments).await {
                Ok(()) => {
                    log::info!(store:% = store.id, freed; "cached segments of old weights freed");
                }
                Err(error) => {
                    log::warn!(store:% = store.id, cause:% = error; "cached segments not freed");
                }
            }
        }
    }

    fn unused_segments(
        &mut self,
        entry: &state::Entry,
        store: &id::Upstream,
        now: Millis,
    ) -> Option<(u64, Vec<(String, u64)>)> {
        let stores = entry.cache_stores.borrow();
        let contents = stores.contents(store)?;
        let epoch = contents.epoch()?;
        let mut freed = Vec::new();
        for (salt, segments) in contents.segments_by_salt() {
            let Some((model, version)) = prefix_cache::parse_salt(salt) else {
                continue;
            };
            let is_in_use = || oldest_version(entry, &model).is_none_or(|oldest| version >= oldest);
            if segments.is_empty() || is_in_use() {
                self.unused_salts.remove(salt);
                continue;
            }
            let since = *self.unused_salts.entry(salt.clone()).or_insert(now);
            if now.since(since) < FREE_DELAY {
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
fn candidates(entry: &state::Entry, model: &id::Model) -> Vec<weights::Candidate> {
    let upstreams = entry.upstreams.borrow();
    let mut candidates = Vec::new();
    for upstream in upstreams.iter() {
        if upstream.record.is_draining {
            continue;
        }
        let Some(version) = upstream.version(model) else {
            continue;
        };
        let running = upstream.load().in_flight;
        candidates.push(weights::Candidate { id: upstream.record.id.clone(), version, running });
    }
    candidates
}

fn address(entry: &state::Entry, id: &id::Upstream) -> Option<net::SocketAddr> {
    entry.upstreams.borrow().get(id).map(|upstream| upstream.record.address)
}

async fn read_report(
    entry: Rc<state::Entry>,
    id: id::Upstream,
    address: net::SocketAddr,
) -> Option<port::Report> {
    match entry.port.engine_report(address).await {
        Ok(report) => {
            if let Some(upstream) = entry.upstreams.borrow_mut().get_mut(&id) {
                for weights in &report.weights {
                    upstream.set_version(&weights.model, weights.version, clock::now());
                }
            }
            let mut observed = entry.observed_weights.borrow_mut();
            for weights in &report.weights {
                observed.record_version(&id, weights.clone(), clock::now());
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
    entry: Rc<state::Entry>,
    (id, weights, fence, address): (
        id::Upstream,
        balance::Weights,
        id::FencingToken,
        net::SocketAddr,
    ),
) -> port::OrderReply {
    let Some(report) = read_report(entry.clone(), id.clone(), address).await else {
        return port::OrderReply::Conflict;
    };
    let loaded = report.weights.iter().find(|w| w.model == weights.model).map(|w| w.version);
    if loaded.is_some_and(|version| version >= weights.version) {
        return port::OrderReply::Accepted;
    }
    if report.is_busy {
        // The order in progress may be this one, if its response was lost; later reports show it.
        return port::OrderReply::Accepted;
    }
    if let Some(upstream) = entry.upstreams.borrow_mut().get_mut(&id) {
        upstream.avoid_until = clock::now() + LOAD_AVOIDANCE;
    }
    entry.observed_weights.borrow_mut().record_loading(&id, clock::now() + LOAD_AVOIDANCE);
    entry.report_due.notify_one();
    let order = port::Order {
        upstream: id.clone(),
        weights,
        leader: entry.settings.instance.clone(),
        fence,
        sequence: report.order_sequence,
    };
    let reply = entry.port.send_order(address, &order).await;
    log::info!(
        upstream:% = id, version = order.weights.version, fence:%, sequence = order.sequence,
        reply:?;
        "ordered to load weights"
    );
    // Without a response the order may still be executed, unless a newer one arrives first.
    reply.unwrap_or(port::OrderReply::Accepted)
}
