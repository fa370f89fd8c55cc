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

/// Timeout for the instance to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which the instance accepts requests after the termination signal (`drain.accept_ms`).
const ACCEPT_DURATION: Duration = Duration::from_millis(1_000);

fn builder() -> Builder {
    Builder::new()
        .with_services(1)
        .with_engine_limits(64, 64)
        .with_engine_args(&["--decode-rate-each", "50", "--decode-rate", "0"])
        .with_service_args(&["--delay-ms", "2500"])
        .with_setting("drain", "accept_ms", ACCEPT_DURATION.as_millis() as i64)
        .with_setting("limits", "fleet_max", 1)
}

fn prompt(fleet: &Fleet, prompt: &str, tokens: usize, is_stream: bool) -> http::Call {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": is_stream});
    fleet.instances[0].call(Method::POST, "/v1/completions", KEY).with_json(&body)
}

fn service_call(fleet: &Fleet, key: &str) -> http::Call {
    let call = fleet.instances[0].call(Method::POST, "/v1/services/lodging/lodge", KEY);
    call.with_header("idempotency-key", key).with_body("notice")
}

// Guards against a planned stop that cuts off requests: streams, plain responses and calls that
// began before the signal or while the instance still accepts requests.
#[rstest]
#[case::terminate(Signal::TERM)]
#[case::interrupt(Signal::INT)]
#[tokio::test]
async fn stop_completes_all_requests(#[case] signal: Signal) {
    let mut fleet = builder().start().await.expect("the fleet starts");
    let http = fleet.http.clone();
    let mut streams = Vec::new();
    let mut calls = Vec::new();
    for i in 0..10 {
        let text = format!("prompt {i}");
        streams.push((
            http.stream(prompt(&fleet, &text, 150, true)).await.expect("the stream begins"),
            text,
        ));
        calls.push(tokio::spawn({
            let (http, call) = (http.clone(), prompt(&fleet, "whole", 100, false));
            async move { http.send(call).await }
        }));
    }
    calls.push(tokio::spawn({
        let (http, call) = (http.clone(), service_call(&fleet, "k1"));
        async move { http.send(call).await }
    }));
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.instances[0].process.signal(signal).expect("the signal is sent");
    fleet.instances[0]
        .wait_unready(ACCEPT_DURATION / 2)
        .await
        .expect("the instance becomes unready");
    // Load balancers notice the drain late, so requests still arrive on old and new connections.
    for (n, http) in [http.clone(), http::Client::new()].into_iter().enumerate() {
        let response = http.send(prompt(&fleet, "late", 10, false)).await.expect("a response");
        assert_eq!(response.status, 200, "late caller {n}: {}", response.text());
        assert_eq!(response.header("connection"), Some("close"));
    }
    for (mut stream, prompt) in streams {
        let request = stream.header("x-request-id").expect("a request id").to_owned();
        let body = stream.read_to_end().await.expect("a complete stream");
        let want = text::sse_body(&request, &text::words(MODEL, VERSION, &prompt, 150));
        assert_eq!(body, want, "{prompt}");
    }
    for call in calls {
        let response = call.await.expect("the task does not panic").expect("a response");
        assert_eq!(response.status, 200, "{}", response.text());
    }
    assert_eq!(fleet.instances[0].process.wait(EXIT_TIMEOUT).await.expect("the instance exits"), 0);
    let refused = http::Client::new().send(prompt(&fleet, "late", 10, false)).await;
    assert!(matches!(refused, Err(http::Error::Connect(_))), "{refused:?}");
}

// Guards against the loss of a result that is not yet recorded when the instance stops during an
// outage of the key-value service, after which a duplicate of the call would run again, and against
// a stop that waits for callers that have disconnected.
#[tokio::test]
async fn stop_waits_until_results_are_recorded() {
    let mut fleet = builder().with_instances(2).start().await.expect("the fleet starts");
    let first = fleet.http.send(service_call(&fleet, "k1"));
    let outage = async {
        while fleet.services[0].runs().await.expect("the service responds").is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.key_value.set_fault(&json!({"outage": true})).await.expect("the fault is set");
    };
    let (first, ()) = tokio::join!(first, outage);
    let first = first.expect("a response");
    assert_eq!((first.status, first.header("x-recorded")), (200, Some("false")));
    fleet.instances[0].process.terminate().expect("the signal is sent");
    tokio::time::sleep(ACCEPT_DURATION + Duration::from_millis(500)).await;
    let status = fleet.instances[0].process.status().expect("the status is known");
    assert_eq!(status, None, "the instance exited before the result was recorded");
    fleet.key_value.set_fault(&json!({})).await.expect("the fault is set");
    assert_eq!(fleet.instances[0].process.wait(EXIT_TIMEOUT).await.expect("the instance exits"), 0);
    let call = fleet.instances[1].call(Method::POST, "/v1/services/lodging/lodge", KEY);
    let call = call.with_header("idempotency-key", "k1").with_body("notice");
    let duplicate = fleet.http.send(call).await.expect("a response");
    assert_eq!((duplicate.status, duplicate.body), (200, first.body));
    assert_eq!(fleet.services[0].runs().await.expect("the service responds")["k1"], 1);
}

// Guards against a stop that cuts off a response which the upstream has completed but the caller
// has not fully read.
#[tokio::test]
async fn stop_waits_for_slow_readers() {
    let fleet = builder().with_service_args(&["--delay-ms", "0", "--answer-bytes", "7500000"]);
    let mut fleet = fleet.start().await.expect("the fleet starts");
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(8_192).expect("the size is set");
    let mut caller = socket
        .connect(fleet.instances[0].listen.callers)
        .await
        .expect("the connection is accepted");
    let head =
        format!("GET /v1/services/lodging/x HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.expect("the request is sent");
    let mut first = [0; 4_096];
    caller.read_exact(&mut first).await.expect("the response begins");
    fleet.instances[0].process.terminate().expect("the signal is sent");
    tokio::time::sleep(ACCEPT_DURATION + Duration::from_millis(1_000)).await;
    let mut rest = Vec::new();
    caller.read_to_end(&mut rest).await.expect("the response ends");
    let len = first.len() + rest.len();
    assert!(len > 7_500_000, "{len} bytes");
    assert_eq!(fleet.instances[0].process.wait(EXIT_TIMEOUT).await.expect("the instance exits"), 0);
}

// Guards against calls that are accepted during a drain with a deadline and cut off at its end, so
// that their callers cannot know whether they ran.
#[tokio::test]
async fn calls_that_the_deadline_could_cut_off_are_refused() {
    let fleet = builder()
        .with_setting("drain", "accept_ms", 2_500)
        .with_setting("drain", "deadline_ms", 3_500)
        .with_setting("limits", "queue_timeout_ms", 200)
        .with_setting("limits", "connect_timeout_ms", 200)
        .with_setting("limits", "upstream_timeout_ms", 3_000);
    let mut fleet = fleet.start().await.expect("the fleet starts");
    let http = fleet.http.clone();
    fleet.instances[0].process.terminate().expect("the signal is sent");
    let mut calls = Vec::new();
    for n in 0..12 {
        let key = format!("k{n}");
        let call = service_call(&fleet, &key);
        let http = http.clone();
        calls.push((key, tokio::spawn(async move { http.send(call).await })));
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let mut refused = 0;
    for (key, call) in calls {
        let response = call.await.expect("the task does not panic").expect("a response");
        let runs = fleet.services[0].runs().await.expect("the service responds");
        match runs.get(&key) {
            Some(_) => assert_eq!(response.status, 200, "{key}: {}", response.text()),
            None => {
                assert_eq!(response.status, 503, "{key}: {}", response.text());
                refused += 1;
            }
        }
    }
    assert!(refused > 0, "no call was refused");
    assert_eq!(fleet.instances[0].process.wait(EXIT_TIMEOUT).await.expect("the instance exits"), 0);
}

// Guards against a stop that exceeds the deadline of the settings (`drain.deadline_ms`).
#[tokio::test]
async fn deadline_ends_the_drain() {
    let fleet = builder().with_setting("drain", "deadline_ms", 1_500).start().await;
    let mut fleet = fleet.expect("the fleet starts");
    let call = prompt(&fleet, "prompt", 1_000, true);
    let mut stream = fleet.http.stream(call).await.expect("the stream begins");
    fleet.instances[0].process.terminate().expect("the signal is sent");
    let code = fleet.instances[0].process.wait(Duration::from_secs(4)).await;
    assert_eq!(code.expect("the instance exits"), 0);
    assert!(stream.read_to_end().await.is_err(), "the stream was cut off without an error");
}
