//! Process tests of prompts and streams (invariant 7): no bytes are lost, repeated or mixed up.

use std::time::Duration;

use damaskdrift_lab::harness::fleet::{KEY, MODEL, OTHER_KEY, VERSION};
use damaskdrift_lab::harness::{Builder, Fleet, Stream, http};
use damaskdrift_lab::proxy::Mode;
use damaskdrift_lab::standin::engine::text;
use futures_util::future;
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpSocket;

/// Length of a completion; it takes about a second at 100 tokens/s.
const COMPLETION_TOKENS: usize = 100;

fn builder() -> Builder {
    Builder::new()
        .with_instances(2)
        .with_engines(2)
        .with_engine_limits(64, 64)
        .with_engine_args(&["--decode-rate-each", "100", "--decode-rate", "0"])
        .with_upstream_links()
        .with_setting("limits", "fleet_max", 2)
        .with_setting("limits", "upstream_timeout_ms", 3_000)
}

fn prompt_call(fleet: &Fleet, instance: usize, prompt: &str) -> http::Call {
    let body =
        json!({"model": MODEL, "prompt": prompt, "max_tokens": COMPLETION_TOKENS, "stream": true});
    fleet.instances[instance].call(Method::POST, "/v1/completions", KEY).with_json(&body)
}

fn resume_call(fleet: &Fleet, key: &str, request: &str, offset: u64) -> http::Call {
    let path = format!("/v1/streams/{request}?offset={offset}");
    fleet.instances[1].call(Method::GET, &path, key)
}

fn request_id(stream: &Stream) -> String {
    stream.header("x-request-id").expect("responses have a request id").to_owned()
}

fn expected_body(request: &str, prompt: &str) -> Vec<u8> {
    text::sse_body(request, &text::words(MODEL, VERSION, prompt, COMPLETION_TOKENS)).to_vec()
}

/// Fault between an instance and its engines.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Cut,
    Blackhole,
    EngineFrozen,
    InstanceFrozen,
}

async fn set_fault(fleet: &mut Fleet, fault: Fault, is_active: bool) {
    let mode = match fault {
        Fault::Cut => Mode::CUT,
        Fault::Blackhole => Mode::BLACKHOLE,
        _ => Mode::PASS,
    };
    for engine in 0..2 {
        let link = fleet.engine_link(engine).clone();
        link.set_mode(if is_active { mode } else { Mode::PASS }).await.expect("the mode is set");
    }
    let process = match fault {
        Fault::EngineFrozen => &mut fleet.engines[0].process,
        Fault::InstanceFrozen => &mut fleet.instances[0].process,
        _ => return,
    };
    if is_active { process.freeze() } else { process.thaw() }.expect("the signal is sent");
}

// Guards against a stream with lost, repeated or mixed-up bytes when its connection to the engine
// breaks or stalls while the engine continues to run.
#[rstest]
#[case::none(Fault::None, 0)]
#[case::cut_short(Fault::Cut, 50)]
#[case::cut(Fault::Cut, 1_000)]
#[case::blackhole(Fault::Blackhole, 3_500)]
#[case::engine_frozen(Fault::EngineFrozen, 3_500)]
#[case::instance_frozen(Fault::InstanceFrozen, 3_500)]
#[tokio::test]
async fn streams_survive_broken_connections(#[case] fault: Fault, #[case] duration_ms: u64) {
    let mut fleet = builder().start().await.expect("the fleet starts");
    let mut callers = Vec::new();
    for i in 0..30 {
        let (call, http) = (prompt_call(&fleet, 0, &format!("prompt {i}")), fleet.http.clone());
        callers.push(tokio::spawn(async move {
            let mut stream = http.stream(call).await?;
            let body = stream.read_to_end().await?;
            assert_eq!(stream.status, 200, "{}", String::from_utf8_lossy(&body));
            Ok::<_, http::Error>((request_id(&stream), body))
        }));
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    set_fault(&mut fleet, fault, true).await;
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
    set_fault(&mut fleet, fault, false).await;
    for (i, caller) in callers.into_iter().enumerate() {
        let (request, body) = caller.await.expect("the caller ends").expect("a complete stream");
        assert_eq!(body, expected_body(&request, &format!("prompt {i}")), "{request}");
    }
}

// Guards against a stream that can't be resumed after its instance is killed.
#[tokio::test]
async fn streams_of_a_killed_instance_resume_at_another() {
    let mut fleet = builder().start().await.expect("the fleet starts");
    let prompts: Vec<_> = (0..20).map(|i| format!("prompt {i}")).collect();
    let started = prompts.iter().map(|text| fleet.http.stream(prompt_call(&fleet, 0, text)));
    let mut streams = future::try_join_all(started).await.expect("the streams start");
    let mut bodies = Vec::new();
    for stream in &mut streams {
        bodies.push(
            stream.next_chunk().await.expect("a chunk").expect("the stream continues").to_vec(),
        );
    }
    fleet.instances[0].process.kill().expect("the instance is killed");
    for ((mut stream, mut body), text) in streams.into_iter().zip(bodies).zip(&prompts) {
        while let Ok(Some(chunk)) = stream.next_chunk().await {
            body.extend_from_slice(&chunk);
        }
        let request = request_id(&stream);
        let call = resume_call(&fleet, KEY, &request, body.len() as u64);
        let mut rest = fleet.http.stream(call).await.expect("the stream resumes");
        assert_eq!(rest.status, 200);
        body.extend_from_slice(&rest.read_to_end().await.expect("the rest of the stream"));
        assert_eq!(body, expected_body(&request, text));
    }
}

// Guards against access to streams of another workspace, and against unchecked offsets and request
// ids.
#[tokio::test]
async fn invalid_stream_requests_are_rejected() {
    let fleet = builder().start().await.expect("the fleet starts");
    let mut stream = fleet.http.stream(prompt_call(&fleet, 0, "prompt")).await.expect("a stream");
    let (request, whole) =
        (request_id(&stream), stream.read_to_end().await.expect("a complete stream"));
    let (random, mac) = request.rsplit_once('.').expect("the id has a signature");
    let forged = format!("{random}.{}", mac.chars().rev().collect::<String>());
    let other_engine =
        request.replacen("engine-0", "engine-9", 1).replacen("engine-1", "engine-9", 1);
    let end = whole.len() as u64;
    for (name, call, status, code) in [
        ("whole", resume_call(&fleet, KEY, &request, 0), 200, Value::Null),
        ("end", resume_call(&fleet, KEY, &request, end), 200, Value::Null),
        ("beyond the end", resume_call(&fleet, KEY, &request, end + 1), 416, json!(1009)),
        ("other workspace", resume_call(&fleet, OTHER_KEY, &request, 0), 404, json!(1102)),
        ("forged", resume_call(&fleet, KEY, &forged, 0), 404, json!(1102)),
        ("other engine", resume_call(&fleet, KEY, &other_engine, 0), 404, json!(1102)),
        ("malformed id", resume_call(&fleet, KEY, "x", 0), 404, json!(1102)),
    ] {
        let response = fleet.http.send(call).await.expect("a response");
        let body: Value = response.json().unwrap_or_default();
        assert_eq!((response.status, &body["error"]["code"]), (status, &code), "{name}");
        if name == "whole" {
            assert_eq!(response.body, whole);
        }
    }
    let path = format!("/v1/streams/{request}?offset=x");
    let call = fleet.instances[0].call(Method::GET, &path, KEY);
    assert_eq!(fleet.http.send(call).await.expect("a response").status, 416);
}

// Guards against prompts that fail although another engine could serve them.
#[rstest]
#[case::killed(true)]
#[case::failing(false)]
#[tokio::test]
async fn prompts_are_retried_on_another_engine(#[case] killed: bool) {
    let mut fleet = builder().start().await.expect("the fleet starts");
    if killed {
        fleet.engines[0].process.kill().expect("the engine is killed");
    } else {
        fleet.engines[0].set_fault(&json!({"fail_rate": 1.0})).await.expect("the fault is set");
    }
    for i in 0..12 {
        let text = format!("prompt {i}");
        let mut stream = fleet.http.stream(prompt_call(&fleet, 0, &text)).await.expect("a stream");
        assert_eq!(stream.status, 200, "{text}");
        let request = request_id(&stream);
        assert_eq!(
            stream.read_to_end().await.expect("a complete stream"),
            expected_body(&request, &text)
        );
    }
}

// Guards against a stream that is truncated because the caller stopped reading but looks complete,
// and against buffering it without limit in the instance.
#[tokio::test]
async fn a_caller_that_stops_reading_is_disconnected() {
    let fleet = builder()
        .with_engine_args(&["--decode-rate-each", "0"])
        .with_setting("limits", "upstream_timeout_ms", 1_000)
        .start()
        .await
        .expect("the fleet starts");
    let body = json!({"model": MODEL, "prompt": "x", "max_tokens": 100_000, "stream": true});
    let (body, address) = (body.to_string(), fleet.instances[0].listen.callers);
    let head = format!("authorization: Bearer {KEY}\r\ncontent-length: {}", body.len());
    let request = format!("POST /v1/completions HTTP/1.1\r\n{head}\r\n\r\n{body}");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(8_192).expect("the size is set");
    let mut caller = socket.connect(address).await.expect("accepted");
    caller.write_all(request.as_bytes()).await.expect("the request is sent");
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let memory = fleet.instances[0].process.resident_bytes().expect("the memory usage can be read");
    assert!(memory < 64 << 20, "{memory} bytes are resident");
    let mut response = Vec::new();
    // The connection may end with a reset.
    let _ = caller.read_to_end(&mut response).await;
    assert!(response.len() > 100_000, "{} bytes", response.len());
    assert!(!response.ends_with(b"\r\n0\r\n\r\n"), "the stream looks complete");
}
