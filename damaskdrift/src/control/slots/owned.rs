//! The groups whose limits this instance owns.

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::admission;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use tokio::time;
use xxhash_rust::xxh3;

use crate::backoff;
use crate::context;
use crate::control::lease::Lease;
use crate::control::lifecycle;
use crate::control::roster;
use crate::control::slots::{limits, load};
use crate::peer;
use crate::peer::message;

/// Life of an owner's lease.
const LEASE_LIFE: Millis = Millis::from_secs(3);
/// Time between two renewals of a lease.
const RENEW_INTERVAL: Millis = Millis::from_secs(1);
/// Time between two looks at which leases are due.
const TICK: Duration = Duration::from_millis(250);
/// Time between two tries for a lease that another instance holds.
const TRY_INTERVAL: Millis = Millis::from_secs(1);
/// Time without an owner after which the next instance in rank tries to take the lease.
const RANK_DELAY: Millis = Millis::from_secs(4);
/// Longest wait for a member's report of what it has in flight.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The groups whose limits this instance owns.
#[derive(Debug, Default)]
pub struct Owned {
    by_group: sync::Mutex<collections::BTreeMap<u16, Entry>>,
    /// When another owner was last seen, by group.
    seen: sync::Mutex<collections::BTreeMap<u16, Millis>>,
}

#[derive(Debug)]
struct Entry {
    lease: Lease,
    owner: admission::Owner,
}

impl Owned {
    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u16, Entry>> {
        self.by_group.lock().expect("no thread panics while it holds the lock")
    }

    /// Returns the groups whose lease is held.
    pub fn groups(&self, now: Millis) -> Vec<u16> {
        let entries = self.lock();
        let held = entries.iter().filter(|(_, entry)| entry.lease.is_held(now));
        held.map(|(group, _)| *group).collect()
    }

    /// Takes an upstream's load report.
    pub fn report_load(&self, upstream: &id::Upstream, load: &admission::Load) {
        if let Some(entry) = self.lock().get_mut(&admission::group(upstream)) {
            entry.owner.record_load(upstream, load);
        }
    }
}

/// Holds leases until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    loop {
        if !is_draining(&cx) {
            let mut keeping = tokio::task::JoinSet::new();
            for group in groups_in_use(&cx) {
                keeping.spawn(keep(cx.clone(), group));
            }
            while keeping.join_next().await.is_some() {}
        }
        time::sleep(backoff::jittered(TICK, 0.9..1.1)).await;
    }
}

/// Gives up all leases.
pub async fn release(cx: &context::Context) {
    let entries = std::mem::take(&mut *cx.slots.owned.lock());
    for entry in entries.into_values() {
        entry.lease.release(cx).await;
    }
}

/// Answers a demand if this instance owns the group.
pub fn grant(
    cx: &context::Context,
    member: &id::Instance,
    request: &message::AllotmentRequest,
) -> Option<message::Allotments> {
    let now = cx.now();
    let mut owned = cx.slots.owned.lock();
    let entry = owned.get_mut(&request.group)?;
    if !entry.lease.is_held(now) {
        return None;
    }
    configure(cx, request.group, &mut entry.owner);
    let mut entries = Vec::new();
    for demand in &request.entries {
        entries.extend(entry.owner.grant(member, demand, now));
    }
    Some(message::Allotments { fencing: entry.owner.fencing(), entries })
}

/// Answers a peer's demand.
pub fn handle_demands(
    cx: sync::Arc<context::Context>,
    peer: id::Instance,
    request: message::Request,
) -> peer::ReplyFuture {
    Box::pin(async move {
        let message::Request::Allotment(request) = request else {
            return message::Reply::NotOwner;
        };
        match grant(&cx, &peer, &request) {
            Some(allotments) => message::Reply::Allotments(allotments),
            None => message::Reply::NotOwner,
        }
    })
}

/// Tells a new owner what is in flight, and gives up the allotments of the last one.
pub fn handle_in_flight(
    cx: sync::Arc<context::Context>,
    _peer: id::Instance,
    request: message::Request,
) -> peer::ReplyFuture {
    Box::pin(async move {
        let message::Request::InFlight(group) = request else {
            return message::Reply::InFlight(Vec::new());
        };
        message::Reply::InFlight(report(&cx, group))
    })
}

async fn keep(cx: sync::Arc<context::Context>, group: u16) {
    let held = cx.slots.owned.lock().get(&group).map(|entry| entry.lease.clone());
    match held {
        Some(lease) if lease.age(cx.now()) < RENEW_INTERVAL => {}
        Some(lease) => renew(&cx, group, lease).await,
        None if may_take(&cx, group) => take(&cx, group).await,
        None => {}
    }
}

async fn renew(cx: &sync::Arc<context::Context>, group: u16, mut lease: Lease) {
    // An unanswered renewal leaves the lease as it was, until its end.
    let renewed = lease.renew(cx).await;
    if matches!(renewed, Ok(false)) || !lease.is_held(cx.now()) {
        log::warn!(group; "lost the limit owner's lease");
        cx.slots.owned.lock().remove(&group);
        return;
    }
    if let Some(entry) = cx.slots.owned.lock().get_mut(&group) {
        entry.lease = lease;
    }
    collect(cx, group).await;
}

async fn take(cx: &sync::Arc<context::Context>, group: u16) {
    let lease = match Lease::take(cx, &format!("limit-owner/{group}"), LEASE_LIFE).await {
        Ok(Some(lease)) => lease,
        Ok(None) => {
            note_owner(cx, group);
            return;
        }
        Err(error) => {
            log::debug!(group; "cannot take the limit owner's lease: {error}");
            note_owner(cx, group);
            return;
        }
    };
    let now = cx.now();
    let Some(members) = cx.membership().roster(now) else {
        lease.release(cx).await;
        return;
    };
    log::info!(group, fencing = lease.fencing().0; "took the limit owner's lease");
    let fleet_max = cx.settings.limits.fleet_max;
    let mut owner = admission::Owner::new(lease.fencing(), fleet_max, members, now);
    configure(cx, group, &mut owner);
    cx.slots.owned.lock().insert(group, Entry { lease, owner });
    collect(cx, group).await;
    load::read_group(cx, group).await;
    cx.slots.wanted.notify_one();
}

/// Collects what is in flight from the members that have not reported yet.
async fn collect(cx: &sync::Arc<context::Context>, group: u16) {
    let own = &cx.settings.instance.id;
    let missing: Vec<_> = {
        let entries = cx.slots.owned.lock();
        let Some(entry) = entries.get(&group) else {
            return;
        };
        entry.owner.unreported_members().cloned().collect()
    };
    let mut asking = tokio::task::JoinSet::new();
    for member in missing {
        if member == *own {
            let entries = report(cx, group);
            store_report(cx, group, own, &entries);
            continue;
        }
        let cx = cx.clone();
        asking.spawn(async move {
            let call = peer::call(&cx, &member, message::Request::InFlight(group));
            let reply = time::timeout(REPORT_TIMEOUT, call).await;
            if let Ok(Ok(message::Reply::InFlight(entries))) = reply {
                store_report(&cx, group, &member, &entries);
            }
        });
    }
    while asking.join_next().await.is_some() {}
}

fn report(cx: &context::Context, group: u16) -> Vec<message::InFlight> {
    let mut holder = cx.slots.holder();
    let entries = holder.in_flight(group);
    holder.drop_cold_allotments(group);
    let entry = |(upstream, boot, requests)| message::InFlight { upstream, boot, requests };
    entries.into_iter().map(entry).collect()
}

fn store_report(
    cx: &context::Context,
    group: u16,
    member: &id::Instance,
    entries: &[message::InFlight],
) {
    let entries: Vec<_> = entries
        .iter()
        .map(|entry| (entry.upstream.clone(), entry.boot.clone(), entry.requests))
        .collect();
    let now = cx.now();
    if let Some(entry) = cx.slots.owned.lock().get_mut(&group) {
        entry.owner.record_in_flight(member, &entries, now);
    }
}

fn configure(cx: &context::Context, group: u16, owner: &mut admission::Owner) {
    let fleet = cx.fleet.load();
    for (name, upstream) in &fleet.document.upstreams {
        if admission::group(name) != group {
            continue;
        }
        if let Some((cold, warm)) = limits(&upstream.kind) {
            owner.configure(name, cold, warm);
        }
    }
}

fn groups_in_use(cx: &context::Context) -> collections::BTreeSet<u16> {
    let fleet = cx.fleet.load();
    let limited = fleet.document.upstreams.iter().filter(|(_, u)| limits(&u.kind).is_some());
    limited.map(|(name, _)| admission::group(name)).collect()
}

/// Returns whether it is this instance's turn to try for the lease of a group.
///
/// The first in rank tries each time; the others only after the group had no owner for long, so
/// that the calls do not grow with the fleet.
fn may_take(cx: &context::Context, group: u16) -> bool {
    let now = cx.now();
    let score = |instance: &id::Instance| {
        xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), u64::from(group))
    };
    let own = score(&cx.settings.instance.id);
    let alive = roster::alive(cx);
    let rank = alive.iter().filter(|(instance, _)| score(instance) < own).count() as u64;
    let mut seen = cx.slots.owned.seen.lock().expect("no thread panics while it holds the lock");
    let since = *seen.entry(group).or_insert(now - TRY_INTERVAL);
    now.since(since) >= TRY_INTERVAL + Millis(RANK_DELAY.0 * rank)
}

fn note_owner(cx: &context::Context, group: u16) {
    let now = cx.now();
    let mut seen = cx.slots.owned.seen.lock().expect("no thread panics while it holds the lock");
    seen.insert(group, now);
}

fn is_draining(cx: &context::Context) -> bool {
    cx.lifecycle.phase() >= lifecycle::Phase::Draining
}
