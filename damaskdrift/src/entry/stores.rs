//! Follows the events of the stores of kept KV cache.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::id;
use damaskdrift_core::kept;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use tokio::task;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::state;

/// How long a question for events waits. It is below the age at which a store's contents are no
/// longer trusted.
const EVENT_WAIT: Millis = Millis(500);
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
async fn follow(entry: Rc<state::Entry>, store: routing::Store) {
    let mut was_reached = true;
    loop {
        let since = {
            let stores = entry.stores.borrow();
            if !stores.records().contains(&store) {
                return;
            }
            stores.contents(&store.id).map_or(0, |contents| contents.next)
        };
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
    store: &routing::Store,
    since: u64,
) -> Result<(), client::Failure> {
    let asked = clock::now();
    let page = entry.port.events(store.address, since, EVENT_WAIT).await?;
    let is_gap = page.is_gap;
    let is_restart = update(entry, store, &page, asked);
    if is_restart || is_gap {
        log::info!(store:% = store.id, epoch = page.epoch, is_restart, is_gap; "listing a store");
        let asked = clock::now();
        let list = entry.port.held(store.address).await?;
        update(entry, store, &list, asked);
    }
    Ok(())
}

fn update(entry: &state::Entry, store: &routing::Store, page: &kept::Page, asked: Millis) -> bool {
    let now = clock::now();
    if let (Some(clock_ms), Ok(now)) = (page.clock_ms, i64::try_from(now.0)) {
        let difference = i64::try_from(clock_ms).unwrap_or(i64::MAX) - now;
        entry.upstream_clock.set(Some(difference));
    }
    let mut stores = entry.stores.borrow_mut();
    stores.contents_mut(&store.id).is_some_and(|contents| contents.update(page, asked, now))
}
