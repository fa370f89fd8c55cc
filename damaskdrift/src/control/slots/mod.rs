//! Grants slots at upstreams, so that all instances together stay within the upstreams' limits.

mod demand;
mod load;
mod owner;

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::admission;
use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Notify;
use tokio::time;

use crate::context;
use crate::peer;

/// Maximum number of upstreams that one request waits for at the same time.
const MAX_WAITED_UPSTREAMS: usize = 3;

/// The slots allotted to this instance, and the groups whose limits it owns.
#[derive(Debug)]
pub struct Slots {
    pool: sync::Mutex<admission::SlotPool>,
    /// Wakes requests that wait for a slot, by upstream.
    freed: sync::Mutex<collections::HashMap<id::Upstream, sync::Arc<Notify>>>,
    /// Wakes the loop that sends demands to the owners.
    demand_wake: Notify,
    owned: owner::OwnedGroups,
    owners: demand::KnownOwners,
}

/// Permission for one request in flight at an upstream; dropping it releases the slot.
pub struct Slot {
    /// Boot id of the upstream start that the slot is valid for; `None` accepts any.
    pub boot: Option<id::Boot>,
    cx: sync::Arc<context::Context>,
    upstream: id::Upstream,
}

impl Slots {
    /// Creates the state of an instance without slots in a fleet of at most `fleet_max` instances.
    pub fn new(fleet_max: u32) -> Self {
        Self {
            pool: sync::Mutex::new(admission::SlotPool::new(fleet_max)),
            freed: sync::Mutex::default(),
            demand_wake: Notify::new(),
            owned: owner::OwnedGroups::default(),
            owners: demand::KnownOwners::default(),
        }
    }

    fn pool(&self) -> sync::MutexGuard<'_, admission::SlotPool> {
        self.pool.lock().expect("no thread panics while it holds the lock")
    }

    fn freed(&self, upstream: &id::Upstream) -> sync::Arc<Notify> {
        let mut freed = self.freed.lock().expect("no thread panics while it holds the lock");
        freed.entry(upstream.clone()).or_default().clone()
    }
}

/// Guard that counts a waiting request at an upstream.
struct WaitGuard<'a> {
    cx: &'a context::Context,
    upstream: &'a id::Upstream,
}

impl<'a> WaitGuard<'a> {
    fn new(cx: &'a context::Context, upstream: &'a id::Upstream) -> Self {
        cx.slots.pool().add_waiting(upstream, 1, cx.now());
        cx.slots.demand_wake.notify_one();
        Self { cx, upstream }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.cx.slots.pool().add_waiting(self.upstream, -1, self.cx.now());
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.cx.slots.pool().release(&self.upstream);
        self.cx.slots.freed(&self.upstream).notify_one();
    }
}

/// Registers the handlers for peers, and starts the loops that send demands, hold owner leases and
/// poll load reports.
pub fn start(cx: &sync::Arc<context::Context>) {
    cx.peers.register(peer::RequestKind::Allotment, owner::handle_demands);
    cx.peers.register(peer::RequestKind::InFlight, owner::handle_in_flight);
    tokio::spawn(demand::run(cx.clone()));
    tokio::spawn(owner::run(cx.clone()));
    tokio::spawn(load::run(cx.clone()));
}

/// Releases the leases of owned groups, so that other instances can acquire them without waiting
/// for their expiry.
pub async fn release_leases(cx: &context::Context) {
    owner::release(cx).await;
}

/// Acquires a slot at the first upstream that has one, or waits for one at the first few upstreams.
///
/// Returns the index of the upstream with the slot.
///
/// # Errors
///
/// Returns the code of the refusal when no slot becomes free in time.
pub async fn acquire(
    cx: &sync::Arc<context::Context>,
    upstreams: &[&id::Upstream],
    wait: Duration,
) -> Result<(usize, Slot), code::Code> {
    for (i, upstream) in upstreams.iter().enumerate() {
        if let Some(slot) = try_acquire(cx, upstream) {
            return Ok((i, slot));
        }
    }
    let mut waits = slot_waits(cx, &upstreams[..upstreams.len().min(MAX_WAITED_UPSTREAMS)]);
    let acquired = time::timeout(wait, waits.next()).await.ok().flatten();
    metrics::counter!("damaskdrift_slot_waits_total", "granted" => acquired.is_some().to_string())
        .increment(1);
    acquired.ok_or(code::Code::Overloaded)
}

/// Records a completed response of an upstream under its boot id.
pub fn record_completion(cx: &context::Context, upstream: &id::Upstream, boot: &id::Boot) {
    cx.slots.pool().record_completion(upstream, boot);
}

/// Records that a connection to an upstream failed or that the upstream has restarted.
///
/// Only this instance's allotment is dropped: those of other instances are bound to the boot id of
/// the upstream, and the connection may have failed through a fault of this instance.
pub fn record_connection_loss(cx: &context::Context, upstream: &id::Upstream) {
    log::warn!(upstream:%; "connection to upstream lost; its slots are dropped");
    cx.slots.pool().drop_allotment(upstream);
    cx.slots.demand_wake.notify_one();
}

fn slot_waits<'a>(
    cx: &'a sync::Arc<context::Context>,
    upstreams: &[&'a id::Upstream],
) -> FuturesUnordered<impl Future<Output = (usize, Slot)> + 'a> {
    let wait = |(i, upstream): (usize, &&'a id::Upstream)| {
        let upstream = *upstream;
        async move { (i, wait_for_slot(cx, upstream).await) }
    };
    upstreams.iter().enumerate().map(wait).collect()
}

async fn wait_for_slot(cx: &sync::Arc<context::Context>, upstream: &id::Upstream) -> Slot {
    let _guard = WaitGuard::new(cx, upstream);
    let freed = cx.slots.freed(upstream);
    loop {
        let notified = freed.notified();
        tokio::pin!(notified);
        // Registered before the attempt, so that a slot freed in between is not missed.
        notified.as_mut().enable();
        if let Some(slot) = try_acquire(cx, upstream) {
            return slot;
        }
        notified.await;
    }
}

fn try_acquire(cx: &sync::Arc<context::Context>, upstream: &id::Upstream) -> Option<Slot> {
    let slot = cx.slots.pool().acquire(upstream, cx.now()).ok()?;
    let boot = slot.boot.filter(|boot| boot.as_str() != load::SERVICE_BOOT);
    Some(Slot { boot, cx: cx.clone(), upstream: upstream.clone() })
}

/// Returns the cold and the warm limit of an upstream; a cache store has none.
fn limits(kind: &fleet::Kind) -> Option<(u32, u32)> {
    match kind {
        fleet::Kind::Engine { cold_limit, warm_limit, .. } => Some((*cold_limit, *warm_limit)),
        // A service has no cold start; a quarter of its limit is the base of the static shares.
        fleet::Kind::Service { limit, .. } => Some((limit.div_ceil(4), *limit)),
        fleet::Kind::Store => None,
    }
}
