//! HTTP interface of the store stand-in.

use std::convert;
use std::sync;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskdrift_core::block;
use futures_util::{Stream, stream};
use serde::Deserialize;
use serde_json::json;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Reply as _, Response};

use crate::standin::link;
use crate::standin::store::options;
use crate::standin::store::tier;

/// Maximum size of a block.
const MAX_BLOCK_BYTES: u64 = 64 << 20;

/// Store with its tiers and its link to clients.
pub struct Store {
    cfg: options::Options,
    tiers: sync::Mutex<tier::Tiers>,
    link: link::Link,
}

// `warp::path!` accepts only plain identifiers as types.
type Key = block::Key;
type SharedStore = sync::Arc<Store>;
type StoreFilter = warp::filters::BoxedFilter<(SharedStore,)>;
type Routes = warp::filters::BoxedFilter<(Response,)>;

#[derive(Deserialize)]
struct Generation {
    generation: u64,
}

#[derive(Deserialize)]
struct Pin {
    generation: u64,
    ttl_ms: u64,
}

#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    link_factor: f64,
    stalled: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Free {
    blocks: Vec<block::Key>,
}

impl Default for Fault {
    fn default() -> Self {
        Self { link_factor: 1.0, stalled: false }
    }
}

impl Store {
    /// Creates an empty store.
    pub fn new(cfg: options::Options) -> SharedStore {
        let tiers = tier::Tiers::new(cfg.memory_bytes, cfg.disk_bytes, cfg.evict);
        let link = link::Link::new(cfg.link_bytes_per_s);
        sync::Arc::new(Self { cfg, tiers: sync::Mutex::new(tiers), link })
    }

    fn lock(&self) -> sync::MutexGuard<'_, tier::Tiers> {
        self.tiers.lock().expect("no thread panicked while holding the lock")
    }
}

/// Returns the routes that engines and tests call.
pub fn routes(store: SharedStore) -> Routes {
    let with_store = warp::any().map(move || store.clone()).boxed();
    blocks(with_store.clone())
        .or(manifests(with_store.clone()))
        .unify()
        .or(pins(with_store.clone()))
        .unify()
        .or(admin(with_store))
        .unify()
        .boxed()
}

fn blocks(with_store: StoreFilter) -> Routes {
    let put = warp::path!("v1" / "blocks" / Key)
        .and(warp::put())
        .and(with_store.clone())
        .and(warp::query::<Generation>())
        .and(warp::body::content_length_limit(MAX_BLOCK_BYTES))
        .and(warp::body::bytes())
        .then(write);
    let get = warp::path!("v1" / "blocks" / Key)
        .and(warp::get())
        .and(with_store)
        .and(warp::query::<Generation>())
        .then(read);
    put.or(get).unify().boxed()
}

fn manifests(with_store: StoreFilter) -> Routes {
    let post = warp::path!("v1" / "manifests" / Key)
        .and(warp::post())
        .and(with_store.clone())
        .and(warp::body::json())
        .map(|key: block::Key, store: SharedStore, manifest: block::Manifest| {
            let sealed = store.lock().seal(&key, manifest);
            sealed.map_or_else(refusal_response, |()| warp::reply::json(&json!({})).into_response())
        });
    let get = warp::path!("v1" / "manifests" / Key).and(warp::get()).and(with_store).map(
        |key: block::Key, store: SharedStore| match store.lock().manifest(&key) {
            Some(manifest) => warp::reply::json(manifest).into_response(),
            None => StatusCode::NOT_FOUND.into_response(),
        },
    );
    post.or(get).unify().boxed()
}

fn pins(with_store: StoreFilter) -> Routes {
    warp::path!("v1" / "pins" / Key)
        .and(warp::post())
        .and(with_store)
        .and(warp::query::<Pin>())
        .map(|key: block::Key, store: SharedStore, pin: Pin| {
            let ttl = Duration::from_millis(pin.ttl_ms);
            let pinned = store.lock().pin(&key, pin.generation, ttl, Instant::now());
            pinned.map_or_else(refusal_response, |id| {
                warp::reply::json(&json!({"pin": id})).into_response()
            })
        })
        .boxed()
}

fn admin(with_store: StoreFilter) -> Routes {
    let fault = warp::path!("admin" / "fault")
        .and(warp::post())
        .and(with_store.clone())
        .and(warp::body::json())
        .map(|store: SharedStore, fault: Fault| {
            if !(fault.link_factor > 0.0 && fault.link_factor.is_finite()) {
                return StatusCode::BAD_REQUEST.into_response();
            }
            store.link.set(store.cfg.link_bytes_per_s * fault.link_factor, fault.stalled);
            warp::reply::json(&json!({})).into_response()
        });
    let free = warp::path!("admin" / "free")
        .and(warp::post())
        .and(with_store.clone())
        .and(warp::body::json())
        .map(|store: SharedStore, free: Free| {
            let (mut tiers, now) = (store.lock(), Instant::now());
            let freed = free.blocks.iter().filter(|key| tiers.free(key, now)).count();
            warp::reply::json(&json!({"freed": freed})).into_response()
        });
    let stats = warp::path!("admin" / "stats").and(warp::get()).and(with_store).map(
        |store: SharedStore| {
            let (blocks, memory_bytes, disk_bytes) = store.lock().size();
            let link_bytes = store.link.transferred_bytes();
            let stats = json!({
                "blocks": blocks,
                "memory_bytes": memory_bytes,
                "disk_bytes": disk_bytes,
                "link_bytes": link_bytes,
            });
            warp::reply::json(&stats).into_response()
        },
    );
    fault.or(free).unify().or(stats).unify().boxed()
}

async fn write(key: block::Key, store: SharedStore, query: Generation, data: Bytes) -> Response {
    for chunk in data.chunks(link::CHUNK_BYTES) {
        store.link.transfer(chunk.len()).await;
    }
    let written = store.lock().write(key, query.generation, data, Instant::now());
    written.map_or_else(refusal_response, |()| warp::reply::json(&json!({})).into_response())
}

async fn read(key: block::Key, store: SharedStore, query: Generation) -> Response {
    let found = store.lock().read(&key, query.generation);
    let (data, on_disk) = match found {
        Ok(found) => found,
        Err(refusal) => return refusal_response(refusal),
    };
    if on_disk {
        tokio::time::sleep(store.cfg.disk_delay).await;
    }
    warp::reply::stream(transfer(store, key, query.generation, data)).into_response()
}

/// Streams a block over the link.
///
/// When the block is freed during the transfer, the remaining bytes are zeros, as in memory that is
/// reused; only a pin or the checksum protects the reader.
fn transfer(
    store: SharedStore,
    key: block::Key,
    generation: u64,
    data: Bytes,
) -> impl Stream<Item = Result<Bytes, convert::Infallible>> + Send + Sync + 'static {
    stream::unfold((store, data), move |(store, mut remaining)| async move {
        if remaining.is_empty() {
            return None;
        }
        let mut chunk = remaining.split_to(remaining.len().min(link::CHUNK_BYTES));
        store.link.transfer(chunk.len()).await;
        if !store.lock().is_current(&key, generation) {
            chunk = Bytes::from(vec![0; chunk.len()]);
        }
        Some((Ok(chunk), (store, remaining)))
    })
}

fn refusal_response(refusal: tier::Refusal) -> Response {
    match refusal {
        tier::Refusal::Conflict => StatusCode::CONFLICT.into_response(),
        tier::Refusal::Full => StatusCode::INSUFFICIENT_STORAGE.into_response(),
    }
}
