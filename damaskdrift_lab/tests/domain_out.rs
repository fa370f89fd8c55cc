//! Invariant 5: a failure domain that is taken out receives no new work after 3 s, and the command
//! names the instances that have not confirmed.

mod common;

use std::time::Duration;

use common::FaultKind;
use rstest::rstest;
use tokio::time::{self, Instant};

/// Longest time until a failure domain receives no new work.
const BOUND: Duration = Duration::from_secs(3);
/// How long the fleet is watched after the bound.
const WATCH: Duration = Duration::from_secs(3);

/// How the command must class the victim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Class {
    Confirmed,
    Stopped,
}

// Guards against work for a failure domain that is out, from instances that could not be told, and
// against a command that counts such an instance as confirmed.
#[rstest]
#[case::no_fault(4, FaultKind::None, Class::Confirmed)]
#[case::no_service(4, FaultKind::NoKeyValue, Class::Confirmed)]
#[case::slow_service(4, FaultKind::SlowKeyValue, Class::Confirmed)]
#[case::no_peers(4, FaultKind::NoPeers, Class::Stopped)]
#[case::isolated_of_two(2, FaultKind::Isolated, Class::Stopped)]
#[case::isolated_of_three(3, FaultKind::Isolated, Class::Stopped)]
#[case::isolated_of_eight(8, FaultKind::Isolated, Class::Stopped)]
#[case::blackhole(4, FaultKind::Blackhole, Class::Stopped)]
#[case::frozen(4, FaultKind::Frozen, Class::Stopped)]
#[case::frozen_and_isolated(4, FaultKind::FrozenIsolated, Class::Stopped)]
#[tokio::test]
async fn a_domain_that_is_out_receives_no_new_work(
    #[case] instances: usize,
    #[case] trouble: FaultKind,
    #[case] expected: Class,
) {
    let mut fleet = common::start(instances).await;
    let victim = fleet.instances[instances - 1].id.clone();
    let prompts = common::send_prompts(&fleet);
    time::sleep(Duration::from_millis(500)).await;
    assert!(common::engine_requests(&fleet, 0).await > 0, "the domain receives work before");
    common::inject_fault(&mut fleet, trouble).await;
    // A stop signal takes effect in each thread only when it is scheduled next.
    time::sleep(Duration::from_millis(100)).await;

    let sent = Instant::now();
    let answer = common::take_out(&fleet, 0, "a").await;
    assert!(sent.elapsed() < BOUND, "the command took {:?}", sent.elapsed());
    let class = match () {
        () if common::instance_names(&answer, "confirmed").contains(&victim) => Class::Confirmed,
        () if common::instance_names(&answer, "stopped").contains(&victim) => Class::Stopped,
        () => panic!("{victim} is not classed: {answer}"),
    };
    assert_eq!(class, expected, "{victim}: {answer}");
    assert_eq!(common::instance_names(&answer, "unconfirmed"), Vec::<String>::new());

    time::sleep_until(sent + BOUND).await;
    let at_bound = common::engine_requests(&fleet, 0).await;
    if trouble.is_frozen() {
        // These calls wait in the sockets of the stopped process and are read when it goes on.
        let waiting = common::send_burst(&fleet, instances - 1);
        time::sleep(Duration::from_millis(200)).await;
        fleet.instances[instances - 1].process.thaw().expect("the process is thawed");
        waiting.join_all().await;
    }
    time::sleep(WATCH).await;
    let after = common::engine_requests(&fleet, 0).await;
    assert_eq!(after, at_bound, "new work after the bound");

    let prompts = prompts.stop().await;
    let others_after = |p: &&common::Prompt| p.instance == 0 && p.sent_at > sent + BOUND;
    let late: Vec<_> = prompts.iter().filter(others_after).collect();
    assert!(late.len() > 20, "only {} prompts", late.len());
    assert!(late.iter().all(|p| p.status == 200), "the rest of the fleet goes on");
    common::clear_fault(&mut fleet, trouble).await;
    fleet.wait_ready(Duration::from_secs(3)).await.expect("all instances return");
}

// Guards against work that was given to an upstream before the change and waited for its connection:
// an instance that has confirmed the change must not send it any more.
#[tokio::test]
async fn a_request_that_waited_is_checked_again() {
    const DELAY: Duration = Duration::from_millis(300);
    let builder = common::builder(2).with_upstream_links();
    let mut fleet = builder.start().await.expect("the fleet starts");
    common::wait_for_all_alive(&mut fleet).await;
    let slow = damaskdrift_lab::proxy::Mode::PASS.with_delay_ms(DELAY.as_millis() as u64);
    fleet.engine_link(0).set_mode(slow).await.expect("the link is slow");
    // Opening a connection takes twice the delay, so the change comes in between.
    let waiting = common::send_burst(&fleet, 1);
    time::sleep(DELAY / 2).await;
    let answer = common::take_out(&fleet, 0, "a").await;
    assert_eq!(common::instance_names(&answer, "confirmed"), ["entry-0", "entry-1"]);
    // Requests that were sent before the change arrive after the delay.
    time::sleep(DELAY + DELAY / 4).await;
    let before = common::engine_requests(&fleet, 0).await;
    let answers = waiting.join_all().await;
    time::sleep(DELAY * 2).await;
    assert_eq!(common::engine_requests(&fleet, 0).await, before);
    let failed: Vec<_> = answers.iter().filter(|answer| answer.status != 200).collect();
    assert!(failed.is_empty(), "requests go to another domain instead: {failed:?}");
}

// Guards against a command that claims more than its instance can know: the other side has the
// majority and goes on under the old configuration, because the service is out for it.
#[tokio::test]
async fn a_majority_that_cannot_be_told_is_named() {
    let mut fleet = common::start(3).await;
    fleet.set_peer_mode(0, damaskdrift_lab::proxy::Mode::CUT).await.expect("the links are cut");
    for other in [1, 2] {
        let link = fleet.key_value_link(other);
        link.set_mode(damaskdrift_lab::proxy::Mode::CUT).await.expect("the link is cut");
    }
    let answer = common::take_out(&fleet, 0, "a").await;
    assert_eq!(common::instance_names(&answer, "confirmed"), ["entry-0"]);
    assert_eq!(common::instance_names(&answer, "stopped"), Vec::<String>::new());
    assert_eq!(common::instance_names(&answer, "unconfirmed"), ["entry-1", "entry-2"]);
    assert!(fleet.instances[1].is_ready().await.expect("an answer"), "the majority goes on");
    fleet.set_peer_mode(0, damaskdrift_lab::proxy::Mode::PASS).await.expect("the links are back");
    let end = Instant::now() + BOUND;
    for other in [1, 2] {
        loop {
            let status = common::status(&fleet, other).await.expect("a status");
            if status["revision"] == answer["revision"] {
                break;
            }
            assert!(Instant::now() < end, "instance {other} does not learn the change: {status}");
            time::sleep(Duration::from_millis(20)).await;
        }
    }
    fleet.wait_ready(BOUND).await.expect("all instances return");
}
