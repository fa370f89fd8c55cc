//! Contract tests of the engine stand-in.

mod support;

use std::time::Duration;

use damaskdrift_lab::standin::engine::text;
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use support::StandIn;

fn completion(prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream})
}

async fn send(engine: &StandIn, id: &str, body: &Value) -> support::Answer {
    let headers = [("x-request-id", id), ("x-workspace", "mill")];
    engine.call(Method::POST, "/v1/completions", &headers, body.to_string()).await
}

// Guards against answers that a caller cannot predict, which would hide mixed-up answers.
#[rstest]
#[case::text("/v1/completions", json!({"model": "m", "prompt": "one two", "max_tokens": 5}), "one two")]
#[case::chat(
    "/v1/chat/completions",
    json!({"model": "m", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 5}),
    "user: hi\nassistant:"
)]
#[tokio::test]
async fn answers_follow_from_prompt_and_version(
    #[case] route: &str,
    #[case] mut body: Value,
    #[case] prompt: &str,
) {
    let engine = StandIn::engine(&[]).await;
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

// Guards against a resumed stream that repeats, skips or leaks bytes.
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
    let engine = StandIn::engine(&[]).await;
    let whole = send(&engine, "r1", &completion("one two", 8, true)).await.body;
    let path = format!("/v1/streams/r1?offset={offset}");
    let rest = engine.call(Method::GET, &path, &[("x-workspace", workspace)], "").await;
    assert_eq!(rest.status, status);
    if status == 200 {
        assert_eq!(rest.body, whole.slice(offset..));
    }
}

// Guards against a stream that cannot be followed while it runs, or that runs on when cancelled.
#[tokio::test]
async fn running_streams_resume_and_cancel() {
    let engine = StandIn::engine(&["--decode-rate-each", "50"]).await;
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

// Guards against a cache that is never used or never evicts.
#[rstest]
#[case::kept("64", 9 * 16)]
#[case::evicted("4", 0)]
#[tokio::test]
async fn prefix_cache_is_limited(#[case] blocks: &str, #[case] cached: u64) {
    let engine = StandIn::engine(&["--cache-blocks", blocks]).await;
    let prompt: Vec<String> = (0..150).map(|n| format!("w{n}")).collect();
    let body = completion(&prompt.join(" "), 1, false);
    send(&engine, "r1", &body).await;
    send(&engine, "r2", &body).await;
    let stats = engine.get("/admin/stats").await.json();
    assert_eq!(stats["cached_tokens"], cached);
    assert_eq!(stats["prefill_tokens"], 300 - cached);
}

// Guards against a malformed request that is run or that breaks the stand-in.
#[rstest]
#[case::no_json("/v1/completions", "{", 400)]
#[case::no_prompt("/v1/completions", r#"{"model":"m"}"#, 400)]
#[case::other_model("/v1/completions", r#"{"model":"x","prompt":"a"}"#, 404)]
#[case::no_tokens("/v1/completions", r#"{"model":"m","prompt":"a","max_tokens":0}"#, 400)]
#[case::unknown_route("/v1/other", "{}", 404)]
#[case::bad_fault("/admin/fault", r#"{"fail_rate":2}"#, 400)]
#[tokio::test]
async fn bad_requests_are_refused(#[case] path: &str, #[case] body: &str, #[case] status: u16) {
    let engine = StandIn::engine(&[]).await;
    let body = body.to_owned();
    assert_eq!(engine.call(Method::POST, path, &[], body).await.status, status);
    assert_eq!(engine.get("/admin/stats").await.json()["requests"], 0);
}
