//! Chooses the upstream of a prompt and how much of its kept KV cache to import.

use derive_more::Display;

use crate::block;
use crate::id;
use crate::time::Millis;

/// Cost below which the preferred upstream is chosen over a cheaper one.
///
/// A prompt that stays with its preferred upstream is found there when it returns. A larger value
/// sends prompts to busy upstreams: 20 ms instead of 0 made the experiment returning-prompts 5%
/// slower at the 95th percentile.
const HOME_TOLERANCE: Millis = Millis(5);
/// Part of the queue wait that passes during an import of the same length.
///
/// The queue shrinks during the import, but prompts of other instances join it.
pub const OVERLAP: f64 = 0.5;
/// Time that an import has to save, because it takes a round trip to the store and to the engine.
const IMPORT_OVERHEAD: Millis = Millis(5);

/// A prompt that has to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Keys of its full blocks.
    pub chain: &'a [block::Key],
    /// Its length in tokens.
    pub tokens: usize,
    /// How many blocks from the start of the chain a store keeps.
    pub stored_blocks: usize,
    /// Size of a block in bytes.
    pub block_bytes: u64,
    /// The upstream that its root prefers.
    pub home: Option<&'a id::Upstream>,
}

/// What is estimated of an upstream that may run the prompt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a id::Upstream,
    /// Time until it begins with another prompt.
    pub queue_wait: Millis,
    /// Prompt tokens it computes a second.
    pub prefill_tokens_per_s: f64,
    /// How many blocks from the start of the chain it holds.
    pub cached_blocks: usize,
    /// Bytes queued on its transfer link.
    pub link_queued_bytes: u64,
    /// Rate of its transfer link in bytes a second.
    pub link_bytes_per_s: f64,
}

/// What to do before the prompt is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Send the prompt at once; the engine computes what it does not hold.
    Recompute,
    /// Import blocks first.
    Import {
        /// Index of the first block to import.
        first: usize,
        /// Number of blocks to import.
        blocks: usize,
        /// Expected time of the import.
        expected: Millis,
        /// Time in which the engine computes these blocks itself.
        recompute: Millis,
    },
}

/// Why a plan was chosen.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The engine holds the whole prefix that is kept anywhere.
    #[display("resident")]
    Resident,
    /// No store keeps more of the prompt than the engine holds.
    #[display("not-stored")]
    NotStored,
    /// Computing the tokens is faster than importing their blocks.
    #[display("link-slower")]
    LinkSlower,
    /// Importing all kept blocks is fastest.
    #[display("import-all")]
    ImportAll,
    /// Importing some of the kept blocks and computing the rest is fastest.
    #[display("import-part")]
    ImportPart,
}

/// Where a prompt runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision<'a> {
    /// The upstream.
    pub upstream: &'a id::Upstream,
    /// What to do before the prompt is sent.
    pub plan: Plan,
    /// Expected time to first token.
    pub expected: Millis,
    /// Why the plan was chosen.
    pub reason: Reason,
    /// Whether the upstream is the one that the prompt's root prefers.
    pub is_home: bool,
}

/// Chooses the upstream with the least expected time to first token; none without a candidate.
pub fn choose<'a>(
    prompt: &Prompt<'a>,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Option<Decision<'a>> {
    let mut best: Option<Decision<'a>> = None;
    let mut home = None;
    for candidate in candidates {
        let decision = weigh(prompt, &candidate);
        if decision.is_home {
            home = Some(decision);
        }
        if best.is_none_or(|best| decision.expected < best.expected) {
            best = Some(decision);
        }
    }
    let (best, home) = (best?, home.or(best)?);
    let is_near = home.expected <= best.expected + HOME_TOLERANCE;
    Some(if is_near { home } else { best })
}

fn weigh<'a>(prompt: &Prompt<'a>, candidate: &Candidate<'a>) -> Decision<'a> {
    let (blocks, reason) = import_blocks(prompt, candidate);
    let expected = expected(prompt, candidate, blocks);
    let plan = match blocks {
        0 => Plan::Recompute,
        _ => Plan::Import {
            first: candidate.cached_blocks,
            blocks,
            expected: millis(import_secs(prompt, candidate, blocks)),
            recompute: millis(saved_secs(candidate, blocks)),
        },
    };
    let is_home = prompt.home == Some(candidate.upstream);
    Decision { upstream: candidate.upstream, plan, expected: millis(expected), reason, is_home }
}

/// Returns how many blocks to import.
///
/// The import overlaps with the work on the queue, so up to the queue wait its time counts only in
/// part. The cost is thus piecewise linear in the number of blocks, and its least value lies
/// at one of: none, as many as arrive during the wait, or all.
fn import_blocks(prompt: &Prompt<'_>, candidate: &Candidate<'_>) -> (usize, Reason) {
    let all = prompt.stored_blocks.saturating_sub(candidate.cached_blocks);
    if all == 0 {
        let is_resident = candidate.cached_blocks > 0;
        return (0, if is_resident { Reason::Resident } else { Reason::NotStored });
    }
    let wait = secs(candidate.queue_wait);
    let bytes_in_wait = wait * candidate.link_bytes_per_s - candidate.link_queued_bytes as f64;
    let in_wait = ((bytes_in_wait / prompt.block_bytes as f64).max(0.0) as usize).min(all);
    let (mut blocks, mut cost) = (0, expected(prompt, candidate, 0) - secs(IMPORT_OVERHEAD));
    for option in [in_wait, all] {
        let option_cost = expected(prompt, candidate, option);
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

fn expected(prompt: &Prompt<'_>, candidate: &Candidate<'_>, imported: usize) -> f64 {
    let held = (candidate.cached_blocks + imported) * block::BLOCK_TOKENS;
    let missing = prompt.tokens.saturating_sub(held).max(1);
    let (wait, import) = (secs(candidate.queue_wait), import_secs(prompt, candidate, imported));
    let before = wait + import - OVERLAP * wait.min(import);
    before + missing as f64 / candidate.prefill_tokens_per_s
}

fn import_secs(prompt: &Prompt<'_>, candidate: &Candidate<'_>, blocks: usize) -> f64 {
    if blocks == 0 {
        return 0.0;
    }
    let bytes = candidate.link_queued_bytes + blocks as u64 * prompt.block_bytes;
    bytes as f64 / candidate.link_bytes_per_s
}

fn saved_secs(candidate: &Candidate<'_>, blocks: usize) -> f64 {
    (blocks * block::BLOCK_TOKENS) as f64 / candidate.prefill_tokens_per_s
}

fn secs(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

fn millis(secs: f64) -> Millis {
    Millis((secs * 1_000.0).ceil() as u64)
}
