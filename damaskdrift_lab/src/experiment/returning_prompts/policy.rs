//! Placement policy under test and its baselines.

use damaskdrift_core::block;
use damaskdrift_core::placement;
use damaskdrift_core::time::Millis;
use derive_more::Display;
use rand::RngExt as _;

use crate::experiment::returning_prompts::engine::{BLOCK_BYTES, PREFILL_TOKENS_PER_S};
use crate::experiment::returning_prompts::instance::REPORT_LAG;
use crate::experiment::returning_prompts::simulation::{ENGINES, Simulation};
use crate::experiment::returning_prompts::workload::{MICROS_PER_SEC, Prompt};

/// Policy that chooses an engine for each prompt.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Policy {
    /// Uses the core's placement with delayed load reports and incomplete cache events.
    #[display("placement")]
    Placement,
    /// Chooses the engine with the fewest requests, by its actual load and without a cache store.
    #[display("least-loaded")]
    LeastLoaded,
    /// Uses the core's estimates, but imports every stored block and never aborts an import.
    #[display("import-everything")]
    ImportEverything,
    /// Uses the core's placement with the actual residency, queues and link state.
    #[display("oracle")]
    Oracle,
}

/// Placement of a prompt on an engine.
pub struct Choice {
    /// Index of the chosen engine.
    pub engine: usize,
    /// Import to run before the prefill, or none.
    pub plan: placement::Plan,
    /// Prompt tokens that are expected to be computed, at least 1.
    pub prefill_tokens: usize,
}

/// Chooses the engine and plan for a prompt that arrived at an instance.
pub fn choose(
    simulation: &mut Simulation<'_>,
    policy: Policy,
    instance: usize,
    prompt: &Prompt,
) -> Choice {
    simulation.instances[instance].record_arrival(prompt);
    match policy {
        Policy::Placement => choose_by_estimates(simulation, instance, prompt),
        Policy::LeastLoaded => choose_least_loaded(simulation, prompt),
        Policy::ImportEverything => choose_with_full_import(simulation, instance, prompt),
        Policy::Oracle => choose_by_actual_state(simulation, prompt),
    }
}

fn choose_by_estimates(
    simulation: &mut Simulation<'_>,
    instance: usize,
    prompt: &Prompt,
) -> Choice {
    let stored_blocks = stored_prefix_len(simulation, prompt);
    let now = simulation.millis();
    let (engines, instance) = (&simulation.engines, &mut simulation.instances[instance]);
    instance.record_stored(&prompt.chain()[..stored_blocks]);
    for engine in engines {
        instance.estimates.link(&engine.id).refresh(now);
    }
    let loads: Vec<_> =
        engines.iter().map(|e| (&e.id, instance.estimates.outstanding(&e.id) as f64)).collect();
    let preferred = placement::prompt_root(prompt.chain())
        .and_then(|root| placement::preferred_upstream(root, loads));
    let request = placement::Prompt { preferred, ..placement_prompt(prompt, stored_blocks) };
    let candidates = engines
        .iter()
        .map(|engine| instance.estimates.candidate(&engine.id, prompt.chain(), REPORT_LAG));
    let candidates: Vec<placement::Candidate<'_>> = candidates.collect();
    let decision = placement::choose(&request, candidates.iter().copied())
        .expect("the simulation has engines");
    let index = candidates.iter().position(|c| c.upstream == decision.upstream);
    let index = index.expect("the decision refers to a candidate");
    choice(index, decision.plan, candidates[index].cached_blocks, prompt)
}

fn choose_least_loaded(simulation: &mut Simulation<'_>, prompt: &Prompt) -> Choice {
    let offset = simulation.rng.random_range(0..ENGINES);
    let order = (0..ENGINES).map(|index| (index + offset) % ENGINES);
    let engine = order.min_by_key(|index| simulation.engines[*index].load()).unwrap_or(0);
    choice(engine, placement::Plan::Recompute, 0, prompt)
}

fn choose_with_full_import(
    simulation: &mut Simulation<'_>,
    instance: usize,
    prompt: &Prompt,
) -> Choice {
    let stored_blocks = stored_prefix_len(simulation, prompt);
    let estimates = &simulation.instances[instance].estimates;
    let mut best: Option<(f64, Choice)> = None;
    for (index, engine) in simulation.engines.iter().enumerate() {
        let candidate = estimates.candidate(&engine.id, prompt.chain(), REPORT_LAG);
        let cached = candidate.cached_blocks;
        let blocks = stored_blocks.saturating_sub(cached);
        let bytes = candidate.link_queued_bytes + blocks as u64 * BLOCK_BYTES;
        let import_secs = if blocks > 0 { bytes as f64 / candidate.link_bytes_per_s } else { 0.0 };
        let uncached = prompt.tokens() - (cached + blocks) * block::BLOCK_TOKENS;
        let wait_secs = candidate.queue_wait.0 as f64 / 1_000.0;
        let cost_secs = wait_secs + import_secs
            - placement::QUEUE_OVERLAP_RATIO * wait_secs.min(import_secs)
            + uncached as f64 / PREFILL_TOKENS_PER_S;
        if best.as_ref().is_some_and(|(lowest, _)| *lowest <= cost_secs) {
            continue;
        }
        let (expected, recompute) = (Millis(0), Millis(0));
        let plan = match blocks {
            0 => placement::Plan::Recompute,
            _ => placement::Plan::Import { first: cached, blocks, expected, recompute },
        };
        best = Some((cost_secs, choice(index, plan, cached, prompt)));
    }
    best.expect("the simulation has engines").1
}

fn choose_by_actual_state(simulation: &Simulation<'_>, prompt: &Prompt) -> Choice {
    let now = simulation.now;
    let candidates: Vec<placement::Candidate<'_>> = simulation
        .engines
        .iter()
        .enumerate()
        .map(|(index, engine)| placement::Candidate {
            upstream: &engine.id,
            queue_wait: Millis(simulation.actual_queue_wait_us(index) * 1_000 / MICROS_PER_SEC),
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            cached_blocks: engine.cache.prefix_len(prompt.chain()),
            link_queued_bytes: engine.link_queued_bytes(&simulation.slowdown, now),
            link_bytes_per_s: engine.link_bytes_per_s(&simulation.slowdown, now),
        })
        .collect();
    let request = placement_prompt(prompt, stored_prefix_len(simulation, prompt));
    let decision = placement::choose(&request, candidates.iter().copied())
        .expect("the simulation has engines");
    let index = candidates.iter().position(|c| c.upstream == decision.upstream);
    let index = index.expect("the decision refers to a candidate");
    choice(index, decision.plan, candidates[index].cached_blocks, prompt)
}

fn placement_prompt<'a>(prompt: &'a Prompt, stored_blocks: usize) -> placement::Prompt<'a> {
    placement::Prompt {
        chain: prompt.chain(),
        tokens: prompt.tokens(),
        stored_blocks,
        block_bytes: BLOCK_BYTES,
        preferred: None,
    }
}

/// Returns the number of leading prompt blocks in the cache store, which an instance reads from
/// manifests.
fn stored_prefix_len(simulation: &Simulation<'_>, prompt: &Prompt) -> usize {
    simulation.store.prefix_len(prompt.chain())
}

fn choice(engine: usize, plan: placement::Plan, cached: usize, prompt: &Prompt) -> Choice {
    let imported = match plan {
        placement::Plan::Recompute => 0,
        placement::Plan::Import { blocks, .. } => blocks,
    };
    let reused_tokens = (cached + imported) * block::BLOCK_TOKENS;
    Choice { engine, plan, prefill_tokens: prompt.tokens().saturating_sub(reused_tokens).max(1) }
}
