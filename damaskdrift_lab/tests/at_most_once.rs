//! Process tests of calls that may not be repeated (invariants 8 and 9).

use std::collections;
use std::time::Duration;

use damaskdrift_lab::harness::fleet::{KEY, OTHER_KEY};
use damaskdrift_lab::harness::{Builder, Fleet, Response, http};
use damaskdrift_lab::proxy::Mode;
use futures_util::{StreamExt as _, future, stream};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};

/// Longest time for an answer.
const LIMIT: Duration = Duration::from_secs(20);

/// Fewest of 300 calls that a fault may leave answered; fewer would prove little.
const LEAST_ANSWERED: usize = 100;

/// What a caller learned of a call.
#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    Answered(Vec<u8>),
    Refused(String),
    NoAnswer,
}

fn builder() -> Builder {
    Builder::new()
        .with_instances(2)
        .with_engines(0)
        .with_services(2)
        .with_setting("limits", "upstream_timeout_ms", 3_000)
        .with_setting("limits", "connect_timeout_ms", 500)
}

fn lodge(fleet: &Fleet, instance: usize, key: &str, body: &str) -> http::Call {
    fleet.instances[instance]
        .call(Method::POST, "/v1/services/lodging/lodge", KEY)
        .with_header("idempotency-key", key)
        .with_body(body.to_owned())
        .with_timeout(LIMIT)
}

async fn send(fleet: &Fleet, call: http::Call) -> Outcome {
    outcome(fleet.http.send(call).await)
}

fn outcome(answer: Result<Response, http::Error>) -> Outcome {
    let Ok(answer) = answer else {
        return Outcome::NoAnswer;
    };
    let body = serde_json::from_slice::<Value>(&answer.body).unwrap_or_default();
    match body["error"]["outcome"].as_str() {
        Some(outcome) => Outcome::Refused(outcome.to_owned()),
        None => Outcome::Answered(answer.body.to_vec()),
    }
}

/// Runs by idempotency key over all services.
async fn runs(fleet: &Fleet) -> collections::BTreeMap<String, u64> {
    let mut runs = collections::BTreeMap::new();
    for service in &fleet.services {
        for (key, count) in service.runs().await.expect("the service answers") {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}

// Guards against a second run or a different answer when a caller repeats an answered call.
#[tokio::test]
async fn repeat_gets_the_recorded_answer() {
    let fleet = builder().start().await.expect("the fleet starts");
    let first = fleet.http.send(lodge(&fleet, 0, "k1", "notice")).await.expect("an answer");
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(first.header("x-recorded"), None);
    for instance in [0, 1] {
        let call = lodge(&fleet, instance, "k1", "notice");
        let again = fleet.http.send(call).await.expect("an answer");
        assert_eq!((again.status, &again.body), (first.status, &first.body));
        assert_eq!(again.headers, first.headers);
    }
    let other = fleet.http.send(lodge(&fleet, 1, "k1", "another")).await.expect("an answer");
    assert_eq!(other.status, 422, "{}", other.text());
    // The same key of another workspace is another key.
    let mut call = fleet.instances[0].call(Method::POST, "/v1/services/lodging/lodge", OTHER_KEY);
    call = call.with_header("idempotency-key", "k1").with_body("notice");
    fleet.http.send(call).await.expect("an answer").ok().expect("the call is new");
    assert_eq!(runs(&fleet).await["k1"], 2);
}

// Guards against two runs when callers race on one key through two instances.
#[tokio::test]
async fn racing_callers_share_one_run() {
    let fleet = builder().with_service_args(&["--delay-ms", "100"]).start().await.expect("a fleet");
    let race = |round: usize| {
        let key = format!("k{round}");
        let fleet = &fleet;
        let calls = (0..10).map(move |i| send(fleet, lodge(fleet, i % 2, &key, "notice")));
        future::join_all(calls)
    };
    let answers = stream::iter(0..20).map(race).buffer_unordered(4).collect::<Vec<_>>().await;
    for answers in answers {
        assert!(matches!(answers[0], Outcome::Answered(_)), "{:?}", answers[0]);
        assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
    }
    assert!(runs(&fleet).await.values().all(|count| *count == 1));
}

/// Kills the first instance while a service runs its call.
async fn kill_in_call(fleet: &mut Fleet, key: &str) {
    let (http, call) = (fleet.http.clone(), lodge(fleet, 0, key, "notice"));
    let call = tokio::spawn(async move { http.send(call).await });
    while runs(fleet).await.is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.instances[0].process.kill().expect("the instance is killed");
    assert!(call.await.expect("the task ends").is_err());
}

// Guards against a false not-run, or a second run, after the instance that sent the call is gone.
#[tokio::test]
async fn call_of_a_killed_instance_is_unknown() {
    let mut fleet =
        builder().with_service_args(&["--delay-ms", "1000"]).start().await.expect("a fleet");
    kill_in_call(&mut fleet, "k1").await;
    let again = fleet.http.send(lodge(&fleet, 1, "k1", "notice")).await.expect("an answer");
    let error: Value = again.json().expect("an error is JSON");
    assert_eq!((again.status, &error["error"]["outcome"]), (409, &json!("unknown")));
    assert_eq!(runs(&fleet).await["k1"], 1);
}

// Guards against a caller that is never told that the result is unknown, because the instance waits
// longer for a dead one's result than the caller waits for an answer.
#[tokio::test]
async fn a_repeat_is_told_unknown_before_a_short_timeout() {
    let mut fleet = builder()
        .with_setting("limits", "upstream_timeout_ms", 30_000)
        .with_service_args(&["--delay-ms", "1000"])
        .start()
        .await
        .expect("a fleet");
    kill_in_call(&mut fleet, "k1").await;
    let again = lodge(&fleet, 1, "k1", "notice").with_timeout(Duration::from_secs(10));
    assert_eq!(send(&fleet, again).await, Outcome::Refused("unknown".to_owned()));
}

// Guards against a not-run about a call that lost its answer at one upstream and could not connect to
// the next.
#[tokio::test]
async fn lost_answer_before_a_failed_retry_is_unknown() {
    let fleet = builder().with_upstream_links().start().await.expect("the fleet starts");
    fleet.services[0].set_fault(&json!({"lose_answers": 1.0})).await.expect("the fault is set");
    fleet.service_link(1).set_mode(Mode::CUT).await.expect("the mode is set");
    for n in 1..=8 {
        let call = fleet.instances[0].call(Method::GET, "/v1/services/lodging/prices", KEY);
        let told = send(&fleet, call).await;
        let count = runs(&fleet).await.get("").copied().unwrap_or(0);
        assert_eq!((told, count), (Outcome::Refused("unknown".to_owned()), n));
    }
}

// Guards against sending without a claim, and against a key that stays unusable after an outage.
#[tokio::test]
async fn outage_of_the_key_value_service_refuses_calls() {
    let fleet = builder().start().await.expect("the fleet starts");
    fleet.key_value.set_fault(&json!({"outage": true})).await.expect("the fault is set");
    for key in ["k1", "k2", "k3"] {
        let answer = fleet.http.send(lodge(&fleet, 0, key, "notice")).await.expect("an answer");
        let error: Value = answer.json().expect("an error is JSON");
        assert_eq!((answer.status, &error["error"]["code"]), (503, &json!(1305)));
        assert_eq!(error["error"]["outcome"], json!("not-run"));
    }
    let call = fleet.instances[0].call(Method::GET, "/v1/services/lodging/prices", KEY);
    fleet.http.send(call).await.expect("an answer").ok().expect("such a call needs no claim");
    assert_eq!(runs(&fleet).await.get("k1"), None);
    fleet.key_value.set_fault(&json!({})).await.expect("the fault is set");
    let answer = fleet.http.send(lodge(&fleet, 1, "k1", "notice")).await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

// Guards against an answer that is lost, or held back without end, because it cannot be recorded.
#[tokio::test]
async fn answer_is_given_and_recorded_later() {
    let fleet = builder().with_service_args(&["--delay-ms", "500"]).start().await.expect("a fleet");
    let call = fleet.http.send(lodge(&fleet, 0, "k1", "notice"));
    let outage = async {
        while runs(&fleet).await.is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.key_value.set_fault(&json!({"outage": true})).await.expect("the fault is set");
    };
    let (first, ()) = tokio::join!(call, outage);
    let first = first.expect("an answer").ok().expect("the call ran");
    assert_eq!(first.header("x-recorded"), Some("false"));
    fleet.key_value.set_fault(&json!({})).await.expect("the fault is set");
    let again = fleet.http.send(lodge(&fleet, 1, "k1", "notice")).await.expect("an answer");
    assert_eq!((again.status, again.body), (200, first.body));
    assert_eq!(runs(&fleet).await["k1"], 1);
}

/// A fault that begins while calls run and ends later.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    LostWrites,
    Outage,
    LostServiceAnswers,
    ServiceCut,
    KeyValueCut,
    KeyValueAnswersDropped,
    Killed,
    Frozen,
    ServiceFrozen,
}

async fn begin(fleet: &mut Fleet, fault: Fault) -> Result<(), damaskdrift_lab::error::Error> {
    match fault {
        Fault::None => Ok(()),
        Fault::LostWrites => fleet.key_value.set_fault(&json!({"lose_answers": 0.3})).await,
        Fault::Outage => fleet.key_value.set_fault(&json!({"outage": true})).await,
        Fault::LostServiceAnswers => {
            fleet.services[0].set_fault(&json!({"lose_answers": 0.5})).await
        }
        Fault::ServiceCut => fleet.service_link(0).set_mode(Mode::CUT).await,
        Fault::KeyValueCut => fleet.key_value_link(0).set_mode(Mode::CUT).await,
        Fault::KeyValueAnswersDropped => fleet.key_value_link(0).set_mode(Mode::DROP_ANSWERS).await,
        Fault::Killed => fleet.instances[0].process.kill(),
        Fault::Frozen => fleet.instances[0].process.freeze(),
        Fault::ServiceFrozen => fleet.services[0].process.freeze(),
    }
}

async fn end(fleet: &mut Fleet, fault: Fault) -> Result<(), damaskdrift_lab::error::Error> {
    match fault {
        Fault::None => Ok(()),
        Fault::LostWrites | Fault::Outage => fleet.key_value.set_fault(&json!({})).await,
        Fault::LostServiceAnswers => fleet.services[0].set_fault(&json!({})).await,
        Fault::ServiceCut => fleet.service_link(0).set_mode(Mode::PASS).await,
        Fault::KeyValueCut | Fault::KeyValueAnswersDropped => {
            fleet.key_value_link(0).set_mode(Mode::PASS).await
        }
        Fault::Killed => fleet.instances[0].restart(),
        Fault::Frozen => fleet.instances[0].process.thaw(),
        Fault::ServiceFrozen => fleet.services[0].process.thaw(),
    }
}

/// Repeats a call through both instances in turn until it is answered, as a caller that has lost
/// patience does, and returns all that it was told.
async fn insist(http: http::Client, calls: Vec<http::Call>, start: Duration) -> Vec<Outcome> {
    tokio::time::sleep(start).await;
    let mut told = Vec::new();
    for call in calls {
        told.push(outcome(http.send(call.with_timeout(Duration::from_millis(1_200))).await));
        if matches!(told.last(), Some(Outcome::Answered(_))) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    told
}

// Guards against a second run, a false not-run and a replay that differs, under faults that begin
// and end while calls are claimed, sent and recorded.
#[rstest]
#[case::none(Fault::None, 0)]
#[case::lost_writes(Fault::LostWrites, 3_000)]
#[case::outage(Fault::Outage, 1_500)]
#[case::lost_service_answers(Fault::LostServiceAnswers, 3_000)]
#[case::service_cut(Fault::ServiceCut, 3_000)]
#[case::key_value_cut(Fault::KeyValueCut, 3_000)]
#[case::key_value_answers_dropped(Fault::KeyValueAnswersDropped, 3_000)]
#[case::killed(Fault::Killed, 1_000)]
#[case::frozen_beyond_leases(Fault::Frozen, 6_000)]
#[case::service_frozen(Fault::ServiceFrozen, 3_000)]
#[tokio::test]
async fn faults_never_run_a_call_twice(#[case] fault: Fault, #[case] lasts_ms: u64) {
    let fleet = builder().with_key_value_links().with_upstream_links();
    let fleet = fleet.with_service_args(&["--delay-ms", "20"]).start().await;
    let mut fleet = fleet.expect("the fleet starts");
    let mut callers = Vec::new();
    for i in 0..300_usize {
        let key = format!("k{i}");
        let calls = (0..5).map(|n| lodge(&fleet, (i + n) % 2, &key, &key)).collect();
        let start = Duration::from_millis(7 * i as u64);
        callers.push((key, tokio::spawn(insist(fleet.http.clone(), calls, start))));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    begin(&mut fleet, fault).await.expect("the fault begins");
    tokio::time::sleep(Duration::from_millis(lasts_ms)).await;
    end(&mut fleet, fault).await.expect("the fault ends");
    let mut told = Vec::new();
    for (key, caller) in callers {
        told.push((key, caller.await.expect("the caller ends")));
    }
    // A call that is still running when its caller gives up ends within the upstream timeout.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = runs(&fleet).await;
    let mut answered = 0;
    for (key, told) in told {
        let count = runs.get(&key).copied().unwrap_or(0);
        assert!(count <= 1, "{key} ran {count} times: {told:?}");
        let is_not_run = |outcome: &Outcome| *outcome == Outcome::Refused("not-run".to_owned());
        assert!(count == 0 || !told.iter().all(is_not_run), "{key} ran, but: {told:?}");
        if let Some(Outcome::Answered(body)) = told.last() {
            answered += 1;
            assert_eq!(count, 1, "{key}: {}", String::from_utf8_lossy(body));
            assert!(String::from_utf8_lossy(body).contains(&format!("\"{key}\"")));
        }
    }
    println!("{fault:?}: {answered} of 300 answered");
    assert!(answered >= LEAST_ANSWERED, "{answered} answered");
}
