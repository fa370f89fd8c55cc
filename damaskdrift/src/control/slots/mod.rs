//! Grants slots at upstreams, so that their limits hold over all instances.

mod ask;
mod load;
mod owned;

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

/// Most upstreams that one request waits for at the same time.
const WAIT_WIDTH: usize = 3;

/// Slots of this instance and the groups it owns.
#[derive(Debug)]
pub struct Slots {
    holder: sync::Mutex<admission::SlotPool>,
    /// Wakes requests that wait for a slot, by upstream.
    freed: sync::Mutex<collections::HashMap<id::Upstream, sync::Arc<Notify>>>,
    /// Wakes the loop that asks the owners.
    wanted: Notify,
    owned: owned::Owned,
    owners: ask::Owners,
}

/// The right to have one request in flight at an upstream, returned when dropped.
pub struct Slot {
    /// The start of the upstream the slot is bound to; `None` accepts any.
    pub boot: Option<id::Boot>,
    cx: sync::Arc<context::Context>,
    upstream: id::Upstream,
}

impl Slots {
    /// Creates the slots of an instance that holds none.
    pub fn new(fleet_max: u32) -> Self {
        Self {
            holder: sync::Mutex::new(admission::SlotPool::new(fleet_max)),
            freed: sync::Mutex::default(),
            wanted: Notify::new(),
            owned: owned::Owned::default(),
            owners: ask::Owners::default(),
        }
    }

    fn holder(&self) -> sync::MutexGuard<'_, admission::SlotPool> {
        self.holder.lock().expect("no thread panics while it holds the lock")
    }

    fn freed(&self, upstream: &id::Upstream) -> sync::Arc<Notify> {
        let mut freed = self.freed.lock().expect("no thread panics while it holds the lock");
        freed.entry(upstream.clone()).or_default().clone()
    }
}

/// Counts a request that waits, until dropped.
struct Waiting<'a> {
    cx: &'a context::Context,
    upstream: &'a id::Upstream,
}

impl<'a> Waiting<'a> {
    fn new(cx: &'a context::Context, upstream: &'a id::Upstream) -> Self {
        cx.slots.holder().add_waiting(upstream, 1, cx.now());
        cx.slots.wanted.notify_one();
        Self { cx, upstream }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.cx.slots.holder().add_waiting(self.upstream, -1, self.cx.now());
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.cx.slots.holder().release(&self.upstream);
        self.cx.slots.freed(&self.upstream).notify_one();
    }
}

/// Starts the loops that ask owners, hold leases and read load reports.
pub fn start(cx: &sync::Arc<context::Context>) {
    cx.peers.register(peer::RequestKind::Allotment, owned::handle_demands);
    cx.peers.register(peer::RequestKind::InFlight, owned::handle_in_flight);
    tokio::spawn(ask::run(cx.clone()));
    tokio::spawn(owned::run(cx.clone()));
    tokio::spawn(load::run(cx.clone()));
}

/// Gives up the leases of owned groups, so that other instances can take them at once.
pub async fn release_leases(cx: &context::Context) {
    owned::release(cx).await;
}

/// Takes a slot at the first upstream that has one, or waits for one of the first few.
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
    let mut waiting = future_set(cx, &upstreams[..upstreams.len().min(WAIT_WIDTH)]);
    let waited = time::timeout(wait, waiting.next()).await;
    let granted = waited.ok().flatten();
    metrics::counter!("damaskdrift_slot_waits_total", "granted" => granted.is_some().to_string())
        .increment(1);
    granted.ok_or(code::Code::Overloaded)
}

/// Notes that an upstream completed an answer under a boot id.
pub fn completed(cx: &context::Context, upstream: &id::Upstream, boot: &id::Boot) {
    cx.slots.holder().record_completion(upstream, boot);
}

/// Notes that a connection to an upstream broke or that it has restarted.
///
/// The allotment is dropped here only: the other instances' allotments are bound to the start of
/// the upstream, and a broken connection may be this instance's own fault.
pub fn lost(cx: &context::Context, upstream: &id::Upstream) {
    log::warn!(upstream:%; "connection to upstream lost; its slots are dropped");
    cx.slots.holder().drop_allotment(upstream);
    cx.slots.wanted.notify_one();
}

fn future_set<'a>(
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
    let _waiting = Waiting::new(cx, upstream);
    let freed = cx.slots.freed(upstream);
    loop {
        let notified = freed.notified();
        tokio::pin!(notified);
        // Registered before the try, so that a slot freed in between is not missed.
        notified.as_mut().enable();
        if let Some(slot) = try_acquire(cx, upstream) {
            return slot;
        }
        notified.await;
    }
}

fn try_acquire(cx: &sync::Arc<context::Context>, upstream: &id::Upstream) -> Option<Slot> {
    let slot = cx.slots.holder().acquire(upstream, cx.now()).ok()?;
    let boot = slot.boot.filter(|boot| boot.as_str() != load::SERVICE_BOOT);
    Some(Slot { boot, cx: cx.clone(), upstream: upstream.clone() })
}

/// Returns the limits of an upstream, cold and warm; a store has none.
fn limits(kind: &fleet::Kind) -> Option<(u32, u32)> {
    match kind {
        fleet::Kind::Engine { cold_limit, warm_limit, .. } => Some((*cold_limit, *warm_limit)),
        // The static shares come out of a quarter of a service's limit; a service has no cold start.
        fleet::Kind::Service { limit, .. } => Some((limit.div_ceil(4), *limit)),
        fleet::Kind::Store => None,
    }
}
