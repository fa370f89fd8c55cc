//! Chooses which blocks to export to a store.

use std::cmp;
use std::collections;

use derive_more::Display;

use crate::block;
use crate::id;

/// Most chains that wait for export; the least worthwhile one is dropped first.
const MAX_WAITING: usize = 1_024;

/// A chain that an engine holds and that a store might keep.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The engine.
    pub upstream: id::Upstream,
    /// The store.
    pub store: id::Upstream,
    /// The blocks to export in the order of their chain.
    pub blocks: Vec<block::Key>,
    /// Chance that a prompt with this chain comes again.
    pub return_chance: f64,
    /// Time in which the engine computes these blocks, in seconds.
    pub prefill_secs: f64,
    /// Size of the blocks in bytes.
    pub bytes: u64,
}

/// Why a chain is not exported.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Skip {
    /// The store keeps all of it.
    #[display("kept")]
    Kept,
    /// An import would take longer than computing the tokens.
    #[display("link-slower")]
    LinkSlower,
}

/// Counts how often the prompts of each workspace return.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    counts: collections::HashMap<id::Workspace, (u64, u64)>,
}

/// Remembers which chains a store keeps, as far as this instance exported or found them.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    blocks: collections::HashSet<block::Key>,
    order: collections::VecDeque<block::Key>,
}

/// Chains that wait for export, the most worthwhile first.
#[derive(Debug, Default)]
pub struct Exports {
    waiting: collections::BTreeMap<(Priority, u64), Offer>,
    count: u64,
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

impl Offer {
    /// Returns chance of return × prefill seconds ÷ bytes.
    pub fn priority(&self) -> f64 {
        self.return_chance * self.prefill_secs / self.bytes.max(1) as f64
    }

    /// Returns why the chain is not worth an export over a link of this rate, if it is not.
    pub fn skip(&self, link_bytes_per_s: f64) -> Option<Skip> {
        if self.blocks.is_empty() {
            return Some(Skip::Kept);
        }
        let import_secs = self.bytes as f64 / link_bytes_per_s;
        (import_secs >= self.prefill_secs).then_some(Skip::LinkSlower)
    }
}

impl Returns {
    /// Notes that a prompt came, and whether a part of it had come before.
    pub fn note(&mut self, workspace: &id::Workspace, is_return: bool) {
        let (returned, total) = self.counts.entry(workspace.clone()).or_default();
        *returned += u64::from(is_return);
        *total += 1;
    }

    /// Returns the chance that a prompt of a workspace comes again; one half without experience.
    pub fn chance(&self, workspace: &id::Workspace) -> f64 {
        let (returned, total) = self.counts.get(workspace).copied().unwrap_or_default();
        (returned as f64 + 1.0) / (total as f64 + 2.0)
    }
}

impl Kept {
    /// Notes blocks that a store keeps.
    pub fn note(&mut self, blocks: &[block::Key], limit: usize) {
        for key in blocks {
            if self.blocks.insert(*key) {
                self.order.push_back(*key);
            }
        }
        while self.order.len() > limit {
            if let Some(key) = self.order.pop_front() {
                self.blocks.remove(&key);
            }
        }
    }

    /// Notes that a store no longer keeps a block.
    pub fn forget(&mut self, key: &block::Key) {
        if self.blocks.remove(key) {
            self.order.retain(|other| other != key);
        }
    }

    /// Returns how many blocks from the start of a chain a store seems to keep.
    pub fn prefix(&self, chain: &[block::Key]) -> usize {
        chain.iter().take_while(|key| self.blocks.contains(key)).count()
    }
}

impl Exports {
    /// Adds a chain, dropping the least worthwhile one when too many wait.
    pub fn add(&mut self, offer: Offer) {
        self.count += 1;
        self.waiting.insert((Priority(offer.priority()), self.count), offer);
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_first();
        }
    }

    /// Takes the most worthwhile chain.
    pub fn take(&mut self) -> Option<Offer> {
        self.waiting.pop_last().map(|(_, offer)| offer)
    }

    /// Returns the number of chains that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no chain waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
