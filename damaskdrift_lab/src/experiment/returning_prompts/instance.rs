//! Simulated entry instance with its estimates of the engines.

use std::time::Instant;

use damaskdrift_core::block;
use damaskdrift_core::id;
use damaskdrift_core::placement;
use damaskdrift_core::time::Millis;

use crate::experiment::returning_prompts::engine::{
    self, BLOCK_BYTES, Engine, PREFILL_TOKENS_PER_S,
};
use crate::experiment::returning_prompts::policy::Policy;
use crate::experiment::returning_prompts::workload::{MICROS_PER_SEC, Prompt};
use crate::standin::engine::cache;

/// Interval at which an instance reads the engines' reports, in microseconds.
pub const POLL_INTERVAL_US: u64 = MICROS_PER_SEC / 2;
/// Age of a load report on receipt.
pub const REPORT_LAG: Millis = Millis(200);

/// Limit on the block keys that an instance remembers as held by the cache store.
const MAX_STORED_BLOCKS: usize = 1 << 16;
/// Limit on the prompt roots that an instance remembers to recognise returning prompts.
const MAX_ROOTS: usize = 1 << 16;

/// A simulated entry instance.
pub struct Instance {
    /// Estimated load, residency and link rate of each engine.
    pub estimates: placement::Estimates,
    /// The export in progress; an instance runs one at a time.
    pub active_export: Option<Export>,
    stored_blocks: placement::BoundedKeySet,
    seen_roots: placement::BoundedKeySet,
    return_stats: placement::ReturnStats,
    export_queue: placement::ExportQueue,
    /// Position up to which the events of each engine were read, by engine index.
    event_positions: Vec<u64>,
}

/// An export of a block chain from an engine to the cache store.
pub struct Export {
    /// Index of the engine that holds the blocks.
    pub engine: usize,
    /// Blocks that the store did not hold when the export was queued.
    pub blocks: Vec<block::Key>,
    /// Bytes to transfer.
    pub bytes: u64,
    /// Bytes queued on the link when the export started.
    pub queued_ahead_bytes: u64,
    /// Start time in microseconds.
    pub started_at: u64,
}

impl Instance {
    /// Creates an instance without estimates.
    pub fn new() -> Self {
        Self {
            estimates: placement::Estimates::default(),
            active_export: None,
            stored_blocks: placement::BoundedKeySet::default(),
            seen_roots: placement::BoundedKeySet::default(),
            return_stats: placement::ReturnStats::default(),
            export_queue: placement::ExportQueue::default(),
            event_positions: Vec::new(),
        }
    }

    /// Reads load reports and cache events of all engines; both lag behind the engines' state.
    pub fn poll(&mut self, engines: &[Engine], clock_start: Instant, now: u64) {
        self.event_positions.resize(engines.len(), 0);
        let received_at = Millis(now / 1_000);
        let boot = id::Boot::new("boot");
        for (index, engine) in engines.iter().enumerate() {
            let reported_at = now.saturating_sub(REPORT_LAG.0 * 1_000);
            let report = placement::LoadReport {
                queued: engine.load_at(reported_at),
                prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
                cached_blocks: engine.cache.len(),
                received_at,
            };
            self.estimates.record_report(&engine.id, &boot, report);
            let position = &mut self.event_positions[index];
            let (events, next) =
                engine.cache.events(*position, engine::to_instant(clock_start, now));
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

    /// Records the arrival of a prompt and whether its root was seen before.
    pub fn record_arrival(&mut self, prompt: &Prompt) {
        if let Some(root) = placement::prompt_root(prompt.chain()) {
            let is_return = self.seen_roots.prefix_len(&[*root]) == 1;
            self.return_stats.record(&workspace_id(prompt), is_return);
            self.seen_roots.insert(&[*root], MAX_ROOTS);
        }
    }

    /// Records blocks that the cache store holds.
    pub fn record_stored(&mut self, blocks: &[block::Key]) {
        self.stored_blocks.insert(blocks, MAX_STORED_BLOCKS);
    }

    /// Queues the blocks of a prompt for export after its prefill, unless the policy skips them.
    pub fn offer_export(
        &mut self,
        prompt: &Prompt,
        engine: usize,
        id: &id::Upstream,
        policy: Policy,
    ) {
        let stored = self.stored_blocks.prefix_len(prompt.chain());
        let blocks = prompt.chain()[stored..].to_vec();
        let tokens = (blocks.len() * block::BLOCK_TOKENS) as f64;
        let candidate = placement::ExportCandidate {
            upstream: id.clone(),
            // The simulation has one store, so this field carries the engine's index for
            // `pop_export`.
            store: id::Upstream::new(&engine.to_string()),
            return_probability: self.return_stats.probability(&workspace_id(prompt)),
            prefill_secs: tokens / PREFILL_TOKENS_PER_S,
            bytes: blocks.len() as u64 * BLOCK_BYTES,
            blocks,
        };
        let bytes_per_s = self.estimates.link(id).bytes_per_s();
        let skip_reason = candidate.skip_reason(bytes_per_s);
        let is_skipped = match policy {
            Policy::Placement => skip_reason.is_some(),
            _ => skip_reason == Some(placement::SkipReason::AlreadyStored),
        };
        if !is_skipped {
            self.export_queue.push(candidate);
        }
    }

    /// Removes the export with the highest priority from the queue; the caller sets its bytes and
    /// start time.
    pub fn pop_export(&mut self) -> Option<Export> {
        let candidate = self.export_queue.pop()?;
        let engine =
            candidate.store.as_str().parse().expect("the store name is the engine's index");
        let blocks = candidate.blocks;
        Some(Export { engine, blocks, bytes: 0, queued_ahead_bytes: 0, started_at: 0 })
    }
}

fn workspace_id(prompt: &Prompt) -> id::Workspace {
    id::Workspace::new(&format!("workspace-{}", prompt.workspace))
}
