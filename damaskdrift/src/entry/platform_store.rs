//! Follows the platform store and applies its changes to the state of the instance.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::balance;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::rollout;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::entry::clock;
use crate::entry::duties;
use crate::entry::follower;
use crate::entry::port;
use crate::entry::quarantine_record;
use crate::entry::state;
use crate::peer::message;

/// How long a watch waits for a change. Its end confirms the configuration, so it also limits how
/// late an unreachable store is noticed.
const WATCH_WAIT: Millis = Millis(1_500);
/// Watch wait of a relay. A confirmation is as old as the watch that returned it, and the next one
/// takes as long again, so leaves that rely on it see up to twice this age.
const RELAY_WATCH_WAIT: Millis = Millis(700);
/// Pause after a watch that returned changes, so that changes in quick succession share a call.
const WATCH_PAUSE: Duration = Duration::from_millis(60);
/// Addition to the pause for each watching instance, since every change wakes all of them.
const WATCH_PAUSE_PER_WATCHER: Duration = Duration::from_millis(5);
/// Maximum of this pause: a quarter of the shortest limit for a change to take effect.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// First and maximum pause between failed calls to the store; it doubles in between.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));
/// Maximum pause between failed calls of a leaf, which also receives changes from relays.
const MAX_LEAF_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// How often a leaf checks whether its relays still confirm the configuration.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a list that got no response is requested once more. A request that was sent just
/// before the store returned may never get one, and the return has to be noticed soon.
const LIST_REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of lists that are requested at the same time.
const MAX_CONCURRENT_LISTS: usize = 3;

/// Age of the latest confirmation up to which changes count as made just now. With an older one the
/// instance was paused or cut off, and the changes may have waited as long.
const MAX_CHANGE_DELAY: Millis = Millis(2 * WATCH_WAIT.0);
/// Time for which an instance that has just started may send requests to upstreams with weights
/// older than the target version that it finds. Within it, instances that have been running report
/// when the version was set.
const UNKNOWN_TARGET_ALLOWANCE: Millis = Millis(2_500);
/// Time after the completion of a rollout by which upstreams with the old software have ended. They
/// stop when the status is written.
const OLD_SOFTWARE_END: Millis = Millis(1_000);

/// Reason to stop following relays.
enum Interrupted {
    /// The relays no longer confirm that the installed revision is the newest.
    Unconfirmed,
    /// Changes after the installed revision are missing.
    Gap,
}

/// Follows the platform store until the process ends.
pub async fn run(entry: Rc<state::Entry>, mut relayed_changes: mpsc::Receiver<message::Changes>) {
    let mut reachability = config_sync::Reachability::default();
    let mut pause = RETRY_PAUSE.0;
    loop {
        match list(&entry, &mut reachability).await {
            Ok((requested_at, batch)) => {
                if reachability.record_reached(clock::now()) {
                    log::info!("the platform's store is reached again");
                }
                pause = RETRY_PAUSE.0;
                let listed = apply(&entry, &mut reachability, &batch.items, Source::List);
                remove_unlisted(&entry, &mut reachability, &listed);
                entry.follower.revision.set(batch.revision.max(entry.follower.revision.get()));
                entry.record_confirmation(requested_at);
                follow(&entry, &mut reachability, &mut relayed_changes).await;
            }
            Err((requested_at, error)) => {
                record_unreached(&mut reachability, requested_at, &error.to_string());
                apply_relayed_for(&entry, &mut reachability, &mut relayed_changes, pause).await;
                pause = (pause * 2).min(max_retry_pause(&entry));
            }
        }
    }
}

/// Lists the store and returns when the list was requested.
///
/// If the store was followed before, a list that gets no response is requested again meanwhile.
async fn list(
    entry: &state::Entry,
    reachability: &mut config_sync::Reachability,
) -> Result<(Millis, port::Batch), (Millis, port::StoreError)> {
    let was_followed = entry.config_confirmed_at.get().is_some();
    let mut lists = FuturesUnordered::new();
    loop {
        let requested_at = clock::now();
        lists.push(async move {
            let result = entry.port.list().await;
            result.map(|batch| (requested_at, batch)).map_err(|error| (requested_at, error))
        });
        let may_repeat = was_followed && lists.len() < MAX_CONCURRENT_LISTS;
        tokio::select! {
            // A response that has arrived counts, however late this task runs.
            biased;
            Some(result) = lists.next() => return result,
            () = tokio::time::sleep(LIST_REPEAT_INTERVAL), if may_repeat => {
                record_unreached(reachability, requested_at, "no response yet");
            }
        }
    }
}

fn record_unreached(
    reachability: &mut config_sync::Reachability,
    requested_at: Millis,
    cause: &str,
) {
    if reachability.record_unreached(requested_at) {
        log::warn!(cause; "the platform's store cannot be reached");
    }
}

/// Returns the maximum pause between failed calls to the store.
///
/// It is longer for a leaf, since relays may confirm the configuration in the meantime.
fn max_retry_pause(entry: &state::Entry) -> Duration {
    match entry.layout().role {
        membership::Role::Leaf => MAX_LEAF_RETRY_PAUSE,
        membership::Role::Mesh | membership::Role::Relay => RETRY_PAUSE.1,
    }
}

/// Applies relayed changes for the duration of a pause while the store is unreachable.
async fn apply_relayed_for(
    entry: &Rc<state::Entry>,
    reachability: &mut config_sync::Reachability,
    relayed_changes: &mut mpsc::Receiver<message::Changes>,
    pause: Duration,
) {
    let until = Instant::now() + pause;
    while let Ok(Some(changes)) = tokio::time::timeout_at(until, relayed_changes.recv()).await {
        if apply_relayed(entry, reachability, &changes).is_err() {
            return;
        }
    }
    if relies_on_relays(entry) {
        // Relays reach the store although this instance does not.
        follow_relays(entry, reachability, relayed_changes).await;
    }
}

/// Follows the store from the installed revision until it has to be listed again.
async fn follow(
    entry: &Rc<state::Entry>,
    reachability: &mut config_sync::Reachability,
    relayed_changes: &mut mpsc::Receiver<message::Changes>,
) {
    loop {
        if relies_on_relays(entry) {
            match follow_relays(entry, reachability, relayed_changes).await {
                // The watch below shows whether this instance can reach the store itself.
                Interrupted::Unconfirmed => {}
                Interrupted::Gap => return,
            }
        }
        let requested_at = clock::now();
        let before = entry.follower.revision.get();
        let wait = match entry.layout().role {
            membership::Role::Relay => RELAY_WATCH_WAIT,
            membership::Role::Mesh | membership::Role::Leaf => WATCH_WAIT,
        };
        let until_removal = reachability.removal_due_at().map(|at| at.since(requested_at));
        match entry.port.watch(before, until_removal.map_or(wait, |left| left.min(wait))).await {
            Ok(batch) => {
                let has_changes = !batch.items.is_empty();
                apply(entry, reachability, &batch.items, Source::Changes);
                relay(entry, reachability, before, &batch);
                entry.follower.revision.set(before.max(batch.revision));
                entry.record_confirmation(requested_at);
                remove_missing(entry, reachability);
                if has_changes {
                    let watchers = u32::try_from(entry.layout().watchers).unwrap_or(u32::MAX);
                    let pause = WATCH_PAUSE + WATCH_PAUSE_PER_WATCHER.saturating_mul(watchers);
                    let due_at = reachability.removal_due_at();
                    let until_removal = due_at.map(|at| at.since(clock::now()).into());
                    let pause = pause.min(until_removal.unwrap_or(MAX_WATCH_PAUSE));
                    tokio::time::sleep(pause.min(MAX_WATCH_PAUSE)).await;
                }
            }
            Err(port::StoreError::HistoryLost) => {
                let revision = before;
                log::info!(revision; "platform store compacted its history; listing it again");
                return;
            }
            Err(error) => {
                // A failed watch alone does not mean that the store is down; the list shows it.
                log::info!(cause:% = error; "watch of the platform store failed");
                return;
            }
        }
    }
}

/// Follows the store through relays until they no longer confirm the installed revision.
async fn follow_relays(
    entry: &Rc<state::Entry>,
    reachability: &mut config_sync::Reachability,
    relayed_changes: &mut mpsc::Receiver<message::Changes>,
) -> Interrupted {
    loop {
        tokio::select! {
            changes = relayed_changes.recv() => {
                let Some(changes) = changes else {
                    return Interrupted::Unconfirmed;
                };
                if let Err(interrupted) = apply_relayed(entry, reachability, &changes) {
                    return interrupted;
                }
            }
            () = entry.follower.must_relist.notified() => return Interrupted::Gap,
            () = tokio::time::sleep(RELAY_CHECK_INTERVAL) => {}
        }
        remove_missing(entry, reachability);
        if !relies_on_relays(entry) {
            return Interrupted::Unconfirmed;
        }
    }
}

/// Returns whether this instance may rely on relays instead of watching the store.
fn relies_on_relays(entry: &state::Entry) -> bool {
    let age = entry.config_confirmed_at.get().map(|at| clock::now().since(at));
    entry.layout().role == membership::Role::Leaf
        && age.is_some_and(|age| age < follower::RELAY_CONFIRMATION_TTL)
}

/// Applies changes received from a relay.
fn apply_relayed(
    entry: &Rc<state::Entry>,
    reachability: &mut config_sync::Reachability,
    changes: &message::Changes,
) -> Result<(), Interrupted> {
    let revision = entry.follower.revision.get();
    let (from, to) = changes.range;
    if to <= revision {
        return Ok(());
    }
    if from > revision {
        log::info!(revision, from; "changes of the store are missing; listing it again");
        return Err(Interrupted::Gap);
    }
    if let Some(ago_ms) = changes.restored_ago_ms {
        reachability.record_relayed_return(clock::now() - Millis(ago_ms));
    }
    let mut items = Vec::new();
    for (key, value, at) in &changes.items {
        if *at > revision {
            items.push(port::Item { key: key.clone(), value: value.clone(), revision: *at });
        }
    }
    apply(entry, reachability, &items, Source::Changes);
    entry.follower.revision.set(to);
    Ok(())
}

/// Sends changes to the leaves if this instance is a relay.
fn relay(
    entry: &state::Entry,
    reachability: &config_sync::Reachability,
    before: u64,
    batch: &port::Batch,
) {
    if entry.layout().role != membership::Role::Relay || batch.revision <= before {
        return;
    }
    let mut items = Vec::with_capacity(batch.items.len());
    for item in &batch.items {
        items.push((item.key.clone(), item.value.clone(), item.revision));
    }
    let restored_ago_ms = reachability.returned_at().map(|at| clock::now().since(at).0);
    for (range, items) in message::split_changes((before, batch.revision), items) {
        let changes = message::Changes { range, items, restored_ago_ms };
        let frame = Rc::new(message::Frame::Changes(changes));
        entry.follower.retain(frame.clone());
        // Sending fails only while no peer is connected.
        let _ = entry.relay_tx.send(frame);
    }
}

/// Where items of the store come from.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Source {
    /// A list, which does not show when the items were written.
    List,
    /// Changes, which arrive shortly after they were made while the store is followed.
    Changes,
}

/// Contents of a list of the store.
#[derive(Default)]
struct Listed {
    upstreams: BTreeSet<id::Upstream>,
    instances: BTreeSet<id::Instance>,
    out_of_service: BTreeSet<id::FailureDomain>,
    rollouts: BTreeSet<id::Service>,
    has_leader: bool,
    has_quarantine: bool,
    has_duty_record: bool,
}

/// Applies items of the store and returns what they list.
fn apply(
    entry: &state::Entry,
    reachability: &mut config_sync::Reachability,
    items: &[port::Item],
    source: Source,
) -> Listed {
    let mut listed = Listed::default();
    // Applied together, since each change of the fleet lays it out anew.
    let mut registrations = Vec::new();
    for item in items {
        let Some(change) = entry.port.decode_item(item) else {
            continue;
        };
        let change = match change {
            port::Change::Unreadable { key, reason, removal } => {
                metrics::counter!("entries_unreadable").increment(1);
                log::warn!(key, reason; "unreadable entry of the platform store");
                match removal {
                    Some(removal) => *removal,
                    None => continue,
                }
            }
            change => change,
        };
        match change {
            port::Change::Config(document) => install(entry, *document),
            port::Change::Upstream(record) => {
                listed.upstreams.insert(record.id.clone());
                reachability.record_listed(&record.id);
                install_upstream(entry, record);
            }
            port::Change::UpstreamRemoved(id) => remove_upstream(entry, reachability, id),
            port::Change::TargetWeights(weights) => set_target_version(entry, weights, source),
            port::Change::DomainOutOfService(domain, is_out) => {
                log::info!(domain:%, is_out; "failure domain changed by operators");
                let mut out_of_service = entry.out_of_service.borrow_mut();
                if is_out {
                    listed.out_of_service.insert(domain.clone());
                    out_of_service.insert(domain);
                } else {
                    out_of_service.remove(&domain);
                }
            }
            port::Change::RolloutOrder(service, order) => {
                if order.is_some() {
                    listed.rollouts.insert(service.clone());
                }
                let mut rollouts = entry.rollouts.borrow_mut();
                let rng = &mut *entry.rng.borrow_mut();
                rollouts.set_order(service, order, clock::now(), rng);
            }
            port::Change::RolloutStatus(service, status) => {
                let is_completed = status
                    .as_ref()
                    .is_some_and(|status| status.state == rollout::TrialState::Completed);
                if is_completed && source == Source::Changes {
                    let from = clock::now() + OLD_SOFTWARE_END;
                    entry.quarantine.record_new_software(service.clone(), from);
                }
                entry.rollouts.borrow_mut().set_status(service, status, clock::now());
            }
            port::Change::Quarantine(record) => {
                listed.has_quarantine = record.is_some();
                quarantine_record::apply(entry, record.as_ref());
            }
            port::Change::Instance(instance, registration) => {
                if registration.is_some() {
                    listed.instances.insert(instance.clone());
                }
                registrations.push((instance, registration));
            }
            port::Change::Leader(leader) => {
                let current = leader.as_ref().map(|(id, fence)| (id.as_str(), fence.0));
                log::info!(holder:? = current; "leader changed");
                listed.has_leader = leader.is_some();
                *entry.leader.borrow_mut() = leader;
            }
            port::Change::DutyRecord(change) => {
                listed.has_duty_record = change.revision > 0;
                duties::set_record(entry, change);
            }
            // A removal is always readable.
            port::Change::Unreadable { .. } => {}
        }
    }
    entry.update_instances(registrations);
    listed
}

/// Removes what a list of the store no longer contains.
fn remove_unlisted(
    entry: &state::Entry,
    reachability: &mut config_sync::Reachability,
    listed: &Listed,
) {
    let known = entry.upstreams.borrow().ids();
    for id in known {
        if !listed.upstreams.contains(&id) {
            remove_upstream(entry, reachability, id);
        }
    }
    entry.set_instances(&listed.instances);
    entry.out_of_service.borrow_mut().retain(|domain| listed.out_of_service.contains(domain));
    entry.rollouts.borrow_mut().retain_orders(|service| listed.rollouts.contains(service));
    if !listed.has_quarantine {
        quarantine_record::apply(entry, None);
    }
    if !listed.has_duty_record {
        duties::record_absent(entry);
    }
    if !listed.has_leader {
        *entry.leader.borrow_mut() = None;
    }
}

fn install(entry: &state::Entry, document: routing::Document) {
    let version = document.version;
    let before = entry.table.borrow().as_ref().map(|table| table.version);
    if before.is_some_and(|before| version <= before) {
        return;
    }
    entry.cache_stores.borrow_mut().install(&document.cache_stores);
    let table = routing::Table::new(document);
    if let Some(before) = &*entry.table.borrow()
        && entry
            .cache_stores
            .borrow()
            .holds_returned_scope(&before.cache_scopes, &table.cache_scopes)
    {
        // A leader that still has an earlier configuration may free these segments.
        entry.fetches_allowed_from.set(clock::now() + entry.settings.revocation);
    }
    *entry.table.borrow_mut() = Some(Rc::new(table));
    log::info!(version, before:?; "configuration installed");
}

fn install_upstream(entry: &state::Entry, record: balance::Record) {
    let table = entry.table.borrow();
    let service = table.as_ref().and_then(|table| table.service(&record.service));
    // Upstreams listed when this instance starts have mostly been running for longer.
    let cold_start = match entry.config_confirmed_at.get() {
        Some(_) => service.map_or(Millis(0), |service| service.cold_start.duration),
        None => Millis(0),
    };
    let mut upstreams = entry.upstreams.borrow_mut();
    let before = upstreams.get(&record.id).map(|u| (u.record.is_draining, u.record.started_at));
    if before != Some((record.is_draining, record.started_at)) {
        log::info!(
            upstream:% = record.id, service:% = record.service, address:% = record.address,
            software:% = record.software,
            is_leaving = record.is_draining, cold_ms = record.cold_remaining.0;
            "upstream listed"
        );
    }
    upstreams.install(record, cold_start, clock::now());
}

fn set_target_version(entry: &state::Entry, weights: balance::Weights, source: Source) {
    let mut targets = entry.target_versions.borrow_mut();
    let targets = targets.entry(weights.model.clone()).or_default();
    let now = clock::now();
    let limit = entry.old_weights_limit();
    let is_known = targets.newest().is_some();
    // The version was set after this instance last knew the newest items.
    let max_age = entry.config_confirmed_at.get().map(|at| now.since(at));
    let assumed_age = limit - UNKNOWN_TARGET_ALLOWANCE;
    let (is_newest, age) = match max_age {
        Some(max_age) if source == Source::Changes && max_age < MAX_CHANGE_DELAY => {
            (targets.record(weights.version, Millis(0), now), Millis(0))
        }
        _ => {
            let age = max_age.map_or(assumed_age, |max_age| max_age.min(assumed_age));
            (targets.record_assumed(weights.version, age, now), age)
        }
    };
    if is_newest {
        log::info!(
            model:% = weights.model, version = weights.version, age_ms = age.0;
            "target version of weights changed"
        );
        targets.prune(now, limit);
        if is_known {
            entry.quarantine.record_new_weights(weights.model, now + limit);
        }
    }
}

/// Removes an upstream whose entry is missing, unless the entry may have lapsed in an outage.
fn remove_upstream(
    entry: &state::Entry,
    reachability: &mut config_sync::Reachability,
    id: id::Upstream,
) {
    if reachability.record_missing(id.clone(), clock::now()) {
        log::info!(upstream:% = id; "entry lapsed with the store");
    } else if entry.upstreams.borrow_mut().remove(&id) {
        log::info!(upstream:% = id; "upstream gone");
    }
}

/// Removes the upstreams that have not registered again in time after an outage.
fn remove_missing(entry: &state::Entry, reachability: &mut config_sync::Reachability) {
    for id in reachability.take_removed(clock::now()) {
        if entry.upstreams.borrow_mut().remove(&id) {
            log::info!(upstream:% = id; "upstream did not register again; removed");
        }
    }
}
