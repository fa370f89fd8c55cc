//! Keeps the installed fleet document current, from the key-value service and from peers.

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use tokio::time;

use crate::backoff;
use crate::context;
use crate::peer;
use crate::peer::message;
use crate::platform::key_value;

/// Key of the fleet document in the key-value service.
pub const FLEET_KEY: &str = "fleet";
/// Wait time of a watch call; a call that ends without a change confirms the revision as of its
/// start.
const WATCH_WAIT: Millis = Millis(500);
/// Response time beyond the wait above which the service counts as slow. Watch calls then do not
/// wait, because the wait would add to the age of the confirmation.
const SLOW_RESPONSE: Millis = Millis(250);
/// Interval at which an instance that does not watch the service checks whether it must read it.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// The installed configuration and its confirmations.
#[derive(Debug, Default)]
pub struct Sync {
    state: sync::Mutex<config_sync::State>,
    value: sync::Mutex<Option<sync::Arc<message::FleetValue>>>,
    /// Ends a pause of the watch loop early.
    wake: tokio::sync::Notify,
    is_fetching: atomic::AtomicBool,
    /// Revision of the last rejected document, to log each only once.
    rejected_revision: atomic::AtomicU64,
}

/// The document is newer than the installed one, but invalid.
#[derive(Clone, Copy, Debug)]
pub struct InvalidDocument;

impl Sync {
    /// Locks the synchronization state; the guard must not be held across an await.
    pub fn state(&self) -> sync::MutexGuard<'_, config_sync::State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Returns the installed document as stored in the key-value service, or `None` before the
    /// first install.
    pub fn value(&self) -> Option<sync::Arc<message::FleetValue>> {
        self.value.lock().expect("no thread panics while it holds the lock").clone()
    }

    /// Drops all confirmations and wakes the loop that reads the service; used after a pause of the
    /// process.
    pub fn invalidate(&self) {
        self.state().clear_confirmations();
        self.wake.notify_one();
    }
}

/// Installs a document if it is newer than the installed one.
///
/// # Errors
///
/// Returns an error when the document is newer but invalid.
pub fn install(
    cx: &context::Context,
    value: message::FleetValue,
) -> Result<config_sync::Offer, InvalidDocument> {
    if value.revision <= cx.sync.state().installed() {
        return Ok(cx.sync.state().offer(value.revision));
    }
    let snapshot = match value.snapshot() {
        Ok(snapshot) => sync::Arc::new(snapshot),
        Err(faults) => {
            log_rejection(cx, value.revision, &faults);
            return Err(InvalidDocument);
        }
    };
    // The state, the snapshot and the stored form change under one lock, so that concurrent
    // installs cannot leave them at different revisions.
    let mut state = cx.sync.state();
    let offer = state.offer(value.revision);
    if offer == config_sync::Offer::Installed {
        log::info!(revision = value.revision.0; "installed configuration");
        cx.vetoes.retain_running(&snapshot.document);
        cx.fleet.store(snapshot);
        let mut stored = cx.sync.value.lock().expect("no thread panics while it holds the lock");
        *stored = Some(sync::Arc::new(value));
    }
    Ok(offer)
}

/// Records the revision of a peer, and fetches its document in the background if it is newer.
pub fn observe_peer_revision(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
    revision: id::Revision,
) {
    cx.sync.state().observe_revision(revision);
    if revision <= cx.sync.state().installed() {
        return;
    }
    if cx.sync.is_fetching.swap(true, atomic::Ordering::AcqRel) {
        return;
    }
    let (cx, peer) = (cx.clone(), peer.clone());
    tokio::spawn(async move {
        fetch(&cx, &peer).await;
        cx.sync.is_fetching.store(false, atomic::Ordering::Release);
    });
}

/// Watches the service while this instance is a watcher, and reads it when no peer confirms the
/// installed revision; runs until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut backoff = backoff::Backoff::new(BACKOFF_MIN, BACKOFF_MAX);
    let mut is_slow = false;
    loop {
        if !must_query_service(&cx) {
            wait_for_wake(&cx, IDLE_INTERVAL).await;
            continue;
        }
        let wait = if is_slow || !is_watcher(&cx) { Millis(0) } else { WATCH_WAIT };
        let sent_at = cx.now();
        match watch(&cx, wait).await {
            Ok(()) => {
                backoff.reset();
                is_slow = cx.now().since(sent_at) > wait + SLOW_RESPONSE;
                if wait.0 == 0 {
                    wait_for_wake(&cx, IDLE_INTERVAL).await;
                }
            }
            Err(error) => {
                log::debug!(
                    code = code::Code::PlatformUnavailable.number();
                    "cannot watch the configuration: {error}"
                );
                wait_for_wake(&cx, backoff.next()).await;
            }
        }
    }
}

/// Returns whether this instance is one of those per failure domain that watch the service.
pub fn is_watcher(cx: &context::Context) -> bool {
    let membership = cx.membership();
    let watchers = config_sync::watchers(membership.alive(cx.now()));
    watchers.contains(membership.own())
}

fn must_query_service(cx: &context::Context) -> bool {
    let age = cx.sync.state().confirmed_age(cx.now());
    // Peers normally confirm well before this age; otherwise the instance may be partitioned from
    // them and must read the service itself.
    let limit = cx.freshness_limit().0 * 3 / 4;
    age.is_none_or(|age| age.0 > limit) || is_watcher(cx)
}

async fn watch(cx: &context::Context, wait: Millis) -> Result<(), key_value::Error> {
    let installed = cx.sync.state().installed();
    let sent_at = cx.now();
    let entry = cx.key_value.watch(FLEET_KEY, installed, wait).await?;
    let Some(entry) = entry else {
        // A lower revision at the service gives the same result; this call cannot detect it.
        cx.sync.state().confirm_from_service(installed, sent_at);
        return Ok(());
    };
    let revision = entry.revision;
    let document = String::from_utf8_lossy(&entry.value).into_owned();
    if install(cx, message::FleetValue { revision, document }).is_err() {
        cx.sync.state().observe_revision(revision);
        // Without a pause, each watch would return the same document immediately.
        time::sleep(BACKOFF_MAX).await;
        return Ok(());
    }
    cx.sync.state().confirm_from_service(revision, sent_at);
    Ok(())
}

async fn fetch(cx: &sync::Arc<context::Context>, peer: &id::Instance) {
    match peer::call(cx, peer, message::Request::Fleet).await {
        Ok(message::Reply::Fleet(Some(value))) => {
            // `install` logs an invalid document.
            let _ = install(cx, value);
        }
        Ok(_) => {}
        Err(error) => {
            log::debug!(
                code = error.code().number(), peer:%;
                "cannot fetch the fleet document from a peer: {error}"
            );
        }
    }
}

fn log_rejection(cx: &context::Context, revision: id::Revision, faults: &str) {
    let last = cx.sync.rejected_revision.swap(revision.0, atomic::Ordering::Relaxed);
    if last != revision.0 {
        log::error!(
            code = code::Code::DocumentInvalid.number(), revision = revision.0;
            "cannot install the configuration: {faults}"
        );
    }
}

async fn wait_for_wake(cx: &context::Context, timeout: Duration) {
    // The caller checks the state again in either case.
    let _ = time::timeout(timeout, cx.sync.wake.notified()).await;
}
