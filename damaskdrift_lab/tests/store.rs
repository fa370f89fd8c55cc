//! Contract tests of the stand-ins for the cache store and the weight store.

mod support;

use std::time::{Duration, Instant};

use hyper::Method;
use rstest::rstest;
use serde_json::json;
use support::Standin;

const KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101";

fn key(number: u8) -> String {
    format!("{number:02x}").repeat(32)
}

async fn put(store: &Standin, key: &str, generation: u64, data: &[u8]) -> u16 {
    let path = format!("/v1/blocks/{key}?generation={generation}");
    store.call(Method::PUT, &path, &[], data.to_vec()).await.status.as_u16()
}

async fn seal(store: &Standin, key: &str, generation: u64, data: &[u8]) -> u16 {
    let checksum = blake3::hash(data).to_hex().to_string();
    let body = json!({"generation": generation, "bytes": data.len(), "checksum": checksum});
    store.post(&format!("/v1/manifests/{key}"), &body).await.status.as_u16()
}

async fn read(store: &Standin, key: &str, generation: u64) -> (u16, Vec<u8>) {
    let response = store.get(&format!("/v1/blocks/{key}?generation={generation}")).await;
    (response.status.as_u16(), response.body.to_vec())
}

async fn pin(store: &Standin, key: &str, generation: u64, ttl_ms: u64) -> u16 {
    let path = format!("/v1/pins/{key}?generation={generation}&ttl_ms={ttl_ms}");
    store.call(Method::POST, &path, &[], "").await.status.as_u16()
}

// Guards against a block that can be read before its manifest is written.
#[tokio::test]
async fn unsealed_blocks_cannot_be_read() {
    let store = Standin::start("store", &[]).await;
    assert_eq!(put(&store, KEY, 1, b"data").await, 200);
    assert_eq!(store.get(&format!("/v1/manifests/{KEY}")).await.status, 404);
    assert_eq!(read(&store, KEY, 1).await.0, 409);
    assert_eq!(pin(&store, KEY, 1, 1000).await, 409);
    assert_eq!(seal(&store, KEY, 1, b"other").await, 409);
    assert_eq!(seal(&store, KEY, 2, b"data").await, 409);
    assert_eq!(seal(&store, KEY, 1, b"data").await, 200);
    assert_eq!(read(&store, KEY, 1).await, (200, b"data".to_vec()));
}

// Guards against reading the data of another generation.
#[rstest]
#[case::same(1, 409, 1)]
#[case::older(0, 409, 1)]
#[case::newer(2, 200, 2)]
#[tokio::test]
async fn only_a_later_generation_replaces_a_block(
    #[case] generation: u64,
    #[case] status: u16,
    #[case] current: u64,
) {
    let store = Standin::start("store", &[]).await;
    put(&store, KEY, 1, b"old").await;
    seal(&store, KEY, 1, b"old").await;
    assert_eq!(put(&store, KEY, generation, b"new").await, status);
    if status == 200 {
        assert_eq!(seal(&store, KEY, generation, b"new").await, 200);
        assert_eq!(read(&store, KEY, 1).await.0, 409);
    }
    assert_eq!(read(&store, KEY, current).await.0, 200);
}

// Guards against a pinned block that is freed or replaced, and against a pin that never expires.
#[tokio::test]
async fn pins_protect_blocks_until_expiry() {
    let store = Standin::start("store", &[]).await;
    put(&store, KEY, 1, b"old").await;
    seal(&store, KEY, 1, b"old").await;
    assert_eq!(pin(&store, KEY, 1, 200).await, 200);
    let free = json!({"blocks": [KEY]});
    assert_eq!(store.post("/admin/free", &free).await.json(), json!({"freed": 0}));
    assert_eq!(put(&store, KEY, 2, b"new").await, 409);
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(store.post("/admin/free", &free).await.json(), json!({"freed": 1}));
    assert_eq!(pin(&store, KEY, 1, 200).await, 409);
}

// Guards against a store without a capacity limit, or that evicts the wrong block.
#[rstest]
#[case::evicts(&[], 200, 4)]
#[case::rejects(&["--no-evict"], 507, 4)]
#[tokio::test]
async fn full_stores_evict_or_reject(
    #[case] flags: &[&str],
    #[case] status: u16,
    #[case] blocks: usize,
) {
    let sizes = ["--memory-bytes", "2000", "--disk-bytes", "2000"];
    let store = Standin::start("store", &[&sizes, flags].concat()).await;
    for number in 0..4 {
        assert_eq!(put(&store, &key(number), 1, &[number; 1000]).await, 200);
        assert_eq!(seal(&store, &key(number), 1, &[number; 1000]).await, 200);
    }
    let stats = store.get("/admin/stats").await.json();
    assert_eq!((&stats["memory_bytes"], &stats["disk_bytes"]), (&json!(2000), &json!(2000)));
    assert_eq!(read(&store, &key(0), 1).await, (200, vec![0; 1000]));
    assert_eq!(put(&store, &key(9), 1, &[9; 1000]).await, status);
    assert_eq!(store.get("/admin/stats").await.json()["blocks"], blocks);
    // Block 0 was read last, so block 1 is the least recently used one.
    assert_eq!(read(&store, &key(0), 1).await.0, 200);
    assert_eq!(read(&store, &key(1), 1).await.0, if status == 200 { 409 } else { 200 });
}

// Guards against transfers that each use the full bandwidth, and a stall that doesn't stop them.
#[tokio::test]
async fn transfers_share_the_link() {
    let store = Standin::start("store", &["--link-bytes-per-s", "400000"]).await;
    let data = [1; 40_000];
    let started = Instant::now();
    let (k1, k2) = (key(1), key(2));
    tokio::join!(put(&store, &k1, 1, &data), put(&store, &k2, 1, &data));
    let elapsed = started.elapsed();
    assert!(elapsed > Duration::from_millis(195), "{elapsed:?}");
    seal(&store, &k1, 1, &data).await;
    store.post("/admin/fault", &json!({"stalled": true})).await;
    let stalled = tokio::time::timeout(Duration::from_millis(300), read(&store, &k1, 1)).await;
    assert!(stalled.is_err());
    store.post("/admin/fault", &json!({"link_factor": 100.0})).await;
    assert_eq!(read(&store, &k1, 1).await, (200, data.to_vec()));
}

// Guards against a transfer that still delivers intact data after its block is freed.
#[tokio::test]
async fn blocks_freed_during_a_transfer_are_corrupted() {
    let store = Standin::start("store", &["--link-bytes-per-s", "0"]).await;
    let data = [1; 100_000];
    put(&store, KEY, 1, &data).await;
    seal(&store, KEY, 1, &data).await;
    store.post("/admin/fault", &json!({"stalled": true})).await;
    let free = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        store.post("/admin/free", &json!({"blocks": [KEY]})).await;
        store.post("/admin/fault", &json!({})).await;
    };
    let (got, ()) = tokio::join!(read(&store, KEY, 1), free);
    assert_eq!(got.0, 200);
    assert_eq!(got.1.len(), data.len());
    assert_ne!(got.1, data);
}

// Guards against weights that are sent faster than the configured rate.
#[tokio::test]
async fn weights_are_sent_at_a_limited_rate() {
    let flags = ["--bytes", "100000", "--bytes-per-s", "500000"];
    let weights = Standin::start("weights", &flags).await;
    let started = Instant::now();
    let response = weights.get("/v1/weights/m/v2").await;
    assert_eq!(response.body.len(), 100_000);
    assert!(started.elapsed() > Duration::from_millis(190), "{:?}", started.elapsed());
}
