//! Which peers get a heartbeat in a tick.

use rand::Rng;
use rand::seq::index;

use crate::id;

/// Largest fleet in which every instance pings every other one.
pub const FULL_MESH_MAX: usize = 16;

/// Returns how many peers an instance of a fleet of `fleet` instances pings each tick.
pub fn degree(fleet: usize) -> usize {
    let peers = fleet.saturating_sub(1);
    if fleet <= FULL_MESH_MAX {
        return peers;
    }
    // The bit length of n - 1 is the base-2 logarithm of n, rounded up.
    let log2 = usize::BITS - peers.leading_zeros();
    peers.min(log2 as usize + 1)
}

/// Chooses the peers to ping in this tick.
pub fn targets<R: Rng + ?Sized>(peers: &[id::Instance], rng: &mut R) -> Vec<id::Instance> {
    let chosen = index::sample(rng, peers.len(), degree(peers.len() + 1));
    chosen.into_iter().map(|i| peers[i].clone()).collect()
}
