//! Asks the limit owners for slots.

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::admission;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use tokio::time;

use crate::context;
use crate::control::roster;
use crate::control::slots::{limits, owned};
use crate::peer;
use crate::peer::message;

/// Time between two demands of a group that has no waiting request.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time in which further requests join a demand that one request caused.
const GATHER: Duration = Duration::from_millis(1);
/// Longest wait for an owner's reply; an allotment lives two seconds from the demand.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of the owner of each group.
#[derive(Debug, Default)]
pub struct Owners {
    by_group: sync::Mutex<collections::BTreeMap<u16, Known>>,
}

#[derive(Debug, Default)]
struct Known {
    owner: Option<id::Instance>,
    /// Highest fencing number seen; grants with a lower one come from an earlier owner.
    fencing: id::FencingToken,
    /// Whether a demand is under way; there is one at a time, so that grants cannot overtake
    /// each other.
    is_asking: bool,
}

impl Owners {
    fn get(&self, group: u16) -> Option<id::Instance> {
        self.lock().get(&group)?.owner.clone()
    }

    fn set(&self, group: u16, owner: Option<&id::Instance>) {
        self.lock().entry(group).or_default().owner = owner.cloned();
    }

    /// Notes that a demand begins, unless one is under way.
    fn begin(&self, group: u16) -> bool {
        !std::mem::replace(&mut self.lock().entry(group).or_default().is_asking, true)
    }

    fn end(&self, group: u16) {
        self.lock().entry(group).or_default().is_asking = false;
    }

    /// Returns whether grants with a fencing number are from the latest owner known.
    fn accept(&self, group: u16, fencing: id::FencingToken) -> bool {
        let mut by_group = self.lock();
        let known = by_group.entry(group).or_default();
        known.fencing = known.fencing.max(fencing);
        known.fencing == fencing
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u16, Known>> {
        self.by_group.lock().expect("no thread panics while it holds the lock")
    }
}

/// Asks for slots until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut pauses = cx.pauses.subscribe();
    let mut configured = id::Revision::default();
    loop {
        tokio::select! {
            () = time::sleep(INTERVAL) => {}
            () = cx.slots.wanted.notified() => time::sleep(GATHER).await,
        }
        if pauses.has_changed().unwrap_or(false) {
            pauses.mark_unchanged();
            cx.slots.holder().drop_all_allotments();
        }
        configure(&cx, &mut configured);
        for group in 0..admission::GROUPS {
            if !cx.slots.owners.begin(group) {
                continue;
            }
            let demands = cx.slots.holder().take_demands(group, cx.now());
            if demands.is_empty() {
                cx.slots.owners.end(group);
                continue;
            }
            tokio::spawn(ask(cx.clone(), group, demands));
        }
    }
}

fn configure(cx: &context::Context, configured: &mut id::Revision) {
    let fleet = cx.fleet.load();
    if std::mem::replace(configured, fleet.revision) == fleet.revision {
        return;
    }
    for (name, upstream) in &fleet.document.upstreams {
        if let Some((cold, _)) = limits(&upstream.kind) {
            cx.slots.holder().configure(name, cold);
            // A request may have waited for an upstream that was not configured yet.
            cx.slots.freed(name).notify_waiters();
        }
    }
}

async fn ask(cx: sync::Arc<context::Context>, group: u16, demands: Vec<admission::Demand>) {
    let asked = cx.now();
    let request = message::AllotmentRequest { group, entries: demands };
    let granted = find_grants(&cx, &request).await;
    cx.slots.holder().record_owner_reachable(group, granted.is_some());
    match granted {
        Some(granted) if cx.slots.owners.accept(group, granted.fencing) => {
            install(&cx, &granted.entries, asked);
        }
        Some(_) => cx.slots.owners.set(group, None),
        None => metrics::counter!("damaskdrift_demands_without_owner_total").increment(1),
    }
    cx.slots.owners.end(group);
}

fn install(cx: &context::Context, grants: &[admission::Grant], asked: Millis) {
    for grant in grants {
        cx.slots.holder().install_grant(grant, asked);
        cx.slots.freed(&grant.upstream).notify_waiters();
    }
}

async fn find_grants(
    cx: &sync::Arc<context::Context>,
    request: &message::AllotmentRequest,
) -> Option<message::Allotments> {
    let group = request.group;
    if let Some(granted) = owned::grant(cx, &cx.settings.instance.id, request) {
        return Some(granted);
    }
    if let Some(owner) = cx.slots.owners.get(group) {
        if let Some(granted) = call(cx, &owner, request).await {
            return Some(granted);
        }
        cx.slots.owners.set(group, None);
    }
    let mut asking = tokio::task::JoinSet::new();
    for (peer, _) in roster::alive(cx) {
        if peer == cx.settings.instance.id {
            continue;
        }
        let (cx, request) = (cx.clone(), request.clone());
        asking
            .spawn(async move { call(&cx, &peer, &request).await.map(|granted| (peer, granted)) });
    }
    while let Some(answer) = asking.join_next().await {
        let Ok(Some((owner, granted))) = answer else {
            continue;
        };
        cx.slots.owners.set(group, Some(&owner));
        return Some(granted);
    }
    None
}

async fn call(
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
