//! Seeded workload of conversations whose prompts return after pauses.

use std::sync;

use damaskdrift_core::block;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3;

/// Microseconds in a second.
pub const MICROS_PER_SEC: u64 = 1_000_000;

/// Relative number of conversations of each workspace; a few workspaces dominate.
const WORKSPACE_WEIGHTS: [u32; 10] = [30, 20, 15, 10, 8, 6, 4, 3, 2, 2];
/// Probability, for each workspace, that a conversation continues after a prompt.
const RETURN_PROBABILITIES: [f64; 10] = [0.85, 0.8, 0.75, 0.85, 0.5, 0.8, 0.3, 0.7, 0.6, 0.8];
/// Bounds of the system prompt's length, which grows with the index of the workspace.
const SYSTEM_BLOCKS: (usize, usize) = (8, 30);
/// Bounds of the first message's length.
const FIRST_MESSAGE_BLOCKS: (usize, usize) = (30, 240);
/// Bounds of the blocks that a turn adds, including the previous response.
const ADDED_BLOCKS: (usize, usize) = (6, 40);
/// Shortest and mean pause between two prompts of a conversation.
const PAUSE_SECS: (f64, f64) = (20.0, 150.0);
/// Largest number of prompts in a conversation.
const MAX_TURNS: usize = 12;
/// Conversations from which the mean number of prompt tokens is estimated.
const SAMPLE_CONVERSATIONS: u64 = 2_000;
/// Time before the start in which conversations may begin, so that returning prompts arrive from
/// the start on.
const LEAD_TIME_US: u64 = 1_500 * MICROS_PER_SEC;

/// A prompt of the workload.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Arrival time in microseconds.
    pub arrived_at: u64,
    /// Index into the weights of the workspaces.
    pub workspace: usize,
    /// Block keys of the whole conversation; the prompt consists of the first `blocks`.
    pub conversation: sync::Arc<[block::Key]>,
    /// Number of full blocks in the prompt.
    pub blocks: usize,
    /// Number of leading blocks that the previous prompt already had; 0 for the first prompt.
    pub repeated_blocks: usize,
}

impl Prompt {
    /// Returns the keys of the prompt's full blocks.
    pub fn chain(&self) -> &[block::Key] {
        &self.conversation[..self.blocks]
    }

    /// Returns the length in tokens, half a block more than the full blocks.
    pub fn tokens(&self) -> usize {
        self.blocks * block::BLOCK_TOKENS + block::BLOCK_TOKENS / 2
    }

    /// Returns whether the prompt continues a conversation.
    pub fn is_return(&self) -> bool {
        self.repeated_blocks > 0
    }
}

/// Generates prompts for a duration in microseconds, with a mean rate in prompt tokens per second.
pub fn generate(duration: u64, tokens_per_s: f64, seed: u64) -> Vec<Prompt> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sample: Vec<Prompt> =
        (0..SAMPLE_CONVERSATIONS).flat_map(|n| conversation(n, 0, &mut rng)).collect();
    let tokens: usize = sample.iter().map(Prompt::tokens).sum();
    let conversations_per_s = tokens_per_s / (tokens as f64 / SAMPLE_CONVERSATIONS as f64);
    let count =
        ((duration + LEAD_TIME_US) as f64 / MICROS_PER_SEC as f64 * conversations_per_s) as u64;
    let mut prompts = Vec::new();
    for number in 0..count {
        let start = rng.random_range(0..duration + LEAD_TIME_US);
        prompts.extend(conversation(number, start, &mut rng));
    }
    prompts.retain(|prompt| (LEAD_TIME_US..LEAD_TIME_US + duration).contains(&prompt.arrived_at));
    for prompt in &mut prompts {
        prompt.arrived_at -= LEAD_TIME_US;
    }
    prompts.sort_by_key(|prompt| prompt.arrived_at);
    prompts
}

fn conversation(number: u64, start: u64, rng: &mut ChaCha8Rng) -> Vec<Prompt> {
    let workspace = pick_workspace(rng);
    let (min, max) = SYSTEM_BLOCKS;
    let system = min + (max - min) * workspace / WORKSPACE_WEIGHTS.len();
    let mut lengths =
        vec![system + rng.random_range(FIRST_MESSAGE_BLOCKS.0..FIRST_MESSAGE_BLOCKS.1)];
    let mut times = vec![start];
    while lengths.len() < MAX_TURNS && rng.random_bool(RETURN_PROBABILITIES[workspace]) {
        let last = lengths[lengths.len() - 1];
        lengths.push(last + rng.random_range(ADDED_BLOCKS.0..ADDED_BLOCKS.1));
        let uniform: f64 = rng.random_range(1e-9..1.0);
        let pause = PAUSE_SECS.0 - uniform.ln() * (PAUSE_SECS.1 - PAUSE_SECS.0);
        times.push(times[times.len() - 1] + (pause * MICROS_PER_SEC as f64) as u64);
    }
    let total = lengths[lengths.len() - 1];
    let keys = (0..total).map(|index| {
        // Workspaces and conversations are numbered in one range, so that their keys differ.
        let owner =
            if index < system { workspace as u64 } else { number + WORKSPACE_WEIGHTS.len() as u64 };
        block_key(owner, index as u64)
    });
    let keys: sync::Arc<[block::Key]> = keys.collect();
    let repeated = std::iter::once(0).chain(lengths.iter().copied());
    let turns = times.iter().zip(&lengths).zip(repeated);
    turns
        .map(|((&arrived_at, &blocks), repeated_blocks)| Prompt {
            arrived_at,
            workspace,
            conversation: keys.clone(),
            blocks,
            repeated_blocks,
        })
        .collect()
}

fn pick_workspace(rng: &mut ChaCha8Rng) -> usize {
    let mut remaining = rng.random_range(0..WORKSPACE_WEIGHTS.iter().sum::<u32>());
    for (index, weight) in WORKSPACE_WEIGHTS.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    0
}

fn block_key(owner: u64, index: u64) -> block::Key {
    let mut bytes = [0; 32];
    for (word, chunk) in bytes.chunks_exact_mut(8).enumerate() {
        let input = [owner.to_le_bytes(), index.to_le_bytes()].concat();
        chunk.copy_from_slice(&xxh3::xxh3_64_with_seed(&input, word as u64).to_le_bytes());
    }
    block::Key::new(bytes)
}
