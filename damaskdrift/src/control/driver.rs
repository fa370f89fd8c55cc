//! Advances and rolls back running moves, on the one instance that holds the move driver lease.

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

/// Key of the move driver lease in the key-value service.
pub const LEASE_KEY: &str = "move-driver";
const LEASE_TTL: Millis = Millis::from_secs(5);
const RENEW_INTERVAL: Millis = Millis(LEASE_TTL.0 / 3);
/// Interval between two evaluations of the running moves.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two reads of the lease by an instance that does not hold it, in a fleet of up
/// to [`POLLERS_PER_INTERVAL`] instances.
const LEASE_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Instances that may read the lease per interval; a larger fleet uses a longer interval, so that
/// its total read rate stays the same.
const POLLERS_PER_INTERVAL: usize = 64;
/// Author name of the driver's changes in the history of the fleet document.
const AUTHOR: &str = "move-driver";

/// The move driver lease, and what this instance knows about the current driver.
#[derive(Debug, Default)]
pub struct State {
    lease: tokio::sync::Mutex<Option<lease::Lease>>,
    known: sync::Mutex<Known>,
    /// Allows one document write at a time; lease renewal does not wait for it.
    write_lock: tokio::sync::Mutex<()>,
}

/// Last known driver, and the latest decisions of this instance while it is the driver.
#[derive(Debug, Default)]
struct Known {
    driver: Option<id::Instance>,
    decisions: collections::BTreeMap<id::Move, String>,
}

/// Returns the last known move driver, which may have lost its lease since.
///
/// Evidence is sent there also during an outage of the key-value service, so that one instance
/// receives all of it and can veto a move.
pub fn last_known(cx: &context::Context) -> Option<id::Instance> {
    cx.driver.known().driver.clone()
}

/// Returns the latest decision on a move, if this instance is its driver.
pub fn last_decision(cx: &context::Context, name: &id::Move) -> Option<String> {
    cx.driver.known().decisions.get(name).cloned()
}

/// Competes for the lease while moves are running, and advances them while it is held, until the
/// process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut renewed_at = cx.now();
    loop {
        let is_serving = cx.lifecycle.phase() == lifecycle::Phase::Serving;
        if !is_serving || running_moves(&cx).is_empty() {
            release(&cx).await;
            time::sleep(EVALUATION_INTERVAL).await;
            continue;
        }
        if !is_held(&cx).await {
            if !acquire(&cx).await {
                time::sleep(backoff::jittered(lease_poll_interval(&cx), 0.5..1.0)).await;
                continue;
            }
            renewed_at = cx.now();
        }
        if cx.now().since(renewed_at) >= RENEW_INTERVAL {
            renewed_at = cx.now();
            renew(&cx).await;
        }
        // Spawned, because a write waits for confirmations and must not delay renewals or evidence.
        if cx.driver.write_lock.try_lock().is_ok() {
            tokio::spawn(advance_moves(cx.clone()));
        }
        time::sleep(EVALUATION_INTERVAL).await;
    }
}

/// Releases the lease, so that another instance can acquire it without waiting for its expiry.
pub async fn release(cx: &context::Context) {
    let lease = cx.driver.lease.lock().await.take();
    if let Some(lease) = lease.filter(|lease| lease.is_held(cx.now())) {
        lease.release(cx).await;
    }
    cx.driver.known().decisions.clear();
}

impl State {
    fn known(&self) -> sync::MutexGuard<'_, Known> {
        self.known.lock().expect("no thread panics while it holds the lock")
    }
}

/// Returns the fencing token, or `None` when the lease is not held, for example because it expired
/// during a pause of the process.
async fn fencing(cx: &context::Context) -> Option<id::FencingToken> {
    let lease = cx.driver.lease.lock().await;
    lease.as_ref().filter(|lease| lease.is_held(cx.now())).map(lease::Lease::fencing)
}

async fn is_held(cx: &context::Context) -> bool {
    fencing(cx).await.is_some()
}

/// Tries to acquire the lease, and records its current holder.
async fn acquire(cx: &context::Context) -> bool {
    // An expired lease is not renewed, because another driver may have written since.
    *cx.driver.lease.lock().await = None;
    match try_acquire(cx).await {
        Ok(Some(lease)) => {
            log::info!(fencing = lease.fencing().0; "acquired the move driver lease");
            *cx.driver.lease.lock().await = Some(lease);
            cx.driver.known().driver = Some(cx.settings.instance.id.clone());
            true
        }
        Ok(None) => false,
        Err(error) => {
            let code = code::Code::PlatformUnavailable.number();
            log::debug!(code; "cannot acquire the move driver lease: {error}");
            false
        }
    }
}

async fn try_acquire(cx: &context::Context) -> Result<Option<lease::Lease>, key_value::Error> {
    // A read costs the service less than a failed write.
    if let Some(entry) = cx.key_value.get(LEASE_KEY).await? {
        let holder = String::from_utf8_lossy(&entry.value).into_owned();
        let holder = holder.split(' ').next().map(id::Instance::new);
        let is_own = holder.as_ref() == Some(&cx.settings.instance.id);
        cx.driver.known().driver = holder;
        // This instance can be the holder already, after a write whose response was lost.
        if !is_own {
            return Ok(None);
        }
    }
    lease::Lease::acquire(cx, LEASE_KEY, LEASE_TTL).await
}

fn lease_poll_interval(cx: &context::Context) -> Duration {
    let factor = roster::alive(cx).len().div_ceil(POLLERS_PER_INTERVAL).max(1);
    LEASE_POLL_INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX)
}

async fn renew(cx: &context::Context) {
    let mut held = cx.driver.lease.lock().await;
    let Some(lease) = held.as_mut() else {
        return;
    };
    match lease.renew(cx).await {
        Ok(true) => {}
        Ok(false) => {
            log::warn!("lost the move driver lease");
            *held = None;
        }
        Err(error) => {
            let code = code::Code::PlatformUnavailable.number();
            log::debug!(code; "cannot renew the move driver lease: {error}");
        }
    }
}

/// Decides the next step of each running move, and records the decisions that change the move.
async fn advance_moves(cx: sync::Arc<context::Context>) {
    let Ok(_guard) = cx.driver.write_lock.try_lock() else {
        return;
    };
    for (name, m) in running_moves(&cx) {
        let Some(fencing) = fencing(&cx).await else {
            return;
        };
        let decision = observe::decide(&cx, &name, &m);
        cx.driver.known().decisions.insert(name.clone(), decision.to_string());
        // A new driver writes its fencing token first, so that delayed writes of its predecessors
        // fail.
        let is_new_driver = m.fencing < fencing;
        if matches!(decision, rollout::Decision::Hold { .. }) && !is_new_driver {
            continue;
        }
        if let Err(refusal) = record_decision(&cx, &name, &m, fencing, &decision).await {
            let code = refusal.code.number();
            log::warn!(
                code, r#move:% = name;
                "cannot record the decision on the move: {}", refusal.message
            );
        }
    }
}

async fn record_decision(
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
    let report = change::apply(cx, revision, &metadata, |document| {
        if !is_held {
            let message = "the move driver lease has expired";
            return Err(operator::Refusal::new(code::Code::InvalidState, message));
        }
        let recorded = rollout::record(document, name, m.step, fencing, decision, at);
        recorded.map_err(|error| Refusal::new(code::Code::InvalidState, &error.to_string()))
    })
    .await?;
    log::info!(revision = report.revision.0, r#move:% = name; "{decision}");
    Ok(())
}

fn running_moves(cx: &context::Context) -> Vec<(id::Move, fleet::Move)> {
    let fleet = cx.fleet.load();
    let moves = fleet.document.moves.iter();
    let running = moves.filter(|(_, m)| m.state == fleet::MoveState::Running);
    running.map(|(name, m)| (name.clone(), m.clone())).collect()
}
