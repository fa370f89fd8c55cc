//! The policy under test and its baselines.

use damaskdrift_core::block;
use damaskdrift_core::placement;
use damaskdrift_core::time::Millis;
use derive_more::Display;
use rand::RngExt as _;

use crate::experiment::returning_prompts::engine::{BLOCK_BYTES, PREFILL_RATE};
use crate::experiment::returning_prompts::instance::REPORT_LAG;
use crate::experiment::returning_prompts::model::{ENGINES, Model};
use crate::experiment::returning_prompts::workload::{Prompt, SECOND};

/// How prompts are placed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Policy {
    /// The placement of the core, from late reports and gappy events.
    #[display("placement")]
    Placement,
    /// The engine with the fewest requests, as it truly is, without a store.
    #[display("least-loaded")]
    LeastLoaded,
    /// The core's estimates, but every kept block is imported and no import is given up.
    #[display("import-everything")]
    ImportEverything,
    /// The core's choice from true residency, queues and link state.
    #[display("oracle")]
    Oracle,
}

/// Where a prompt goes.
pub struct Choice {
    /// Index of the engine.
    pub engine: usize,
    /// What to do first.
    pub plan: placement::Plan,
    /// Tokens that are expected to be computed.
    pub missing_tokens: usize,
}

/// Places a prompt that arrived at an instance.
pub fn choose(model: &mut Model<'_>, policy: Policy, instance: usize, prompt: &Prompt) -> Choice {
    model.instances[instance].note_arrival(prompt);
    match policy {
        Policy::Placement => by_placement(model, instance, prompt),
        Policy::LeastLoaded => by_load(model, prompt),
        Policy::ImportEverything => by_import(model, instance, prompt),
        Policy::Oracle => by_truth(model, prompt),
    }
}

fn by_placement(model: &mut Model<'_>, instance: usize, prompt: &Prompt) -> Choice {
    let stored_blocks = stored(model, prompt);
    let now = model.millis();
    let (engines, instance) = (&model.engines, &mut model.instances[instance]);
    instance.note_kept(&prompt.chain()[..stored_blocks]);
    for engine in engines {
        instance.estimates.link(&engine.id).refresh(now);
    }
    let loads: Vec<_> =
        engines.iter().map(|e| (&e.id, instance.estimates.outstanding(&e.id) as f64)).collect();
    let home = placement::prompt_root(prompt.chain())
        .and_then(|root| placement::preferred_upstream(root, loads));
    let view = placement::Prompt { preferred: home, ..view(prompt, stored_blocks) };
    let candidates = engines
        .iter()
        .map(|engine| instance.estimates.candidate(&engine.id, prompt.chain(), REPORT_LAG));
    let candidates: Vec<placement::Candidate<'_>> = candidates.collect();
    let decision = placement::choose(&view, candidates.iter().copied()).expect("there are engines");
    let index = candidates.iter().position(|c| c.upstream == decision.upstream);
    let index = index.expect("the decision names a candidate");
    choice(index, decision.plan, candidates[index].cached_blocks, prompt)
}

fn by_load(model: &mut Model<'_>, prompt: &Prompt) -> Choice {
    let offset = model.rng.random_range(0..ENGINES);
    let order = (0..ENGINES).map(|index| (index + offset) % ENGINES);
    let engine = order.min_by_key(|index| model.engines[*index].load()).unwrap_or(0);
    choice(engine, placement::Plan::Recompute, 0, prompt)
}

fn by_import(model: &mut Model<'_>, instance: usize, prompt: &Prompt) -> Choice {
    let stored = stored(model, prompt);
    let estimates = &model.instances[instance].estimates;
    let mut best: Option<(f64, Choice)> = None;
    for (index, engine) in model.engines.iter().enumerate() {
        let candidate = estimates.candidate(&engine.id, prompt.chain(), REPORT_LAG);
        let held = candidate.cached_blocks;
        let blocks = stored.saturating_sub(held);
        let bytes = candidate.link_queued_bytes + blocks as u64 * BLOCK_BYTES;
        let import = if blocks > 0 { bytes as f64 / candidate.link_bytes_per_s } else { 0.0 };
        let missing = prompt.tokens() - (held + blocks) * block::BLOCK_TOKENS;
        let wait = candidate.queue_wait.0 as f64 / 1_000.0;
        let cost = wait + import - placement::QUEUE_OVERLAP_RATIO * wait.min(import)
            + missing as f64 / PREFILL_RATE;
        if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
            continue;
        }
        let (expected, recompute) = (Millis(0), Millis(0));
        let plan = match blocks {
            0 => placement::Plan::Recompute,
            _ => placement::Plan::Import { first: held, blocks, expected, recompute },
        };
        best = Some((cost, choice(index, plan, held, prompt)));
    }
    best.expect("there are engines").1
}

fn by_truth(model: &Model<'_>, prompt: &Prompt) -> Choice {
    let now = model.now;
    let candidates: Vec<placement::Candidate<'_>> = model
        .engines
        .iter()
        .enumerate()
        .map(|(index, engine)| placement::Candidate {
            upstream: &engine.id,
            queue_wait: Millis(model.true_wait(index) * 1_000 / SECOND),
            prefill_tokens_per_s: PREFILL_RATE,
            cached_blocks: engine.cache.prefix_len(prompt.chain()),
            link_queued_bytes: engine.link_queued(&model.slowdown, now),
            link_bytes_per_s: engine.link_rate(&model.slowdown, now),
        })
        .collect();
    let view = view(prompt, stored(model, prompt));
    let decision = placement::choose(&view, candidates.iter().copied()).expect("there are engines");
    let index = candidates.iter().position(|c| c.upstream == decision.upstream);
    let index = index.expect("the decision names a candidate");
    choice(index, decision.plan, candidates[index].cached_blocks, prompt)
}

fn view<'a>(prompt: &'a Prompt, stored_blocks: usize) -> placement::Prompt<'a> {
    placement::Prompt {
        chain: prompt.chain(),
        tokens: prompt.tokens(),
        stored_blocks,
        block_bytes: BLOCK_BYTES,
        preferred: None,
    }
}

/// Returns how many blocks of a prompt the store keeps, as an instance learns from manifests.
fn stored(model: &Model<'_>, prompt: &Prompt) -> usize {
    model.store.prefix_len(prompt.chain())
}

fn choice(engine: usize, plan: placement::Plan, cached: usize, prompt: &Prompt) -> Choice {
    let imported = match plan {
        placement::Plan::Recompute => 0,
        placement::Plan::Import { blocks, .. } => blocks,
    };
    let held = (cached + imported) * block::BLOCK_TOKENS;
    Choice { engine, plan, missing_tokens: prompt.tokens().saturating_sub(held).max(1) }
}
