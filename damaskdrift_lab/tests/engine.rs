//! Contract tests of the engine stand-in.

mod support;

use std::time::Duration;

use damaskdrift_core::{block, fleet, id};
use damaskdrift_lab::standin::engine::text;
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use support::Standin;

fn completion(prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream})
}

async fn send(engine: &Standin, id: &str, body: &Value) -> support::Response {
    let headers = [("x-request-id", id), ("x-workspace", "mill")];
    engine.call(Method::POST, "/v1/completions", &headers, body.to_string()).await
}

// Guards against unpredictable completions, with which tests couldn't detect mixed-up responses.
#[rstest]
#[case::text("/v1/completions", json!({"model": "m", "prompt": "one two", "max_tokens": 5}), "one two")]
#[case::chat(
    "/v1/chat/completions",
    json!({"model": "m", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 5}),
    "user: hi\nassistant:"
)]
#[tokio::test]
async fn completions_depend_on_prompt_and_version(
    #[case] route: &str,
    #[case] mut body: Value,
    #[case] prompt: &str,
) {
    let engine = Standin::engine(&[]).await;
    let words = text::words("m", "v1", prompt, 5);
    let whole = engine.post(route, &body).await;
    let choice = &whole.json()["choices"][0];
    let text = choice.get("text").unwrap_or(&choice["message"]["content"]);
    assert_eq!(*text, words.join(" "));
    body["stream"] = true.into();
    let headers = [("x-request-id", "r1")];
    let streamed = engine.call(Method::POST, route, &headers, body.to_string()).await;
    assert_eq!(streamed.body, text::sse_body("r1", &words));
    assert_eq!(streamed.headers["x-version"], "v1");
    assert_eq!(streamed.headers["x-boot-id"], whole.headers["x-boot-id"]);
}

// Guards against a resumed stream that repeats or skips bytes, or that another workspace can read.
#[rstest]
#[case("mill", 0, 200)]
#[case("mill", 1, 200)]
#[case("mill", 70, 200)]
#[case("mill", 100_000, 416)]
#[case("other", 0, 404)]
#[tokio::test]
async fn streams_resume_at_any_byte(
    #[case] workspace: &str,
    #[case] offset: usize,
    #[case] status: u16,
) {
    let engine = Standin::engine(&[]).await;
    let whole = send(&engine, "r1", &completion("one two", 8, true)).await.body;
    let path = format!("/v1/streams/r1?offset={offset}");
    let rest = engine.call(Method::GET, &path, &[("x-workspace", workspace)], "").await;
    assert_eq!(rest.status, status);
    if status == 200 {
        assert_eq!(rest.body, whole.slice(offset..));
    }
}

// Guards against a running stream that can't be resumed, or that continues after it is cancelled.
#[tokio::test]
async fn running_streams_can_be_resumed_and_cancelled() {
    let engine = Standin::engine(&["--decode-rate-each", "50"]).await;
    let body = completion("one two", 1_000, true);
    let headers = [("x-workspace", "mill")];
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        engine.call(Method::DELETE, "/v1/streams/r1", &headers, "").await
    };
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        engine.call(Method::GET, "/v1/streams/r1?offset=5", &headers, "").await
    };
    let (whole, resumed, cancelled) = tokio::join!(send(&engine, "r1", &body), resume, cancel);
    assert_eq!(cancelled.status, 200);
    assert!(!whole.body.ends_with(text::DONE_EVENT.as_bytes()));
    assert!(whole.body.len() > 5);
    assert_eq!(resumed.body, whole.body.slice(5..));
}

// Guards against a prefix cache that is never used or never evicts.
#[rstest]
#[case::cached("64", 9 * 16)]
#[case::evicted("4", 0)]
#[tokio::test]
async fn prefix_cache_is_limited(#[case] blocks: &str, #[case] cached: u64) {
    let engine = Standin::engine(&["--cache-blocks", blocks]).await;
    let prompt: Vec<String> = (0..150).map(|n| format!("w{n}")).collect();
    let body = completion(&prompt.join(" "), 1, false);
    send(&engine, "r1", &body).await;
    send(&engine, "r2", &body).await;
    let stats = engine.get("/admin/stats").await.json();
    assert_eq!(stats["cached_tokens"], cached);
    assert_eq!(stats["prefill_tokens"], 300 - cached);
}

// Guards against malformed requests that are run or that crash the stand-in.
#[rstest]
#[case::invalid_json("/v1/completions", "{", 400)]
#[case::no_prompt("/v1/completions", r#"{"model":"m"}"#, 400)]
#[case::other_model("/v1/completions", r#"{"model":"x","prompt":"a"}"#, 404)]
#[case::no_tokens("/v1/completions", r#"{"model":"m","prompt":"a","max_tokens":0}"#, 400)]
#[case::unknown_route("/v1/other", "{}", 404)]
#[case::bad_fault("/admin/fault", r#"{"fail_rate":2}"#, 400)]
#[tokio::test]
async fn malformed_requests_are_rejected(
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
) {
    let engine = Standin::engine(&[]).await;
    let body = body.to_owned();
    assert_eq!(engine.call(Method::POST, path, &[], body).await.status, status);
    assert_eq!(engine.get("/admin/stats").await.json()["requests"], 0);
}

async fn send_many(engine: &Standin, count: usize, body: &Value) -> Vec<u16> {
    let ids: Vec<String> = (0..count).map(|_| format!("{:x}", rand::random::<u64>())).collect();
    let responses = ids.iter().map(|id| send(engine, id, body));
    let responses = futures_util::future::join_all(responses).await;
    let mut statuses: Vec<u16> =
        responses.iter().map(|response| response.status.as_u16()).collect();
    statuses.sort_unstable();
    statuses
}

// Guards against a cold engine that accepts more than its limit, or whose cold start never ends.
#[rstest]
#[case::within("fail", 2, 0, &[200, 200])]
#[case::above("fail", 4, 2, &[200, 200, 503, 503])]
#[case::above_slow("slow", 4, 2, &[200, 200, 200, 200])]
#[tokio::test]
async fn cold_limit_is_enforced_and_counted(
    #[case] overload: &str,
    #[case] count: usize,
    #[case] breaches: u64,
    #[case] statuses: &[u16],
) {
    let flags = ["--cold-ms", "1500", "--decode-rate-each", "50", "--cold-overload", overload];
    let engine = Standin::engine(&flags).await;
    let body = completion("one two", 4, false);
    assert_eq!(send_many(&engine, count, &body).await, statuses);
    let stats = engine.get("/admin/stats").await.json();
    assert_eq!(stats["breaches"], breaches);
    assert_eq!(stats["cold_limit"], 2);
    engine.post("/admin/fault", &json!({"cold": false})).await;
    assert_eq!(send_many(&engine, 4, &body).await, [200; 4]);
    engine.post("/admin/fault", &json!({"cold": true})).await;
    send_many(&engine, 4, &body).await;
    let again = engine.get("/admin/stats").await.json();
    assert_eq!(again["breaches"], breaches + 2);
}

// Guards against faults that affect other routes, times or loads than the test sets.
#[rstest]
#[case::at_once(json!({"fail_rate": 1.0}), 0, 2, &[500, 500])]
#[case::other_route(json!({"fail_rate": 1.0, "route": "/v1/chat/completions"}), 0, 2, &[200, 200])]
#[case::this_route(json!({"fail_rate": 1.0, "route": "/v1/completions"}), 0, 1, &[500])]
#[case::not_yet(json!({"fail_rate": 1.0, "after_s": 5.0}), 0, 1, &[200])]
#[case::later(json!({"fail_rate": 1.0, "after_s": 0.2}), 250, 1, &[500])]
#[case::few_running(json!({"fail_rate": 1.0, "min_running": 3}), 0, 2, &[200, 200])]
#[case::many_running(json!({"fail_rate": 1.0, "min_running": 3}), 0, 4, &[200, 200, 500, 500])]
#[tokio::test]
async fn failures_follow_the_fault(
    #[case] fault: Value,
    #[case] wait_ms: u64,
    #[case] count: usize,
    #[case] statuses: &[u16],
) {
    let engine = Standin::engine(&["--decode-rate-each", "50"]).await;
    engine.post("/admin/fault", &fault).await;
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    assert_eq!(send_many(&engine, count, &completion("one two", 4, false)).await, statuses);
}

// Guards against a slowdown that isn't applied.
#[tokio::test]
async fn slowdown_follows_the_fault() {
    let engine = Standin::engine(&["--decode-rate-each", "200"]).await;
    engine.post("/admin/fault", &json!({"slow_factor": 10.0})).await;
    let started = std::time::Instant::now();
    send(&engine, "r1", &completion("one two", 9, false)).await;
    // The eight tokens after the first take 40 ms at 200 tokens/s, and 400 ms under the fault.
    assert!(started.elapsed() > Duration::from_millis(300), "{:?}", started.elapsed());
}

// Guards against a low-priority request that is served before a high-priority one.
#[tokio::test]
async fn high_priority_is_served_first() {
    let flags = ["--max-running", "1", "--decode-rate-each", "100"];
    let engine = Standin::engine(&flags).await;
    let body = completion("one two", 5, false).to_string();
    let call = async |priority: &str, wait_ms: u64| {
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        let headers = [("x-priority", priority)];
        engine.call(Method::POST, "/v1/completions", &headers, body.clone()).await;
        std::time::Instant::now()
    };
    let (_, low, high) = tokio::join!(call("2", 0), call("3", 5), call("0", 10));
    assert!(high < low);
}

// Guards against an order with an outdated fencing token that takes effect although fencing is
// checked.
#[rstest]
#[case::checked(&["--check-fencing"], 409, "v3")]
#[case::ignored(&[], 200, "v2")]
#[tokio::test]
async fn outdated_orders_are_rejected_if_checked(
    #[case] flags: &[&str],
    #[case] status: u16,
    #[case] version: &str,
) {
    let engine =
        Standin::engine(&[&["--load-ms", "20", "--cold-ms", "5000"], flags].concat()).await;
    let order = |fencing: u64, version: &str| json!({"fencing": fencing, "kind": "load", "model": "m", "version": version, "deadline_ms": 2000});
    assert_eq!(engine.post("/v1/orders", &order(7, "v3")).await.status, 200);
    assert_eq!(engine.post("/v1/orders", &order(6, "v2")).await.status, status);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = engine.get("/v1/load").await;
    assert_eq!(response.headers["x-version"], version);
    assert_eq!(response.json()["cold"], true);
}

// Guards against load reports and cache events without the set delay, and against cache events
// without losses.
#[tokio::test]
async fn reports_are_delayed_and_events_are_lost() {
    let flags = ["--event-gap-rate", "0.5", "--event-delay-ms", "200", "--load-lag-ms", "200"];
    let engine = Standin::engine(&flags).await;
    let prompt: Vec<String> = (0..640).map(|n| format!("w{n}")).collect();
    send(&engine, "r1", &completion(&prompt.join(" "), 1, false)).await;
    let early = engine.get("/v1/cache/events?after=0").await.json();
    assert_eq!(early, json!({"events": [], "next": 0}));
    assert_eq!(engine.get("/v1/load").await.json()["cached_blocks"], 0);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let late = engine.get("/v1/cache/events?after=0").await.json();
    let count = late["events"].as_array().unwrap().len();
    assert!((10..30).contains(&count), "{count} of 40 events");
    assert_eq!(engine.get("/v1/load").await.json()["cached_blocks"], 40);
    let path = format!("/v1/cache/events?after={}", late["next"]);
    assert_eq!(engine.get(&path).await.json()["events"], json!([]));
}

fn prompt_and_keys(words: usize) -> (String, String, Vec<String>) {
    let prompt: Vec<String> = (0..words).map(|n| format!("w{n}")).collect();
    let prompt = prompt.join(" ");
    let secret = fleet::Secret::new("5ec7e7");
    let root = block::root(&secret, &id::Workspace::new("mill"), &id::Model::new("m"));
    let keys = block::chain(&root, &id::Version::new("v1"), &prompt);
    (prompt, root.to_string(), keys.iter().map(ToString::to_string).collect())
}

async fn send_with_root(engine: &Standin, root: &str, prompt: &str) {
    let headers = [("x-workspace", "mill"), ("x-cache-root", root)];
    let body = completion(prompt, 1, false).to_string();
    let response = engine.call(Method::POST, "/v1/completions", &headers, body).await;
    assert_eq!(response.status, 200);
}

// Guards against cached blocks that are lost when one engine exports and another imports them.
#[rstest]
#[case::whole(None, 4)]
#[case::freed(Some(2), 2)]
#[tokio::test]
async fn blocks_are_transferred_through_the_store(
    #[case] freed: Option<usize>,
    #[case] imported: usize,
) {
    let store = Standin::start("store", &[]).await;
    let (first, second) = (Standin::engine(&[]).await, Standin::engine(&[]).await);
    let (prompt, root, keys) = prompt_and_keys(70);
    send_with_root(&first, &root, &prompt).await;
    let body = json!({"blocks": keys, "store": store.address});
    let exported = first.post("/v1/cache/export", &body).await.json();
    assert_eq!(exported, json!({"bytes": 4 * 16384, "blocks": keys}));
    let duplicate = first.post("/v1/cache/export", &body).await.json();
    assert_eq!(duplicate, json!({"bytes": 0, "blocks": keys}));
    if let Some(index) = freed {
        store.post("/admin/free", &json!({"blocks": [keys[index]]})).await;
    }
    let report = second.post("/v1/cache/import", &body).await.json();
    assert_eq!(report, json!({"bytes": imported * 16384, "blocks": keys[..imported]}));
    send_with_root(&second, &root, &prompt).await;
    let stats = second.get("/admin/stats").await.json();
    assert_eq!(stats["cached_tokens"], 16 * imported);
}

// Guards against blocks of one weight version that are stored under the keys of another.
#[tokio::test]
async fn loading_a_version_changes_all_keys() {
    let store = Standin::start("store", &[]).await;
    let engine = Standin::engine(&["--load-ms", "1"]).await;
    let order =
        json!({"fencing": 1, "kind": "load", "model": "m", "version": "v2", "deadline_ms": 2000});
    engine.post("/v1/orders", &order).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (prompt, root, keys) = prompt_and_keys(70);
    send_with_root(&engine, &root, &prompt).await;
    let body = json!({"blocks": keys, "store": store.address});
    let exported = engine.post("/v1/cache/export", &body).await.json();
    assert_eq!(exported, json!({"bytes": 0, "blocks": []}));
}

// Guards against importing a corrupted block, or the contents of another block.
#[rstest]
#[case::corrupted(true)]
#[case::other_contents(false)]
#[tokio::test]
async fn invalid_blocks_are_not_imported(#[case] is_corrupted: bool) {
    let store = Standin::start("store", &[]).await;
    let engine = Standin::engine(&[]).await;
    let (_, _, keys) = prompt_and_keys(20);
    let data = vec![7u8; 100];
    let path = format!("/v1/blocks/{}?generation=1", keys[0]);
    assert_eq!(store.call(Method::PUT, &path, &[], data.clone()).await.status, 200);
    let sealed = if is_corrupted { vec![8u8; 100] } else { data };
    let checksum = blake3::hash(&sealed).to_hex().to_string();
    let manifest = json!({"generation": 1, "bytes": 100, "checksum": checksum});
    assert_eq!(store.post(&format!("/v1/manifests/{}", keys[0]), &manifest).await.status, 200);
    let body = json!({"blocks": keys, "store": store.address});
    let report = engine.post("/v1/cache/import", &body).await.json();
    assert_eq!(report, json!({"bytes": 0, "blocks": []}));
}
