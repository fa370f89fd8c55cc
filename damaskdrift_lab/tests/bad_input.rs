//! Tests of an instance process with malformed, oversized, duplicate and slow input.

use std::net;
use std::time::Duration;

use damaskdrift_lab::harness::fleet::{KEY, MODEL, OTHER_KEY};
use damaskdrift_lab::harness::{Builder, Fleet};
use hyper::Method;
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time;

/// Time limit for a caller to send its request.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum request body in bytes.
const MAX_BODY_BYTES: usize = 4_096;

async fn fleet() -> Fleet {
    let builder = Builder::new()
        .with_services(1)
        .with_setting("limits", "read_timeout_ms", READ_TIMEOUT.as_millis() as i64)
        .with_setting("limits", "max_body_bytes", MAX_BODY_BYTES as i64);
    builder.start().await.expect("the fleet starts")
}

/// Sends bytes and returns everything that the instance sends until it closes the connection.
async fn exchange(address: net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the instance accepts");
    // The instance may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut received = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        match time::timeout(READ_TIMEOUT * 6, stream.read(&mut buf)).await {
            Ok(Ok(n)) if n > 0 => received.extend_from_slice(&buf[..n]),
            Ok(_) => return String::from_utf8_lossy(&received).into_owned(),
            Err(_) => {
                panic!("the connection stays open after {:?}", String::from_utf8_lossy(&received))
            }
        }
    }
}

/// Asserts that the instance still serves a valid prompt.
async fn assert_alive(fleet: &Fleet) {
    let body = json!({"model": MODEL, "prompt": "hello", "max_tokens": 2});
    let call = fleet.instances[0].call(Method::POST, "/v1/completions", KEY).with_json(&body);
    fleet.http.send(call).await.expect("a response").ok().expect("the instance serves prompts");
}

fn request(path: &str, headers: &[String], body: &str) -> Vec<u8> {
    let headers = headers.join("\r\n");
    let len = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {len}\r\n\
         {headers}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}")
}

fn key(key: &str) -> String {
    format!("idempotency-key: {key}")
}

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const LODGE: &str = "/v1/services/lodging/lodge";
const PROMPT: &str = r#"{"model":"kernel","prompt":"x"}"#;

// Guards against invalid requests that crash the instance, get no result code, or reach an upstream.
#[rstest]
#[case::broken_json(COMPLETIONS, vec![bearer(KEY)], r#"{"model":"kernel","prompt":"x"#, 400, 1001)]
#[case::empty(COMPLETIONS, vec![bearer(KEY)], "", 400, 1001)]
#[case::no_model(COMPLETIONS, vec![bearer(KEY)], r#"{"prompt":"x"}"#, 400, 1001)]
#[case::two_models(COMPLETIONS, vec![bearer(KEY)], r#"{"model":"kernel","model":"b","prompt":"x"}"#, 400, 1001)]
#[case::wrong_type(COMPLETIONS, vec![bearer(KEY)], r#"{"model":"kernel","prompt":7}"#, 400, 1001)]
#[case::no_messages(CHAT, vec![bearer(KEY)], r#"{"model":"kernel","messages":[]}"#, 400, 1001)]
#[case::deep(CHAT, vec![bearer(KEY)], &format!(r#"{{"model":"kernel","messages":{}"#, "[".repeat(4_000)), 400, 1001)]
#[case::too_large(COMPLETIONS, vec![bearer(KEY)], &"x".repeat(MAX_BODY_BYTES + 1), 413, 1002)]
#[case::unknown_route("/v1/unknown", vec![bearer(KEY)], "", 404, 1003)]
#[case::unknown_model(COMPLETIONS, vec![bearer(KEY)], r#"{"model":"b","prompt":"x"}"#, 404, 1006)]
#[case::unknown_service("/v1/services/b/lodge", vec![bearer(KEY)], "", 404, 1007)]
#[case::no_key(COMPLETIONS, vec![], PROMPT, 401, 1101)]
#[case::wrong_key(COMPLETIONS, vec![bearer("b")], PROMPT, 401, 1101)]
#[case::two_keys(COMPLETIONS, vec![bearer(KEY), bearer(OTHER_KEY)], PROMPT, 400, 1004)]
#[case::priority(COMPLETIONS, vec![bearer(KEY), "x-priority: 9".to_owned()], PROMPT, 400, 1004)]
#[case::two_lengths(COMPLETIONS, vec![bearer(KEY), "content-length: 5".to_owned()], PROMPT, 400, 0)]
#[case::no_idempotency_key(LODGE, vec![bearer(KEY)], "x", 400, 1301)]
#[case::two_idempotency_keys(LODGE, vec![bearer(KEY), key("a"), key("b")], "x", 400, 1004)]
#[case::long_idempotency_key(LODGE, vec![bearer(KEY), key(&"k".repeat(129))], "x", 400, 1302)]
#[case::spaced_idempotency_key(LODGE, vec![bearer(KEY), key("a b")], "x", 400, 1302)]
#[case::double_slash("/v1/services/lodging//lodge/", vec![bearer(KEY)], "x", 400, 1301)]
#[case::encoded("/v1/services/lodging/%6Codge?x=1", vec![bearer(KEY)], "x", 400, 1301)]
#[case::dots("/v1/services/lodging/a/../lodge", vec![bearer(KEY)], "x", 400, 1301)]
#[tokio::test]
async fn invalid_requests_get_a_code(
    #[case] path: &str,
    #[case] headers: Vec<String>,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: u16,
) {
    let fleet = fleet().await;
    let response =
        exchange(fleet.instances[0].listen.callers, &request(path, &headers, body)).await;
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
    let has_code = response.contains(&format!("\"code\":{code},"));
    assert!(code == 0 || has_code && response.contains("\"outcome\":\"not-run\""), "{response}");
    assert!(fleet.services[0].runs().await.expect("the service responds").is_empty());
    assert_alive(&fleet).await;
}

// Guards against connections that stay open after bytes that are not HTTP or an unfinished request.
#[tokio::test]
async fn malformed_and_slow_connections_are_closed() {
    let fleet = fleet().await;
    let address = fleet.instances[0].listen.callers;
    let head = format!("POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\n{}\r\n", bearer(KEY));
    let slow_body = format!("{head}content-length: 100\r\n\r\n{{\"model\"");
    let chunks = format!("{:x}\r\n{}\r\n", 1_024, "x".repeat(1_024)).repeat(5);
    let large_chunks = format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}");
    let bad_chunk = format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n");
    let long_header = format!("{head}x: {}\r\n\r\n", "x".repeat(1 << 20));
    for (name, bytes, want) in [
        ("no HTTP", "\x00\x01\x02\r\n\r\n", "HTTP/1.1 400 "),
        ("bad version", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400 "),
        ("long header", &long_header, "HTTP/1.1 431 "),
        ("slow head", &head, ""),
        ("slow body", &slow_body, "\"code\":1005,"),
        ("large chunks", &large_chunks, "\"code\":1002,"),
        ("bad chunk", &bad_chunk, "\"code\":1001,"),
    ] {
        let response = exchange(address, bytes.as_bytes()).await;
        assert!(response.contains(want), "{name}: {response:?}");
    }
    assert_alive(&fleet).await;
}

// Guards against idle callers that keep other callers from being served by holding connections open.
#[tokio::test]
async fn idle_callers_do_not_block_others() {
    let fleet = fleet().await;
    let mut idle = Vec::new();
    for _ in 0..300 {
        let mut stream =
            TcpStream::connect(fleet.instances[0].listen.callers).await.expect("accepted");
        stream.write_all(b"POST /v1/comp").await.expect("written");
        idle.push(stream);
    }
    assert_alive(&fleet).await;
    time::sleep(READ_TIMEOUT * 3).await;
    for stream in &mut idle {
        let mut buf = Vec::new();
        let read = time::timeout(READ_TIMEOUT, stream.read_to_end(&mut buf)).await;
        assert!(read.is_ok(), "the connection of an idle caller stays open");
    }
    assert_alive(&fleet).await;
}
