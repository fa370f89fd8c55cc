//! Process tests of prompts and streams (invariant 7).

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

/// Tokens of an answer; at 100 a second it takes about a second.
const TOKENS: usize = 100;

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

fn prompt(fleet: &Fleet, instance: usize, prompt: &str) -> http::Call {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": true});
    fleet.instances[instance].call(Method::POST, "/v1/completions", KEY).with_json(&body)
}

fn resume(fleet: &Fleet, key: &str, request: &str, offset: u64) -> http::Call {
    let path = format!("/v1/streams/{request}?offset={offset}");
    fleet.instances[1].call(Method::GET, &path, key)
}

fn request_id(stream: &Stream) -> String {
    stream.header("x-request-id").expect("answers carry a request id").to_owned()
}

fn want(request: &str, prompt: &str) -> Vec<u8> {
    text::sse_body(request, &text::words(MODEL, VERSION, prompt, TOKENS)).to_vec()
}

/// A fault between an instance and its engines.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Cut,
    Blackhole,
    Frozen,
    Paused,
}

async fn set(fleet: &mut Fleet, fault: Fault, is_on: bool) {
    let mode = match fault {
        Fault::Cut => Mode::CUT,
        Fault::Blackhole => Mode::BLACKHOLE,
        _ => Mode::PASS,
    };
    for engine in 0..2 {
        let link = fleet.engine_link(engine).clone();
        link.set_mode(if is_on { mode } else { Mode::PASS }).await.expect("the mode is set");
    }
    let process = match fault {
        Fault::Frozen => &mut fleet.engines[0].process,
        Fault::Paused => &mut fleet.instances[0].process,
        _ => return,
    };
    if is_on { process.freeze() } else { process.thaw() }.expect("the signal is sent");
}

// Guards against a stream with lost, repeated or foreign bytes when its connection to the engine
// breaks or stalls while the engine lives on.
#[rstest]
#[case::none(Fault::None, 0)]
#[case::cut_short(Fault::Cut, 50)]
#[case::cut(Fault::Cut, 1_000)]
#[case::blackhole(Fault::Blackhole, 3_500)]
#[case::engine_frozen(Fault::Frozen, 3_500)]
#[case::instance_frozen(Fault::Paused, 3_500)]
#[tokio::test]
async fn broken_connections_do_not_show(#[case] fault: Fault, #[case] lasts_ms: u64) {
    let mut fleet = builder().start().await.expect("the fleet starts");
    let mut callers = Vec::new();
    for i in 0..30 {
        let (call, http) = (prompt(&fleet, 0, &format!("prompt {i}")), fleet.http.clone());
        callers.push(tokio::spawn(async move {
            let mut stream = http.stream(call).await?;
            let body = stream.read_to_end().await?;
            assert_eq!(stream.status, 200, "{}", String::from_utf8_lossy(&body));
            Ok::<_, http::Error>((request_id(&stream), body))
        }));
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    set(&mut fleet, fault, true).await;
    tokio::time::sleep(Duration::from_millis(lasts_ms)).await;
    set(&mut fleet, fault, false).await;
    for (i, caller) in callers.into_iter().enumerate() {
        let (request, body) = caller.await.expect("the caller ends").expect("a whole stream");
        assert_eq!(body, want(&request, &format!("prompt {i}")), "{request}");
    }
}

// Guards against a stream that is lost with its instance.
#[tokio::test]
async fn streams_of_a_killed_instance_resume_elsewhere() {
    let mut fleet = builder().start().await.expect("the fleet starts");
    let prompts: Vec<_> = (0..20).map(|i| format!("prompt {i}")).collect();
    let begin = prompts.iter().map(|text| fleet.http.stream(prompt(&fleet, 0, text)));
    let mut streams = future::try_join_all(begin).await.expect("the streams begin");
    let mut bodies = Vec::new();
    for stream in &mut streams {
        bodies.push(stream.next_chunk().await.expect("a piece").expect("more").to_vec());
    }
    fleet.instances[0].process.kill().expect("the instance is killed");
    for ((mut stream, mut body), text) in streams.into_iter().zip(bodies).zip(&prompts) {
        while let Ok(Some(piece)) = stream.next_chunk().await {
            body.extend_from_slice(&piece);
        }
        let request = request_id(&stream);
        let call = resume(&fleet, KEY, &request, body.len() as u64);
        let mut rest = fleet.http.stream(call).await.expect("the stream resumes");
        assert_eq!(rest.status, 200);
        body.extend_from_slice(&rest.read_to_end().await.expect("the rest"));
        assert_eq!(body, want(&request, text));
    }
}

// Guards against another workspace's data and against offsets and ids that are not checked.
#[tokio::test]
async fn foreign_and_wrong_streams_are_refused() {
    let fleet = builder().start().await.expect("the fleet starts");
    let mut stream = fleet.http.stream(prompt(&fleet, 0, "prompt")).await.expect("a stream");
    let (request, whole) =
        (request_id(&stream), stream.read_to_end().await.expect("a whole stream"));
    let (random, mac) = request.rsplit_once('.').expect("the id has parts");
    let forged = format!("{random}.{}", mac.chars().rev().collect::<String>());
    let moved = request.replacen("engine-0", "engine-9", 1).replacen("engine-1", "engine-9", 1);
    let end = whole.len() as u64;
    for (name, call, status, code) in [
        ("whole", resume(&fleet, KEY, &request, 0), 200, Value::Null),
        ("end", resume(&fleet, KEY, &request, end), 200, Value::Null),
        ("beyond", resume(&fleet, KEY, &request, end + 1), 416, json!(1009)),
        ("foreign", resume(&fleet, OTHER_KEY, &request, 0), 404, json!(1102)),
        ("forged", resume(&fleet, KEY, &forged, 0), 404, json!(1102)),
        ("moved", resume(&fleet, KEY, &moved, 0), 404, json!(1102)),
        ("no id", resume(&fleet, KEY, "x", 0), 404, json!(1102)),
    ] {
        let answer = fleet.http.send(call).await.expect("an answer");
        let body: Value = answer.json().unwrap_or_default();
        assert_eq!((answer.status, &body["error"]["code"]), (status, &code), "{name}");
        if name == "whole" {
            assert_eq!(answer.body, whole);
        }
    }
    let path = format!("/v1/streams/{request}?offset=x");
    let call = fleet.instances[0].call(Method::GET, &path, KEY);
    assert_eq!(fleet.http.send(call).await.expect("an answer").status, 416);
}

// Guards against prompts that fail although another engine could answer them.
#[rstest]
#[case::killed(true)]
#[case::failing(false)]
#[tokio::test]
async fn prompts_are_tried_on_another_engine(#[case] killed: bool) {
    let mut fleet = builder().start().await.expect("the fleet starts");
    if killed {
        fleet.engines[0].process.kill().expect("the engine is killed");
    } else {
        fleet.engines[0].set_fault(&json!({"fail_rate": 1.0})).await.expect("the fault is set");
    }
    for i in 0..12 {
        let text = format!("prompt {i}");
        let mut stream = fleet.http.stream(prompt(&fleet, 0, &text)).await.expect("a stream");
        assert_eq!(stream.status, 200, "{text}");
        let request = request_id(&stream);
        assert_eq!(stream.read_to_end().await.expect("a whole stream"), want(&request, &text));
    }
}

// Guards against a truncated stream that looks complete to a caller which stopped reading for too
// long, and against one that fills the instance's memory.
#[tokio::test]
async fn a_caller_that_stops_reading_is_cut_off() {
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
    let memory = fleet.instances[0].process.resident_bytes().expect("the memory is known");
    assert!(memory < 64 << 20, "{memory} bytes are resident");
    let mut answer = Vec::new();
    // The end of the connection may be a reset.
    let _ = caller.read_to_end(&mut answer).await;
    assert!(answer.len() > 100_000, "{} bytes", answer.len());
    assert!(!answer.ends_with(b"\r\n0\r\n\r\n"), "the stream looks complete");
}
