//! Finds how much of a prompt a store keeps.

use damaskdrift_core::block;
use damaskdrift_core::fleet;
use damaskdrift_core::placement;
use futures_util::future;

use crate::context;
use crate::control::cache::{MAX_KEPT, Prompt, REPORT_LAG};
use crate::upstream;

/// Prefill time that is worth asking a store for, in seconds; below it, the round trip costs more
/// than a partial import can save.
const MIN_MISSING_SECS: f64 = 0.05;
/// Manifests that are read at once.
const PROBES: usize = 8;

/// Returns the store of a chain: the one its root prefers in a failure domain that takes new work.
pub fn store_of(fleet: &fleet::Snapshot, chain: &[block::Key]) -> Option<upstream::Target> {
    let root = placement::prompt_root(chain)?;
    let document = &fleet.document;
    let stores = document.upstreams.iter().filter(|(_, upstream)| {
        matches!(upstream.kind, fleet::Kind::Store)
            && document.is_domain_in_service(&upstream.failure_domain)
    });
    let first = placement::ranked(root, stores.map(|(id, _)| id)).into_iter().next()?;
    upstream::Target::new(first, document.upstreams.get(first)?)
}

/// Returns how many blocks from the start of a prompt's chain its store keeps.
///
/// The store is asked only when an import could save enough time. A chain is exported from its
/// start, so a block that is kept shows that the blocks before it were kept too; if one of them
/// was freed since, the import ends there.
pub async fn stored(
    cx: &context::Context,
    prompt: &Prompt,
    store: Option<&upstream::Target>,
    targets: &[upstream::Target],
) -> usize {
    let Some(store) = store else {
        return 0;
    };
    let known = cx.cache.lock().kept(&store.id).prefix_len(&prompt.chain);
    let from = known.max(held(cx, prompt, targets));
    if !is_worth_asking(cx, &prompt.chain[from..], targets) {
        return known;
    }
    let found = probe(cx, store, &prompt.chain, from).await;
    let mut state = cx.cache.lock();
    let Some((blocks, bytes)) = found else {
        return known;
    };
    state.block_bytes.insert(prompt.model.clone(), bytes);
    state.kept(&store.id).insert(&prompt.chain[..blocks], MAX_KEPT);
    blocks.max(known)
}

fn held(cx: &context::Context, prompt: &Prompt, targets: &[upstream::Target]) -> usize {
    let state = cx.cache.lock();
    let residency = &state.estimates.residency;
    targets.iter().map(|t| residency.prefix_len(&t.id, &prompt.chain)).max().unwrap_or(0)
}

fn is_worth_asking(
    cx: &context::Context,
    missing: &[block::Key],
    targets: &[upstream::Target],
) -> bool {
    let state = cx.cache.lock();
    let rates = targets.iter().map(|t| state.estimates.candidate(&t.id, &[], REPORT_LAG));
    let fastest = rates.map(|c| c.prefill_tokens_per_s).fold(0.0, f64::max);
    (missing.len() * block::BLOCK_TOKENS) as f64 > MIN_MISSING_SECS * fastest
}

/// Reads some manifests of a chain at once and returns up to which block it is kept, and the size
/// of a block.
async fn probe(
    cx: &context::Context,
    store: &upstream::Target,
    chain: &[block::Key],
    from: usize,
) -> Option<(usize, u64)> {
    let missing = chain.len() - from;
    let count = PROBES.min(missing);
    let lengths: Vec<usize> = (1..=count).map(|n| from + missing * n / count).collect();
    let manifests = lengths.iter().map(|length| async {
        cx.cache.stores.manifest(store.address, &chain[*length - 1]).await.ok().flatten()
    });
    let found = future::join_all(manifests).await;
    let last = found.iter().rposition(Option::is_some)?;
    found[last].as_ref().map(|manifest| (lengths[last], manifest.bytes))
}
