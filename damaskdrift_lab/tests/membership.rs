//! Liveness of instances, and invariant 10: a leaving upstream receives no new work after 3 s.

mod common;

use std::time::Duration;

use damaskdrift_core::id;
use damaskdrift_lab::harness::{Call, Fleet};
use damaskdrift_lab::proxy::Mode;
use damaskdrift_lab::standin::instances::{Entry, List, Role, State};
use rstest::rstest;
use tokio::time::{self, Instant};

/// Longest time until a leaving upstream receives no new work.
const BOUND: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(10);

/// How the victim, the last instance, ends or seems to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Killed,
    Frozen,
    CutOff,
}

// Guards against a dead instance counting as alive for long, and one that is only slow counting as
// dead at once.
#[rstest]
#[case::killed(End::Killed)]
#[case::frozen(End::Frozen)]
#[case::cut_off(End::CutOff)]
#[tokio::test]
async fn a_silent_instance_is_suspected_and_then_dead(#[case] end: End) {
    let mut fleet = common::start(4).await;
    match end {
        End::Killed => fleet.instances[3].process.kill(),
        End::Frozen => fleet.instances[3].process.freeze(),
        End::CutOff => fleet.set_peer_mode(3, Mode::CUT).await,
    }
    .expect("the instance ends");
    let silent = Instant::now();
    for viewer in 0..3 {
        let suspected = wait_for(&fleet, viewer, 3, "suspect", silent).await;
        let range = Duration::from_millis(700)..Duration::from_millis(1_800);
        assert!(range.contains(&suspected), "instance {viewer} suspects it after {suspected:?}");
    }
    for viewer in 0..3 {
        let dead = wait_for(&fleet, viewer, 3, "dead", silent).await;
        let range = Duration::from_millis(2_700)..Duration::from_millis(3_800);
        assert!(range.contains(&dead), "instance {viewer} calls it dead after {dead:?}");
    }
    match end {
        End::Killed => fleet.instances[3].restart(),
        End::Frozen => fleet.instances[3].process.thaw(),
        End::CutOff => fleet.set_peer_mode(3, Mode::PASS).await,
    }
    .expect("the instance returns");
    let back = Instant::now();
    for viewer in 0..3 {
        let alive = wait_for(&fleet, viewer, 3, "alive", back).await;
        assert!(alive < BOUND, "instance {viewer} sees it again after {alive:?}");
    }
}

// Guards against work for an instance that has said it stops.
#[tokio::test]
async fn a_stopping_instance_is_seen_leaving_at_once() {
    let mut fleet = common::start(3).await;
    fleet.instances[2].process.terminate().expect("it is told to stop");
    let told = Instant::now();
    for viewer in 0..2 {
        let leaving = wait_for(&fleet, viewer, 2, "leaving", told).await;
        assert!(leaving < Duration::from_secs(1), "instance {viewer}: {leaving:?}");
    }
    let code = fleet.instances[2].process.wait(Duration::from_secs(10)).await;
    assert_eq!(code.expect("it ends"), 0);
}

// Guards against the platform's word being ignored while an instance still answers.
#[tokio::test]
async fn an_instance_listed_as_leaving_is_believed() {
    let mut fleet = common::start(3).await;
    fleet.set_listed_state(2, State::Leaving).await.expect("the list is changed");
    let listed = Instant::now();
    for viewer in 0..2 {
        let leaving = wait_for(&fleet, viewer, 2, "leaving", listed).await;
        assert!(leaving < Duration::from_secs(2), "instance {viewer}: {leaving:?}");
    }
}

// Guards against a lagging list hiding an instance from its peers, or naming one that never ran.
#[tokio::test]
async fn the_list_may_lag() {
    let builder = common::builder(3).with_instance_list_args(&["--lag-ms", "1000"]);
    let mut fleet = builder.start().await.expect("the fleet starts");
    common::wait_for_all_alive(&mut fleet).await;
    for list in &fleet.instance_lists {
        let mut entries: List = list
            .send(Call::get(list.address, "/v1/instances"))
            .await
            .expect("the list answers")
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
    let end = Instant::now() + BOUND;
    loop {
        let status = common::status(&fleet, 0).await.expect("a status");
        let members = common::liveness(&status);
        if let Some((_, liveness)) = members.iter().find(|(name, _)| name == "entry-9") {
            assert_eq!(liveness, "new");
            break;
        }
        assert!(Instant::now() < end, "the instance never appears: {members:?}");
        time::sleep(PAUSE).await;
    }
}

// Guards against work for an upstream that the platform is about to remove.
#[rstest]
#[case::no_fault(false)]
#[case::service_out(true)]
#[tokio::test]
async fn a_leaving_upstream_receives_no_new_work(#[case] outage: bool) {
    let fleet = common::start(4).await;
    let prompts = common::send_prompts(&fleet);
    time::sleep(Duration::from_millis(500)).await;
    assert!(common::engine_requests(&fleet, 0).await > 0, "the engine receives work before");
    common::set_outage(&fleet, outage).await;
    for list in &fleet.instance_lists {
        let mut entries: List = list
            .send(Call::get(list.address, "/v1/instances"))
            .await
            .expect("the list answers")
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
        list.send(call).await.expect("the list answers").ok().expect("the list is changed");
    }
    let listed = Instant::now();
    time::sleep_until(listed + BOUND).await;
    let at_bound = common::engine_requests(&fleet, 0).await;
    time::sleep(BOUND).await;
    assert_eq!(common::engine_requests(&fleet, 0).await, at_bound, "new work after the bound");
    let prompts = prompts.stop().await;
    let failed: Vec<_> = prompts.iter().filter(|p| p.status != 200).collect();
    assert!(failed.is_empty(), "the other engines take the work: {:?}", failed[0]);
}

/// Waits until a viewer sees an instance in a state and returns the time since `from`.
async fn wait_for(
    fleet: &Fleet,
    viewer: usize,
    instance: usize,
    state: &str,
    from: Instant,
) -> Duration {
    let name = &fleet.instances[instance].id;
    let end = Instant::now() + Duration::from_secs(8);
    loop {
        let status = common::status(fleet, viewer).await.expect("a status");
        let members = common::liveness(&status);
        if members.iter().any(|(member, liveness)| member == name && liveness == state) {
            return from.elapsed();
        }
        assert!(Instant::now() < end, "instance {viewer} never sees {name} {state}: {members:?}");
        time::sleep(PAUSE).await;
    }
}
