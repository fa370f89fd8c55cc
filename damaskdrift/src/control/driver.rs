//! Drives moves under a lease: records steps and rolls back.

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::rollout;
use damaskdrift_core::time::Millis;
use tokio::time;

use crate::backoff;
use crate::context;
use crate::control::lease;
use crate::control::lifecycle;
use crate::control::observe;
use crate::control::roster;
use crate::operator::change;
use crate::operator::{self, Refusal};
use crate::platform::key_value;

/// Key of the lease.
pub const LEASE_KEY: &str = "move-driver";
/// Length of the lease.
const LEASE_LIFE: Millis = Millis::from_secs(5);
/// Time between two renewals.
const RENEW_INTERVAL: Millis = Millis(LEASE_LIFE.0 / 3);
/// Time between two looks at the running moves.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time between two looks at who holds the lease, for an instance that does not, per
/// [`LOOKERS`] instances.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);
/// Instances that may look at that interval; the reads of a larger fleet stay at their rate.
const LOOKERS: usize = 64;
/// Author of the driver's changes in the history.
const AUTHOR: &str = "move-driver";

/// What this instance knows of the driver.
#[derive(Debug, Default)]
pub struct Drive {
    lease: tokio::sync::Mutex<Option<lease::Lease>>,
    known: sync::Mutex<Known>,
    /// One write at a time; the lease is renewed meanwhile.
    writing: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct Known {
    driver: Option<id::Instance>,
    decisions: collections::BTreeMap<id::Move, String>,
}

/// Returns the instance that drove moves when the service last told; it may have lost the lease.
///
/// Evidence goes to it also during an outage of the service, so that one instance sees all of it
/// and can veto a move.
pub fn last_known(cx: &context::Context) -> Option<id::Instance> {
    cx.drive.known().driver.clone()
}

/// Returns the last decision of this instance on a move that it drives.
pub fn last_decision(cx: &context::Context, name: &id::Move) -> Option<String> {
    cx.drive.known().decisions.get(name).cloned()
}

/// Takes the lease while moves run and drives them, until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut renewed = cx.now();
    loop {
        let is_serving = cx.lifecycle.phase() == lifecycle::Phase::Serving;
        if !is_serving || running(&cx).is_empty() {
            release(&cx).await;
            time::sleep(INTERVAL).await;
            continue;
        }
        if !is_held(&cx).await {
            if !take(&cx).await {
                time::sleep(backoff::jittered(look_interval(&cx), 0.5..1.0)).await;
                continue;
            }
            renewed = cx.now();
        }
        if cx.now().since(renewed) >= RENEW_INTERVAL {
            renewed = cx.now();
            renew(&cx).await;
        }
        // Evidence and renewals go on while a write waits for confirmations.
        if cx.drive.writing.try_lock().is_ok() {
            tokio::spawn(drive(cx.clone()));
        }
        time::sleep(INTERVAL).await;
    }
}

/// Gives the lease up, so that another instance can take it at once.
pub async fn release(cx: &context::Context) {
    let lease = cx.drive.lease.lock().await.take();
    if let Some(lease) = lease.filter(|lease| lease.is_held(cx.now())) {
        lease.release(cx).await;
    }
    cx.drive.known().decisions.clear();
}

impl Drive {
    fn known(&self) -> sync::MutexGuard<'_, Known> {
        self.known.lock().expect("no thread panics while it holds the lock")
    }
}

/// Returns the fencing number while the lease is held; a pause longer than its life ends it.
async fn fencing(cx: &context::Context) -> Option<id::FencingToken> {
    let lease = cx.drive.lease.lock().await;
    lease.as_ref().filter(|lease| lease.is_held(cx.now())).map(lease::Lease::fencing)
}

async fn is_held(cx: &context::Context) -> bool {
    fencing(cx).await.is_some()
}

/// Takes the lease, or notes who holds it.
async fn take(cx: &context::Context) -> bool {
    // A lease that ended is not renewed: another driver may have written since.
    *cx.drive.lease.lock().await = None;
    match try_take(cx).await {
        Ok(Some(lease)) => {
            log::info!(fencing = lease.fencing().0; "driving moves");
            *cx.drive.lease.lock().await = Some(lease);
            cx.drive.known().driver = Some(cx.settings.instance.id.clone());
            true
        }
        Ok(None) => false,
        Err(error) => {
            let code = code::Code::PlatformUnavailable.number();
            log::debug!(code; "the lease of the move driver cannot be taken: {error}");
            false
        }
    }
}

async fn try_take(cx: &context::Context) -> Result<Option<lease::Lease>, key_value::Error> {
    // Reads are cheaper for the service than writes that fail.
    if let Some(entry) = cx.key_value.get(LEASE_KEY).await? {
        let holder = String::from_utf8_lossy(&entry.value).into_owned();
        let holder = holder.split(' ').next().map(id::Instance::new);
        let is_own = holder.as_ref() == Some(&cx.settings.instance.id);
        cx.drive.known().driver = holder;
        // An own lease is left over from a write whose answer was lost.
        if !is_own {
            return Ok(None);
        }
    }
    lease::Lease::take(cx, LEASE_KEY, LEASE_LIFE).await
}

fn look_interval(cx: &context::Context) -> Duration {
    let parts = roster::alive(cx).len().div_ceil(LOOKERS).max(1);
    LOOK_INTERVAL * u32::try_from(parts).unwrap_or(u32::MAX)
}

async fn renew(cx: &context::Context) {
    let mut held = cx.drive.lease.lock().await;
    let Some(lease) = held.as_mut() else {
        return;
    };
    match lease.renew(cx).await {
        Ok(true) => {}
        Ok(false) => {
            log::warn!("the lease of the move driver is lost");
            *held = None;
        }
        Err(error) => {
            let code = code::Code::PlatformUnavailable.number();
            log::debug!(code; "the lease of the move driver cannot be renewed: {error}");
        }
    }
}

/// Decides on all running moves and records what has changed.
async fn drive(cx: sync::Arc<context::Context>) {
    let Ok(_writing) = cx.drive.writing.try_lock() else {
        return;
    };
    for (name, m) in running(&cx) {
        let Some(fencing) = fencing(&cx).await else {
            return;
        };
        let decision = observe::decide(&cx, &name, &m);
        cx.drive.known().decisions.insert(name.clone(), decision.to_string());
        // A new driver writes its number first, so that a late write of an earlier one fails.
        let is_new = m.fencing < fencing;
        if matches!(decision, rollout::Decision::Hold { .. }) && !is_new {
            continue;
        }
        if let Err(refusal) = record(&cx, &name, &m, fencing, &decision).await {
            let code = refusal.code.number();
            log::warn!(code, r#move:% = name; "step not recorded: {}", refusal.message);
        }
    }
}

async fn record(
    cx: &sync::Arc<context::Context>,
    name: &id::Move,
    m: &fleet::Move,
    fencing: id::FencingToken,
    decision: &rollout::Decision,
) -> Result<(), Refusal> {
    let (revision, _) = change::read(&cx.key_value).await?;
    let summary = format!("move {name}: {decision}");
    let metadata = change::Metadata { author: AUTHOR.to_owned(), summary };
    let at = context::Context::unix_now();
    let is_held = is_held(cx).await;
    let spread = change::apply(cx, revision, &metadata, |document| {
        if !is_held {
            let message = "the lease of the move driver ended";
            return Err(operator::Refusal::new(code::Code::InvalidState, message));
        }
        let recorded = rollout::record(document, name, m.step, fencing, decision, at);
        recorded.map_err(|stale| Refusal::new(code::Code::InvalidState, &stale.to_string()))
    })
    .await?;
    log::info!(revision = spread.revision.0, r#move:% = name; "{decision}");
    Ok(())
}

fn running(cx: &context::Context) -> Vec<(id::Move, fleet::Move)> {
    let fleet = cx.fleet.load();
    let moves = fleet.document.moves.iter();
    let running = moves.filter(|(_, m)| m.state == fleet::MoveState::Running);
    running.map(|(name, m)| (name.clone(), m.clone())).collect()
}
