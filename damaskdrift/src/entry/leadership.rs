//! Leases of an instance at the platform store: its registration and the fleet's leadership.

use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::time::Millis;
use rand::RngExt as _;

use crate::entry::clock;
use crate::entry::port;
use crate::entry::state;

/// TTL of an instance's registration: long enough for a short outage of the platform store, since
/// the fleet-wide limits are divided by the number of registered instances.
const REGISTRATION_TTL: Millis = Millis(6_000);
/// TTL of the leader lease; a failure of the leader delays weight loads by up to this time.
const LEADER_TTL: Millis = Millis(1_600);
/// Number of renewals per TTL of a lease.
const RENEWALS_PER_TTL: u64 = 3;
/// Time before the expiry of the leader lease from which the leader no longer acts. The expiry is
/// counted from when the renewal was requested.
const LEADER_MARGIN: Millis = Millis(400);
/// Range of the random wait before a claim, so that few instances compete for leadership.
const CLAIM_BACKOFF_MS: std::ops::Range<u64> = 200..1_200;

/// An entry in the platform store that this instance holds under a lease.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    /// Id of the lease in the store.
    pub lease: u64,
    /// Store revision of the claim, which serves as fencing token.
    pub fence: id::FencingToken,
    /// Earliest time at which the lease may expire.
    pub expires_at: Millis,
    /// When the claim succeeded.
    pub claimed_at: Millis,
}

/// Keeps the instance registered until it stops.
pub async fn register(entry: Rc<state::Entry>) {
    let mut held = None;
    while !entry.stopping.is_cancelled() {
        hold(&entry, port::LeaseKind::Instance, REGISTRATION_TTL, &mut held).await;
        let renewal = Millis(REGISTRATION_TTL.0 / RENEWALS_PER_TTL);
        // A claim mostly fails because the store is unreachable, so it isn't repeated earlier than
        // a renewal would be.
        let pause = if held.is_some() { renewal } else { renewal.max(claim_backoff(&entry)) };
        tokio::select! {
            () = tokio::time::sleep(Duration::from(pause)) => {}
            () = entry.stopping.cancelled() => {}
        }
    }
    release(&entry, held).await;
}

/// Returns a random wait before the next claim.
pub fn claim_backoff(entry: &state::Entry) -> Millis {
    Millis(entry.rng.borrow_mut().random_range(CLAIM_BACKOFF_MS))
}

/// Returns the interval at which the leader lease is renewed.
pub fn renewal_interval() -> Millis {
    Millis(LEADER_TTL.0 / RENEWALS_PER_TTL)
}

/// Renews the leader lease, or claims leadership if there is no leader.
///
/// Leaves do not claim leadership, so in a large fleet only the relays compete for it: they are few
/// and have high capacity.
pub async fn renew_or_claim(entry: &Rc<state::Entry>, held: &mut Option<HeldLease>) {
    let has_leader = entry.leader.borrow().is_some();
    let is_leaf = entry.layout().role == membership::Role::Leaf;
    if held.is_none() && (has_leader || is_leaf) {
        return;
    }
    hold(entry, port::LeaseKind::Leader, LEADER_TTL, held).await;
}

/// Renews the lease of an entry of this instance, or claims the entry under a new lease.
async fn hold(
    entry: &Rc<state::Entry>,
    kind: port::LeaseKind,
    ttl: Millis,
    held: &mut Option<HeldLease>,
) {
    let ttl = ttl.max(entry.settings.shortest_lease);
    let requested_at = clock::now();
    if let Some(current) = held {
        match entry.port.renew_lease(current.lease).await {
            Ok(()) => {
                current.expires_at = requested_at + ttl;
                return;
            }
            Err(port::StoreError::LeaseEnded) => {
                log::warn!(kind:%, lease = current.lease; "lease has ended");
                *held = None;
            }
            Err(error) => {
                log::warn!(kind:%, cause:% = error; "lease not renewed");
                if clock::now() >= current.expires_at {
                    *held = None;
                }
                return;
            }
        }
    }
    let lease = match entry.port.grant_lease(ttl).await {
        Ok(lease) => lease,
        Err(error) => {
            log::info!(kind:%, cause:% = error; "no lease granted");
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
            log::info!(kind:%, lease, revision; "entry claimed");
            let fence = id::FencingToken(revision);
            let expires_at = requested_at + ttl;
            *held = Some(HeldLease { lease, fence, expires_at, claimed_at: clock::now() });
        }
        Ok(None) => revoke(entry, lease).await,
        Err(error) => {
            // The claim may still take effect; revoking its lease removes the entry.
            log::warn!(kind:%, cause:% = error; "claim failed; its outcome is unknown");
            revoke(entry, lease).await;
        }
    }
}

/// Revokes a held lease, which removes its entry.
pub async fn release(entry: &Rc<state::Entry>, held: Option<HeldLease>) {
    if let Some(held) = held {
        revoke(entry, held.lease).await;
    }
}

async fn revoke(entry: &Rc<state::Entry>, lease: u64) {
    if let Err(error) = entry.port.revoke_lease(lease).await {
        log::info!(lease, cause:% = error; "lease not revoked; it will expire");
    }
}

impl HeldLease {
    /// Returns whether the lease lasts long enough for the leader to act.
    pub fn is_valid(&self, now: Millis) -> bool {
        now + LEADER_MARGIN < self.expires_at
    }
}
