//! Selects the upstream for a prompt and the cached blocks to import before prefill.

use derive_more::Display;

use crate::block;
use crate::id;
use crate::time::Millis;

/// Extra time to first token accepted to use the preferred upstream instead of the fastest one.
///
/// Staying on the preferred upstream lets the next turn of a conversation hit its prefix cache.
/// Larger values send prompts to busy upstreams: 20 ms instead of 0 raised the 95th percentile of
/// the returning-prompts experiment by 5%.
const PREFERRED_TOLERANCE: Millis = Millis(5);
/// Fraction of the queue wait that an import of the same duration hides.
///
/// The queue drains during the import, but prompts from other instances are added to it.
pub const QUEUE_OVERLAP_RATIO: f64 = 0.5;
/// Minimum saving for an import, which costs a round trip to the cache store and to the engine.
const IMPORT_OVERHEAD: Millis = Millis(5);

/// A prompt to be placed on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Keys of the prompt's full blocks, first block first.
    pub chain: &'a [block::Key],
    /// Length of the prompt in tokens.
    pub tokens: usize,
    /// Number of leading blocks of the chain that a cache store holds.
    pub stored_blocks: usize,
    /// Size of a block in bytes.
    pub block_bytes: u64,
    /// Preferred upstream of the prompt's root; `None` disables the preference.
    pub preferred: Option<&'a id::Upstream>,
}

/// Estimated state of an upstream that can serve the prompt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Upstream that the estimates describe.
    pub upstream: &'a id::Upstream,
    /// Time until the upstream starts prefill of a new prompt.
    pub queue_wait: Millis,
    /// Prefill rate in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Number of leading blocks of the chain in the upstream's prefix cache.
    pub cached_blocks: usize,
    /// Bytes queued on the upstream's transfer link.
    pub link_queued_bytes: u64,
    /// Rate of the upstream's transfer link in bytes per second.
    pub link_bytes_per_s: f64,
}

/// Action to take before the prompt is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Send the prompt immediately; the engine computes the blocks it does not hold.
    Recompute,
    /// Import blocks from the cache store before sending the prompt.
    Import {
        /// Index in the chain of the first block to import.
        first: usize,
        /// Number of blocks to import.
        blocks: usize,
        /// Expected duration of the import.
        expected: Millis,
        /// Time the engine would need to compute the same blocks.
        recompute: Millis,
    },
}

/// Reason for the choice of a plan.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The engine already holds every block that the cache store has.
    #[display("resident")]
    Resident,
    /// Neither the cache store nor the engine holds any block of the prompt.
    #[display("not-stored")]
    NotStored,
    /// Recomputing the tokens is faster than importing their blocks.
    #[display("link-slower")]
    LinkSlower,
    /// Importing all stored blocks is fastest.
    #[display("import-all")]
    ImportAll,
    /// Importing some of the stored blocks and computing the rest is fastest.
    #[display("import-part")]
    ImportPart,
}

/// Placement chosen for a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision<'a> {
    /// Upstream that receives the prompt.
    pub upstream: &'a id::Upstream,
    /// Action to take before the prompt is sent.
    pub plan: Plan,
    /// Expected time to first token.
    pub expected: Millis,
    /// Reason for the choice of the plan.
    pub reason: Reason,
    /// Whether the upstream is the prompt's preferred one.
    pub is_preferred: bool,
}

/// Selects the upstream with the lowest expected time to first token; `None` without candidates.
///
/// The preferred upstream wins if it is slower by no more than a small tolerance.
pub fn choose<'a>(
    prompt: &Prompt<'a>,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Option<Decision<'a>> {
    let mut best: Option<Decision<'a>> = None;
    let mut preferred = None;
    for candidate in candidates {
        let decision = evaluate(prompt, &candidate);
        if decision.is_preferred {
            preferred = Some(decision);
        }
        if best.is_none_or(|best| decision.expected < best.expected) {
            best = Some(decision);
        }
    }
    let (best, preferred) = (best?, preferred.or(best)?);
    let is_within_tolerance = preferred.expected <= best.expected + PREFERRED_TOLERANCE;
    Some(if is_within_tolerance { preferred } else { best })
}

fn evaluate<'a>(prompt: &Prompt<'a>, candidate: &Candidate<'a>) -> Decision<'a> {
    let (blocks, reason) = choose_import(prompt, candidate);
    let expected = first_token_secs(prompt, candidate, blocks);
    let plan = match blocks {
        0 => Plan::Recompute,
        _ => Plan::Import {
            first: candidate.cached_blocks,
            blocks,
            expected: millis(import_secs(prompt, candidate, blocks)),
            recompute: millis(recompute_secs(candidate, blocks)),
        },
    };
    let is_preferred = prompt.preferred == Some(candidate.upstream);
    Decision {
        upstream: candidate.upstream,
        plan,
        expected: millis(expected),
        reason,
        is_preferred,
    }
}

/// Returns the number of blocks to import and the reason for it.
///
/// An import no longer than the queue wait is partly hidden by it, so the expected time is
/// piecewise linear in the number of blocks. Its minimum lies at one of three counts: none, as many
/// as arrive during the wait, or all.
fn choose_import(prompt: &Prompt<'_>, candidate: &Candidate<'_>) -> (usize, Reason) {
    let all = prompt.stored_blocks.saturating_sub(candidate.cached_blocks);
    if all == 0 {
        let is_resident = candidate.cached_blocks > 0;
        return (0, if is_resident { Reason::Resident } else { Reason::NotStored });
    }
    let wait = secs(candidate.queue_wait);
    let bytes_in_wait = wait * candidate.link_bytes_per_s - candidate.link_queued_bytes as f64;
    let blocks_in_wait = ((bytes_in_wait / prompt.block_bytes as f64).max(0.0) as usize).min(all);
    let (mut blocks, mut cost) =
        (0, first_token_secs(prompt, candidate, 0) - secs(IMPORT_OVERHEAD));
    for option in [blocks_in_wait, all] {
        let option_cost = first_token_secs(prompt, candidate, option);
        if option > 0 && option_cost < cost {
            (blocks, cost) = (option, option_cost);
        }
    }
    let reason = match blocks {
        0 => Reason::LinkSlower,
        _ if blocks == all => Reason::ImportAll,
        _ => Reason::ImportPart,
    };
    (blocks, reason)
}

fn first_token_secs(prompt: &Prompt<'_>, candidate: &Candidate<'_>, imported: usize) -> f64 {
    let cached_tokens = (candidate.cached_blocks + imported) * block::BLOCK_TOKENS;
    let pending_tokens = prompt.tokens.saturating_sub(cached_tokens).max(1);
    let (wait, import) = (secs(candidate.queue_wait), import_secs(prompt, candidate, imported));
    let before_prefill = wait + import - QUEUE_OVERLAP_RATIO * wait.min(import);
    before_prefill + pending_tokens as f64 / candidate.prefill_tokens_per_s
}

fn import_secs(prompt: &Prompt<'_>, candidate: &Candidate<'_>, blocks: usize) -> f64 {
    if blocks == 0 {
        return 0.0;
    }
    let bytes = candidate.link_queued_bytes + blocks as u64 * prompt.block_bytes;
    bytes as f64 / candidate.link_bytes_per_s
}

fn recompute_secs(candidate: &Candidate<'_>, blocks: usize) -> f64 {
    (blocks * block::BLOCK_TOKENS) as f64 / candidate.prefill_tokens_per_s
}

fn secs(duration: Millis) -> f64 {
    duration.0 as f64 / 1_000.0
}

fn millis(secs: f64) -> Millis {
    Millis((secs * 1_000.0).ceil() as u64)
}
