//! Process tests of planned stops (invariant 11).

use std::time::Duration;

use damaskdrift_lab::harness::fleet::{KEY, MODEL, VERSION};
use damaskdrift_lab::harness::{Builder, Fleet, http};
use damaskdrift_lab::standin::engine::text;
use hyper::Method;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpSocket;

/// Longest time for the instance to end.
const LIMIT: Duration = Duration::from_secs(20);
/// How long the instance accepts callers after the order to stop.
const ACCEPT: Duration = Duration::from_millis(1_000);

fn builder() -> Builder {
    Builder::new()
        .with_services(1)
        .with_engine_limits(64, 64)
        .with_engine_args(&["--decode-rate-each", "50", "--decode-rate", "0"])
        .with_service_args(&["--delay-ms", "2500"])
        .with_setting("drain", "accept_ms", ACCEPT.as_millis() as i64)
        .with_setting("limits", "fleet_max", 1)
}

fn prompt(fleet: &Fleet, prompt: &str, tokens: usize, is_stream: bool) -> http::Call {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": is_stream});
    fleet.instances[0].call(Method::POST, "/v1/completions", KEY).with_json(&body)
}

fn lodge(fleet: &Fleet, key: &str) -> http::Call {
    let call = fleet.instances[0].call(Method::POST, "/v1/services/lodging/lodge", KEY);
    call.with_header("idempotency-key", key).with_body("notice")
}

// Guards against requests that a planned stop cuts off: streams, whole answers and calls that began
// before the order or while callers are still accepted.
#[rstest]
#[case::terminate(Signal::TERM)]
#[case::interrupt(Signal::INT)]
#[tokio::test]
async fn a_stop_finishes_all_requests(#[case] signal: Signal) {
    let mut fleet = builder().start().await.expect("the fleet starts");
    let http = fleet.http.clone();
    let mut streams = Vec::new();
    let mut calls = Vec::new();
    for i in 0..10 {
        let text = format!("prompt {i}");
        streams.push((http.stream(prompt(&fleet, &text, 150, true)).await.expect("begins"), text));
        calls.push(tokio::spawn({
            let (http, call) = (http.clone(), prompt(&fleet, "whole", 100, false));
            async move { http.send(call).await }
        }));
    }
    calls.push(tokio::spawn({
        let (http, call) = (http.clone(), lodge(&fleet, "k1"));
        async move { http.send(call).await }
    }));
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.instances[0].process.signal(signal).expect("the signal is sent");
    fleet.instances[0].wait_unready(ACCEPT / 2).await.expect("the instance says that it drains");
    // The load balancer lags, so callers still come, over old connections and new ones.
    for (n, http) in [http.clone(), http::Client::new()].into_iter().enumerate() {
        let answer = http.send(prompt(&fleet, "late", 10, false)).await.expect("an answer");
        assert_eq!(answer.status, 200, "late caller {n}: {}", answer.text());
        assert_eq!(answer.header("connection"), Some("close"));
    }
    for (mut stream, prompt) in streams {
        let request = stream.header("x-request-id").expect("an id").to_owned();
        let body = stream.read_to_end().await.expect("a whole stream");
        let want = text::sse_body(&request, &text::words(MODEL, VERSION, &prompt, 150));
        assert_eq!(body, want, "{prompt}");
    }
    for call in calls {
        let answer = call.await.expect("the caller ends").expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(fleet.instances[0].process.wait(LIMIT).await.expect("the instance ends"), 0);
    let refused = http::Client::new().send(prompt(&fleet, "late", 10, false)).await;
    assert!(matches!(refused, Err(http::Error::Connect(_))), "{refused:?}");
}

// Guards against a recording that is lost when the instance stops during an outage of the
// key-value service, and against a stop that waits for callers which have gone.
#[tokio::test]
async fn a_stop_finishes_recordings() {
    let mut fleet = builder().with_instances(2).start().await.expect("the fleet starts");
    let first = fleet.http.send(lodge(&fleet, "k1"));
    let outage = async {
        while fleet.services[0].runs().await.expect("the service answers").is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.key_value.set_fault(&json!({"outage": true})).await.expect("the fault is set");
    };
    let (first, ()) = tokio::join!(first, outage);
    let first = first.expect("an answer");
    assert_eq!((first.status, first.header("x-recorded")), (200, Some("false")));
    fleet.instances[0].process.terminate().expect("the signal is sent");
    tokio::time::sleep(ACCEPT + Duration::from_millis(500)).await;
    let status = fleet.instances[0].process.status().expect("the status is known");
    assert_eq!(status, None, "the instance waits for the recording");
    fleet.key_value.set_fault(&json!({})).await.expect("the fault is set");
    assert_eq!(fleet.instances[0].process.wait(LIMIT).await.expect("the instance ends"), 0);
    let call = fleet.instances[1].call(Method::POST, "/v1/services/lodging/lodge", KEY);
    let call = call.with_header("idempotency-key", "k1").with_body("notice");
    let again = fleet.http.send(call).await.expect("an answer");
    assert_eq!((again.status, again.body), (200, first.body));
    assert_eq!(fleet.services[0].runs().await.expect("the service answers")["k1"], 1);
}

// Guards against an answer that is cut off because its caller still reads when all work is done.
#[tokio::test]
async fn a_stop_waits_for_slow_readers() {
    let fleet = builder().with_service_args(&["--delay-ms", "0", "--answer-bytes", "7500000"]);
    let mut fleet = fleet.start().await.expect("the fleet starts");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(8_192).expect("the size is set");
    let mut caller = socket.connect(fleet.instances[0].listen.callers).await.expect("accepted");
    let head =
        format!("GET /v1/services/lodging/x HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.expect("the request is sent");
    let mut first = [0; 4_096];
    caller.read_exact(&mut first).await.expect("the answer begins");
    fleet.instances[0].process.terminate().expect("the signal is sent");
    tokio::time::sleep(ACCEPT + Duration::from_millis(1_000)).await;
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).await.expect("the answer ends");
    let len = first.len() + rest.len();
    assert!(len > 7_500_000, "{len} bytes");
    assert_eq!(fleet.instances[0].process.wait(LIMIT).await.expect("the instance ends"), 0);
}

// Guards against a stop without end when the operators set a deadline.
#[tokio::test]
async fn a_deadline_ends_the_drain() {
    let fleet = builder().with_setting("drain", "deadline_ms", 1_500).start().await;
    let mut fleet = fleet.expect("the fleet starts");
    let call = prompt(&fleet, "prompt", 1_000, true);
    let mut stream = fleet.http.stream(call).await.expect("the stream begins");
    fleet.instances[0].process.terminate().expect("the signal is sent");
    let ended = fleet.instances[0].process.wait(Duration::from_secs(4)).await;
    assert_eq!(ended.expect("the instance ends"), 0);
    assert!(stream.read_to_end().await.is_err(), "the caller learns that the stream is cut off");
}
