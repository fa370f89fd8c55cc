//! Tests of failure detection and of draining: a draining upstream receives no new work after 3 s
//! (invariant 10).

mod common;

use std::time::Duration;

use damaskdrift_core::id;
use damaskdrift_lab::harness::{Call, Fleet};
use damaskdrift_lab::proxy::Mode;
use damaskdrift_lab::standin::instances::{Entry, List, Role, State};
use rstest::rstest;
use tokio::time::{self, Instant};

/// Time after which a draining upstream must receive no new work, and within which instances must
/// see other changes of membership.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reason why the victim, the last instance, no longer responds to its peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Silence {
    Killed,
    Frozen,
    CutOff,
}

// Guards against a dead instance that counts as alive for too long, and against a slow one that
// counts as dead at once.
#[rstest]
#[case::killed(Silence::Killed)]
#[case::frozen(Silence::Frozen)]
#[case::cut_off(Silence::CutOff)]
#[tokio::test]
async fn silent_instance_is_suspected_before_it_is_dead(#[case] silence: Silence) {
    let mut fleet = common::start(4).await;
    match silence {
        Silence::Killed => fleet.instances[3].process.kill(),
        Silence::Frozen => fleet.instances[3].process.freeze(),
        Silence::CutOff => fleet.set_peer_mode(3, Mode::CUT).await,
    }
    .expect("the instance is silenced");
    let silent_at = Instant::now();
    for viewer in 0..3 {
        let suspected = wait_for(&fleet, viewer, 3, "suspect", silent_at).await;
        let range = Duration::from_millis(700)..Duration::from_millis(1_800);
        assert!(range.contains(&suspected), "instance {viewer} suspects it after {suspected:?}");
    }
    for viewer in 0..3 {
        let dead = wait_for(&fleet, viewer, 3, "dead", silent_at).await;
        let range = Duration::from_millis(2_700)..Duration::from_millis(3_800);
        assert!(range.contains(&dead), "instance {viewer} declares it dead after {dead:?}");
    }
    match silence {
        Silence::Killed => fleet.instances[3].restart(),
        Silence::Frozen => fleet.instances[3].process.thaw(),
        Silence::CutOff => fleet.set_peer_mode(3, Mode::PASS).await,
    }
    .expect("the instance returns");
    let returned_at = Instant::now();
    for viewer in 0..3 {
        let alive = wait_for(&fleet, viewer, 3, "alive", returned_at).await;
        assert!(alive < DRAIN_LIMIT, "instance {viewer} sees it again after {alive:?}");
    }
}

// Guards against peers that do not learn at once that an instance has announced its stop.
#[tokio::test]
async fn stopping_instance_is_seen_draining_at_once() {
    let mut fleet = common::start(3).await;
    fleet.instances[2].process.terminate().expect("SIGTERM is sent");
    let terminated_at = Instant::now();
    for viewer in 0..2 {
        let elapsed = wait_for(&fleet, viewer, 2, "leaving", terminated_at).await;
        assert!(elapsed < Duration::from_secs(1), "instance {viewer}: {elapsed:?}");
    }
    let code = fleet.instances[2].process.wait(Duration::from_secs(10)).await;
    assert_eq!(code.expect("it ends"), 0);
}

// Guards against ignoring the state on the instance list while the instance still responds to pings.
#[tokio::test]
async fn instance_listed_as_leaving_is_seen_draining() {
    let mut fleet = common::start(3).await;
    fleet.set_listed_state(2, State::Leaving).await.expect("the list is changed");
    let listed_at = Instant::now();
    for viewer in 0..2 {
        let elapsed = wait_for(&fleet, viewer, 2, "leaving", listed_at).await;
        assert!(elapsed < Duration::from_secs(2), "instance {viewer}: {elapsed:?}");
    }
}

// Guards against a stale instance list that hides a running instance from its peers, and against
// treating a listed instance that never ran as alive.
#[tokio::test]
async fn stale_instance_list_is_tolerated() {
    let builder = common::builder(3).with_instance_list_args(&["--lag-ms", "1000"]);
    let mut fleet = builder.start().await.expect("the fleet starts");
    common::wait_for_all_alive(&mut fleet).await;
    for list in &fleet.instance_lists {
        let mut entries: List = list
            .send(Call::get(list.address, "/v1/instances"))
            .await
            .expect("the list responds")
            .json()
            .expect("a list");
        entries.instances.push(Entry {
            id: id::Instance::new("entry-9"),
            role: Role::Entry,
            address: ([127, 0, 0, 1], 9).into(),
            failure_domain: id::FailureDomain::new("a"),
            state: State::Live,
        });
        let call = Call::put(list.address, "/admin/instances").with_json(&entries);
        list.send(call).await.expect("the list is changed");
    }
    let deadline = Instant::now() + DRAIN_LIMIT;
    loop {
        let status = common::status(&fleet, 0).await.expect("a status");
        let members = common::liveness(&status);
        if let Some((_, liveness)) = members.iter().find(|(name, _)| name == "entry-9") {
            assert_eq!(liveness, "new");
            break;
        }
        assert!(Instant::now() < deadline, "the instance never appears: {members:?}");
        time::sleep(POLL_INTERVAL).await;
    }
}

// Guards against new work for an upstream that the platform is about to remove.
#[rstest]
#[case::no_fault(false)]
#[case::outage(true)]
#[tokio::test]
async fn draining_upstream_receives_no_new_work(#[case] outage: bool) {
    let fleet = common::start(4).await;
    let prompts = common::send_prompts(&fleet);
    time::sleep(Duration::from_millis(500)).await;
    assert!(
        common::engine_requests(&fleet, 0).await > 0,
        "the engine received no work before the drain"
    );
    common::set_outage(&fleet, outage).await;
    for list in &fleet.instance_lists {
        let mut entries: List = list
            .send(Call::get(list.address, "/v1/instances"))
            .await
            .expect("the list responds")
            .json()
            .expect("a list");
        entries.instances.push(Entry {
            id: id::Instance::new("engine-0"),
            role: Role::Engine,
            address: fleet.engines[0].address,
            failure_domain: id::FailureDomain::new("a"),
            state: State::Leaving,
        });
        let call = Call::put(list.address, "/admin/instances").with_json(&entries);
        list.send(call).await.expect("the list responds").ok().expect("the list is changed");
    }
    let listed_at = Instant::now();
    time::sleep_until(listed_at + DRAIN_LIMIT).await;
    let at_limit = common::engine_requests(&fleet, 0).await;
    time::sleep(DRAIN_LIMIT).await;
    assert_eq!(common::engine_requests(&fleet, 0).await, at_limit, "new work after the limit");
    let prompts = prompts.stop().await;
    let failed: Vec<_> = prompts.iter().filter(|p| p.status != 200).collect();
    assert!(
        failed.is_empty(),
        "prompts failed instead of moving to another engine: {:?}",
        failed[0]
    );
}

/// Waits until `viewer` reports an instance in a state and returns the time since `start`.
async fn wait_for(
    fleet: &Fleet,
    viewer: usize,
    instance: usize,
    state: &str,
    start: Instant,
) -> Duration {
    let name = &fleet.instances[instance].id;
    let deadline = Instant::now() + Duration::from_secs(8);
    loop {
        let status = common::status(fleet, viewer).await.expect("a status");
        let members = common::liveness(&status);
        if members.iter().any(|(member, liveness)| member == name && liveness == state) {
            return start.elapsed();
        }
        assert!(
            Instant::now() < deadline,
            "instance {viewer} never sees {name} {state}: {members:?}"
        );
        time::sleep(POLL_INTERVAL).await;
    }
}
