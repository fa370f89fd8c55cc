//! Owns the limits of upstream groups under leases, and grants slots to all instances.

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

/// TTL of an owner's lease.
const LEASE_TTL: Millis = Millis::from_secs(3);
/// Age at which a lease is renewed.
const RENEW_INTERVAL: Millis = Millis::from_secs(1);
/// Mean interval between two checks of which leases to renew or acquire.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two attempts to acquire a lease that another instance holds.
const ACQUIRE_INTERVAL: Millis = Millis::from_secs(1);
/// Further time without an owner after which the instance of the next rank tries to acquire the
/// lease.
const RANK_DELAY: Millis = Millis::from_secs(4);
/// Timeout of a member's report of its requests in flight.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The groups whose limits this instance owns.
#[derive(Debug, Default)]
pub struct OwnedGroups {
    by_group: sync::Mutex<collections::BTreeMap<u16, OwnedGroup>>,
    /// Time of the last failed attempt to acquire the lease, by group; another owner is assumed
    /// then.
    last_owned_at: sync::Mutex<collections::BTreeMap<u16, Millis>>,
}

#[derive(Debug)]
struct OwnedGroup {
    lease: Lease,
    owner: admission::Owner,
}

impl OwnedGroups {
    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u16, OwnedGroup>> {
        self.by_group.lock().expect("no thread panics while it holds the lock")
    }

    /// Returns the groups whose lease is held.
    pub fn groups(&self, now: Millis) -> Vec<u16> {
        let by_group = self.lock();
        let held = by_group.iter().filter(|(_, owned)| owned.lease.is_held(now));
        held.map(|(group, _)| *group).collect()
    }

    /// Records an upstream's load report, if this instance owns its group.
    pub fn record_load(&self, upstream: &id::Upstream, load: &admission::Load) {
        if let Some(owned) = self.lock().get_mut(&admission::group(upstream)) {
            owned.owner.record_load(upstream, load);
        }
    }
}

/// Acquires and renews leases until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    loop {
        if !is_draining(&cx) {
            let mut checks = tokio::task::JoinSet::new();
            for group in groups_in_use(&cx) {
                checks.spawn(maintain_lease(cx.clone(), group));
            }
            while checks.join_next().await.is_some() {}
        }
        time::sleep(backoff::jittered(LEASE_CHECK_INTERVAL, 0.9..1.1)).await;
    }
}

/// Releases all leases.
pub async fn release(cx: &context::Context) {
    let by_group = std::mem::take(&mut *cx.slots.owned.lock());
    for owned in by_group.into_values() {
        owned.lease.release(cx).await;
    }
}

/// Grants a member's demand, or returns `None` if this instance does not own the group.
pub fn grant(
    cx: &context::Context,
    member: &id::Instance,
    request: &message::AllotmentRequest,
) -> Option<message::Allotments> {
    let now = cx.now();
    let mut by_group = cx.slots.owned.lock();
    let owned = by_group.get_mut(&request.group)?;
    if !owned.lease.is_held(now) {
        return None;
    }
    configure_owner(cx, request.group, &mut owned.owner);
    let mut grants = Vec::new();
    for demand in &request.entries {
        grants.extend(owned.owner.grant(member, demand, now));
    }
    Some(message::Allotments { fencing: owned.owner.fencing(), entries: grants })
}

/// Handles a peer's demand.
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

/// Reports the requests in flight to a new owner, and drops the allotments at cold upstreams.
pub fn handle_in_flight(
    cx: sync::Arc<context::Context>,
    _peer: id::Instance,
    request: message::Request,
) -> peer::ReplyFuture {
    Box::pin(async move {
        let message::Request::InFlight(group) = request else {
            return message::Reply::InFlight(Vec::new());
        };
        message::Reply::InFlight(report_in_flight(&cx, group))
    })
}

async fn maintain_lease(cx: sync::Arc<context::Context>, group: u16) {
    let held = cx.slots.owned.lock().get(&group).map(|owned| owned.lease.clone());
    match held {
        Some(lease) if lease.age(cx.now()) < RENEW_INTERVAL => {}
        Some(lease) => renew(&cx, group, lease).await,
        None if may_acquire(&cx, group) => acquire(&cx, group).await,
        None => {}
    }
}

async fn renew(cx: &sync::Arc<context::Context>, group: u16, mut lease: Lease) {
    // A renewal without a response leaves the lease unchanged until its expiry.
    let renewed = lease.renew(cx).await;
    if matches!(renewed, Ok(false)) || !lease.is_held(cx.now()) {
        log::warn!(group; "lost the limit owner's lease");
        cx.slots.owned.lock().remove(&group);
        return;
    }
    if let Some(owned) = cx.slots.owned.lock().get_mut(&group) {
        owned.lease = lease;
    }
    collect_reports(cx, group).await;
}

async fn acquire(cx: &sync::Arc<context::Context>, group: u16) {
    let lease = match Lease::acquire(cx, &format!("limit-owner/{group}"), LEASE_TTL).await {
        Ok(Some(lease)) => lease,
        Ok(None) => {
            record_other_owner(cx, group);
            return;
        }
        Err(error) => {
            log::debug!(group; "cannot acquire the limit owner's lease: {error}");
            record_other_owner(cx, group);
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
    configure_owner(cx, group, &mut owner);
    cx.slots.owned.lock().insert(group, OwnedGroup { lease, owner });
    collect_reports(cx, group).await;
    load::read_group(cx, group).await;
    cx.slots.demand_wake.notify_one();
}

/// Requests the reports of requests in flight from the members that have not reported yet.
async fn collect_reports(cx: &sync::Arc<context::Context>, group: u16) {
    let own = &cx.settings.instance.id;
    let missing: Vec<_> = {
        let by_group = cx.slots.owned.lock();
        let Some(owned) = by_group.get(&group) else {
            return;
        };
        owned.owner.unreported_members().cloned().collect()
    };
    let mut calls = tokio::task::JoinSet::new();
    for member in missing {
        if member == *own {
            let entries = report_in_flight(cx, group);
            record_report(cx, group, own, &entries);
            continue;
        }
        let cx = cx.clone();
        calls.spawn(async move {
            let call = peer::call(&cx, &member, message::Request::InFlight(group));
            let reply = time::timeout(REPORT_TIMEOUT, call).await;
            if let Ok(Ok(message::Reply::InFlight(entries))) = reply {
                record_report(&cx, group, &member, &entries);
            }
        });
    }
    while calls.join_next().await.is_some() {}
}

fn report_in_flight(cx: &context::Context, group: u16) -> Vec<message::InFlight> {
    let mut pool = cx.slots.pool();
    let entries = pool.in_flight(group);
    pool.drop_cold_allotments(group);
    let entry = |(upstream, boot, requests)| message::InFlight { upstream, boot, requests };
    entries.into_iter().map(entry).collect()
}

fn record_report(
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
    if let Some(owned) = cx.slots.owned.lock().get_mut(&group) {
        owned.owner.record_in_flight(member, &entries, now);
    }
}

fn configure_owner(cx: &context::Context, group: u16, owner: &mut admission::Owner) {
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

/// Returns whether it is this instance's turn to try to acquire the lease of a group.
///
/// The instances are ranked by hash per group. The first tries at every interval, the others only
/// after the group has had no owner for longer, so that the calls do not grow with the fleet.
fn may_acquire(cx: &context::Context, group: u16) -> bool {
    let now = cx.now();
    let score = |instance: &id::Instance| {
        xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), u64::from(group))
    };
    let own = score(&cx.settings.instance.id);
    let alive = roster::alive(cx);
    let rank = alive.iter().filter(|(instance, _)| score(instance) < own).count() as u64;
    let mut last_owned_at =
        cx.slots.owned.last_owned_at.lock().expect("no thread panics while it holds the lock");
    let since = *last_owned_at.entry(group).or_insert(now - ACQUIRE_INTERVAL);
    now.since(since) >= ACQUIRE_INTERVAL + Millis(RANK_DELAY.0 * rank)
}

fn record_other_owner(cx: &context::Context, group: u16) {
    let now = cx.now();
    let mut last_owned_at =
        cx.slots.owned.last_owned_at.lock().expect("no thread panics while it holds the lock");
    last_owned_at.insert(group, now);
}

fn is_draining(cx: &context::Context) -> bool {
    cx.lifecycle.phase() >= lifecycle::Phase::Draining
}
