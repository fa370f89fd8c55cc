//! Keeps the installed fleet document current: from the service and from peers.

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

/// Key of the fleet document.
pub const FLEET_KEY: &str = "fleet";
/// Longest wait of a watch; a watch that ends confirms the revision as of its start.
const WATCH_WAIT: Millis = Millis(500);
/// Time beyond the wait above which the service counts as slow. Its watches then do not wait,
/// because the wait would add to the age of the confirmation.
const SLOW_ANSWER: Millis = Millis(250);
/// How often an instance that does not watch looks whether it must read the service itself.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// First pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// The installed configuration and what confirms it.
#[derive(Debug, Default)]
pub struct Sync {
    state: sync::Mutex<config_sync::State>,
    value: sync::Mutex<Option<sync::Arc<message::FleetValue>>>,
    /// Wakes the watch loop before its pause ends.
    wake: tokio::sync::Notify,
    is_catching_up: atomic::AtomicBool,
    rejected: atomic::AtomicU64,
}

/// The state is behind the service and cannot catch up with this document.
#[derive(Clone, Copy, Debug)]
pub struct InvalidDocument;

impl Sync {
    /// Locks the state; not held across an await.
    pub fn state(&self) -> sync::MutexGuard<'_, config_sync::State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Returns the installed document in its stored form.
    pub fn value(&self) -> Option<sync::Arc<message::FleetValue>> {
        self.value.lock().expect("no thread panics while it holds the lock").clone()
    }

    /// Drops all confirmations and reads the service at once, as after a pause.
    pub fn distrust(&self) {
        self.state().clear_confirmations();
        self.wake.notify_one();
    }
}

/// Installs a document unless the installed one is as new.
///
/// # Errors
///
/// Returns an error when the document is newer and cannot be used.
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
            reject(cx, value.revision, &faults);
            return Err(InvalidDocument);
        }
    };
    // The state, the snapshot and the stored form change under one lock, so that two installs at
    // the same time cannot leave them at different revisions.
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

/// Notes that a peer has a revision, and fetches it in the background when it is newer.
pub fn follow(cx: &sync::Arc<context::Context>, peer: &id::Instance, revision: id::Revision) {
    cx.sync.state().observe_revision(revision);
    if revision <= cx.sync.state().installed() {
        return;
    }
    if cx.sync.is_catching_up.swap(true, atomic::Ordering::AcqRel) {
        return;
    }
    let (cx, peer) = (cx.clone(), peer.clone());
    tokio::spawn(async move {
        fetch(&cx, &peer).await;
        cx.sync.is_catching_up.store(false, atomic::Ordering::Release);
    });
}

/// Watches the service while this instance is chosen to, and reads it when peers confirm nothing.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut backoff = backoff::Backoff::new(BACKOFF_MIN, BACKOFF_MAX);
    let mut is_slow = false;
    loop {
        if !must_call(&cx) {
            pause(&cx, IDLE_INTERVAL).await;
            continue;
        }
        let wait = if is_slow || !is_watcher(&cx) { Millis(0) } else { WATCH_WAIT };
        let sent = cx.now();
        match watch(&cx, wait).await {
            Ok(()) => {
                backoff.reset();
                is_slow = cx.now().since(sent) > wait + SLOW_ANSWER;
                if wait.0 == 0 {
                    pause(&cx, IDLE_INTERVAL).await;
                }
            }
            Err(error) => {
                log::debug!(
                    code = code::Code::PlatformUnavailable.number();
                    "cannot watch the configuration: {error}"
                );
                pause(&cx, backoff.next()).await;
            }
        }
    }
}

/// Returns whether this instance is among those that watch the service.
pub fn is_watcher(cx: &context::Context) -> bool {
    let membership = cx.membership();
    let watchers = config_sync::watchers(membership.alive(cx.now()));
    watchers.contains(membership.own())
}

fn must_call(cx: &context::Context) -> bool {
    let age = cx.sync.state().confirmed_age(cx.now());
    // Peers normally confirm well before this age; when they do not, the instance may be cut off
    // from them and has to ask the service itself.
    let limit = cx.freshness_limit().0 * 3 / 4;
    age.is_none_or(|age| age.0 > limit) || is_watcher(cx)
}

async fn watch(cx: &context::Context, wait: Millis) -> Result<(), key_value::Error> {
    let installed = cx.sync.state().installed();
    let sent = cx.now();
    let entry = cx.key_value.watch(FLEET_KEY, installed, wait).await?;
    let Some(entry) = entry else {
        // A lower revision at the service looks the same here; it cannot be told from this call.
        cx.sync.state().confirm_from_service(installed, sent);
        return Ok(());
    };
    let revision = entry.revision;
    let document = String::from_utf8_lossy(&entry.value).into_owned();
    if install(cx, message::FleetValue { revision, document }).is_err() {
        cx.sync.state().observe_revision(revision);
        // The watch returns at once until another document is written.
        time::sleep(BACKOFF_MAX).await;
        return Ok(());
    }
    cx.sync.state().confirm_from_service(revision, sent);
    Ok(())
}

async fn fetch(cx: &sync::Arc<context::Context>, peer: &id::Instance) {
    match peer::call(cx, peer, message::Request::Fleet).await {
        Ok(message::Reply::Fleet(Some(value))) => {
            // A faulty document is logged where it is rejected.
            let _ = install(cx, value);
        }
        Ok(_) => {}
        Err(error) => {
            log::debug!(code = error.code().number(), peer:%; "cannot fetch the document: {error}");
        }
    }
}

fn reject(cx: &context::Context, revision: id::Revision, faults: &str) {
    let last = cx.sync.rejected.swap(revision.0, atomic::Ordering::Relaxed);
    if last != revision.0 {
        log::error!(
            code = code::Code::DocumentInvalid.number(), revision = revision.0;
            "cannot install the configuration: {faults}"
        );
    }
}

async fn pause(cx: &context::Context, span: Duration) {
    // Either end of the wait is fine: the caller looks at the state again.
    let _ = time::timeout(span, cx.sync.wake.notified()).await;
}
