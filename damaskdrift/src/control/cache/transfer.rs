//! Orders engines to export and import blocks.

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
use crate::control::cache::{MAX_KEPT, Placed, Prompt, call};
use crate::upstream;

/// Blocks of one import order; between two orders the import may be given up.
const IMPORT_BATCH: usize = 16;
/// Time between two looks at the chains that wait for export.
const EXPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for an export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Serialize)]
struct Order<'a> {
    blocks: &'a [block::Key],
    store: String,
}

#[derive(Deserialize)]
struct Done {
    bytes: u64,
    blocks: Vec<block::Key>,
}

/// Imports what the plan of a prompt asks for, and gives up in time to compute it instead.
pub async fn import(
    cx: &context::Context,
    prompt: &Prompt,
    placed: &Placed,
    to: &upstream::Target,
) {
    let placement::Plan::Import { first, blocks, expected, recompute } = placed.plan else {
        return;
    };
    let Some(store) = &placed.store else {
        return;
    };
    let wanted = &prompt.chain[first..first + blocks];
    let mut import = placement::Import::new(blocks, expected, recompute, cx.now());
    let (planned, ahead) = start(cx, prompt, to, blocks);
    let started = cx.now();
    let mut done = 0;
    let mut carried = 0;
    let mut given_up = None;
    for batch in wanted.chunks(IMPORT_BATCH) {
        let wait = import.deadline().since(cx.now());
        let answer = order(cx, to, "/v1/cache/import", batch, store, wait.into()).await;
        let imported = match answer {
            Ok(answer) => {
                carried += answer.bytes;
                answer.blocks.len()
            }
            Err(failure) => {
                log::debug!("import to {}: {failure}", to.id);
                given_up = Some(placement::AbortReason::Stalled);
                break;
            }
        };
        done += imported;
        import.record_progress(done, cx.now());
        given_up = import.abort_reason(cx.now());
        if imported < batch.len() {
            cx.cache.lock().kept(&store.id).remove(&batch[imported]);
            break;
        }
        if given_up.is_some() {
            break;
        }
    }
    let mut state = cx.cache.lock();
    state.estimates.residency.record_chain(&to.id, &prompt.chain[..first + done]);
    let now = cx.now();
    let link = state.estimates.link(&to.id);
    match given_up {
        Some(reason) => {
            link.abort(planned, now);
            metrics::counter!("damaskdrift_imports_given_up_total", "reason" => reason.to_string())
                .increment(1);
        }
        None => link.finish(planned, carried, ahead, now.since(started)),
    }
    metrics::counter!("damaskdrift_import_bytes_total").increment(carried);
}

/// Exports the most worthwhile chains, one after the other, until the process ends.
pub async fn run_exports(cx: sync::Arc<context::Context>) {
    loop {
        let offer = cx.cache.lock().exports.pop();
        match offer {
            Some(offer) => export(&cx, &offer).await,
            None => time::sleep(EXPORT_INTERVAL).await,
        }
    }
}

async fn export(cx: &context::Context, offer: &placement::ExportCandidate) {
    let fleet = cx.fleet.load_full();
    let find = |id| upstream::Target::new(id, fleet.document.upstreams.get(id)?);
    let (Some(engine), Some(store)) = (find(&offer.upstream), find(&offer.store)) else {
        return;
    };
    let kept = cx.cache.lock().kept(&store.id).prefix_len(&offer.blocks);
    let blocks = &offer.blocks[kept..];
    if blocks.is_empty() {
        return;
    }
    let started = cx.now();
    let ahead = cx.cache.lock().estimates.link(&engine.id).queued_bytes();
    match order(cx, &engine, "/v1/cache/export", blocks, &store, EXPORT_TIMEOUT).await {
        Ok(done) => {
            let elapsed = cx.now().since(started);
            let mut state = cx.cache.lock();
            state.estimates.link(&engine.id).finish(0, done.bytes, ahead, elapsed);
            state.kept(&store.id).insert(&done.blocks, MAX_KEPT);
            metrics::counter!("damaskdrift_export_bytes_total").increment(done.bytes);
            // A block that was already kept adds no bytes, so only a full export shows its size.
            let size = done.bytes / (done.blocks.len() as u64).max(1);
            let model = model_of(&fleet, offer);
            if let Some(model) = model.filter(|_| kept == 0 && size > 0) {
                state.block_bytes.entry(model).or_insert(size);
            }
        }
        Err(failure) => log::debug!("export from {}: {failure}", engine.id),
    }
}

fn model_of(
    fleet: &fleet::Snapshot,
    offer: &placement::ExportCandidate,
) -> Option<damaskdrift_core::id::Model> {
    match &fleet.document.upstreams.get(&offer.upstream)?.kind {
        fleet::Kind::Engine { model, .. } => Some(model.clone()),
        _ => None,
    }
}

/// Notes the start of an import and returns its bytes and those queued ahead of it.
fn start(
    cx: &context::Context,
    prompt: &Prompt,
    to: &upstream::Target,
    blocks: usize,
) -> (u64, u64) {
    let mut state = cx.cache.lock();
    let planned = blocks as u64 * state.block_bytes(&prompt.model);
    let link = state.estimates.link(&to.id);
    let ahead = link.queued_bytes();
    link.start(planned);
    (planned, ahead)
}

async fn order(
    cx: &context::Context,
    engine: &upstream::Target,
    path: &str,
    blocks: &[block::Key],
    store: &upstream::Target,
    wait: Duration,
) -> Result<Done, upstream::Failure> {
    let order = Order { blocks, store: store.address.to_string() };
    let body = serde_json::to_vec(&order).expect("keys and addresses can be written as JSON");
    call::json(cx, engine, Method::POST, path, Bytes::from(body), wait).await
}
