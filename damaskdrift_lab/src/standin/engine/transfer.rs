//! Transfer of KV cache blocks to and from a cache store.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use damaskdrift_core::block::{self, Block};
use damaskdrift_core::time::Millis;
use futures_util::future;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::standin::client;
use crate::standin::engine::state;

/// TTL of the pin that protects a block during its transfer.
const PIN_TTL: Millis = Millis::from_secs(10);
/// Blocks of one import that are fetched concurrently.
const CONCURRENT_FETCHES: usize = 8;

/// Body of a request to export or import blocks.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Keys of the blocks in the order of their chain.
    pub blocks: Vec<block::Key>,
    /// IP address and port of the cache store.
    pub store: String,
}

/// Result of an export or import.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Bytes sent or received; blocks already at the destination count as 0.
    pub bytes: u64,
    /// Keys of the blocks that the destination now has.
    pub blocks: Vec<block::Key>,
}

/// Returns the contents of a block, which are derived from its key.
pub fn contents(key: &block::Key, bytes: usize) -> Bytes {
    let mut data = vec![0; bytes];
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.finalize_xof().fill(&mut data);
    data.into()
}

/// Exports cached blocks until one export fails, and skips blocks that aren't cached.
pub async fn export(engine: &state::Engine, client: &client::Client, req: &Request) -> Report {
    let mut report = Report::default();
    for key in &req.blocks {
        if !engine.has_block(key) {
            continue;
        }
        match export_one(engine, client, &req.store, key).await {
            Ok(bytes) => report.add(*key, bytes),
            Err(error) => {
                log::info!("export of block {key} to {} failed: {error}", req.store);
                break;
            }
        }
    }
    report
}

/// Imports blocks up to the first that is absent or damaged, because later ones depend on it.
pub async fn import(engine: &state::Engine, client: &client::Client, req: &Request) -> Report {
    let mut report = Report::default();
    for keys in req.blocks.chunks(CONCURRENT_FETCHES) {
        let mut fetches = Vec::new();
        for key in keys {
            fetches.push(fetch(engine, client, &req.store, *key));
        }
        for (key, fetched) in keys.iter().zip(future::join_all(fetches).await) {
            match fetched {
                Ok(bytes) => report.add(*key, bytes),
                Err(error) => {
                    log::info!("import of block {key} from {} failed: {error}", req.store);
                    return report;
                }
            }
        }
    }
    report
}

/// Fetches a block unless it is cached and returns the number of bytes received.
async fn fetch(
    engine: &state::Engine,
    client: &client::Client,
    store: &str,
    key: block::Key,
) -> Result<u64, String> {
    if engine.has_block(&key) {
        return Ok(0);
    }
    let data = import_one(client, store, &key).await?;
    if data != contents(&key, data.len()) {
        return Err("contents do not match the block's key".to_owned());
    }
    engine.insert_block(&key);
    Ok(data.len() as u64)
}

async fn export_one(
    engine: &state::Engine,
    client: &client::Client,
    store: &str,
    key: &block::Key,
) -> Result<u64, String> {
    let manifest_url = format!("http://{store}/v1/manifests/{key}");
    let (status, _) = client.call(Method::GET, &manifest_url, Bytes::new()).await?;
    if status == StatusCode::OK {
        return Ok(0);
    }
    let data = contents(key, engine.cfg.block_bytes);
    let generation = next_generation();
    let mut block = Block::new(*key, generation);
    block.append(&data);
    let url = format!("http://{store}/v1/blocks/{key}?generation={generation}");
    let (status, _) = client.call(Method::PUT, &url, data.clone()).await?;
    expect_ok(status)?;
    let sealed = block.seal();
    let (status, _) = client.post_json(&manifest_url, sealed.manifest()).await?;
    expect_ok(status)?;
    Ok(data.len() as u64)
}

async fn import_one(
    client: &client::Client,
    store: &str,
    key: &block::Key,
) -> Result<Bytes, String> {
    let url = format!("http://{store}/v1/manifests/{key}");
    let (status, body) = client.call(Method::GET, &url, Bytes::new()).await?;
    expect_ok(status)?;
    let manifest: block::Manifest =
        serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let sealed = Block::with_manifest(*key, manifest);
    let (generation, ttl) = (sealed.generation(), PIN_TTL.0);
    let started = Instant::now();
    let url = format!("http://{store}/v1/pins/{key}?generation={generation}&ttl_ms={ttl}");
    let (status, _) = client.call(Method::POST, &url, Bytes::new()).await?;
    expect_ok(status)?;
    let pinned = sealed.pin(Millis(0), PIN_TTL);
    let url = format!("http://{store}/v1/blocks/{key}?generation={generation}");
    let (status, data) = client.call(Method::GET, &url, Bytes::new()).await?;
    expect_ok(status)?;
    pinned.verify(&data, started.elapsed().into()).map_err(|error| error.to_string())?;
    Ok(data)
}

/// Returns a generation above all earlier ones of a block, taken from the clock in microseconds.
fn next_generation() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

fn expect_ok(status: StatusCode) -> Result<(), String> {
    if status == StatusCode::OK { Ok(()) } else { Err(format!("unexpected status {status}")) }
}

impl Report {
    fn add(&mut self, key: block::Key, bytes: u64) {
        self.bytes += bytes;
        self.blocks.push(key);
    }
}
