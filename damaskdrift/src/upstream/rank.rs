//! Ranks upstreams for a request by rendezvous hashing.

use std::cmp;

use crate::upstream::pool::Target;

/// Sorts targets by their rendezvous score for a prompt root or other key, highest first.
pub fn rank(targets: &mut [Target], key: &[u8]) {
    targets.sort_by_cached_key(|target| cmp::Reverse(score(target, key)));
}

fn score(target: &Target, key: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(target.id.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(key);
    let hash = hasher.finalize();
    let (head, _) = hash.as_bytes().split_first_chunk().expect("a hash has 32 bytes");
    u64::from_le_bytes(*head)
}
