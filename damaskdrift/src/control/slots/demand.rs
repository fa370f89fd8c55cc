//! Requests slots from the limit owners.

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::admission;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use tokio::time;

use crate::context;
use crate::control::roster;
use crate::control::slots::{limits, owner};
use crate::peer;
use crate::peer::message;

/// Interval between two demands of a group without waiting requests.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of a demand that a request triggers, so that concurrent requests share it.
const BATCH_DELAY: Duration = Duration::from_millis(1);
/// Timeout of a call to an owner, well below the allotment TTL of 2 s, which starts at the demand.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// The last known limit owner of each group.
#[derive(Debug, Default)]
pub struct KnownOwners {
    by_group: sync::Mutex<collections::BTreeMap<u16, KnownOwner>>,
}

#[derive(Debug, Default)]
struct KnownOwner {
    owner: Option<id::Instance>,
    /// Highest fencing token seen; grants with a lower one come from an earlier owner.
    fencing: id::FencingToken,
    /// Whether a demand is in progress; only one at a time is allowed, so that grants arrive in
    /// order.
    has_pending_demand: bool,
}

impl KnownOwners {
    fn get(&self, group: u16) -> Option<id::Instance> {
        self.lock().get(&group)?.owner.clone()
    }

    fn set(&self, group: u16, owner: Option<&id::Instance>) {
        self.lock().entry(group).or_default().owner = owner.cloned();
    }

    /// Returns whether a demand may begin, and if so records it as pending.
    fn begin_demand(&self, group: u16) -> bool {
        !std::mem::replace(&mut self.lock().entry(group).or_default().has_pending_demand, true)
    }

    fn end_demand(&self, group: u16) {
        self.lock().entry(group).or_default().has_pending_demand = false;
    }

    /// Records a fencing token, and returns whether it belongs to the latest known owner.
    fn accept(&self, group: u16, fencing: id::FencingToken) -> bool {
        let mut by_group = self.lock();
        let known = by_group.entry(group).or_default();
        known.fencing = known.fencing.max(fencing);
        known.fencing == fencing
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u16, KnownOwner>> {
        self.by_group.lock().expect("no thread panics while it holds the lock")
    }
}

/// Sends demands for slots until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut pauses = cx.pauses.subscribe();
    let mut configured_revision = id::Revision::default();
    loop {
        tokio::select! {
            () = time::sleep(DEMAND_INTERVAL) => {}
            () = cx.slots.demand_wake.notified() => time::sleep(BATCH_DELAY).await,
        }
        if pauses.has_changed().unwrap_or(false) {
            pauses.mark_unchanged();
            cx.slots.pool().drop_all_allotments();
        }
        configure_pool(&cx, &mut configured_revision);
        for group in 0..admission::GROUPS {
            if !cx.slots.owners.begin_demand(group) {
                continue;
            }
            let demands = cx.slots.pool().take_demands(group, cx.now());
            if demands.is_empty() {
                cx.slots.owners.end_demand(group);
                continue;
            }
            tokio::spawn(demand_slots(cx.clone(), group, demands));
        }
    }
}

fn configure_pool(cx: &context::Context, configured_revision: &mut id::Revision) {
    let fleet = cx.fleet.load();
    if std::mem::replace(configured_revision, fleet.revision) == fleet.revision {
        return;
    }
    for (name, upstream) in &fleet.document.upstreams {
        if let Some((cold, _)) = limits(&upstream.kind) {
            cx.slots.pool().configure(name, cold);
            // A request may have waited for an upstream that was not configured yet.
            cx.slots.freed(name).notify_waiters();
        }
    }
}

async fn demand_slots(
    cx: sync::Arc<context::Context>,
    group: u16,
    demands: Vec<admission::Demand>,
) {
    let requested_at = cx.now();
    let request = message::AllotmentRequest { group, entries: demands };
    let granted = send_demand(&cx, &request).await;
    cx.slots.pool().record_owner_reachable(group, granted.is_some());
    match granted {
        Some(granted) if cx.slots.owners.accept(group, granted.fencing) => {
            install_grants(&cx, &granted.entries, requested_at);
        }
        Some(_) => cx.slots.owners.set(group, None),
        None => metrics::counter!("damaskdrift_demands_without_owner_total").increment(1),
    }
    cx.slots.owners.end_demand(group);
}

fn install_grants(cx: &context::Context, grants: &[admission::Grant], requested_at: Millis) {
    for grant in grants {
        cx.slots.pool().install_grant(grant, requested_at);
        cx.slots.freed(&grant.upstream).notify_waiters();
    }
}

/// Sends a demand to the limit owner of its group, which may be this instance.
///
/// If the owner is unknown or does not grant the demand, sends it to all live peers and returns the
/// first grants.
async fn send_demand(
    cx: &sync::Arc<context::Context>,
    request: &message::AllotmentRequest,
) -> Option<message::Allotments> {
    let group = request.group;
    if let Some(granted) = owner::grant(cx, &cx.settings.instance.id, request) {
        return Some(granted);
    }
    if let Some(owner) = cx.slots.owners.get(group) {
        if let Some(granted) = call_owner(cx, &owner, request).await {
            return Some(granted);
        }
        cx.slots.owners.set(group, None);
    }
    let mut calls = tokio::task::JoinSet::new();
    for (peer, _) in roster::alive(cx) {
        if peer == cx.settings.instance.id {
            continue;
        }
        let (cx, request) = (cx.clone(), request.clone());
        calls.spawn(async move {
            call_owner(&cx, &peer, &request).await.map(|granted| (peer, granted))
        });
    }
    while let Some(result) = calls.join_next().await {
        let Ok(Some((owner, granted))) = result else {
            continue;
        };
        cx.slots.owners.set(group, Some(&owner));
        return Some(granted);
    }
    None
}

async fn call_owner(
    cx: &sync::Arc<context::Context>,
    owner: &id::Instance,
    request: &message::AllotmentRequest,
) -> Option<message::Allotments> {
    let request = message::Request::Allotment(request.clone());
    let reply = time::timeout(REPLY_TIMEOUT, peer::call(cx, owner, request)).await;
    match reply {
        Ok(Ok(message::Reply::Allotments(allotments))) => Some(allotments),
        _ => None,
    }
}
