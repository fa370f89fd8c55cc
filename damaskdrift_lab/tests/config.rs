//! Invariant 12: an accepted configuration is in force everywhere within 2 s at 8 instances and
//! never reverts; an outage of the key-value service of any length does not stop prompts.

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

/// Longest time until a change is in force everywhere.
const BOUND: Duration = Duration::from_secs(2);
/// Longest time until an instance that cannot know whether it is current stops new work.
const STOP_BOUND: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(10);

/// How a change reaches the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Writer {
    /// Through an instance, which pushes it to the others.
    Operator,
    /// Past all instances, so that only the watches see it.
    Service,
}

// Guards against changes that some instances learn late, through each way that is left to them.
#[rstest]
#[case::operator(Writer::Operator, FaultKind::None)]
#[case::operator_slow_service(Writer::Operator, FaultKind::SlowKeyValue)]
#[case::operator_no_service(Writer::Operator, FaultKind::NoKeyValue)]
#[case::operator_no_peers(Writer::Operator, FaultKind::NoPeers)]
#[case::service(Writer::Service, FaultKind::None)]
#[case::service_slow_service(Writer::Service, FaultKind::SlowKeyValue)]
#[case::service_no_service(Writer::Service, FaultKind::NoKeyValue)]
#[case::service_no_peers(Writer::Service, FaultKind::NoPeers)]
#[tokio::test]
async fn a_change_is_in_force_everywhere_in_time(
    #[case] writer: Writer,
    #[case] trouble: FaultKind,
) {
    let mut fleet = common::start(8).await;
    let looks = common::sample_revisions(&fleet);
    common::inject_fault(&mut fleet, trouble).await;
    time::sleep(Duration::from_millis(300)).await;
    let (document, revision) = fleet.document().await.expect("a document");
    let written = Instant::now();
    let target = match writer {
        Writer::Service => {
            fleet.edit_document(|d| d.change.id = "second".to_owned()).await.expect("written")
        }
        Writer::Operator => {
            let answer = common::set_domain(&fleet, 0, "b", "out", revision).await.ok();
            let answer: Value = answer.expect("accepted").json().expect("JSON");
            answer["revision"].as_u64().expect("a number")
        }
    };
    assert!(target > revision && !document.change.id.is_empty());
    time::sleep_until(written + BOUND + Duration::from_millis(300)).await;
    let looks = looks.stop().await;
    common::assert_no_reversion(&looks);
    for instance in 0..8 {
        let first = looks.iter().find(|l| l.instance == instance && l.revision >= target);
        let first = first.unwrap_or_else(|| panic!("instance {instance} never has the change"));
        assert!(first.at <= written + BOUND, "instance {instance}: {:?}", first.at - written);
    }
}

// Guards against two changes based on the same revision both being accepted, a winner that is not
// named, and instances that switch back and forth between the changes.
#[tokio::test]
async fn of_racing_operators_one_wins() {
    let fleet = common::start(4).await;
    let looks = common::sample_revisions(&fleet);
    for round in 0..10 {
        let (_, revision) = fleet.document().await.expect("a document");
        let state = if round % 2 == 0 { "out" } else { "in" };
        let change = |i| common::set_domain(&fleet, i, common::DOMAINS[i % 3], state, revision);
        let (a, b, c, d) = tokio::join!(change(0), change(1), change(2), change(3));
        let answers = [a, b, c, d];
        let winners: Vec<_> = answers.iter().filter(|answer| answer.status == 200).collect();
        assert_eq!(winners.len(), 1, "round {round}: {answers:?}");
        let accepted: Value = winners[0].json().expect("JSON");
        let (document, stored) = fleet.document().await.expect("a document");
        assert_eq!(accepted["revision"], stored);
        for loser in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!(loser.status, 409, "{}", loser.text());
            let loser: Value = loser.json().expect("JSON");
            assert_eq!(loser["error"]["change"]["id"], document.change.id, "the winner is named");
        }
    }
    common::assert_no_reversion(&looks.stop().await);
}

// Guards against a change that took effect being reported as lost to itself, and against one that
// did not being reported as accepted.
#[tokio::test]
async fn a_lost_answer_is_settled_by_the_change() {
    let fleet = common::start(3).await;
    let mut accepted = BTreeSet::new();
    // The read before the write may lose its answer too, which ends the command.
    for round in 0..60 {
        if accepted.len() == 6 {
            break;
        }
        fleet.key_value.set_fault(&Fault::default()).await.expect("no fault");
        let (_, revision) = fleet.document().await.expect("a document");
        let fault = Fault { lose_answers: 0.5, ..Fault::default() };
        fleet.key_value.set_fault(&fault).await.expect("answers are lost");
        let state = if round % 2 == 0 { "out" } else { "in" };
        let answer = common::set_domain(&fleet, 0, "a", state, revision).await;
        fleet.key_value.set_fault(&Fault::default()).await.expect("no fault");
        let (document, stored) = fleet.document().await.expect("a document");
        match answer.status {
            200 => {
                let answer: Value = answer.json().expect("JSON");
                assert_eq!(answer["revision"], stored);
                assert!(accepted.insert(document.change.id), "one change for each answer");
            }
            409 => panic!("nobody else writes: {}", answer.text()),
            // The read before the write, or every attempt in 3 s, had no answer.
            _ => assert!(answer.text().contains("4001"), "{}", answer.text()),
        }
    }
    assert_eq!(accepted.len(), 6);
}

// Guards against prompts that depend on the key-value service, and changes that are accepted or
// left unclear while it is out.
#[tokio::test]
async fn prompts_go_on_in_an_outage_of_any_length() {
    let fleet = common::start(4).await;
    let (_, revision) = fleet.document().await.expect("a document");
    let prompts = common::send_prompts(&fleet);
    common::set_outage(&fleet, true).await;
    time::sleep(Duration::from_secs(4)).await;
    let answer = common::set_domain(&fleet, 0, "a", "out", revision).await;
    assert_eq!(answer.status, 503, "{}", answer.text());
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
    assert!(failed.is_empty(), "{} of {}: {:?}", failed.len(), prompts.len(), failed[0]);
    let (_, after) = fleet.document().await.expect("a document");
    assert_eq!(after, revision, "the refused change was not made");
}

// Guards against a fleet whose instances ping only some peers each tick taking an outage of the
// service for their own isolation.
#[tokio::test]
async fn a_fleet_beyond_the_full_mesh_goes_on_in_an_outage() {
    const INSTANCES: usize = 20;
    let builder = Fleet::builder().with_instances(INSTANCES).with_failure_domains(&common::DOMAINS);
    let fleet = builder.start().await.expect("the fleet starts");
    // A member counts only once the list was read and the member was heard.
    time::sleep(Duration::from_secs(2)).await;
    common::set_outage(&fleet, true).await;
    time::sleep(Duration::from_secs(3)).await;
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        for instance in 0..INSTANCES {
            let status = common::status(&fleet, instance).await.expect("a status");
            let freshness = status["freshness"].as_str().unwrap_or_default();
            assert!(freshness.starts_with("service out"), "instance {instance}: {freshness}");
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

// Guards against a minority of a partition going on when it can no longer learn of a change, and
// against it not coming back.
#[rstest]
#[case::one_of_two(2)]
#[case::one_of_three(3)]
#[tokio::test]
async fn an_instance_that_is_cut_off_stops_and_returns(
    #[case] instances: usize,
    #[values(Mode::CUT, Mode::BLACKHOLE)] mode: Mode,
) {
    let mut fleet = common::start(instances).await;
    let victim = instances - 1;
    let prompts = common::send_prompts(&fleet);
    fleet.set_isolation(victim, mode).await.expect("the links are cut");
    let cut = Instant::now();
    fleet.instances[victim].wait_unready(STOP_BOUND).await.expect("it stops in time");
    assert!(cut.elapsed() > Duration::from_secs(1), "it does not stop at the first lost answer");
    time::sleep_until(cut + STOP_BOUND).await;
    let stopped = Instant::now();
    time::sleep(Duration::from_secs(1)).await;
    let healed = Instant::now();
    fleet.set_isolation(victim, Mode::PASS).await.expect("the links are restored");
    fleet.instances[victim].wait_ready(STOP_BOUND).await.expect("it returns");
    time::sleep(Duration::from_millis(500)).await;
    let prompts = prompts.stop().await;
    let in_stop = |p: &&common::Prompt| p.sent_at > stopped && p.answered_at < healed;
    let refused: Vec<_> = prompts.iter().filter(|p| p.instance == victim).filter(in_stop).collect();
    assert!(!refused.is_empty());
    for prompt in refused {
        assert_eq!(prompt.status, 503);
        assert!(prompt.text.contains("not-run"), "{}", prompt.text);
    }
    let failed: Vec<_> =
        prompts.iter().filter(|p| p.instance != victim && p.status != 200).collect();
    assert!(failed.is_empty(), "the others go on: {failed:?}");
}

// Guards against a single instance or a pair of them needing a majority that they cannot have:
// without peers, reading the service is enough.
#[tokio::test]
async fn an_instance_without_peers_reads_the_service_itself() {
    let fleet = common::start(3).await;
    fleet.set_peer_mode(2, Mode::CUT).await.expect("the links are cut");
    let prompts = common::send_prompts(&fleet);
    time::sleep(Duration::from_secs(6)).await;
    let prompts = prompts.stop().await;
    let failed: Vec<_> = prompts.iter().filter(|p| p.status != 200).collect();
    assert!(failed.is_empty(), "{} of {}: {:?}", failed.len(), prompts.len(), failed[0]);
}

// Guards against an instance that starts in an outage having no configuration, or an old one.
#[tokio::test]
async fn an_instance_born_in_an_outage_learns_from_its_peers() {
    let mut fleet = common::start(4).await;
    fleet.instances[3].process.kill().expect("it is killed");
    let answer = common::take_out(&fleet, 0, "a").await;
    let revision = answer["revision"].as_u64().expect("a number");
    common::set_outage(&fleet, true).await;
    // All confirmations from before the outage are too old by then.
    time::sleep(Duration::from_secs(3)).await;
    fleet.instances[3].restart().expect("it starts");
    fleet.instances[3].wait_ready(STOP_BOUND).await.expect("it is ready in the outage");
    let status = common::status(&fleet, 3).await.expect("a status");
    assert_eq!(status["revision"], revision);
    let answers = common::send_burst(&fleet, 3).join_all().await;
    assert!(answers.iter().all(|p| p.status == 200 && p.upstream != "engine-0"), "{answers:?}");
}

// Guards against an instance that starts cut off from everything serving anything.
#[tokio::test]
async fn an_instance_born_cut_off_refuses_work() {
    let mut fleet = common::start(3).await;
    fleet.instances[2].process.kill().expect("it is killed");
    fleet.set_isolation(2, Mode::CUT).await.expect("the links are cut");
    fleet.instances[2].restart().expect("it starts");
    time::sleep(Duration::from_secs(2)).await;
    let answer = common::send_burst(&fleet, 2).join_next().await.expect("one").expect("no panic");
    assert_eq!(answer.status, 503, "{}", answer.text);
    fleet.set_isolation(2, Mode::PASS).await.expect("the links are restored");
    fleet.instances[2].wait_ready(STOP_BOUND).await.expect("it returns");
}

// Guards against an old instance bringing its configuration back into force after a pause.
#[rstest]
#[case::service_in(false)]
#[case::service_out(true)]
#[tokio::test]
async fn an_old_instance_returns_without_reverting(#[case] outage: bool) {
    let mut fleet = common::start(4).await;
    let looks = common::sample_revisions(&fleet);
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
    fleet.instances[3].process.thaw().expect("it goes on");
    let thawed = Instant::now();
    let answers = waiting.join_all().await;
    let old: Vec<_> = answers.iter().filter(|p| p.status == 200).collect();
    assert!(old.iter().all(|p| p.upstream == "engine-2"), "{old:?}");
    assert_catches_up(&fleet, 3, &second, thawed + BOUND).await;
    assert!(fleet.instances[3].process.log().contains("paused for"), "the pause is noticed");
    time::sleep(Duration::from_millis(500)).await;
    common::assert_no_reversion(&looks.stop().await);
    fleet.instances[3].wait_ready(STOP_BOUND).await.expect("it is ready again");
}

async fn assert_catches_up(fleet: &Fleet, instance: usize, change: &Value, end: Instant) {
    loop {
        let status = common::status(fleet, instance).await;
        if status.is_some_and(|status| status["revision"] == change["revision"]) {
            return;
        }
        assert!(Instant::now() < end, "instance {instance} does not catch up");
        time::sleep(PAUSE).await;
    }
}
