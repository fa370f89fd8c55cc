//! Follows the contents of the cache stores.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use tokio::task;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::state;
use crate::peer::message;

/// How long a request for events waits. It is shorter than the age at which the contents of a store
/// are no longer valid.
const EVENT_WAIT: Millis = Millis(500);
/// Transfer time assumed for a relayed update, which is added to its age; a relay that is slower
/// than this is caught by the silence timeout of the connection.
const RELAY_TRANSFER_TIME: Millis = Millis(200);
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How often the set of followed stores is compared with the configuration.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);

/// Follows all configured cache stores until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    let mut followed: BTreeSet<id::Upstream> = BTreeSet::new();
    loop {
        for store in entry.cache_stores.borrow().records() {
            if followed.insert(store.id.clone()) {
                task::spawn_local(follow(entry.clone(), store));
            }
        }
        tokio::time::sleep(SYNC_INTERVAL).await;
        let records = entry.cache_stores.borrow().records();
        followed.retain(|id| records.iter().any(|store| store.id == *id));
    }
}

/// Follows one store until it is no longer configured at this address.
async fn follow(entry: Rc<state::Entry>, store: routing::CacheStore) {
    let mut was_reached = true;
    loop {
        let since = {
            let stores = entry.cache_stores.borrow();
            if !stores.records().contains(&store) {
                return;
            }
            stores.contents(&store.id).map_or(0, |contents| contents.next)
        };
        if !entry.layout().is_observer {
            tokio::time::sleep(SYNC_INTERVAL).await;
            continue;
        }
        let result = poll_events(&entry, &store, since).await;
        match &result {
            Ok(()) if !was_reached => log::info!(store:% = store.id; "store is reached again"),
            Err(failure) if was_reached => {
                log::warn!(store:% = store.id, cause:% = failure; "store cannot be reached");
            }
            _ => {}
        }
        was_reached = result.is_ok();
        if !was_reached {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Waits for events of a store and applies them; lists the store after a gap or a restart.
async fn poll_events(
    entry: &Rc<state::Entry>,
    store: &routing::CacheStore,
    since: u64,
) -> Result<(), client::Failure> {
    let requested_at = clock::now();
    let page = entry.port.cache_events(store.address, since, EVENT_WAIT).await?;
    let is_gap = page.is_gap;
    let is_restart = update(entry, store, &page, requested_at);
    if !is_gap {
        relay(entry, store, &page, since, requested_at);
    }
    if is_restart || is_gap {
        log::info!(store:% = store.id, epoch = page.epoch, is_restart, is_gap; "listing a store");
        list(entry, store).await?;
    }
    Ok(())
}

/// Lists all segments in a store.
async fn list(
    entry: &Rc<state::Entry>,
    store: &routing::CacheStore,
) -> Result<(), client::Failure> {
    let requested_at = clock::now();
    let snapshot = entry.port.cache_contents(store.address).await?;
    update(entry, store, &snapshot, requested_at);
    relay(entry, store, &snapshot, 0, requested_at);
    Ok(())
}

/// Sends a page of a store to the leaves if this instance is a relay.
fn relay(
    entry: &state::Entry,
    store: &routing::CacheStore,
    page: &prefix_cache::Page,
    since: u64,
    requested_at: Millis,
) {
    if entry.layout().role != membership::Role::Relay {
        return;
    }
    let frame = encode(&store.id, page, since, requested_at);
    // Sending fails only while no peer is connected.
    let _ = entry.relay_tx.send(Rc::new(frame));
}

/// Returns a snapshot of a store for a leaf, if its contents are known.
pub fn snapshot_frame(entry: &state::Entry, store: &id::Upstream) -> Option<message::Frame> {
    let stores = entry.cache_stores.borrow();
    let (page, requested_at) = stores.contents(store)?.snapshot(clock::now())?;
    Some(encode(store, &page, 0, requested_at))
}

fn encode(
    store: &id::Upstream,
    page: &prefix_cache::Page,
    since: u64,
    requested_at: Millis,
) -> message::Frame {
    let mut events = Vec::with_capacity(page.events.len());
    for event in &page.events {
        events.push((event.is_stored, event.salt.clone(), event.segment, event.tokens));
    }
    message::Frame::CacheStoreUpdate(message::CacheStoreUpdate {
        store: store.to_string(),
        epoch: page.epoch,
        range: (since, page.next),
        age_ms: clock::now().since(requested_at).0,
        is_snapshot: page.is_snapshot,
        events,
        clock_ms: page.clock_ms,
    })
}

/// Applies an update of a store received from a relay.
pub fn apply_relayed(entry: &Rc<state::Entry>, relayed: message::CacheStoreUpdate) {
    let now = clock::now();
    let id = id::Upstream::new(&relayed.store);
    if entry.layout().is_observer {
        return;
    }
    let mut events = Vec::with_capacity(relayed.events.len());
    for (is_stored, salt, segment, tokens) in relayed.events {
        events.push(prefix_cache::Event { is_stored, salt, segment, tokens });
    }
    let page = prefix_cache::Page {
        epoch: relayed.epoch,
        next: relayed.range.1,
        is_gap: false,
        is_snapshot: relayed.is_snapshot,
        events,
        clock_ms: relayed.clock_ms,
    };
    let requested_at = now - Millis(relayed.age_ms) - RELAY_TRANSFER_TIME;
    set_upstream_clock(entry, &page, now);
    let mut stores = entry.cache_stores.borrow_mut();
    let Some(contents) = stores.contents_mut(&id) else {
        return;
    };
    let outcome = contents.apply_relayed(&page, relayed.range.0, requested_at, now);
    if outcome == prefix_cache::RelayOutcome::Gap {
        // The next report requests a snapshot from the relays.
        entry.report_due.notify_one();
    }
}

fn set_upstream_clock(entry: &state::Entry, page: &prefix_cache::Page, now: Millis) {
    if let (Some(clock_ms), Ok(now)) = (page.clock_ms, i64::try_from(now.0)) {
        let offset_ms = i64::try_from(clock_ms).unwrap_or(i64::MAX) - now;
        entry.upstream_clock_offset_ms.set(Some(offset_ms));
    }
}

/// Applies a page of a store; returns whether the store has restarted.
fn update(
    entry: &state::Entry,
    store: &routing::CacheStore,
    page: &prefix_cache::Page,
    requested_at: Millis,
) -> bool {
    let now = clock::now();
    set_upstream_clock(entry, page, now);
    let mut stores = entry.cache_stores.borrow_mut();
    stores.contents_mut(&store.id).is_some_and(|contents| contents.update(page, requested_at, now))
}
