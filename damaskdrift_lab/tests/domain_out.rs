//! Process tests of invariant 5: a failure domain that is out of service gets no new work after 3 s,
//! and the command names the instances that have not confirmed the change.

mod common;

use std::time::Duration;

use common::FaultKind;
use rstest::rstest;
use tokio::time::{self, Instant};

/// Time after the command from which the failure domain must get no new work.
const GRACE: Duration = Duration::from_secs(3);
/// Time for which the fleet is observed after the grace period.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// How the command reports the instance with the fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Class {
    Confirmed,
    Stopped,
}

// Guards against new work for a failure domain that is out of service, sent by instances that the
// change did not reach, and against a command that reports such an instance as confirmed.
#[rstest]
#[case::no_fault(4, FaultKind::None, Class::Confirmed)]
#[case::no_key_value(4, FaultKind::NoKeyValue, Class::Confirmed)]
#[case::slow_key_value(4, FaultKind::SlowKeyValue, Class::Confirmed)]
#[case::no_peers(4, FaultKind::NoPeers, Class::Stopped)]
#[case::isolated_of_two(2, FaultKind::Isolated, Class::Stopped)]
#[case::isolated_of_three(3, FaultKind::Isolated, Class::Stopped)]
#[case::isolated_of_eight(8, FaultKind::Isolated, Class::Stopped)]
#[case::blackhole(4, FaultKind::Blackhole, Class::Stopped)]
#[case::frozen(4, FaultKind::Frozen, Class::Stopped)]
#[case::frozen_and_isolated(4, FaultKind::FrozenIsolated, Class::Stopped)]
#[tokio::test]
async fn domain_out_of_service_gets_no_new_work(
    #[case] instances: usize,
    #[case] fault: FaultKind,
    #[case] expected: Class,
) {
    let mut fleet = common::start(instances).await;
    let victim = fleet.instances[instances - 1].id.clone();
    let prompts = common::send_prompts(&fleet);
    time::sleep(Duration::from_millis(500)).await;
    assert!(
        common::engine_requests(&fleet, 0).await > 0,
        "the domain got no work before the command"
    );
    common::inject_fault(&mut fleet, fault).await;
    // SIGSTOP takes effect in each thread only when the thread is scheduled next.
    time::sleep(Duration::from_millis(100)).await;

    let requested_at = Instant::now();
    let response = common::take_out(&fleet, 0, "a").await;
    assert!(requested_at.elapsed() < GRACE, "the command took {:?}", requested_at.elapsed());
    let class = match () {
        () if common::instance_names(&response, "confirmed").contains(&victim) => Class::Confirmed,
        () if common::instance_names(&response, "stopped").contains(&victim) => Class::Stopped,
        () => panic!("{victim} is in neither list: {response}"),
    };
    assert_eq!(class, expected, "{victim}: {response}");
    assert_eq!(common::instance_names(&response, "unconfirmed"), Vec::<String>::new());

    time::sleep_until(requested_at + GRACE).await;
    let at_grace = common::engine_requests(&fleet, 0).await;
    if fault.is_frozen() {
        // These requests queue in the socket buffers of the frozen process until it resumes.
        let waiting = common::send_burst(&fleet, instances - 1);
        time::sleep(Duration::from_millis(200)).await;
        fleet.instances[instances - 1].process.thaw().expect("the process is thawed");
        waiting.join_all().await;
    }
    time::sleep(OBSERVATION_TIME).await;
    let after = common::engine_requests(&fleet, 0).await;
    assert_eq!(after, at_grace, "new work after the grace period");

    let prompts = prompts.stop().await;
    let is_late_elsewhere =
        |p: &&common::Prompt| p.instance == 0 && p.sent_at > requested_at + GRACE;
    let late: Vec<_> = prompts.iter().filter(is_late_elsewhere).collect();
    assert!(late.len() > 20, "only {} prompts", late.len());
    assert!(late.iter().all(|p| p.status == 200), "prompts to another instance failed");
    common::clear_fault(&mut fleet, fault).await;
    fleet.wait_ready(Duration::from_secs(3)).await.expect("all instances become ready");
}

// Guards against a request that was assigned to an upstream before the change and is sent after it,
// because it waited for a connection: an instance that has confirmed the change must choose again.
#[tokio::test]
async fn upstream_is_checked_again_after_the_connection_opens() {
    const DELAY: Duration = Duration::from_millis(300);
    let builder = common::builder(2).with_upstream_links();
    let mut fleet = builder.start().await.expect("the fleet starts");
    common::wait_for_all_alive(&mut fleet).await;
    let slow = damaskdrift_lab::proxy::Mode::PASS.with_delay_ms(DELAY.as_millis() as u64);
    fleet.engine_link(0).set_mode(slow).await.expect("the link is slow");
    // Opening a connection takes twice the delay, so the change arrives meanwhile.
    let waiting = common::send_burst(&fleet, 1);
    time::sleep(DELAY / 2).await;
    let response = common::take_out(&fleet, 0, "a").await;
    assert_eq!(common::instance_names(&response, "confirmed"), ["entry-0", "entry-1"]);
    // Requests that were sent before the change arrive after the delay.
    time::sleep(DELAY + DELAY / 4).await;
    let before = common::engine_requests(&fleet, 0).await;
    let prompts = waiting.join_all().await;
    time::sleep(DELAY * 2).await;
    assert_eq!(common::engine_requests(&fleet, 0).await, before);
    let failed: Vec<_> = prompts.iter().filter(|prompt| prompt.status != 200).collect();
    assert!(failed.is_empty(), "requests failed instead of moving to another domain: {failed:?}");
}

// Guards against a command that reports unreachable instances as confirmed or stopped: they have the
// majority and keep serving under the old configuration, because they cannot reach the key-value
// service.
#[tokio::test]
async fn unreachable_majority_is_reported_as_unconfirmed() {
    let mut fleet = common::start(3).await;
    fleet.set_peer_mode(0, damaskdrift_lab::proxy::Mode::CUT).await.expect("the links are cut");
    for other in [1, 2] {
        let link = fleet.key_value_link(other);
        link.set_mode(damaskdrift_lab::proxy::Mode::CUT).await.expect("the link is cut");
    }
    let response = common::take_out(&fleet, 0, "a").await;
    assert_eq!(common::instance_names(&response, "confirmed"), ["entry-0"]);
    assert_eq!(common::instance_names(&response, "stopped"), Vec::<String>::new());
    assert_eq!(common::instance_names(&response, "unconfirmed"), ["entry-1", "entry-2"]);
    assert!(
        fleet.instances[1].is_ready().await.expect("a response"),
        "the majority stopped serving"
    );
    fleet
        .set_peer_mode(0, damaskdrift_lab::proxy::Mode::PASS)
        .await
        .expect("the links are restored");
    let end = Instant::now() + GRACE;
    for other in [1, 2] {
        loop {
            let status = common::status(&fleet, other).await.expect("a status");
            if status["revision"] == response["revision"] {
                break;
            }
            assert!(Instant::now() < end, "instance {other} did not install the change: {status}");
            time::sleep(Duration::from_millis(20)).await;
        }
    }
    fleet.wait_ready(GRACE).await.expect("all instances become ready");
}
