//! What an entry instance knows in the model.

use std::time::Instant;

use damaskdrift_core::block;
use damaskdrift_core::id;
use damaskdrift_core::placement;
use damaskdrift_core::time::Millis;

use crate::experiment::returning_prompts::engine::{self, BLOCK_BYTES, Engine, PREFILL_RATE};
use crate::experiment::returning_prompts::policy::Policy;
use crate::experiment::returning_prompts::workload::{Prompt, SECOND};
use crate::standin::engine::cache;

/// Time between two readings of the engines' reports, in microseconds.
pub const POLL_INTERVAL: u64 = SECOND / 2;
/// Age of a load report when it is received.
pub const REPORT_LAG: Millis = Millis(200);

/// Most blocks remembered of what the store keeps.
const MAX_KEPT: usize = 1 << 16;
/// Most prompt roots remembered to recognise returns.
const MAX_ROOTS: usize = 1 << 16;

/// An entry instance.
pub struct Instance {
    /// What it knows of the engines.
    pub estimates: placement::Estimates,
    /// The export that runs.
    pub exporting: Option<Export>,
    kept: placement::BoundedKeySet,
    roots: placement::BoundedKeySet,
    returns: placement::ReturnStats,
    exports: placement::ExportQueue,
    positions: Vec<u64>,
}

/// A chain that is exported.
pub struct Export {
    /// Index of the engine.
    pub engine: usize,
    /// The blocks.
    pub blocks: Vec<block::Key>,
    /// Bytes to carry.
    pub bytes: u64,
    /// Bytes that were queued on the link before.
    pub ahead: u64,
    /// When it started, in microseconds.
    pub started: u64,
}

impl Instance {
    /// Creates an instance that knows nothing.
    pub fn new() -> Self {
        Self {
            estimates: placement::Estimates::default(),
            exporting: None,
            kept: placement::BoundedKeySet::default(),
            roots: placement::BoundedKeySet::default(),
            returns: placement::ReturnStats::default(),
            exports: placement::ExportQueue::default(),
            positions: Vec::new(),
        }
    }

    /// Reads the reports of all engines, which show their state of some time ago.
    pub fn poll(&mut self, engines: &[Engine], base: Instant, now: u64) {
        self.positions.resize(engines.len(), 0);
        let at = Millis(now / 1_000);
        let boot = id::Boot::new("boot");
        for (index, engine) in engines.iter().enumerate() {
            let seen_at = now.saturating_sub(REPORT_LAG.0 * 1_000);
            let report = placement::LoadReport {
                queued: engine.load_at(seen_at),
                prefill_tokens_per_s: PREFILL_RATE,
                cached_blocks: engine.cache.len(),
                received_at: at,
            };
            self.estimates.record_report(&engine.id, &boot, report);
            let position = &mut self.positions[index];
            let (events, next) = engine.cache.events(*position, engine::instant(base, now));
            *position = next;
            for event in events {
                let change = match event.kind {
                    cache::EventKind::Stored => placement::CacheEvent::Stored,
                    cache::EventKind::Evicted => placement::CacheEvent::Evicted,
                };
                self.estimates.residency.record_event(&engine.id, &event.block, change);
            }
        }
    }

    /// Notes that a prompt came.
    pub fn note_arrival(&mut self, prompt: &Prompt) {
        if let Some(root) = placement::prompt_root(prompt.chain()) {
            let is_return = self.roots.prefix_len(&[*root]) == 1;
            self.returns.record(&workspace(prompt), is_return);
            self.roots.insert(&[*root], MAX_ROOTS);
        }
    }

    /// Notes blocks that the store keeps.
    pub fn note_kept(&mut self, blocks: &[block::Key]) {
        self.kept.insert(blocks, MAX_KEPT);
    }

    /// Offers a computed prompt for export.
    pub fn offer(&mut self, prompt: &Prompt, engine: usize, id: &id::Upstream, policy: Policy) {
        let kept = self.kept.prefix_len(prompt.chain());
        let blocks = prompt.chain()[kept..].to_vec();
        let tokens = (blocks.len() * block::BLOCK_TOKENS) as f64;
        let offer = placement::ExportCandidate {
            upstream: id.clone(),
            store: id::Upstream::new(&engine.to_string()),
            return_probability: self.returns.probability(&workspace(prompt)),
            prefill_secs: tokens / PREFILL_RATE,
            bytes: blocks.len() as u64 * BLOCK_BYTES,
            blocks,
        };
        let rate = self.estimates.link(id).bytes_per_s();
        let skip = offer.skip_reason(rate);
        let is_skipped = match policy {
            Policy::Placement => skip.is_some(),
            _ => skip == Some(placement::SkipReason::AlreadyStored),
        };
        if !is_skipped {
            self.exports.push(offer);
        }
    }

    /// Takes the most worthwhile chain.
    pub fn take_offer(&mut self) -> Option<Export> {
        let offer = self.exports.pop()?;
        let engine = offer.store.as_str().parse().expect("the offer names the engine's index");
        Some(Export { engine, blocks: offer.blocks, bytes: 0, ahead: 0, started: 0 })
    }
}

fn workspace(prompt: &Prompt) -> id::Workspace {
    id::Workspace::new(&format!("workspace-{}", prompt.workspace))
}
