//! Follows the events of the stores of kept KV cache.

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

/// How long a question for events waits. It is below the age at which a store's contents are no
/// longer trusted.
const EVENT_WAIT: Millis = Millis(500);
/// Time taken off the age of a relayed answer for its way; a relay that is slower than this is
/// caught by the bound on how long a peer may be silent.
const RELAY_TIME: Millis = Millis(200);
/// Pause after a failed question.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How often the configured stores are compared with those that are followed.
const COMPARE_PAUSE: Duration = Duration::from_millis(250);

/// Follows all configured stores until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    let mut followed: BTreeSet<id::Upstream> = BTreeSet::new();
    loop {
        for store in entry.stores.borrow().records() {
            if followed.insert(store.id.clone()) {
                task::spawn_local(follow(entry.clone(), store));
            }
        }
        tokio::time::sleep(COMPARE_PAUSE).await;
        let records = entry.stores.borrow().records();
        followed.retain(|id| records.iter().any(|store| store.id == *id));
    }
}

/// Follows one store until it is no longer configured at this address.
async fn follow(entry: Rc<state::Entry>, store: routing::CacheStore) {
    let mut was_reached = true;
    loop {
        let since = {
            let stores = entry.stores.borrow();
            if !stores.records().contains(&store) {
                return;
            }
            stores.contents(&store.id).map_or(0, |contents| contents.next)
        };
        if !entry.layout().is_observer {
            tokio::time::sleep(COMPARE_PAUSE).await;
            continue;
        }
        let result = ask(&entry, &store, since).await;
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

async fn ask(
    entry: &Rc<state::Entry>,
    store: &routing::CacheStore,
    since: u64,
) -> Result<(), client::Failure> {
    let asked = clock::now();
    let page = entry.port.events(store.address, since, EVENT_WAIT).await?;
    let is_gap = page.is_gap;
    let is_restart = update(entry, store, &page, asked);
    if !is_gap {
        relay(entry, store, &page, since, asked);
    }
    if is_restart || is_gap {
        log::info!(store:% = store.id, epoch = page.epoch, is_restart, is_gap; "listing a store");
        list(entry, store).await?;
    }
    Ok(())
}

/// Lists all that a store holds.
async fn list(
    entry: &Rc<state::Entry>,
    store: &routing::CacheStore,
) -> Result<(), client::Failure> {
    let asked = clock::now();
    let list = entry.port.held(store.address).await?;
    update(entry, store, &list, asked);
    relay(entry, store, &list, 0, asked);
    Ok(())
}

/// Passes an answer of a store on to the instances that this one is a relay of.
fn relay(
    entry: &state::Entry,
    store: &routing::CacheStore,
    page: &prefix_cache::Page,
    since: u64,
    asked: Millis,
) {
    if entry.layout().role != membership::Role::Relay {
        return;
    }
    let frame = write(&store.id, page, since, asked);
    // Without a connected peer there is nobody to tell.
    let _ = entry.relayed.send(Rc::new(frame));
}

/// Returns the list of a store for an instance that lacks it, if it is known.
pub fn list_for(entry: &state::Entry, store: &id::Upstream) -> Option<message::Frame> {
    let stores = entry.stores.borrow();
    let (page, asked) = stores.contents(store)?.snapshot(clock::now())?;
    Some(write(store, &page, 0, asked))
}

fn write(
    store: &id::Upstream,
    page: &prefix_cache::Page,
    since: u64,
    asked: Millis,
) -> message::Frame {
    let mut events = Vec::with_capacity(page.events.len());
    for event in &page.events {
        events.push((event.is_stored, event.salt.clone(), event.segment, event.tokens));
    }
    message::Frame::CacheStoreUpdate(message::CacheStoreUpdate {
        store: store.to_string(),
        epoch: page.epoch,
        range: (since, page.next),
        age_ms: clock::now().since(asked).0,
        is_snapshot: page.is_snapshot,
        events,
        clock_ms: page.clock_ms,
    })
}

/// Takes an answer into account that another instance passed on.
pub fn hear(entry: &Rc<state::Entry>, relayed: message::CacheStoreUpdate) {
    let now = clock::now();
    let id = id::Upstream::new(&relayed.store);
    if entry.layout().is_observer {
        return;
    }
    let mut events = Vec::with_capacity(relayed.events.len());
    for (is_stored, salt, part, tokens) in relayed.events {
        events.push(prefix_cache::Event { is_stored, salt, segment: part, tokens });
    }
    let page = prefix_cache::Page {
        epoch: relayed.epoch,
        next: relayed.range.1,
        is_gap: false,
        is_snapshot: relayed.is_snapshot,
        events,
        clock_ms: relayed.clock_ms,
    };
    let asked = now - Millis(relayed.age_ms) - RELAY_TIME;
    set_clock(entry, &page, now);
    let mut stores = entry.stores.borrow_mut();
    let Some(contents) = stores.contents_mut(&id) else {
        return;
    };
    if contents.apply_relayed(&page, relayed.range.0, asked, now) == prefix_cache::RelayOutcome::Gap
    {
        // The next report asks the relays for a list.
        entry.load_changed.notify_one();
    }
}

fn set_clock(entry: &state::Entry, page: &prefix_cache::Page, now: Millis) {
    if let (Some(clock_ms), Ok(now)) = (page.clock_ms, i64::try_from(now.0)) {
        let difference = i64::try_from(clock_ms).unwrap_or(i64::MAX) - now;
        entry.upstream_clock.set(Some(difference));
    }
}

fn update(
    entry: &state::Entry,
    store: &routing::CacheStore,
    page: &prefix_cache::Page,
    asked: Millis,
) -> bool {
    let now = clock::now();
    set_clock(entry, page, now);
    let mut stores = entry.stores.borrow_mut();
    stores.contents_mut(&store.id).is_some_and(|contents| contents.update(page, asked, now))
}
