//! Prioritizes the export of cached blocks to cache stores.

use std::cmp;
use std::collections;

use derive_more::Display;

use crate::block;
use crate::id;

/// Maximum number of queued exports; the one with the lowest priority is dropped first.
const MAX_QUEUED: usize = 1_024;

/// A chain held by an engine that can be exported to a cache store.
#[derive(Clone, Debug)]
pub struct ExportCandidate {
    /// Engine that holds the blocks.
    pub upstream: id::Upstream,
    /// Cache store that receives the blocks.
    pub store: id::Upstream,
    /// Blocks to export, in chain order.
    pub blocks: Vec<block::Key>,
    /// Probability that another prompt uses this chain.
    pub return_probability: f64,
    /// Time the engine needs to compute the blocks, in seconds.
    pub prefill_secs: f64,
    /// Total size of the blocks in bytes.
    pub bytes: u64,
}

/// Reason not to export a chain.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum SkipReason {
    /// The cache store already holds all blocks.
    #[display("kept")]
    AlreadyStored,
    /// Importing the blocks later would take at least as long as recomputing them.
    #[display("link-slower")]
    LinkSlower,
}

/// Counts, for each workspace, the prompts that share a prefix with an earlier one.
#[derive(Clone, Debug, Default)]
pub struct ReturnStats {
    /// Number of returning prompts and of all prompts.
    counts: collections::HashMap<id::Workspace, (u64, u64)>,
}

/// Set of block keys with a size limit; the oldest insertions are removed first.
///
/// An instance uses it for the blocks it knows to be in a cache store and for recent prompt roots.
#[derive(Clone, Debug, Default)]
pub struct BoundedKeySet {
    keys: collections::HashSet<block::Key>,
    order: collections::VecDeque<block::Key>,
}

/// Bounded priority queue of exports.
#[derive(Debug, Default)]
pub struct ExportQueue {
    queue: collections::BTreeMap<(Priority, u64), ExportCandidate>,
    last_sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Priority(f64);

impl Eq for Priority {}

impl Ord for Priority {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Priority {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl ExportCandidate {
    /// Returns the expected prefill time saved per exported byte, in seconds.
    pub fn priority(&self) -> f64 {
        self.return_probability * self.prefill_secs / self.bytes.max(1) as f64
    }

    /// Returns the reason not to export the chain over a link of this rate; `None` to export it.
    pub fn skip_reason(&self, link_bytes_per_s: f64) -> Option<SkipReason> {
        if self.blocks.is_empty() {
            return Some(SkipReason::AlreadyStored);
        }
        let import_secs = self.bytes as f64 / link_bytes_per_s;
        (import_secs >= self.prefill_secs).then_some(SkipReason::LinkSlower)
    }
}

impl ReturnStats {
    /// Records a prompt and whether an earlier prompt had the same root.
    pub fn record(&mut self, workspace: &id::Workspace, is_return: bool) {
        let (returned, total) = self.counts.entry(workspace.clone()).or_default();
        *returned += u64::from(is_return);
        *total += 1;
    }

    /// Returns the probability that a prompt of a workspace returns; 0.5 before the first prompt.
    pub fn probability(&self, workspace: &id::Workspace) -> f64 {
        let (returned, total) = self.counts.get(workspace).copied().unwrap_or_default();
        (returned as f64 + 1.0) / (total as f64 + 2.0)
    }
}

impl BoundedKeySet {
    /// Inserts keys, then removes the oldest ones above `limit`.
    pub fn insert(&mut self, keys: &[block::Key], limit: usize) {
        for key in keys {
            if self.keys.insert(*key) {
                self.order.push_back(*key);
            }
        }
        while self.order.len() > limit {
            if let Some(key) = self.order.pop_front() {
                self.keys.remove(&key);
            }
        }
    }

    /// Removes a key, such as that of a block that the cache store no longer holds.
    pub fn remove(&mut self, key: &block::Key) {
        if self.keys.remove(key) {
            self.order.retain(|other| other != key);
        }
    }

    /// Returns the number of leading keys of a chain that are in the set.
    pub fn prefix_len(&self, chain: &[block::Key]) -> usize {
        chain.iter().take_while(|key| self.keys.contains(key)).count()
    }
}

impl ExportQueue {
    /// Adds an export; drops the one with the lowest priority if the queue is full.
    pub fn push(&mut self, candidate: ExportCandidate) {
        self.last_sequence += 1;
        self.queue.insert((Priority(candidate.priority()), self.last_sequence), candidate);
        if self.queue.len() > MAX_QUEUED {
            self.queue.pop_first();
        }
    }

    /// Removes and returns the export with the highest priority.
    pub fn pop(&mut self) -> Option<ExportCandidate> {
        self.queue.pop_last().map(|(_, candidate)| candidate)
    }

    /// Returns the number of queued exports.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no export is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
