//! Brings the upstreams to new weights and frees the kept parts of old ones.

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
use crate::entry::duty;
use crate::entry::port;
use crate::entry::state;

/// How often the holder looks whether an upstream is behind.
const TICK: Duration = Duration::from_millis(50);
/// How often the report of an upstream with an order under way is read; reports lag by some
/// hundred milliseconds and each is a call to the upstream.
const REPORT_PACE: Millis = Millis(150);
/// How long requests avoid an upstream that was ordered to load weights, unless it shows them
/// earlier: its runs end first, and the load takes about half a second.
const LOAD_AVOIDANCE: Millis = Millis(1_000);
/// Time after which the parts of a salt that no upstream uses any longer are freed. No fetch of
/// them lasts as long, nor does the knowledge of an instance lag as much.
const FREE_DELAY: Millis = Millis(4_000);
/// Most parts freed by one call.
const FREE_BATCH: usize = 100;

/// What the holder of the duty remembers.
#[derive(Default)]
struct Work {
    drivers: HashMap<id::Model, weights::LoadScheduler>,
    reported: HashMap<id::Upstream, Millis>,
    unused: HashMap<Arc<str>, Millis>,
    last_free: Millis,
}

/// Takes the duty and does it until the instance stops.
pub async fn run(entry: Rc<state::Entry>) {
    let mut held: Option<duty::Held> = None;
    let mut work = Work::default();
    let mut next_hold = clock::now();
    while !entry.stopping.is_cancelled() {
        let now = clock::now();
        if now >= next_hold && entry.table.borrow().is_some() {
            duty::hold_duty(&entry, &mut held).await;
            let pace = if held.is_some() { duty::renewal_pace() } else { duty::claim_wait(&entry) };
            next_hold = clock::now() + pace;
        }
        if let Some(present) = &held {
            let now = clock::now();
            let is_turn = now.since(present.since) >= entry.settings.turn;
            if is_turn && present.is_sure(now) && !work.round(&entry, present).await {
                log::warn!(fence:% = present.fence; "another holder has ordered; giving the duty up");
                duty::release(&entry, held.take()).await;
                next_hold = clock::now() + entry.settings.turn;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = entry.stopping.cancelled() => {}
        }
    }
    duty::release(&entry, held).await;
}

impl Work {
    /// Does what is due now. Returns false when another holder has ordered since.
    async fn round(&mut self, entry: &Rc<state::Entry>, held: &duty::Held) -> bool {
        let named: Vec<_> = {
            let named = entry.named.borrow();
            named.iter().map(|(model, (version, _))| (model.clone(), *version)).collect()
        };
        for (model, target) in named {
            self.read_reports(entry, &model).await;
            let members = members(entry, &model);
            let driver = self.drivers.entry(model.clone()).or_default();
            let due = driver.schedule(&members, target, clock::now());
            let mut orders = Vec::new();
            for id in due {
                let Some(address) = address(entry, &id) else {
                    continue;
                };
                let weights = balance::Weights { model: model.clone(), version: target };
                let order = (id.clone(), weights, held.fence, address);
                orders.push((id, task::spawn_local(give(entry.clone(), order))));
            }
            for (id, order) in orders {
                match order.await {
                    Ok(port::OrderReply::Accepted) => {}
                    Ok(port::OrderReply::Fenced) => return false,
                    Ok(_) => driver.record_refusal(&id),
                    Err(error) => log::error!(cause:% = error; "order task failed"),
                }
            }
        }
        self.free(entry).await;
        true
    }

    /// Reads the reports of upstreams with orders under way.
    async fn read_reports(&mut self, entry: &Rc<state::Entry>, model: &id::Model) {
        let now = clock::now();
        let Some(driver) = self.drivers.get(model) else {
            return;
        };
        let mut reads = Vec::new();
        for id in driver.pending() {
            let last = self.reported.entry(id.clone()).or_default();
            if now.since(*last) < REPORT_PACE {
                continue;
            }
            *last = now;
            if let Some(address) = address(entry, id) {
                reads.push(task::spawn_local(read_report(entry.clone(), id.clone(), address)));
            }
        }
        for read in reads {
            if let Err(error) = read.await {
                log::error!(cause:% = error; "report task failed");
            }
        }
    }

    /// Frees the parts of versions that no upstream runs any longer.
    async fn free(&mut self, entry: &Rc<state::Entry>) {
        let now = clock::now();
        if now.since(self.last_free) < Millis(300) {
            return;
        }
        self.last_free = now;
        let stores = entry.stores.borrow().records();
        for store in stores {
            if !store.is_managed {
                continue;
            }
            let Some((epoch, parts)) = self.unused_parts(entry, &store.id, now) else {
                continue;
            };
            let freed = parts.len();
            match entry.port.free(store.address, epoch, &parts).await {
                Ok(()) => log::info!(store:% = store.id, freed; "parts of old weights freed"),
                Err(error) => log::warn!(store:% = store.id, cause:% = error; "parts not freed"),
            }
        }
    }

    fn unused_parts(
        &mut self,
        entry: &state::Entry,
        store: &id::Upstream,
        now: Millis,
    ) -> Option<(u64, Vec<(String, u64)>)> {
        let stores = entry.stores.borrow();
        let contents = stores.contents(store)?;
        let epoch = contents.epoch()?;
        let mut freed = Vec::new();
        for (salt, parts) in contents.segments_by_salt() {
            let Some((model, version)) = prefix_cache::parse_salt(salt) else {
                continue;
            };
            if parts.is_empty() || oldest(entry, &model).is_none_or(|oldest| version >= oldest) {
                self.unused.remove(salt);
                continue;
            }
            let since = *self.unused.entry(salt.clone()).or_insert(now);
            if now.since(since) < FREE_DELAY {
                continue;
            }
            freed.extend(parts.keys().map(|part| (salt.to_string(), *part)));
        }
        freed.truncate(FREE_BATCH);
        (!freed.is_empty()).then_some((epoch, freed))
    }
}

/// Returns the oldest version that an upstream runs.
fn oldest(entry: &state::Entry, model: &id::Model) -> Option<u64> {
    entry.upstreams.borrow().iter().filter_map(|upstream| upstream.version(model)).min()
}

fn members(entry: &state::Entry, model: &id::Model) -> Vec<weights::Candidate> {
    let upstreams = entry.upstreams.borrow();
    let mut members = Vec::new();
    for upstream in upstreams.iter() {
        if upstream.record.is_draining {
            continue;
        }
        let Some(version) = upstream.version(model) else {
            continue;
        };
        let running = upstream.load().in_flight;
        members.push(weights::Candidate { id: upstream.record.id.clone(), version, running });
    }
    members
}

fn address(entry: &state::Entry, id: &id::Upstream) -> Option<net::SocketAddr> {
    entry.upstreams.borrow().get(id).map(|upstream| upstream.record.address)
}

async fn read_report(
    entry: Rc<state::Entry>,
    id: id::Upstream,
    address: net::SocketAddr,
) -> Option<port::Report> {
    match entry.port.report(address).await {
        Ok(report) => {
            if let Some(upstream) = entry.upstreams.borrow_mut().get_mut(&id) {
                for weights in &report.weights {
                    upstream.set_version(&weights.model, weights.version, clock::now());
                }
            }
            let mut seen = entry.seen_weights.borrow_mut();
            for weights in &report.weights {
                seen.note_shown(&id, weights.clone(), clock::now());
            }
            entry.load_changed.notify_one();
            Some(report)
        }
        Err(error) => {
            log::info!(upstream:% = id, cause:% = error; "no report");
            None
        }
    }
}

/// Reads an upstream's report and orders it to load weights, unless it has them.
async fn give(
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
    let has = report.weights.iter().find(|w| w.model == weights.model).map(|w| w.version);
    if has.is_some_and(|version| version >= weights.version) {
        return port::OrderReply::Accepted;
    }
    if report.is_busy {
        // It may be carrying out an order whose answer was lost; its report tells.
        return port::OrderReply::Accepted;
    }
    if let Some(upstream) = entry.upstreams.borrow_mut().get_mut(&id) {
        upstream.avoid_until = clock::now() + LOAD_AVOIDANCE;
    }
    entry.seen_weights.borrow_mut().note_loading(&id, clock::now() + LOAD_AVOIDANCE);
    entry.load_changed.notify_one();
    let order = port::Order {
        upstream: id.clone(),
        weights,
        holder: entry.settings.instance.clone(),
        fence,
        sequence: report.order_sequence,
    };
    let reply = entry.port.order(address, &order).await;
    log::info!(
        upstream:% = id, version = order.weights.version, fence:%, sequence = order.sequence,
        reply:?;
        "ordered to load weights"
    );
    // Without an answer the order may be carried out later, unless a newer one comes first.
    reply.unwrap_or(port::OrderReply::Accepted)
}
