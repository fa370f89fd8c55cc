//! Looks up how much of a prompt a cache store holds.

use damaskdrift_core::block;
use damaskdrift_core::fleet;
use damaskdrift_core::placement;
use futures_util::future;

use crate::context;
use crate::control::cache::{MAX_STORED_KEYS, Prompt, REPORT_LAG};
use crate::upstream;

/// Prefill time below which a lookup is skipped, in seconds, because the round trip costs more than
/// a partial import can save.
const MIN_PREFILL_SECS: f64 = 0.05;
/// Maximum number of manifests read concurrently.
const MAX_PROBES: usize = 8;

/// Returns the cache store that ranks first for the root of a chain, among those in failure domains
/// that are in service.
pub fn preferred_store(fleet: &fleet::Snapshot, chain: &[block::Key]) -> Option<upstream::Target> {
    let root = placement::prompt_root(chain)?;
    let document = &fleet.document;
    let stores = document.upstreams.iter().filter(|(_, upstream)| {
        matches!(upstream.kind, fleet::Kind::Store)
            && document.is_domain_in_service(&upstream.failure_domain)
    });
    let first = placement::ranked(root, stores.map(|(id, _)| id)).into_iter().next()?;
    upstream::Target::new(first, document.upstreams.get(first)?)
}

/// Returns how many blocks from the start of a prompt's chain its cache store holds.
///
/// The store is queried only when an import could save enough time. A chain is exported from its
/// start, so a stored block implies that the blocks before it were stored too; if one of them has
/// been evicted since, the import ends there.
pub async fn stored_prefix_len(
    cx: &context::Context,
    prompt: &Prompt,
    store: Option<&upstream::Target>,
    targets: &[upstream::Target],
) -> usize {
    let Some(store) = store else {
        return 0;
    };
    let known = cx.cache.lock().stored_keys(&store.id).prefix_len(&prompt.chain);
    let from = known.max(resident_prefix_len(cx, prompt, targets));
    if !is_lookup_worthwhile(cx, &prompt.chain[from..], targets) {
        return known;
    }
    let found = probe(cx, store, &prompt.chain, from).await;
    let mut state = cx.cache.lock();
    let Some((blocks, bytes)) = found else {
        return known;
    };
    state.block_bytes.insert(prompt.model.clone(), bytes);
    state.stored_keys(&store.id).insert(&prompt.chain[..blocks], MAX_STORED_KEYS);
    blocks.max(known)
}

/// Returns the longest prefix of a prompt, in blocks, that any of the engines holds.
fn resident_prefix_len(
    cx: &context::Context,
    prompt: &Prompt,
    targets: &[upstream::Target],
) -> usize {
    let state = cx.cache.lock();
    let residency = &state.estimates.residency;
    targets.iter().map(|t| residency.prefix_len(&t.id, &prompt.chain)).max().unwrap_or(0)
}

fn is_lookup_worthwhile(
    cx: &context::Context,
    missing: &[block::Key],
    targets: &[upstream::Target],
) -> bool {
    let state = cx.cache.lock();
    let rates = targets.iter().map(|t| state.estimates.candidate(&t.id, &[], REPORT_LAG));
    let fastest = rates.map(|c| c.prefill_tokens_per_s).fold(0.0, f64::max);
    (missing.len() * block::BLOCK_TOKENS) as f64 > MIN_PREFILL_SECS * fastest
}

/// Reads evenly spaced manifests of a chain concurrently, and returns the length of the stored
/// prefix and the size of a block in bytes.
async fn probe(
    cx: &context::Context,
    store: &upstream::Target,
    chain: &[block::Key],
    from: usize,
) -> Option<(usize, u64)> {
    let missing = chain.len() - from;
    let count = MAX_PROBES.min(missing);
    let lengths: Vec<usize> = (1..=count).map(|n| from + missing * n / count).collect();
    let manifests = lengths.iter().map(|length| async {
        cx.cache.stores.manifest(store.address, &chain[*length - 1]).await.ok().flatten()
    });
    let found = future::join_all(manifests).await;
    let last = found.iter().rposition(Option::is_some)?;
    found[last].as_ref().map(|manifest| (lengths[last], manifest.bytes))
}
