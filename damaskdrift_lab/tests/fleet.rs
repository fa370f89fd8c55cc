//! Tests of a whole fleet on loopback: start, proxy links, restarts and stops.

use std::time::Duration;

use damaskdrift_lab::harness::fleet::{KEY, MODEL, OTHER_KEY, VERSION};
use damaskdrift_lab::harness::{Builder, Fleet, Instance};
use damaskdrift_lab::proxy::Mode;
use damaskdrift_lab::standin::engine::text;
use hyper::Method;
use rstest::rstest;
use serde_json::json;

/// Time limit for a change of readiness, the exit of a process, or the first response that is not a
/// refusal. A new limit owner refuses for up to 8 s: 3 s until the old lease expires, 1 s between
/// attempts and 4 s of takeover.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Length of a response in tokens.
const TOKENS: usize = 8;

async fn start(builder: Builder) -> Fleet {
    builder.start().await.expect("the fleet starts")
}

/// Streams a prompt and returns the request id and the events of the response.
async fn stream_prompt(fleet: &Fleet, instance: &Instance, key: &str) -> (String, Vec<String>) {
    let body = json!({"model": MODEL, "prompt": "hello", "max_tokens": TOKENS, "stream": true});
    let call = instance.call(Method::POST, "/v1/completions", key).with_json(&body);
    let stream = fleet.http.stream_until_run(call, TIMEOUT).await;
    let mut stream = stream.expect("the instance responds");
    let request_id = stream.header("x-request-id").unwrap_or_default().to_owned();
    let mut events = Vec::new();
    while let Some(event) = stream.next_event().await.expect("the stream is complete") {
        events.push(event);
    }
    assert_eq!(stream.status, 200, "{events:?}");
    (request_id, events)
}

/// Sends a call to the route that runs at most once per key and returns the response body.
async fn lodge(fleet: &Fleet, instance: &Instance, key: &str) -> String {
    let call = instance.call(Method::POST, "/v1/services/lodging/lodge", KEY);
    let call = call.with_header("idempotency-key", key).with_body("notice");
    let response = fleet.http.send_until_run(call, TIMEOUT).await.expect("the instance responds");
    assert_eq!(response.status, 200, "{}", response.text());
    response.text()
}

/// Guards against instances that do not reach an engine or do not know a workspace, both with direct
/// connections and through proxy links.
#[rstest]
#[case::direct(Fleet::builder())]
#[case::through_links(Fleet::builder().with_key_value_links().with_upstream_links().with_peer_links())]
#[tokio::test]
async fn fleet_serves_prompts(#[case] builder: Builder) {
    let domains = ["a", "b", "c"];
    let builder = builder.with_failure_domains(&domains).with_instances(3);
    let fleet = start(builder.with_engines(3)).await;
    for instance in &fleet.instances {
        for key in [KEY, OTHER_KEY] {
            let (request_id, events) = stream_prompt(&fleet, instance, key).await;
            let words = text::words(MODEL, VERSION, "hello", TOKENS);
            let body = text::sse_body(&request_id, &words);
            let want = String::from_utf8_lossy(&body).replace("data: ", "");
            assert_eq!(events.join("\n\n") + "\n\n", want);
        }
    }
}

/// Guards against a non-idempotent call that runs again when its key is reused, at the same instance
/// or at another.
#[rstest]
#[case::direct(Fleet::builder())]
#[case::through_links(Fleet::builder().with_key_value_links().with_upstream_links())]
#[tokio::test]
async fn fleet_runs_each_key_once(#[case] builder: Builder) {
    let fleet = start(builder.with_instances(3).with_services(1)).await;
    let mut bodies = Vec::new();
    for instance in fleet.instances.iter().chain(&fleet.instances) {
        bodies.push(lodge(&fleet, instance, "key").await);
    }
    assert_eq!(bodies, vec![bodies[0].clone(); 6]);
    let runs = fleet.services[0].runs().await.expect("the service responds");
    assert_eq!(runs, [("key".to_owned(), 1)].into());
}

/// Guards against an instance that cannot restart after SIGKILL or after a graceful stop.
#[rstest]
#[case::killed(false)]
#[case::stopped(true)]
#[tokio::test]
async fn instance_serves_after_a_restart(#[case] is_stopped: bool) {
    let mut fleet = start(Fleet::builder().with_setting("drain", "accept_ms", 100)).await;
    let instance = &mut fleet.instances[0];
    if is_stopped {
        instance.process.terminate().expect("the instance runs");
        let code = instance.process.wait(TIMEOUT).await.expect("the instance stops");
        assert_eq!(code, 0, "{}", instance.process.log());
    }
    instance.restart().expect("the instance starts");
    instance.wait_ready(TIMEOUT).await.expect("the instance is ready");
    stream_prompt(&fleet, &fleet.instances[0], KEY).await;
}

/// Guards against a fault on the links of one instance that does not isolate it, or that affects
/// another instance.
#[tokio::test]
async fn isolation_affects_only_one_instance() {
    let builder = Fleet::builder().with_failure_domains(&["a", "b", "c"]).with_instances(3);
    let mut fleet = start(builder.with_key_value_links().with_peer_links()).await;
    fleet.set_isolation(0, Mode::BLACKHOLE).await.expect("the mode is accepted");
    fleet.instances[0].wait_unready(TIMEOUT).await.expect("the isolated instance stops new work");
    for instance in &fleet.instances[1..] {
        assert!(instance.is_ready().await.expect("the instance responds"));
        stream_prompt(&fleet, instance, KEY).await;
    }
    fleet.set_isolation(0, Mode::PASS).await.expect("the mode is accepted");
    fleet.wait_ready(TIMEOUT).await.expect("all instances are ready again");
}
