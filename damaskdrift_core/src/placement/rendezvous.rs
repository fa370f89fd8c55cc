//! Rendezvous hashing of prompt roots with bounded loads.

use xxhash_rust::xxh3;

use crate::block;
use crate::id;

/// Maximum load of an upstream as a multiple of the average load.
pub const LOAD_BOUND: f64 = 1.25;
/// Maximum depth of a prompt's root, in blocks.
///
/// A root that extends beyond the system prompt differs between the callers of a workspace, which
/// distributes them over the upstreams; prompts shorter than this are cheap to recompute.
const MAX_ROOT_BLOCKS: usize = 32;

/// Returns the key that identifies a prompt and its later turns; `None` without a full block.
///
/// The depth is a power of two, so that the root of a short prompt rarely changes as it grows.
pub fn prompt_root(chain: &[block::Key]) -> Option<&block::Key> {
    let depth = chain.len().min(MAX_ROOT_BLOCKS).checked_ilog2()?;
    chain.get((1 << depth) - 1)
}

/// Returns the upstreams in order of preference for a root.
pub fn ranked<'a>(
    root: &block::Key,
    upstreams: impl IntoIterator<Item = &'a id::Upstream>,
) -> Vec<&'a id::Upstream> {
    let mut scored: Vec<_> = upstreams.into_iter().map(|u| (score(root, u), u)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, upstream)| upstream).collect()
}

/// Returns the most preferred upstream for a root whose load stays within [`LOAD_BOUND`].
///
/// Loads are requests in flight, or any other measure with the same unit for all upstreams.
pub fn preferred_upstream<'a>(
    root: &block::Key,
    loads: impl IntoIterator<Item = (&'a id::Upstream, f64)> + Clone,
) -> Option<&'a id::Upstream> {
    let (mut count, mut total) = (0.0, 0.0);
    for (_, load) in loads.clone() {
        count += 1.0;
        total += load;
    }
    let bound = (LOAD_BOUND * (total + 1.0) / count).ceil();
    let available = loads.into_iter().filter(|(_, load)| load + 1.0 <= bound);
    available.max_by_key(|(upstream, _)| (score(root, upstream), *upstream)).map(|(u, _)| u)
}

fn score(root: &block::Key, upstream: &id::Upstream) -> u64 {
    let seed = xxh3::xxh3_64(root.as_bytes());
    xxh3::xxh3_64_with_seed(upstream.as_str().as_bytes(), seed)
}
