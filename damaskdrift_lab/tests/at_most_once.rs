//! Process tests of calls that run at most once (invariants 8 and 9): no duplicate runs, no false
//! `not-run`, and equal responses to duplicate calls.

use std::collections;
use std::time::Duration;

use damaskdrift_lab::harness::fleet::{KEY, OTHER_KEY};
use damaskdrift_lab::harness::{Builder, Fleet, Response, http};
use damaskdrift_lab::proxy::Mode;
use futures_util::{StreamExt as _, future, stream};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Minimum number of 300 calls that must complete under a fault; with fewer, the test would check
/// little.
const MIN_COMPLETED: usize = 100;

/// Result of a call as seen by the caller.
#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    /// Body of the response.
    Completed(Vec<u8>),
    /// Outcome field of the error response.
    Failed(String),
    NoResponse,
}

fn builder() -> Builder {
    Builder::new()
        .with_instances(2)
        .with_engines(0)
        .with_services(2)
        .with_setting("limits", "upstream_timeout_ms", 3_000)
        .with_setting("limits", "connect_timeout_ms", 500)
}

fn lodge_call(fleet: &Fleet, instance: usize, key: &str, body: &str) -> http::Call {
    fleet.instances[instance]
        .call(Method::POST, "/v1/services/lodging/lodge", KEY)
        .with_header("idempotency-key", key)
        .with_body(body.to_owned())
        .with_timeout(CALL_TIMEOUT)
}

async fn send(fleet: &Fleet, call: http::Call) -> Outcome {
    outcome(fleet.http.send(call).await)
}

fn outcome(response: Result<Response, http::Error>) -> Outcome {
    let Ok(response) = response else {
        return Outcome::NoResponse;
    };
    let body = serde_json::from_slice::<Value>(&response.body).unwrap_or_default();
    match body["error"]["outcome"].as_str() {
        Some(outcome) => Outcome::Failed(outcome.to_owned()),
        None => Outcome::Completed(response.body.to_vec()),
    }
}

/// Returns the number of runs by idempotency key, summed over all services.
async fn count_runs(fleet: &Fleet) -> collections::BTreeMap<String, u64> {
    let mut runs = collections::BTreeMap::new();
    for service in &fleet.services {
        for (key, count) in service.runs().await.expect("the service responds") {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}

// Guards against a second run or a different response when a caller retries a completed call.
#[tokio::test]
async fn duplicate_call_gets_the_recorded_response() {
    let fleet = builder().start().await.expect("the fleet starts");
    let first = fleet.http.send(lodge_call(&fleet, 0, "k1", "notice")).await.expect("a response");
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(first.header("x-recorded"), None);
    for instance in [0, 1] {
        let call = lodge_call(&fleet, instance, "k1", "notice");
        let again = fleet.http.send(call).await.expect("a response");
        assert_eq!((again.status, &again.body), (first.status, &first.body));
        assert_eq!(again.headers, first.headers);
    }
    let other = fleet.http.send(lodge_call(&fleet, 1, "k1", "another")).await.expect("a response");
    assert_eq!(other.status, 422, "{}", other.text());
    // Keys are scoped to a workspace, so the same key in another workspace is unused.
    let mut call = fleet.instances[0].call(Method::POST, "/v1/services/lodging/lodge", OTHER_KEY);
    call = call.with_header("idempotency-key", "k1").with_body("notice");
    fleet
        .http
        .send(call)
        .await
        .expect("a response")
        .ok()
        .expect("the key is unused in this workspace");
    assert_eq!(count_runs(&fleet).await["k1"], 2);
}

// Guards against two runs when concurrent calls with one key arrive at two instances.
#[tokio::test]
async fn concurrent_calls_share_one_run() {
    let fleet = builder().with_service_args(&["--delay-ms", "100"]).start().await.expect("a fleet");
    let send_concurrently = |round: usize| {
        let key = format!("k{round}");
        let fleet = &fleet;
        let calls = (0..10).map(move |i| send(fleet, lodge_call(fleet, i % 2, &key, "notice")));
        future::join_all(calls)
    };
    let responses =
        stream::iter(0..20).map(send_concurrently).buffer_unordered(4).collect::<Vec<_>>().await;
    for responses in responses {
        assert!(matches!(responses[0], Outcome::Completed(_)), "{:?}", responses[0]);
        assert!(responses.iter().all(|response| *response == responses[0]), "{responses:?}");
    }
    assert!(count_runs(&fleet).await.values().all(|count| *count == 1));
}

/// Kills the first instance while a service runs the call that the instance sent.
async fn kill_during_call(fleet: &mut Fleet, key: &str) {
    let (http, call) = (fleet.http.clone(), lodge_call(fleet, 0, key, "notice"));
    let call = tokio::spawn(async move { http.send(call).await });
    while count_runs(fleet).await.is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.instances[0].process.kill().expect("the instance is killed");
    assert!(call.await.expect("the task ends").is_err());
}

// Guards against a false `not-run`, or a second run, after the instance that sent the call died.
#[tokio::test]
async fn outcome_after_a_killed_instance_is_unknown() {
    let mut fleet =
        builder().with_service_args(&["--delay-ms", "1000"]).start().await.expect("a fleet");
    kill_during_call(&mut fleet, "k1").await;
    let again = fleet.http.send(lodge_call(&fleet, 1, "k1", "notice")).await.expect("a response");
    let error: Value = again.json().expect("an error is JSON");
    assert_eq!((again.status, &error["error"]["outcome"]), (409, &json!("unknown")));
    assert_eq!(count_runs(&fleet).await["k1"], 1);
}

// Guards against a caller that times out before it receives the outcome `unknown`, because the
// instance waits longer for the result of a dead instance than the caller waits for a response.
#[tokio::test]
async fn duplicate_call_gets_unknown_before_a_short_timeout() {
    let mut fleet = builder()
        .with_setting("limits", "upstream_timeout_ms", 30_000)
        .with_service_args(&["--delay-ms", "1000"])
        .start()
        .await
        .expect("a fleet");
    kill_during_call(&mut fleet, "k1").await;
    let again = lodge_call(&fleet, 1, "k1", "notice").with_timeout(Duration::from_secs(10));
    assert_eq!(send(&fleet, again).await, Outcome::Failed("unknown".to_owned()));
}

// Guards against the outcome `not-run` for a call whose response was lost at one upstream and whose
// retry could not connect to the next.
#[tokio::test]
async fn lost_response_before_a_failed_retry_is_unknown() {
    let fleet = builder().with_upstream_links().start().await.expect("the fleet starts");
    fleet.services[0].set_fault(&json!({"lose_answers": 1.0})).await.expect("the fault is set");
    fleet.service_link(1).set_mode(Mode::CUT).await.expect("the mode is set");
    for n in 1..=8 {
        let call = fleet.instances[0].call(Method::GET, "/v1/services/lodging/prices", KEY);
        let outcome = send(&fleet, call).await;
        let count = count_runs(&fleet).await.get("").copied().unwrap_or(0);
        assert_eq!((outcome, count), (Outcome::Failed("unknown".to_owned()), n));
    }
}

// Guards against sending a call without a claim on its key, and against a key that stays unusable
// after an outage.
#[tokio::test]
async fn outage_of_the_key_value_service_rejects_calls() {
    let fleet = builder().start().await.expect("the fleet starts");
    fleet.key_value.set_fault(&json!({"outage": true})).await.expect("the fault is set");
    for key in ["k1", "k2", "k3"] {
        let response =
            fleet.http.send(lodge_call(&fleet, 0, key, "notice")).await.expect("a response");
        let error: Value = response.json().expect("an error is JSON");
        assert_eq!((response.status, &error["error"]["code"]), (503, &json!(1305)));
        assert_eq!(error["error"]["outcome"], json!("not-run"));
    }
    let call = fleet.instances[0].call(Method::GET, "/v1/services/lodging/prices", KEY);
    fleet
        .http
        .send(call)
        .await
        .expect("a response")
        .ok()
        .expect("a call without an idempotency key needs no claim");
    assert_eq!(count_runs(&fleet).await.get("k1"), None);
    fleet.key_value.set_fault(&json!({})).await.expect("the fault is set");
    let response =
        fleet.http.send(lodge_call(&fleet, 1, "k1", "notice")).await.expect("a response");
    assert_eq!(response.status, 200, "{}", response.text());
}

// Guards against a response that is lost, or withheld forever, because it can't be recorded.
#[tokio::test]
async fn response_is_sent_before_it_is_recorded() {
    let fleet = builder().with_service_args(&["--delay-ms", "500"]).start().await.expect("a fleet");
    let call = fleet.http.send(lodge_call(&fleet, 0, "k1", "notice"));
    let outage = async {
        while count_runs(&fleet).await.is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.key_value.set_fault(&json!({"outage": true})).await.expect("the fault is set");
    };
    let (first, ()) = tokio::join!(call, outage);
    let first = first.expect("a response").ok().expect("the call ran");
    assert_eq!(first.header("x-recorded"), Some("false"));
    fleet.key_value.set_fault(&json!({})).await.expect("the fault is set");
    let again = fleet.http.send(lodge_call(&fleet, 1, "k1", "notice")).await.expect("a response");
    assert_eq!((again.status, again.body), (200, first.body));
    assert_eq!(count_runs(&fleet).await["k1"], 1);
}

/// Fault that starts and ends while calls run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    LostWrites,
    Outage,
    LostServiceResponses,
    ServiceCut,
    KeyValueCut,
    KeyValueResponsesDropped,
    Killed,
    Frozen,
    ServiceFrozen,
}

async fn start_fault(fleet: &mut Fleet, fault: Fault) -> Result<(), damaskdrift_lab::error::Error> {
    match fault {
        Fault::None => Ok(()),
        Fault::LostWrites => fleet.key_value.set_fault(&json!({"lose_answers": 0.3})).await,
        Fault::Outage => fleet.key_value.set_fault(&json!({"outage": true})).await,
        Fault::LostServiceResponses => {
            fleet.services[0].set_fault(&json!({"lose_answers": 0.5})).await
        }
        Fault::ServiceCut => fleet.service_link(0).set_mode(Mode::CUT).await,
        Fault::KeyValueCut => fleet.key_value_link(0).set_mode(Mode::CUT).await,
        Fault::KeyValueResponsesDropped => {
            fleet.key_value_link(0).set_mode(Mode::DROP_ANSWERS).await
        }
        Fault::Killed => fleet.instances[0].process.kill(),
        Fault::Frozen => fleet.instances[0].process.freeze(),
        Fault::ServiceFrozen => fleet.services[0].process.freeze(),
    }
}

async fn end_fault(fleet: &mut Fleet, fault: Fault) -> Result<(), damaskdrift_lab::error::Error> {
    match fault {
        Fault::None => Ok(()),
        Fault::LostWrites | Fault::Outage => fleet.key_value.set_fault(&json!({})).await,
        Fault::LostServiceResponses => fleet.services[0].set_fault(&json!({})).await,
        Fault::ServiceCut => fleet.service_link(0).set_mode(Mode::PASS).await,
        Fault::KeyValueCut | Fault::KeyValueResponsesDropped => {
            fleet.key_value_link(0).set_mode(Mode::PASS).await
        }
        Fault::Killed => fleet.instances[0].restart(),
        Fault::Frozen => fleet.instances[0].process.thaw(),
        Fault::ServiceFrozen => fleet.services[0].process.thaw(),
    }
}

/// Retries a call with a short timeout through both instances in turn until it completes, and
/// returns the outcome of every attempt.
async fn retry_until_completed(
    http: http::Client,
    calls: Vec<http::Call>,
    delay: Duration,
) -> Vec<Outcome> {
    tokio::time::sleep(delay).await;
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(outcome(http.send(call.with_timeout(Duration::from_millis(1_200))).await));
        if matches!(outcomes.last(), Some(Outcome::Completed(_))) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    outcomes
}

// Guards against a second run, a false `not-run` and a replay that differs, under faults that start
// and end while calls are claimed, sent and recorded.
#[rstest]
#[case::none(Fault::None, 0)]
#[case::lost_writes(Fault::LostWrites, 3_000)]
#[case::outage(Fault::Outage, 1_500)]
#[case::lost_service_responses(Fault::LostServiceResponses, 3_000)]
#[case::service_cut(Fault::ServiceCut, 3_000)]
#[case::key_value_cut(Fault::KeyValueCut, 3_000)]
#[case::key_value_responses_dropped(Fault::KeyValueResponsesDropped, 3_000)]
#[case::killed(Fault::Killed, 1_000)]
#[case::frozen_beyond_leases(Fault::Frozen, 6_000)]
#[case::service_frozen(Fault::ServiceFrozen, 3_000)]
#[tokio::test]
async fn faults_never_run_a_call_twice(#[case] fault: Fault, #[case] duration_ms: u64) {
    let fleet = builder().with_key_value_links().with_upstream_links();
    let fleet = fleet.with_service_args(&["--delay-ms", "20"]).start().await;
    let mut fleet = fleet.expect("the fleet starts");
    let mut callers = Vec::new();
    for i in 0..300_usize {
        let key = format!("k{i}");
        let calls = (0..5).map(|n| lodge_call(&fleet, (i + n) % 2, &key, &key)).collect();
        let delay = Duration::from_millis(7 * i as u64);
        callers.push((key, tokio::spawn(retry_until_completed(fleet.http.clone(), calls, delay))));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    start_fault(&mut fleet, fault).await.expect("the fault starts");
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
    end_fault(&mut fleet, fault).await.expect("the fault ends");
    let mut outcomes = Vec::new();
    for (key, caller) in callers {
        outcomes.push((key, caller.await.expect("the caller ends")));
    }
    // A call that is still running when its caller times out ends within the upstream timeout.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = count_runs(&fleet).await;
    let mut completed = 0;
    for (key, outcomes) in outcomes {
        let count = runs.get(&key).copied().unwrap_or(0);
        assert!(count <= 1, "{key} ran {count} times: {outcomes:?}");
        let is_not_run = |outcome: &Outcome| *outcome == Outcome::Failed("not-run".to_owned());
        assert!(count == 0 || !outcomes.iter().all(is_not_run), "{key} ran, but: {outcomes:?}");
        if let Some(Outcome::Completed(body)) = outcomes.last() {
            completed += 1;
            assert_eq!(count, 1, "{key}: {}", String::from_utf8_lossy(body));
            assert!(String::from_utf8_lossy(body).contains(&format!("\"{key}\"")));
        }
    }
    println!("{fault:?}: {completed} of 300 completed");
    assert!(completed >= MIN_COMPLETED, "{completed} of 300 completed");
}
