//! Follows the platform's store: configuration, upstreams, instances and duties.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::entry::clock;
use crate::entry::follower;
use crate::entry::port;
use crate::entry::state;
use crate::peer::message;

/// How long a watch waits without a change. Its end confirms the configuration, so it bounds how
/// late silence of the store is noticed.
const WATCH_WAIT: Millis = Millis(1_500);
/// The same for a relay. A confirmation is as old as the watch that brought it, and the next one is
/// as far away, so others that rely on it see up to twice this age.
const RELAY_WATCH_WAIT: Millis = Millis(700);
/// Pause after a watch with changes, so that changes in quick succession share a call.
const WATCH_PACE: Duration = Duration::from_millis(60);
/// What each instance that watches adds to that pause, since every change wakes them all.
const WATCH_PACE_PER_WATCHER: Duration = Duration::from_millis(5);
/// Longest such pause: a quarter of the shortest bound within which a change has to take effect.
const LONGEST_WATCH_PACE: Duration = Duration::from_millis(500);
/// Pauses after a failed call of the store, doubled up to the longer one.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));
/// Longest pause of an instance that also hears from relays.
const LEAF_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// How often an instance that hears from relays looks whether they are still confirmed.
const RELAY_CHECK_PACE: Duration = Duration::from_millis(100);
/// Time after the store's return in which a live upstream whose entry lapsed registers again.
const REGISTER_AGAIN: Millis = Millis(2_000);

/// What is known of the store's reachability.
struct Link {
    is_up: bool,
    restored: Millis,
    /// Upstreams whose entries lapsed with the store, and when they count as gone.
    lapsed: BTreeMap<id::Upstream, Millis>,
}

/// Why an instance stopped following its relays.
enum Interrupted {
    /// It is no longer confirmed that the installed revision is the newest.
    Unconfirmed,
    /// Changes in between are missing.
    Gap,
}

/// Follows the store until the process ends.
pub async fn run(entry: Rc<state::Entry>, mut changes: mpsc::Receiver<message::Changes>) {
    let mut link = Link { is_up: true, restored: Millis(0), lapsed: BTreeMap::new() };
    let mut pause = RETRY_PAUSE.0;
    loop {
        let asked = clock::now();
        match entry.port.list().await {
            Ok(batch) => {
                link.set_up(true, "list");
                pause = RETRY_PAUSE.0;
                let present = apply(&entry, &mut link, &batch.items);
                retain(&entry, &mut link, &present);
                entry.follower.revision.set(batch.revision.max(entry.follower.revision.get()));
                entry.confirm(asked);
                follow(&entry, &mut link, &mut changes).await;
            }
            Err(error) => {
                link.set_up(false, &error.to_string());
                apply_relayed_for(&entry, &mut link, &mut changes, pause).await;
                pause = (pause * 2).min(longest_pause(&entry));
            }
        }
    }
}

/// Returns the longest pause between two failed calls of the store. A relay may confirm
/// the configuration meanwhile, so a leaf asks less often.
fn longest_pause(entry: &state::Entry) -> Duration {
    match entry.layout().role {
        membership::Role::Leaf => LEAF_RETRY_PAUSE,
        membership::Role::Mesh | membership::Role::Relay => RETRY_PAUSE.1,
    }
}

/// Applies changes that relays pass on while the store itself cannot be read.
async fn apply_relayed_for(
    entry: &Rc<state::Entry>,
    link: &mut Link,
    changes: &mut mpsc::Receiver<message::Changes>,
    pause: Duration,
) {
    let until = Instant::now() + pause;
    while let Ok(Some(relayed)) = tokio::time::timeout_at(until, changes.recv()).await {
        if apply_relayed(entry, link, &relayed).is_err() {
            return;
        }
    }
    if relies_on_relays(entry) {
        // Relays reach the store although this instance does not.
        follow_relays(entry, link, changes).await;
    }
}

/// Follows the store from the installed revision on until it has to be read anew.
async fn follow(
    entry: &Rc<state::Entry>,
    link: &mut Link,
    changes: &mut mpsc::Receiver<message::Changes>,
) {
    loop {
        if relies_on_relays(entry) {
            match follow_relays(entry, link, changes).await {
                // The store itself tells whether this instance or its relays have lost it.
                Interrupted::Unconfirmed => {}
                Interrupted::Gap => return,
            }
        }
        let asked = clock::now();
        let before = entry.follower.revision.get();
        let wait = match entry.layout().role {
            membership::Role::Relay => RELAY_WATCH_WAIT,
            membership::Role::Mesh | membership::Role::Leaf => WATCH_WAIT,
        };
        match entry.port.watch(before, wait).await {
            Ok(batch) => {
                let is_change = !batch.items.is_empty();
                apply(entry, link, &batch.items);
                pass_on(entry, link, before, &batch);
                entry.follower.revision.set(before.max(batch.revision));
                entry.confirm(asked);
                link.expire(entry);
                if is_change {
                    let watchers = u32::try_from(entry.layout().watchers).unwrap_or(u32::MAX);
                    let pace = WATCH_PACE + WATCH_PACE_PER_WATCHER.saturating_mul(watchers);
                    tokio::time::sleep(pace.min(LONGEST_WATCH_PACE)).await;
                }
            }
            Err(port::StoreError::HistoryLost) => {
                let revision = before;
                log::info!(revision; "the store has dropped its history; reading everything again");
                return;
            }
            Err(error) => {
                // A cut watch alone does not show that the store is away: the list tells.
                log::info!(cause:% = error; "watch of the store ended");
                return;
            }
        }
    }
}

/// Follows the store through relays until they no longer confirm the installed revision.
async fn follow_relays(
    entry: &Rc<state::Entry>,
    link: &mut Link,
    changes: &mut mpsc::Receiver<message::Changes>,
) -> Interrupted {
    loop {
        tokio::select! {
            relayed = changes.recv() => {
                let Some(relayed) = relayed else {
                    return Interrupted::Unconfirmed;
                };
                if let Err(interrupted) = apply_relayed(entry, link, &relayed) {
                    return interrupted;
                }
            }
            () = entry.follower.must_read.notified() => return Interrupted::Gap,
            () = tokio::time::sleep(RELAY_CHECK_PACE) => {}
        }
        link.expire(entry);
        if !relies_on_relays(entry) {
            return Interrupted::Unconfirmed;
        }
    }
}

/// Returns whether this instance may wait for its relays.
fn relies_on_relays(entry: &state::Entry) -> bool {
    let age = entry.confirmed.get().map(|at| clock::now().since(at));
    entry.layout().role == membership::Role::Leaf
        && age.is_some_and(|age| age < follower::RELAY_SILENCE)
}

/// Applies changes that a relay passed on.
fn apply_relayed(
    entry: &Rc<state::Entry>,
    link: &mut Link,
    relayed: &message::Changes,
) -> Result<(), Interrupted> {
    let revision = entry.follower.revision.get();
    let (from, to) = relayed.range;
    if to <= revision {
        return Ok(());
    }
    if from > revision {
        log::info!(revision, from; "changes of the store are missing; reading everything again");
        return Err(Interrupted::Gap);
    }
    if let Some(ago_ms) = relayed.restored_ago_ms {
        link.restored = link.restored.max(clock::now() - Millis(ago_ms));
    }
    let mut items = Vec::new();
    for (key, value, at) in &relayed.items {
        if *at > revision {
            items.push(port::Item { key: key.clone(), value: value.clone(), revision: *at });
        }
    }
    apply(entry, link, &items);
    entry.follower.revision.set(to);
    Ok(())
}

/// Passes changes on to the instances that this one is a relay of.
fn pass_on(entry: &state::Entry, link: &Link, before: u64, batch: &port::Batch) {
    if entry.layout().role != membership::Role::Relay || batch.revision <= before {
        return;
    }
    let mut items = Vec::with_capacity(batch.items.len());
    for item in &batch.items {
        items.push((item.key.clone(), item.value.clone(), item.revision));
    }
    let restored_ago_ms = (link.restored > Millis(0)).then(|| clock::now().since(link.restored).0);
    let range = (before, batch.revision);
    let changes = message::Changes { range, items, restored_ago_ms };
    let frame = Rc::new(message::Frame::Changes(changes));
    entry.follower.record(frame.clone());
    // Without a connected peer there is nobody to tell.
    let _ = entry.relayed.send(frame);
}

/// What a full read of the store listed.
#[derive(Default)]
struct Present {
    upstreams: BTreeSet<id::Upstream>,
    instances: BTreeSet<id::Instance>,
    out: BTreeSet<id::FailureDomain>,
    has_duty: bool,
}

fn apply(entry: &state::Entry, link: &mut Link, items: &[port::Item]) -> Present {
    let mut present = Present::default();
    for item in items {
        let Some(change) = entry.port.decode_item(item) else {
            continue;
        };
        match change {
            port::Change::Config(document) => install(entry, *document),
            port::Change::Upstream(record) => {
                present.upstreams.insert(record.id.clone());
                link.lapsed.remove(&record.id);
                install_upstream(entry, record);
            }
            port::Change::UpstreamGone(id) => link.remove(entry, id),
            port::Change::Weights(weights) => name_weights(entry, weights),
            port::Change::DomainOut(domain, is_out) => {
                log::info!(domain:%, is_out; "failure domain changed by operators");
                let mut out = entry.out.borrow_mut();
                if is_out {
                    present.out.insert(domain.clone());
                    out.insert(domain);
                } else {
                    out.remove(&domain);
                }
            }
            port::Change::Instance(instance, registration) => {
                log::info!(instance:%, registration:?; "instance changed");
                if registration.is_some() {
                    present.instances.insert(instance.clone());
                }
                entry.set_instance(instance, registration);
            }
            port::Change::Duty(holder) => {
                log::info!(holder:? = holder.as_ref().map(|(id, fence)| (id.as_str(), fence.0)); "duty changed");
                present.has_duty = holder.is_some();
                *entry.duty.borrow_mut() = holder;
            }
            port::Change::Unreadable(key, reason) => {
                metrics::counter!("entries_unreadable").increment(1);
                log::warn!(key, reason; "entry of the store skipped");
            }
        }
    }
    present
}

/// Drops what a full read of the store no longer listed.
fn retain(entry: &state::Entry, link: &mut Link, present: &Present) {
    let known = entry.upstreams.borrow().ids();
    for id in known {
        if !present.upstreams.contains(&id) {
            link.remove(entry, id);
        }
    }
    entry.set_instances(&present.instances);
    entry.out.borrow_mut().retain(|domain| present.out.contains(domain));
    if !present.has_duty {
        *entry.duty.borrow_mut() = None;
    }
}

fn install(entry: &state::Entry, document: routing::Document) {
    let version = document.version;
    let before = entry.table.borrow().as_ref().map(|table| table.version);
    if before.is_some_and(|before| version <= before) {
        return;
    }
    entry.stores.borrow_mut().install(&document.cache_stores);
    *entry.table.borrow_mut() = Some(Rc::new(routing::Table::new(document)));
    log::info!(version, before:?; "configuration installed");
}

fn install_upstream(entry: &state::Entry, record: balance::Record) {
    let table = entry.table.borrow();
    let service = table.as_ref().and_then(|table| table.service(&record.service));
    // Upstreams found at the start of this instance were mostly there before.
    let span = match entry.confirmed.get() {
        Some(_) => service.map_or(Millis(0), |service| service.cold_start.duration),
        None => Millis(0),
    };
    let mut upstreams = entry.upstreams.borrow_mut();
    let before = upstreams.get(&record.id).map(|u| (u.record.is_draining, u.record.started_at));
    if before != Some((record.is_draining, record.started_at)) {
        log::info!(
            upstream:% = record.id, service:% = record.service, address:% = record.address,
            is_leaving = record.is_draining, cold_ms = record.cold_remaining.0;
            "upstream listed"
        );
    }
    upstreams.install(record, span, clock::now());
}

fn name_weights(entry: &state::Entry, weights: balance::Weights) {
    let mut named = entry.named.borrow_mut();
    let newest = named.entry(weights.model.clone()).or_insert((0, Millis(0)));
    if weights.version > newest.0 {
        log::info!(model:% = weights.model, version = weights.version; "new weights named");
        *newest = (weights.version, clock::now());
    }
}

impl Link {
    fn set_up(&mut self, is_up: bool, cause: &str) {
        if self.is_up == is_up {
            return;
        }
        self.is_up = is_up;
        if is_up {
            self.restored = clock::now();
            log::info!("the platform's store is reached again");
        } else {
            log::warn!(cause; "the platform's store cannot be reached");
        }
    }

    /// Takes an upstream off whose entry is gone. Entries that lapsed while the store was away
    /// stay in use for the time in which live upstreams register again.
    fn remove(&mut self, entry: &state::Entry, id: id::Upstream) {
        let until = self.restored + REGISTER_AGAIN;
        if self.restored > Millis(0) && clock::now() < until {
            log::info!(upstream:% = id; "entry lapsed with the store");
            self.lapsed.entry(id).or_insert(until);
        } else if entry.upstreams.borrow_mut().remove(&id) {
            log::info!(upstream:% = id; "upstream gone");
        }
    }

    /// Takes off the upstreams that did not register again in time.
    fn expire(&mut self, entry: &state::Entry) {
        let now = clock::now();
        let due: Vec<_> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.lapsed.remove(&id);
            if entry.upstreams.borrow_mut().remove(&id) {
                log::info!(upstream:% = id; "upstream did not register again");
            }
        }
    }
}
