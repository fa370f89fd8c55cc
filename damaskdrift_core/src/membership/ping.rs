//! Chooses which peers to ping in a tick of the heartbeat loop.

use rand::Rng;
use rand::seq::index;

use crate::id;

/// Largest fleet, in instances, in which every instance pings every other one.
pub const MAX_FULL_PING_FLEET: usize = 16;

/// Returns how many peers each instance pings per tick in a fleet of `fleet` instances.
///
/// Above [`MAX_FULL_PING_FLEET`] the number grows with the logarithm of the fleet, so that the
/// pings of all instances do not grow with its square.
pub fn ping_fanout(fleet: usize) -> usize {
    let peers = fleet.saturating_sub(1);
    if fleet <= MAX_FULL_PING_FLEET {
        return peers;
    }
    // The bit length of n - 1 is the base-2 logarithm of n, rounded up.
    let log2 = usize::BITS - peers.leading_zeros();
    peers.min(log2 as usize + 1)
}

/// Returns a random sample of the peers, as many as [`ping_fanout`] allows.
pub fn ping_targets<R: Rng + ?Sized>(peers: &[id::Instance], rng: &mut R) -> Vec<id::Instance> {
    let chosen = index::sample(rng, peers.len(), ping_fanout(peers.len() + 1));
    chosen.into_iter().map(|i| peers[i].clone()).collect()
}
