//! Places prompts by what is known of kept KV cache, and orders its export and import.

mod call;
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

/// Age that a load report has when it is received.
const REPORT_LAG: Millis = Millis(200);
/// Most blocks remembered of what a store keeps.
const MAX_KEPT: usize = 1 << 16;
/// Most prompt roots remembered to recognise returns.
const MAX_ROOTS: usize = 1 << 16;
/// Size of a block assumed until a store or an engine reports it, in bytes.
const DEFAULT_BLOCK_BYTES: u64 = 64 << 10;
/// Longest wait for a store on the path of a request.
const STORE_TIMEOUT: Duration = Duration::from_millis(50);

/// What an instance knows of kept KV cache.
#[derive(Debug)]
pub struct Cache {
    state: sync::Mutex<State>,
    stores: cache_store::Client,
}

#[derive(Debug, Default)]
struct State {
    estimates: placement::Estimates,
    kept: collections::HashMap<id::Upstream, placement::BoundedKeySet>,
    exports: placement::ExportQueue,
    returns: placement::ReturnStats,
    roots: placement::BoundedKeySet,
    block_bytes: collections::HashMap<id::Model, u64>,
    requests: u64,
}

/// A prompt with the keys of its blocks.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Root of its chain, which its engine is told.
    pub root: block::Key,
    workspace: id::Workspace,
    model: id::Model,
    chain: Vec<block::Key>,
    tokens: usize,
}

/// What was decided for a prompt.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The upstream that the plan is for.
    pub upstream: id::Upstream,
    /// What to do before the prompt is sent there.
    pub plan: placement::Plan,
    store: Option<upstream::Target>,
    stored_blocks: usize,
}

/// A request without a first token, which adds to its upstream's queue until this is dropped.
pub struct Sent {
    cx: sync::Arc<context::Context>,
    upstream: id::Upstream,
    request: u64,
}

impl Default for Cache {
    fn default() -> Self {
        Self { state: sync::Mutex::default(), stores: cache_store::Client::new(STORE_TIMEOUT) }
    }
}

impl Cache {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }
}

impl Prompt {
    /// Derives the keys of a prompt's blocks; `text` is empty when the prompt is not plain text.
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

/// Moves the upstream with the least expected time to first token to the front.
pub async fn place(
    cx: &context::Context,
    fleet: &fleet::Snapshot,
    prompt: &Prompt,
    targets: &mut [upstream::Target],
) -> Option<Placed> {
    let store = lookup::store_of(fleet, &prompt.chain);
    let stored_blocks = lookup::stored(cx, prompt, store.as_ref(), targets).await;
    cx.cache.lock().note_arrival(prompt);
    let placed = decide(cx, prompt, store, stored_blocks, targets)?;
    let index = targets.iter().position(|target| target.id == placed.upstream)?;
    targets[..=index].rotate_right(1);
    Some(placed)
}

fn decide(
    cx: &context::Context,
    prompt: &Prompt,
    store: Option<upstream::Target>,
    stored_blocks: usize,
    targets: &[upstream::Target],
) -> Option<Placed> {
    let mut state = cx.cache.lock();
    let now = cx.now();
    for target in targets {
        state.estimates.link(&target.id).refresh(now);
    }
    let loads = targets.iter().map(|t| (&t.id, state.estimates.outstanding(&t.id) as f64));
    let home = placement::prompt_root(&prompt.chain)
        .and_then(|root| placement::preferred_upstream(root, loads.collect::<Vec<_>>()));
    let view = placement::Prompt {
        chain: &prompt.chain,
        tokens: prompt.tokens,
        stored_blocks,
        block_bytes: state.block_bytes(&prompt.model),
        preferred: home,
    };
    let candidates =
        targets.iter().map(|t| state.estimates.candidate(&t.id, &prompt.chain, REPORT_LAG));
    let decision = placement::choose(&view, candidates)?;
    metrics::counter!("damaskdrift_placements_total", "reason" => decision.reason.to_string())
        .increment(1);
    log::debug!(
        "prompt of {} tokens placed on {} ({}; {stored_blocks} blocks stored)",
        prompt.tokens,
        decision.upstream,
        decision.reason
    );
    let (upstream, plan) = (decision.upstream.clone(), decision.plan);
    Some(Placed { upstream, plan, store, stored_blocks })
}

/// Notes that a prompt goes to an upstream, and imports what its plan asks for.
///
/// The prompt counts as queued from the start of its import, so that prompts placed meanwhile see
/// it.
pub async fn begin(
    cx: &sync::Arc<context::Context>,
    prompt: &Prompt,
    placed: Option<&Placed>,
    to: &upstream::Target,
) -> Sent {
    let placed = placed.and_then(|placed| plan_for(cx, prompt, placed, to));
    let sent = note_sent(cx, prompt, placed.as_ref(), &to.id);
    if let Some(placed) = placed {
        transfer::import(cx, prompt, &placed, to).await;
    }
    sent
}

/// Plans again when another upstream than the chosen one had a slot first.
fn plan_for(
    cx: &context::Context,
    prompt: &Prompt,
    placed: &Placed,
    to: &upstream::Target,
) -> Option<Placed> {
    if placed.upstream == to.id {
        return Some(placed.clone());
    }
    decide(cx, prompt, placed.store.clone(), placed.stored_blocks, std::slice::from_ref(to))
}

fn note_sent(
    cx: &sync::Arc<context::Context>,
    prompt: &Prompt,
    placed: Option<&Placed>,
    upstream: &id::Upstream,
) -> Sent {
    let mut state = cx.cache.lock();
    state.requests += 1;
    let request = state.requests;
    let imported = match placed.map(|placed| placed.plan) {
        Some(placement::Plan::Import { blocks, .. }) => blocks,
        _ => 0,
    };
    let held = state.estimates.residency.prefix_len(upstream, &prompt.chain) + imported;
    let missing = prompt.tokens.saturating_sub(held * block::BLOCK_TOKENS).max(1) as u64;
    state.estimates.record_sent(upstream, request, missing, cx.now());
    Sent { cx: cx.clone(), upstream: upstream.clone(), request }
}

/// Notes that an upstream computed a prompt, and offers its blocks for export.
pub fn computed(
    cx: &context::Context,
    fleet: &fleet::Snapshot,
    prompt: &Prompt,
    upstream: &id::Upstream,
) {
    let store = lookup::store_of(fleet, &prompt.chain);
    let mut state = cx.cache.lock();
    state.estimates.residency.record_chain(upstream, &prompt.chain);
    if let Some(store) = store {
        state.offer(prompt, upstream, &store.id);
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let now = self.cx.now();
        self.cx.cache.lock().estimates.record_first_token(&self.upstream, self.request, now);
    }
}

impl State {
    fn note_arrival(&mut self, prompt: &Prompt) {
        let Some(root) = placement::prompt_root(&prompt.chain) else {
            return;
        };
        let is_return = self.roots.prefix_len(&[*root]) == 1;
        self.returns.record(&prompt.workspace, is_return);
        self.roots.insert(&[*root], MAX_ROOTS);
    }

    fn block_bytes(&self, model: &id::Model) -> u64 {
        self.block_bytes.get(model).copied().unwrap_or(DEFAULT_BLOCK_BYTES)
    }

    fn kept(&mut self, store: &id::Upstream) -> &mut placement::BoundedKeySet {
        self.kept.entry(store.clone()).or_default()
    }

    fn offer(&mut self, prompt: &Prompt, upstream: &id::Upstream, store: &id::Upstream) {
        let kept = self.kept(store).prefix_len(&prompt.chain);
        let blocks = prompt.chain[kept..].to_vec();
        let candidate = self.estimates.candidate(upstream, &[], REPORT_LAG);
        let tokens = (blocks.len() * block::BLOCK_TOKENS) as f64;
        let offer = placement::ExportCandidate {
            upstream: upstream.clone(),
            store: store.clone(),
            return_probability: self.returns.probability(&prompt.workspace),
            prefill_secs: tokens / candidate.prefill_tokens_per_s,
            bytes: blocks.len() as u64 * self.block_bytes(&prompt.model),
            blocks,
        };
        if offer.skip_reason(candidate.link_bytes_per_s).is_none() {
            self.exports.push(offer);
        }
    }
}
