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

/// Largest block, in bytes.
const MAX_BLOCK_BYTES: u64 = 64 << 20;

/// A running store.
pub struct Store {
    cfg: options::Options,
    tiers: sync::Mutex<tier::Tiers>,
    link: link::Link,
}

// The path macro takes plain identifiers only.
type Key = block::Key;
type Shared = sync::Arc<Store>;
type With = warp::filters::BoxedFilter<(Shared,)>;
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
    pub fn new(cfg: options::Options) -> Shared {
        let tiers = tier::Tiers::new(cfg.memory_bytes, cfg.disk_bytes, cfg.evict);
        let link = link::Link::new(cfg.link_bytes_per_s);
        sync::Arc::new(Self { cfg, tiers: sync::Mutex::new(tiers), link })
    }

    fn lock(&self) -> sync::MutexGuard<'_, tier::Tiers> {
        self.tiers.lock().expect("no holder of the lock panics")
    }
}

/// Returns all routes of the stand-in.
pub fn routes(store: Shared) -> Routes {
    let with = warp::any().map(move || store.clone()).boxed();
    blocks(with.clone())
        .or(manifests(with.clone()))
        .unify()
        .or(pins(with.clone()))
        .unify()
        .or(admin(with))
        .unify()
        .boxed()
}

fn blocks(with: With) -> Routes {
    let put = warp::path!("v1" / "blocks" / Key)
        .and(warp::put())
        .and(with.clone())
        .and(warp::query::<Generation>())
        .and(warp::body::content_length_limit(MAX_BLOCK_BYTES))
        .and(warp::body::bytes())
        .then(write);
    let get = warp::path!("v1" / "blocks" / Key)
        .and(warp::get())
        .and(with)
        .and(warp::query::<Generation>())
        .then(read);
    put.or(get).unify().boxed()
}

fn manifests(with: With) -> Routes {
    let post = warp::path!("v1" / "manifests" / Key)
        .and(warp::post())
        .and(with.clone())
        .and(warp::body::json())
        .map(|key: block::Key, store: Shared, manifest: block::Manifest| {
            let sealed = store.lock().seal(&key, manifest);
            sealed.map_or_else(refused, |()| warp::reply::json(&json!({})).into_response())
        });
    let get = warp::path!("v1" / "manifests" / Key).and(warp::get()).and(with).map(
        |key: block::Key, store: Shared| match store.lock().manifest(&key) {
            Some(manifest) => warp::reply::json(manifest).into_response(),
            None => StatusCode::NOT_FOUND.into_response(),
        },
    );
    post.or(get).unify().boxed()
}

fn pins(with: With) -> Routes {
    warp::path!("v1" / "pins" / Key)
        .and(warp::post())
        .and(with)
        .and(warp::query::<Pin>())
        .map(|key: block::Key, store: Shared, pin: Pin| {
            let ttl = Duration::from_millis(pin.ttl_ms);
            let pinned = store.lock().pin(&key, pin.generation, ttl, Instant::now());
            pinned.map_or_else(refused, |id| warp::reply::json(&json!({"pin": id})).into_response())
        })
        .boxed()
}

fn admin(with: With) -> Routes {
    let fault = warp::path!("admin" / "fault")
        .and(warp::post())
        .and(with.clone())
        .and(warp::body::json())
        .map(|store: Shared, fault: Fault| {
            if !(fault.link_factor > 0.0 && fault.link_factor.is_finite()) {
                return StatusCode::BAD_REQUEST.into_response();
            }
            store.link.set(store.cfg.link_bytes_per_s * fault.link_factor, fault.stalled);
            warp::reply::json(&json!({})).into_response()
        });
    let free = warp::path!("admin" / "free")
        .and(warp::post())
        .and(with.clone())
        .and(warp::body::json())
        .map(|store: Shared, free: Free| {
            let (mut tiers, now) = (store.lock(), Instant::now());
            let freed = free.blocks.iter().filter(|key| tiers.free(key, now)).count();
            warp::reply::json(&json!({"freed": freed})).into_response()
        });
    let stats = warp::path!("admin" / "stats").and(warp::get()).and(with).map(|store: Shared| {
        let (blocks, memory, disk) = store.lock().size();
        let carried = store.link.carried();
        let stats = json!({
            "blocks": blocks,
            "memory_bytes": memory,
            "disk_bytes": disk,
            "link_bytes": carried,
        });
        warp::reply::json(&stats).into_response()
    });
    fault.or(free).unify().or(stats).unify().boxed()
}

async fn write(key: block::Key, store: Shared, query: Generation, data: Bytes) -> Response {
    for chunk in data.chunks(link::CHUNK_BYTES) {
        store.link.pass(chunk.len()).await;
    }
    let written = store.lock().write(key, query.generation, data, Instant::now());
    written.map_or_else(refused, |()| warp::reply::json(&json!({})).into_response())
}

async fn read(key: block::Key, store: Shared, query: Generation) -> Response {
    let found = store.lock().read(&key, query.generation);
    let (data, on_disk) = match found {
        Ok(found) => found,
        Err(refusal) => return refused(refusal),
    };
    if on_disk {
        tokio::time::sleep(store.cfg.disk_delay).await;
    }
    warp::reply::stream(transfer(store, key, query.generation, data)).into_response()
}

/// Sends a block over the link.
///
/// A block that is freed during the transfer goes on as zeros, as memory that is used again would;
/// only a pin or the checksum protects the reader.
fn transfer(
    store: Shared,
    key: block::Key,
    generation: u64,
    data: Bytes,
) -> impl Stream<Item = Result<Bytes, convert::Infallible>> + Send + Sync + 'static {
    stream::unfold((store, data), move |(store, mut rest)| async move {
        if rest.is_empty() {
            return None;
        }
        let mut chunk = rest.split_to(rest.len().min(link::CHUNK_BYTES));
        store.link.pass(chunk.len()).await;
        if !store.lock().is_current(&key, generation) {
            chunk = Bytes::from(vec![0; chunk.len()]);
        }
        Some((Ok(chunk), (store, rest)))
    })
}

fn refused(refusal: tier::Refusal) -> Response {
    match refusal {
        tier::Refusal::Conflict => StatusCode::CONFLICT.into_response(),
        tier::Refusal::Full => StatusCode::INSUFFICIENT_STORAGE.into_response(),
    }
}
