//! Registers the instance, and takes the duty that one instance does for all.

use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::time::Millis;
use rand::RngExt as _;

use crate::entry::clock;
use crate::entry::port;
use crate::entry::state;

/// Life of the lease under which an instance is registered: long enough for a short outage of the
/// store, since the count of instances divides the bounds that all share.
const REGISTRATION_LIFE: Millis = Millis(6_000);
/// Life of the lease of the duty; an outage of its holder delays new weights by as much.
const DUTY_LIFE: Millis = Millis(1_600);
/// Share of a lease's life after which it is renewed.
const RENEWALS: u64 = 3;
/// Time before the end of the lease from which its holder no longer acts, counted from when the
/// renewal was asked for.
const DUTY_MARGIN: Millis = Millis(400);
/// Range of waits before a free entry is claimed again, so that few instances race for it.
const CLAIM_WAIT_MS: std::ops::Range<u64> = 200..1_200;

/// An entry of this instance under a lease.
#[derive(Debug)]
pub struct Held {
    /// The lease.
    pub lease: u64,
    /// The revision at which the entry was written.
    pub fence: id::FencingToken,
    /// Until when the lease is known to last.
    pub until: Millis,
    /// When the entry was claimed.
    pub since: Millis,
}

/// Registers the instance until it stops.
pub async fn register(entry: Rc<state::Entry>) {
    let mut held = None;
    while !entry.stopping.is_cancelled() {
        hold(&entry, port::Entry::Instance, REGISTRATION_LIFE, &mut held).await;
        let renewal = Millis(REGISTRATION_LIFE.0 / RENEWALS);
        // A failed claim mostly means that the store is away.
        let pause = if held.is_some() { renewal } else { renewal.max(claim_wait(&entry)) };
        tokio::select! {
            () = tokio::time::sleep(Duration::from(pause)) => {}
            () = entry.stopping.cancelled() => {}
        }
    }
    release(&entry, held).await;
}

/// Returns how long to wait before the next claim.
pub fn claim_wait(entry: &state::Entry) -> Millis {
    Millis(entry.rng.borrow_mut().random_range(CLAIM_WAIT_MS))
}

/// Returns how often the lease of the duty is renewed.
pub fn renewal_pace() -> Millis {
    Millis(DUTY_LIFE.0 / RENEWALS)
}

/// Renews the duty, or claims it if it is free. In a large fleet only relays claim it, so that few
/// instances race for it, and able ones.
pub async fn hold_duty(entry: &Rc<state::Entry>, held: &mut Option<Held>) {
    let is_taken = entry.duty.borrow().is_some();
    let is_leaf = entry.layout().role == membership::Role::Leaf;
    if held.is_none() && (is_taken || is_leaf) {
        return;
    }
    hold(entry, port::Entry::Duty, DUTY_LIFE, held).await;
}

/// Renews an entry of this instance, or claims it.
async fn hold(entry: &Rc<state::Entry>, kind: port::Entry, life: Millis, held: &mut Option<Held>) {
    let life = life.max(entry.settings.shortest_lease);
    let asked = clock::now();
    if let Some(present) = held {
        match entry.port.keep(present.lease).await {
            Ok(()) => {
                present.until = asked + life;
                return;
            }
            Err(port::StoreError::LeaseEnded) => {
                log::warn!(kind:?, lease = present.lease; "lease has ended");
                *held = None;
            }
            Err(error) => {
                log::warn!(kind:?, cause:% = error; "lease not renewed");
                if clock::now() >= present.until {
                    *held = None;
                }
                return;
            }
        }
    }
    let lease = match entry.port.lease(life).await {
        Ok(lease) => lease,
        Err(error) => {
            log::info!(kind:?, cause:% = error; "no lease");
            return;
        }
    };
    let settings = &entry.settings;
    let registration = port::Registration {
        address: settings.peers,
        domain: settings.domain.clone(),
        capacity: settings.capacity,
    };
    match entry.port.claim(kind, &settings.instance, &registration, lease).await {
        Ok(Some(revision)) => {
            log::info!(kind:?, lease, revision; "entry claimed");
            let fence = id::FencingToken(revision);
            *held = Some(Held { lease, fence, until: asked + life, since: clock::now() });
        }
        Ok(None) => end(entry, lease).await,
        Err(error) => {
            // The claim may still take effect; its lease ends it.
            log::warn!(kind:?, cause:% = error; "claim without an answer");
            end(entry, lease).await;
        }
    }
}

/// Ends the lease of an entry.
pub async fn release(entry: &Rc<state::Entry>, held: Option<Held>) {
    if let Some(held) = held {
        end(entry, held.lease).await;
    }
}

async fn end(entry: &Rc<state::Entry>, lease: u64) {
    if let Err(error) = entry.port.end(lease).await {
        log::info!(lease, cause:% = error; "lease not ended; it runs out by itself");
    }
}

impl Held {
    /// Returns whether the holder may act now.
    pub fn is_sure(&self, now: Millis) -> bool {
        now + DUTY_MARGIN < self.until
    }
}
