//! Tests of configuration propagation: an accepted change is in force on all of 8 instances within
//! 2 s and never reverts (invariant 12), and an outage of the key-value service of any length does
//! not stop prompts.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::FaultKind;
use damaskdrift_lab::harness::Fleet;
use damaskdrift_lab::proxy::Mode;
use damaskdrift_lab::standin::key_value::Fault;
use rstest::rstest;
use serde_json::Value;
use tokio::time::{self, Instant};

/// Time limit for a change to be in force on every instance.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Time limit for an instance that cannot confirm its configuration to refuse new work.
const STOP_LIMIT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Path by which a change reaches the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Writer {
    /// Through an instance, which also pushes the change to the other instances.
    Operator,
    /// Directly, so that instances learn of the change only through their watches.
    KeyValue,
}

// Guards against a change that reaches some instances late when one path of propagation is faulty.
#[rstest]
#[case::operator(Writer::Operator, FaultKind::None)]
#[case::operator_slow_key_value(Writer::Operator, FaultKind::SlowKeyValue)]
#[case::operator_no_key_value(Writer::Operator, FaultKind::NoKeyValue)]
#[case::operator_no_peers(Writer::Operator, FaultKind::NoPeers)]
#[case::direct(Writer::KeyValue, FaultKind::None)]
#[case::direct_slow_key_value(Writer::KeyValue, FaultKind::SlowKeyValue)]
#[case::direct_no_key_value(Writer::KeyValue, FaultKind::NoKeyValue)]
#[case::direct_no_peers(Writer::KeyValue, FaultKind::NoPeers)]
#[tokio::test]
async fn change_is_in_force_on_every_instance_in_time(
    #[case] writer: Writer,
    #[case] fault: FaultKind,
) {
    let mut fleet = common::start(8).await;
    let samples = common::sample_revisions(&fleet);
    common::inject_fault(&mut fleet, fault).await;
    time::sleep(Duration::from_millis(300)).await;
    let (document, revision) = fleet.document().await.expect("a document");
    let written_at = Instant::now();
    let target = match writer {
        Writer::KeyValue => {
            fleet.edit_document(|d| d.change.id = "second".to_owned()).await.expect("written")
        }
        Writer::Operator => {
            let response = common::set_domain(&fleet, 0, "b", "out", revision).await.ok();
            let response: Value = response.expect("accepted").json().expect("JSON");
            response["revision"].as_u64().expect("a number")
        }
    };
    assert!(target > revision && !document.change.id.is_empty());
    time::sleep_until(written_at + PROPAGATION_LIMIT + Duration::from_millis(300)).await;
    let samples = samples.stop().await;
    common::assert_no_reversion(&samples);
    for instance in 0..8 {
        let first = samples.iter().find(|s| s.instance == instance && s.revision >= target);
        let first =
            first.unwrap_or_else(|| panic!("instance {instance} never installs the change"));
        assert!(
            first.at <= written_at + PROPAGATION_LIMIT,
            "instance {instance} installed the change after {:?}",
            first.at - written_at
        );
    }
}

// Guards against accepting two changes that are based on the same revision, a conflict response that
// does not name the accepted change, and instances that alternate between the changes.
#[tokio::test]
async fn only_one_of_concurrent_changes_is_accepted() {
    let fleet = common::start(4).await;
    let samples = common::sample_revisions(&fleet);
    for round in 0..10 {
        let (_, revision) = fleet.document().await.expect("a document");
        let state = if round % 2 == 0 { "out" } else { "in" };
        let change = |i| common::set_domain(&fleet, i, common::DOMAINS[i % 3], state, revision);
        let (a, b, c, d) = tokio::join!(change(0), change(1), change(2), change(3));
        let responses = [a, b, c, d];
        let winners: Vec<_> = responses.iter().filter(|response| response.status == 200).collect();
        assert_eq!(winners.len(), 1, "round {round}: {responses:?}");
        let accepted: Value = winners[0].json().expect("JSON");
        let (document, stored) = fleet.document().await.expect("a document");
        assert_eq!(accepted["revision"], stored);
        for loser in responses.iter().filter(|response| response.status != 200) {
            assert_eq!(loser.status, 409, "{}", loser.text());
            let loser: Value = loser.json().expect("JSON");
            assert_eq!(
                loser["error"]["change"]["id"], document.change.id,
                "the conflict response does not name the accepted change"
            );
        }
    }
    common::assert_no_reversion(&samples.stop().await);
}

// Guards against reporting a conflict for a change that was written although its response was lost,
// and against reporting a change as accepted that was not written.
#[tokio::test]
async fn lost_write_response_is_resolved_by_reading_the_change() {
    let fleet = common::start(3).await;
    let mut accepted = BTreeSet::new();
    // The response to the read before the write may be lost too, which fails the command.
    for round in 0..60 {
        if accepted.len() == 6 {
            break;
        }
        fleet.key_value.set_fault(&Fault::default()).await.expect("the fault is removed");
        let (_, revision) = fleet.document().await.expect("a document");
        let fault = Fault { lose_answers: 0.5, ..Fault::default() };
        fleet.key_value.set_fault(&fault).await.expect("the fault is set");
        let state = if round % 2 == 0 { "out" } else { "in" };
        let response = common::set_domain(&fleet, 0, "a", state, revision).await;
        fleet.key_value.set_fault(&Fault::default()).await.expect("the fault is removed");
        let (document, stored) = fleet.document().await.expect("a document");
        match response.status {
            200 => {
                let response: Value = response.json().expect("JSON");
                assert_eq!(response["revision"], stored);
                assert!(accepted.insert(document.change.id), "two responses for one change");
            }
            409 => panic!("there is no other writer: {}", response.text()),
            // The read before the write, or every attempt within 3 s, got no response.
            _ => assert!(response.text().contains("4001"), "{}", response.text()),
        }
    }
    assert_eq!(accepted.len(), 6);
}

// Guards against prompts that fail while the key-value service is out, and against changes that are
// accepted, or whose outcome is unknown, during the outage.
#[tokio::test]
async fn prompts_continue_in_an_outage_of_any_length() {
    let fleet = common::start(4).await;
    let (_, revision) = fleet.document().await.expect("a document");
    let prompts = common::send_prompts(&fleet);
    common::set_outage(&fleet, true).await;
    time::sleep(Duration::from_secs(4)).await;
    let response = common::set_domain(&fleet, 0, "a", "out", revision).await;
    assert_eq!(response.status, 503, "{}", response.text());
    time::sleep(Duration::from_secs(8)).await;
    for instance in 0..4 {
        let status = common::status(&fleet, instance).await.expect("a status");
        let freshness = status["freshness"].as_str().unwrap_or_default();
        assert!(freshness.starts_with("service out"), "instance {instance}: {freshness}");
    }
    common::set_outage(&fleet, false).await;
    time::sleep(Duration::from_secs(2)).await;
    let prompts = prompts.stop().await;
    assert!(prompts.len() > 400, "only {} prompts", prompts.len());
    let failed: Vec<_> = prompts.iter().filter(|p| p.status != 200).collect();
    assert!(
        failed.is_empty(),
        "{} of {} prompts failed: {:?}",
        failed.len(),
        prompts.len(),
        failed[0]
    );
    let (_, after) = fleet.document().await.expect("a document");
    assert_eq!(after, revision, "the refused change was made");
}

// Guards against instances that treat an outage of the key-value service as their own isolation: in
// a fleet of this size each pings only some of its peers at a time.
#[tokio::test]
async fn fleet_beyond_the_full_mesh_continues_in_an_outage() {
    const INSTANCES: usize = 20;
    let builder = Fleet::builder().with_instances(INSTANCES).with_failure_domains(&common::DOMAINS);
    let fleet = builder.start().await.expect("the fleet starts");
    // A member counts only after the list has been read and the member has been contacted.
    time::sleep(Duration::from_secs(2)).await;
    common::set_outage(&fleet, true).await;
    time::sleep(Duration::from_secs(3)).await;
    let deadline = Instant::now() + Duration::from_secs(5);
    while Instant::now() < deadline {
        for instance in 0..INSTANCES {
            let status = common::status(&fleet, instance).await.expect("a status");
            let freshness = status["freshness"].as_str().unwrap_or_default();
            assert!(freshness.starts_with("service out"), "instance {instance}: {freshness}");
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

// Guards against a minority of a partition that continues although it can no longer learn of
// changes, and against one that does not return to service after the partition.
#[rstest]
#[case::one_of_two(2)]
#[case::one_of_three(3)]
#[tokio::test]
async fn isolated_instance_stops_and_returns(
    #[case] instances: usize,
    #[values(Mode::CUT, Mode::BLACKHOLE)] mode: Mode,
) {
    let mut fleet = common::start(instances).await;
    let victim = instances - 1;
    let prompts = common::send_prompts(&fleet);
    fleet.set_isolation(victim, mode).await.expect("the mode is accepted");
    let cut_at = Instant::now();
    fleet.instances[victim].wait_unready(STOP_LIMIT).await.expect("it stops in time");
    assert!(cut_at.elapsed() > Duration::from_secs(1), "it stopped at the first lost response");
    time::sleep_until(cut_at + STOP_LIMIT).await;
    let stopped_at = Instant::now();
    time::sleep(Duration::from_secs(1)).await;
    let restored_at = Instant::now();
    fleet.set_isolation(victim, Mode::PASS).await.expect("the links are restored");
    fleet.instances[victim].wait_ready(STOP_LIMIT).await.expect("it returns");
    time::sleep(Duration::from_millis(500)).await;
    let prompts = prompts.stop().await;
    let is_while_stopped =
        |p: &&common::Prompt| p.sent_at > stopped_at && p.answered_at < restored_at;
    let refused: Vec<_> =
        prompts.iter().filter(|p| p.instance == victim).filter(is_while_stopped).collect();
    assert!(!refused.is_empty());
    for prompt in refused {
        assert_eq!(prompt.status, 503);
        assert!(prompt.text.contains("not-run"), "{}", prompt.text);
    }
    let failed: Vec<_> =
        prompts.iter().filter(|p| p.instance != victim && p.status != 200).collect();
    assert!(failed.is_empty(), "prompts to the other instances failed: {failed:?}");
}

// Guards against one instance or a pair that waits for a majority which it cannot have: without
// reachable peers, a read of the key-value service confirms the configuration.
#[tokio::test]
async fn instance_without_peers_reads_the_key_value_service() {
    let fleet = common::start(3).await;
    fleet.set_peer_mode(2, Mode::CUT).await.expect("the links are cut");
    let prompts = common::send_prompts(&fleet);
    time::sleep(Duration::from_secs(6)).await;
    let prompts = prompts.stop().await;
    let failed: Vec<_> = prompts.iter().filter(|p| p.status != 200).collect();
    assert!(
        failed.is_empty(),
        "{} of {} prompts failed: {:?}",
        failed.len(),
        prompts.len(),
        failed[0]
    );
}

// Guards against an instance that starts during an outage without a configuration or with a stale
// one.
#[tokio::test]
async fn instance_started_in_an_outage_gets_configuration_from_peers() {
    let mut fleet = common::start(4).await;
    fleet.instances[3].process.kill().expect("it is killed");
    let response = common::take_out(&fleet, 0, "a").await;
    let revision = response["revision"].as_u64().expect("a number");
    common::set_outage(&fleet, true).await;
    // All confirmations from before the outage have expired by then.
    time::sleep(Duration::from_secs(3)).await;
    fleet.instances[3].restart().expect("it starts");
    fleet.instances[3].wait_ready(STOP_LIMIT).await.expect("it is ready in the outage");
    let status = common::status(&fleet, 3).await.expect("a status");
    assert_eq!(status["revision"], revision);
    let prompts = common::send_burst(&fleet, 3).join_all().await;
    assert!(prompts.iter().all(|p| p.status == 200 && p.upstream != "engine-0"), "{prompts:?}");
}

// Guards against an instance that serves requests although it started without reaching the key-value
// service or any peer.
#[tokio::test]
async fn instance_started_in_isolation_refuses_work() {
    let mut fleet = common::start(3).await;
    fleet.instances[2].process.kill().expect("it is killed");
    fleet.set_isolation(2, Mode::CUT).await.expect("the links are cut");
    fleet.instances[2].restart().expect("it starts");
    time::sleep(Duration::from_secs(2)).await;
    let prompt = common::send_burst(&fleet, 2).join_next().await.expect("one").expect("no panic");
    assert_eq!(prompt.status, 503, "{}", prompt.text);
    fleet.set_isolation(2, Mode::PASS).await.expect("the links are restored");
    fleet.instances[2].wait_ready(STOP_LIMIT).await.expect("it returns");
}

// Guards against an instance that resumes after a pause and puts its stale configuration back into
// force.
#[rstest]
#[case::no_outage(false)]
#[case::outage(true)]
#[tokio::test]
async fn resumed_instance_does_not_revert_the_configuration(#[case] outage: bool) {
    let mut fleet = common::start(4).await;
    let samples = common::sample_revisions(&fleet);
    fleet.instances[3].process.freeze().expect("it is frozen");
    let first = common::take_out(&fleet, 0, "a").await;
    let (_, revision) = fleet.document().await.expect("a document");
    let second: Value = common::set_domain(&fleet, 1, "b", "out", revision)
        .await
        .ok()
        .expect("accepted")
        .json()
        .expect("JSON");
    assert!(second["revision"].as_u64() > first["revision"].as_u64());
    common::set_outage(&fleet, outage).await;
    let waiting = common::send_burst(&fleet, 3);
    time::sleep(Duration::from_millis(500)).await;
    fleet.instances[3].process.thaw().expect("it is resumed");
    let thawed_at = Instant::now();
    let prompts = waiting.join_all().await;
    let served: Vec<_> = prompts.iter().filter(|p| p.status == 200).collect();
    assert!(served.iter().all(|p| p.upstream == "engine-2"), "{served:?}");
    assert_catches_up(&fleet, 3, &second, thawed_at + PROPAGATION_LIMIT).await;
    assert!(fleet.instances[3].process.log().contains("paused for"), "the pause was not noticed");
    time::sleep(Duration::from_millis(500)).await;
    common::assert_no_reversion(&samples.stop().await);
    fleet.instances[3].wait_ready(STOP_LIMIT).await.expect("it is ready again");
}

async fn assert_catches_up(fleet: &Fleet, instance: usize, change: &Value, deadline: Instant) {
    loop {
        let status = common::status(fleet, instance).await;
        if status.is_some_and(|status| status["revision"] == change["revision"]) {
            return;
        }
        assert!(Instant::now() < deadline, "instance {instance} does not catch up");
        time::sleep(POLL_INTERVAL).await;
    }
}
