//! Seeded load of prompts that return after gaps.

use std::sync;

use damaskdrift_core::block;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// Relative size of each workspace: a few are large.
const SHARES: [u32; 10] = [30, 20, 15, 10, 8, 6, 4, 3, 2, 2];
/// Chance that a prompt of each workspace returns.
const RETURNS: [f64; 10] = [0.85, 0.8, 0.75, 0.85, 0.5, 0.8, 0.3, 0.7, 0.6, 0.8];
/// Blocks of the system prompt of the smallest and largest workspace.
const SYSTEM_BLOCKS: (usize, usize) = (8, 30);
/// Blocks of the first message.
const FIRST_BLOCKS: (usize, usize) = (30, 240);
/// Blocks that a return adds, the former answer included.
const MORE_BLOCKS: (usize, usize) = (6, 40);
/// Shortest and mean gap between two prompts of a conversation, in seconds.
const GAP_SECS: (f64, f64) = (20.0, 150.0);
/// Most prompts of a conversation.
const MAX_TURNS: usize = 12;
/// Time before the start for which conversations are generated, so that the start sees returns.
const LEAD: u64 = 1_500 * SECOND;

/// A prompt of the load.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// When it arrives, in microseconds.
    pub at: u64,
    /// Index of the workspace.
    pub workspace: usize,
    /// Blocks of its conversation; the first `blocks` are its own.
    pub conversation: sync::Arc<[block::Key]>,
    /// Number of its full blocks.
    pub blocks: usize,
    /// Blocks that earlier prompts of the conversation had.
    pub known_blocks: usize,
}

impl Prompt {
    /// Returns the keys of its blocks.
    pub fn chain(&self) -> &[block::Key] {
        &self.conversation[..self.blocks]
    }

    /// Returns its length in tokens.
    pub fn tokens(&self) -> usize {
        self.blocks * block::BLOCK_TOKENS + block::BLOCK_TOKENS / 2
    }

    /// Returns whether an earlier prompt of its conversation came before.
    pub fn is_return(&self) -> bool {
        self.known_blocks > 0
    }
}

/// Generates the prompts of a time so that they need a number of tokens a second on average.
pub fn generate(duration: u64, tokens_per_s: f64, seed: u64) -> Vec<Prompt> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // One conversation a second first shows how many tokens a conversation needs.
    let sample: Vec<Prompt> = (0..2_000).flat_map(|n| conversation(n, 0, &mut rng)).collect();
    let tokens: usize = sample.iter().map(Prompt::tokens).sum();
    let conversations_per_s = tokens_per_s / (tokens as f64 / 2_000.0);
    let count = ((duration + LEAD) as f64 / SECOND as f64 * conversations_per_s) as u64;
    let mut prompts = Vec::new();
    for number in 0..count {
        let start = rng.random_range(0..duration + LEAD);
        prompts.extend(conversation(number, start, &mut rng));
    }
    prompts.retain(|prompt| (LEAD..LEAD + duration).contains(&prompt.at));
    for prompt in &mut prompts {
        prompt.at -= LEAD;
    }
    prompts.sort_by_key(|prompt| prompt.at);
    prompts
}

fn conversation(number: u64, start: u64, rng: &mut ChaCha8Rng) -> Vec<Prompt> {
    let workspace = pick_workspace(rng);
    let (least, most) = SYSTEM_BLOCKS;
    let system = least + (most - least) * workspace / SHARES.len();
    let mut lengths = vec![system + rng.random_range(FIRST_BLOCKS.0..FIRST_BLOCKS.1)];
    let mut times = vec![start];
    while lengths.len() < MAX_TURNS && rng.random_bool(RETURNS[workspace]) {
        let last = lengths[lengths.len() - 1];
        lengths.push(last + rng.random_range(MORE_BLOCKS.0..MORE_BLOCKS.1));
        let unit: f64 = rng.random_range(1e-9..1.0);
        let gap = GAP_SECS.0 - unit.ln() * (GAP_SECS.1 - GAP_SECS.0);
        times.push(times[times.len() - 1] + (gap * SECOND as f64) as u64);
    }
    let total = lengths[lengths.len() - 1];
    let keys = (0..total).map(|index| {
        let owner = if index < system { workspace as u64 } else { number + SHARES.len() as u64 };
        key(owner, index as u64)
    });
    let keys: sync::Arc<[block::Key]> = keys.collect();
    let known = std::iter::once(0).chain(lengths.iter().copied());
    let turns = times.iter().zip(&lengths).zip(known);
    turns
        .map(|((&at, &blocks), known_blocks)| Prompt {
            at,
            workspace,
            conversation: keys.clone(),
            blocks,
            known_blocks,
        })
        .collect()
}

fn pick_workspace(rng: &mut ChaCha8Rng) -> usize {
    let mut left = rng.random_range(0..SHARES.iter().sum::<u32>());
    for (index, share) in SHARES.iter().enumerate() {
        if left < *share {
            return index;
        }
        left -= share;
    }
    0
}

fn key(owner: u64, index: u64) -> block::Key {
    let mut bytes = [0; 32];
    for (part, chunk) in bytes.chunks_exact_mut(8).enumerate() {
        let text = [owner.to_le_bytes(), index.to_le_bytes()].concat();
        chunk.copy_from_slice(&xxh3::xxh3_64_with_seed(&text, part as u64).to_le_bytes());
    }
    block::Key::new(bytes)
}
