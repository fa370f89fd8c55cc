//! Has engines export KV cache blocks to cache stores and import them.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::block;
use damaskdrift_core::fleet;
use damaskdrift_core::placement;
use hyper::Method;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::context;
use crate::control::cache::{MAX_STORED_KEYS, Placement, Prompt, engine};
use crate::upstream;

/// Number of blocks per import request; an import can be aborted between two requests.
const IMPORT_BATCH_BLOCKS: usize = 16;
/// Pause while the export queue is empty.
const EXPORT_IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one export request.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Serialize)]
struct TransferRequest<'a> {
    blocks: &'a [block::Key],
    store: String,
}

#[derive(Deserialize)]
struct TransferResponse {
    bytes: u64,
    blocks: Vec<block::Key>,
}

/// Imports the blocks that the plan of a prompt names, and aborts while there is time left to
/// recompute them.
pub async fn import(
    cx: &context::Context,
    prompt: &Prompt,
    placement: &Placement,
    to: &upstream::Target,
) {
    let placement::Plan::Import { first, blocks, expected, recompute } = placement.plan else {
        return;
    };
    let Some(store) = &placement.store else {
        return;
    };
    let wanted = &prompt.chain[first..first + blocks];
    let mut import = placement::Import::new(blocks, expected, recompute, cx.now());
    let (planned_bytes, queued_bytes) = start_import(cx, prompt, to, blocks);
    let started_at = cx.now();
    let mut imported_blocks = 0;
    let mut imported_bytes = 0;
    let mut abort_reason = None;
    for batch in wanted.chunks(IMPORT_BATCH_BLOCKS) {
        let timeout = import.deadline().since(cx.now());
        let response = transfer(cx, to, "/v1/cache/import", batch, store, timeout.into()).await;
        let imported = match response {
            Ok(response) => {
                imported_bytes += response.bytes;
                response.blocks.len()
            }
            Err(failure) => {
                log::debug!("cannot import blocks to {}: {failure}", to.id);
                abort_reason = Some(placement::AbortReason::Stalled);
                break;
            }
        };
        imported_blocks += imported;
        import.record_progress(imported_blocks, cx.now());
        abort_reason = import.abort_reason(cx.now());
        if imported < batch.len() {
            cx.cache.lock().stored_keys(&store.id).remove(&batch[imported]);
            break;
        }
        if abort_reason.is_some() {
            break;
        }
    }
    let mut state = cx.cache.lock();
    state.estimates.residency.record_chain(&to.id, &prompt.chain[..first + imported_blocks]);
    let now = cx.now();
    let link = state.estimates.link(&to.id);
    match abort_reason {
        Some(reason) => {
            link.abort(planned_bytes, now);
            metrics::counter!("damaskdrift_imports_given_up_total", "reason" => reason.to_string())
                .increment(1);
        }
        None => link.finish(planned_bytes, imported_bytes, queued_bytes, now.since(started_at)),
    }
    metrics::counter!("damaskdrift_import_bytes_total").increment(imported_bytes);
}

/// Exports queued chains one at a time, the most valuable first, until the process ends.
pub async fn run_exports(cx: sync::Arc<context::Context>) {
    loop {
        let candidate = cx.cache.lock().exports.pop();
        match candidate {
            Some(candidate) => export(&cx, &candidate).await,
            None => time::sleep(EXPORT_IDLE_INTERVAL).await,
        }
    }
}

async fn export(cx: &context::Context, candidate: &placement::ExportCandidate) {
    let fleet = cx.fleet.load_full();
    let find = |id| upstream::Target::new(id, fleet.document.upstreams.get(id)?);
    let (Some(engine), Some(store)) = (find(&candidate.upstream), find(&candidate.store)) else {
        return;
    };
    let stored = cx.cache.lock().stored_keys(&store.id).prefix_len(&candidate.blocks);
    let blocks = &candidate.blocks[stored..];
    if blocks.is_empty() {
        return;
    }
    let started_at = cx.now();
    let queued_bytes = cx.cache.lock().estimates.link(&engine.id).queued_bytes();
    match transfer(cx, &engine, "/v1/cache/export", blocks, &store, EXPORT_TIMEOUT).await {
        Ok(response) => {
            let elapsed = cx.now().since(started_at);
            let mut state = cx.cache.lock();
            state.estimates.link(&engine.id).finish(0, response.bytes, queued_bytes, elapsed);
            state.stored_keys(&store.id).insert(&response.blocks, MAX_STORED_KEYS);
            metrics::counter!("damaskdrift_export_bytes_total").increment(response.bytes);
            // A block that is already stored adds no bytes, so only the export of a whole chain
            // gives the block size.
            let size = response.bytes / (response.blocks.len() as u64).max(1);
            let model = model_of(&fleet, candidate);
            if let Some(model) = model.filter(|_| stored == 0 && size > 0) {
                state.block_bytes.entry(model).or_insert(size);
            }
        }
        Err(failure) => log::debug!("cannot export blocks from {}: {failure}", engine.id),
    }
}

fn model_of(
    fleet: &fleet::Snapshot,
    candidate: &placement::ExportCandidate,
) -> Option<damaskdrift_core::id::Model> {
    match &fleet.document.upstreams.get(&candidate.upstream)?.kind {
        fleet::Kind::Engine { model, .. } => Some(model.clone()),
        _ => None,
    }
}

/// Records the start of an import, and returns its size and the bytes queued ahead of it.
fn start_import(
    cx: &context::Context,
    prompt: &Prompt,
    to: &upstream::Target,
    blocks: usize,
) -> (u64, u64) {
    let mut state = cx.cache.lock();
    let planned_bytes = blocks as u64 * state.block_bytes(&prompt.model);
    let link = state.estimates.link(&to.id);
    let queued_bytes = link.queued_bytes();
    link.start(planned_bytes);
    (planned_bytes, queued_bytes)
}

async fn transfer(
    cx: &context::Context,
    engine: &upstream::Target,
    path: &str,
    blocks: &[block::Key],
    store: &upstream::Target,
    timeout: Duration,
) -> Result<TransferResponse, upstream::Failure> {
    let req = TransferRequest { blocks, store: store.address.to_string() };
    let body = serde_json::to_vec(&req).expect("block keys and addresses always serialize");
    engine::call(cx, engine, Method::POST, path, Bytes::from(body), timeout).await
}
