//! Places prompts by the estimated location of KV cache blocks, and has engines export and import
//! blocks.

mod engine;
mod lookup;
mod poll;
mod transfer;

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::block;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::placement;
use damaskdrift_core::time::Millis;

use crate::context;
use crate::platform::cache_store;
use crate::upstream;

pub use poll::run as run_polls;
pub use transfer::run_exports;

/// Assumed age of a load report on receipt.
const REPORT_LAG: Millis = Millis(200);
/// Maximum number of block keys remembered per cache store.
const MAX_STORED_KEYS: usize = 1 << 16;
/// Maximum number of prompt roots remembered to detect returning prompts.
const MAX_ROOTS: usize = 1 << 16;
/// Block size assumed until a cache store or an engine reports the actual one.
const DEFAULT_BLOCK_BYTES: u64 = 64 << 10;
/// Timeout of a cache store lookup; it delays the request that it is made for.
const STORE_TIMEOUT: Duration = Duration::from_millis(50);

/// Estimates of which KV cache blocks engines and cache stores hold.
#[derive(Debug)]
pub struct CacheIndex {
    state: sync::Mutex<State>,
    stores: cache_store::Client,
}

#[derive(Debug, Default)]
struct State {
    estimates: placement::Estimates,
    /// Keys of the blocks that each cache store holds.
    stored_keys: collections::HashMap<id::Upstream, placement::BoundedKeySet>,
    exports: placement::ExportQueue,
    return_stats: placement::ReturnStats,
    seen_roots: placement::BoundedKeySet,
    block_bytes: collections::HashMap<id::Model, u64>,
    last_request: u64,
}

/// A prompt with the keys of its KV cache blocks.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Root of the key chain; sent to the engine with the request.
    pub root: block::Key,
    workspace: id::Workspace,
    model: id::Model,
    chain: Vec<block::Key>,
    tokens: usize,
}

/// The upstream chosen for a prompt, with the cache plan for it.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The upstream that the plan applies to.
    pub upstream: id::Upstream,
    /// Whether to import blocks before the prompt is sent.
    pub plan: placement::Plan,
    store: Option<upstream::Target>,
    stored_blocks: usize,
}

/// Guard that counts a request in its upstream's prefill queue; dropped at the first token.
pub struct PendingPrefill {
    cx: sync::Arc<context::Context>,
    upstream: id::Upstream,
    request: u64,
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self { state: sync::Mutex::default(), stores: cache_store::Client::new(STORE_TIMEOUT) }
    }
}

impl CacheIndex {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }
}

impl Prompt {
    /// Derives the block keys of a prompt; `text` is empty when the prompt is not plain text.
    pub fn new(
        secret: &fleet::Secret,
        workspace: &id::Workspace,
        model: &id::Model,
        version: &id::Version,
        text: &str,
    ) -> Self {
        let root = block::root(secret, workspace, model);
        Self {
            root,
            workspace: workspace.clone(),
            model: model.clone(),
            chain: block::chain(&root, version, text),
            tokens: text.split_whitespace().count(),
        }
    }
}

/// Chooses the upstream with the shortest expected time to first token, and moves it to the front
/// of `targets`.
pub async fn place(
    cx: &context::Context,
    fleet: &fleet::Snapshot,
    prompt: &Prompt,
    targets: &mut [upstream::Target],
) -> Option<Placement> {
    let store = lookup::preferred_store(fleet, &prompt.chain);
    let stored_blocks = lookup::stored_prefix_len(cx, prompt, store.as_ref(), targets).await;
    cx.cache.lock().record_arrival(prompt);
    let placement = decide(cx, prompt, store, stored_blocks, targets)?;
    let index = targets.iter().position(|target| target.id == placement.upstream)?;
    targets[..=index].rotate_right(1);
    Some(placement)
}

fn decide(
    cx: &context::Context,
    prompt: &Prompt,
    store: Option<upstream::Target>,
    stored_blocks: usize,
    targets: &[upstream::Target],
) -> Option<Placement> {
    let mut state = cx.cache.lock();
    let now = cx.now();
    for target in targets {
        state.estimates.link(&target.id).refresh(now);
    }
    let loads = targets.iter().map(|t| (&t.id, state.estimates.outstanding(&t.id) as f64));
    let preferred = placement::prompt_root(&prompt.chain)
        .and_then(|root| placement::preferred_upstream(root, loads.collect::<Vec<_>>()));
    let request = placement::Prompt {
        chain: &prompt.chain,
        tokens: prompt.tokens,
        stored_blocks,
        block_bytes: state.block_bytes(&prompt.model),
        preferred,
    };
    let candidates =
        targets.iter().map(|t| state.estimates.candidate(&t.id, &prompt.chain, REPORT_LAG));
    let decision = placement::choose(&request, candidates)?;
    metrics::counter!("damaskdrift_placements_total", "reason" => decision.reason.to_string())
        .increment(1);
    log::debug!(
        "placed prompt of {} tokens on {} ({}; {stored_blocks} blocks in the cache store)",
        prompt.tokens,
        decision.upstream,
        decision.reason
    );
    let (upstream, plan) = (decision.upstream.clone(), decision.plan);
    Some(Placement { upstream, plan, store, stored_blocks })
}

/// Adds a prompt to the prefill queue of an upstream, and imports the blocks that its plan names.
///
/// The prompt counts as queued before its import starts, so that concurrent placements take it into
/// account.
pub async fn prepare(
    cx: &sync::Arc<context::Context>,
    prompt: &Prompt,
    placement: Option<&Placement>,
    to: &upstream::Target,
) -> PendingPrefill {
    let placement = placement.and_then(|placement| placement_for(cx, prompt, placement, to));
    let pending = start_prefill(cx, prompt, placement.as_ref(), &to.id);
    if let Some(placement) = placement {
        transfer::import(cx, prompt, &placement, to).await;
    }
    pending
}

/// Returns the placement for `to`, replanning if a slot came free there and not at the chosen
/// upstream.
fn placement_for(
    cx: &context::Context,
    prompt: &Prompt,
    placement: &Placement,
    to: &upstream::Target,
) -> Option<Placement> {
    if placement.upstream == to.id {
        return Some(placement.clone());
    }
    decide(cx, prompt, placement.store.clone(), placement.stored_blocks, std::slice::from_ref(to))
}

fn start_prefill(
    cx: &sync::Arc<context::Context>,
    prompt: &Prompt,
    placement: Option<&Placement>,
    upstream: &id::Upstream,
) -> PendingPrefill {
    let mut state = cx.cache.lock();
    state.last_request += 1;
    let request = state.last_request;
    let imported = match placement.map(|placement| placement.plan) {
        Some(placement::Plan::Import { blocks, .. }) => blocks,
        _ => 0,
    };
    let resident = state.estimates.residency.prefix_len(upstream, &prompt.chain) + imported;
    let missing = prompt.tokens.saturating_sub(resident * block::BLOCK_TOKENS).max(1) as u64;
    state.estimates.record_sent(upstream, request, missing, cx.now());
    PendingPrefill { cx: cx.clone(), upstream: upstream.clone(), request }
}

/// Records that an upstream has prefilled a prompt, and queues its blocks for export if worthwhile.
pub fn record_computed(
    cx: &context::Context,
    fleet: &fleet::Snapshot,
    prompt: &Prompt,
    upstream: &id::Upstream,
) {
    let store = lookup::preferred_store(fleet, &prompt.chain);
    let mut state = cx.cache.lock();
    state.estimates.residency.record_chain(upstream, &prompt.chain);
    if let Some(store) = store {
        state.queue_export(prompt, upstream, &store.id);
    }
}

impl Drop for PendingPrefill {
    fn drop(&mut self) {
        let now = self.cx.now();
        self.cx.cache.lock().estimates.record_first_token(&self.upstream, self.request, now);
    }
}

impl State {
    fn record_arrival(&mut self, prompt: &Prompt) {
        let Some(root) = placement::prompt_root(&prompt.chain) else {
            return;
        };
        let is_return = self.seen_roots.prefix_len(&[*root]) == 1;
        self.return_stats.record(&prompt.workspace, is_return);
        self.seen_roots.insert(&[*root], MAX_ROOTS);
    }

    fn block_bytes(&self, model: &id::Model) -> u64 {
        self.block_bytes.get(model).copied().unwrap_or(DEFAULT_BLOCK_BYTES)
    }

    fn stored_keys(&mut self, store: &id::Upstream) -> &mut placement::BoundedKeySet {
        self.stored_keys.entry(store.clone()).or_default()
    }

    fn queue_export(&mut self, prompt: &Prompt, upstream: &id::Upstream, store: &id::Upstream) {
        let stored = self.stored_keys(store).prefix_len(&prompt.chain);
        let blocks = prompt.chain[stored..].to_vec();
        let engine = self.estimates.candidate(upstream, &[], REPORT_LAG);
        let tokens = (blocks.len() * block::BLOCK_TOKENS) as f64;
        let candidate = placement::ExportCandidate {
            upstream: upstream.clone(),
            store: store.clone(),
            return_probability: self.return_stats.probability(&prompt.workspace),
            prefill_secs: tokens / engine.prefill_tokens_per_s,
            bytes: blocks.len() as u64 * self.block_bytes(&prompt.model),
            blocks,
        };
        if candidate.skip_reason(engine.link_bytes_per_s).is_none() {
            self.exports.push(candidate);
        }
    }
}
