//! Tests of the limits on concurrent requests across all instances.

use std::collections;

use damaskdrift_core::time::Millis;
use damaskdrift_core::{admission, id};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const WARM_LIMIT: u32 = 24;
const FLEET_SIZE: usize = 4;
const TICK_MS: u64 = 100;
/// Duration of an upstream's cold start, in ticks.
const COLD_TICKS: u64 = 60;
/// Delay of the upstream's load reports, in ticks.
const REPORT_DELAY_TICKS: usize = 10;

#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Finish(usize),
    RequestSlots { instance: usize, is_grant_lost: bool },
    SendDemand(usize),
    ReceiveGrant(usize),
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Disconnect(usize),
    Reconnect(usize),
    ChangeOwner,
    RestartUpstream,
    Tick,
}

struct Member {
    slots: admission::SlotPool,
    /// Boot ids of the requests that run at the upstream.
    running: Vec<id::Boot>,
    is_paused: bool,
    /// Whether the limit owner cannot be reached.
    is_disconnected: bool,
    pending_grant: Option<(admission::Grant, Millis)>,
}

struct Simulation {
    upstream: id::Upstream,
    fleet_max: u32,
    cold_limit: u32,
    now: Millis,
    boot_count: u64,
    started_at: Millis,
    members: Vec<Member>,
    owner: admission::Owner,
    /// Whether an instance notices that it cannot reach the owner, and so keeps using its allotment
    /// at a warm upstream beyond the TTL.
    detects_lost_owner: bool,
    delayed_loads: collections::VecDeque<admission::Load>,
}

impl Simulation {
    fn new(fleet_max: u32, cold_limit: u32) -> Self {
        let upstream = id::Upstream::new("e1");
        let now = Millis(0);
        let members =
            (0..FLEET_SIZE).map(|_| Member::new(&upstream, fleet_max, cold_limit)).collect();
        let mut owner = admission::Owner::new(
            id::FencingToken(1),
            fleet_max,
            collections::BTreeSet::new(),
            now,
        );
        owner.configure(&upstream, cold_limit, WARM_LIMIT);
        let delayed_loads = collections::VecDeque::new();
        Self {
            upstream,
            fleet_max,
            cold_limit,
            now,
            boot_count: 1,
            started_at: now,
            members,
            owner,
            detects_lost_owner: false,
            delayed_loads,
        }
    }

    fn boot(&self) -> id::Boot {
        id::Boot::new(&format!("boot-{}", self.boot_count))
    }

    fn is_cold(&self) -> bool {
        self.now.since(self.started_at).0 < COLD_TICKS * TICK_MS
    }

    fn running(&self) -> usize {
        let boot = self.boot();
        self.members.iter().flat_map(|member| &member.running).filter(|b| **b == boot).count()
    }

    fn capacity(&self) -> usize {
        (if self.is_cold() { self.cold_limit } else { WARM_LIMIT }) as usize
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Start(i) => self.start(*i),
            Step::Finish(i) => self.finish(*i),
            Step::RequestSlots { instance, is_grant_lost } => {
                self.send_demand(*instance);
                if *is_grant_lost {
                    self.members[*instance].pending_grant = None;
                } else {
                    self.receive_grant(*instance);
                }
            }
            Step::SendDemand(i) => self.send_demand(*i),
            Step::ReceiveGrant(i) => self.receive_grant(*i),
            Step::Crash(i) => {
                self.members[*i] = Member::new(&self.upstream, self.fleet_max, self.cold_limit)
            }
            Step::Pause(i) => self.members[*i].is_paused = true,
            Step::Resume(i) => self.resume(*i),
            Step::Disconnect(i) => self.members[*i].is_disconnected = true,
            Step::Reconnect(i) => self.members[*i].is_disconnected = false,
            Step::ChangeOwner => self.change_owner(),
            Step::RestartUpstream => self.restart_upstream(),
            Step::Tick => self.tick(),
        }
    }

    fn start(&mut self, i: usize) {
        let boot = self.boot();
        let now = self.now;
        if self.members[i].is_paused {
            return;
        }
        let Ok(slot) = self.members[i].slots.acquire(&self.upstream, now) else {
            return;
        };
        if slot.boot.is_some_and(|bound| bound != boot) {
            self.members[i].slots.release(&self.upstream);
            self.members[i].slots.drop_allotment(&self.upstream);
            return;
        }
        self.members[i].running.push(boot);
        if self.detects_lost_owner && !self.is_cold() {
            return;
        }
        assert!(
            self.running() <= self.capacity(),
            "{} requests run, capacity is {}",
            self.running(),
            self.capacity()
        );
    }

    fn finish(&mut self, i: usize) {
        if self.members[i].is_paused {
            return;
        }
        let member = &mut self.members[i];
        if let Some(boot) = member.running.pop() {
            member.slots.release(&self.upstream);
            member.slots.record_completion(&self.upstream, &boot);
        }
    }

    fn send_demand(&mut self, i: usize) {
        let member = &mut self.members[i];
        if member.is_paused || member.pending_grant.is_some() {
            return;
        }
        let group = admission::group(&self.upstream);
        if member.is_disconnected {
            member.slots.record_owner_reachable(group, !self.detects_lost_owner);
            return;
        }
        member.slots.record_owner_reachable(group, true);
        let name = name(i);
        for demand in self.members[i].slots.take_demands(group, self.now) {
            let grant = self.owner.grant(&name, &demand, self.now).expect("e1 is configured");
            self.members[i].pending_grant = Some((grant, self.now));
        }
    }

    fn receive_grant(&mut self, i: usize) {
        if self.members[i].is_paused || self.members[i].is_disconnected {
            return;
        }
        if let Some((grant, requested_at)) = self.members[i].pending_grant.take() {
            self.members[i].slots.install_grant(&grant, requested_at);
        }
    }

    fn resume(&mut self, i: usize) {
        if std::mem::take(&mut self.members[i].is_paused) {
            self.members[i].slots.drop_all_allotments();
            self.members[i].pending_grant = None;
        }
    }

    fn change_owner(&mut self) {
        let names = (0..FLEET_SIZE).map(name).collect();
        let fencing = id::FencingToken(self.owner.fencing().0 + 1);
        self.owner = admission::Owner::new(fencing, self.fleet_max, names, self.now);
        self.owner.configure(&self.upstream, self.cold_limit, WARM_LIMIT);
        let group = admission::group(&self.upstream);
        for (i, member) in self.members.iter_mut().enumerate() {
            if member.is_paused || member.is_disconnected {
                continue;
            }
            member.pending_grant = None;
            let entries = member.slots.in_flight(group);
            member.slots.drop_cold_allotments(group);
            self.owner.record_in_flight(&name(i), &entries, self.now);
        }
    }

    fn restart_upstream(&mut self) {
        self.boot_count += 1;
        self.started_at = self.now;
        for member in &mut self.members {
            for _ in member.running.drain(..) {
                member.slots.release(&self.upstream);
            }
        }
    }

    fn tick(&mut self) {
        self.now = self.now + Millis(TICK_MS);
        let requests = u32::try_from(self.running()).expect("few requests run");
        let load = admission::Load {
            boot: self.boot(),
            is_cold: self.is_cold(),
            requests,
            received_at: self.now,
        };
        self.delayed_loads.push_back(load);
        if self.delayed_loads.len() <= REPORT_DELAY_TICKS {
            return;
        }
        if let Some(mut load) = self.delayed_loads.pop_front() {
            load.received_at = self.now;
            self.owner.record_load(&self.upstream, &load);
        }
    }
}

impl Member {
    fn new(upstream: &id::Upstream, fleet_max: u32, cold_limit: u32) -> Self {
        let mut slots = admission::SlotPool::new(fleet_max);
        slots.configure(upstream, cold_limit);
        Self {
            slots,
            running: Vec::new(),
            is_paused: false,
            is_disconnected: false,
            pending_grant: None,
        }
    }
}

fn name(i: usize) -> id::Instance {
    id::Instance::new(&format!("entry-{i}"))
}

fn step() -> impl Strategy<Value = Step> {
    let i = || 0..FLEET_SIZE;
    prop_oneof![
        200 => i().prop_map(Step::Start),
        80 => i().prop_map(Step::Finish),
        120 => (i(), any::<bool>()).prop_map(|(instance, is_grant_lost)| Step::RequestSlots { instance, is_grant_lost }),
        30 => i().prop_map(Step::SendDemand),
        30 => i().prop_map(Step::ReceiveGrant),
        2 => i().prop_map(Step::Crash),
        2 => i().prop_map(Step::Pause),
        2 => i().prop_map(Step::Disconnect),
        4 => i().prop_map(Step::Reconnect),
        6 => i().prop_map(Step::Resume),
        2 => Just(Step::ChangeOwner),
        1 => Just(Step::RestartUpstream),
        200 => Just(Step::Tick),
    ]
}

// Guards against more requests at an upstream than its capacity, while grants are late or lost,
// instances crash, pause or lose the owner, the owner changes and the upstream restarts. If an
// instance detects that it lost the owner, its warm allotments stay valid beyond the TTL, so only
// the cold limit is strict.
#[rstest]
#[case::no_static_share(16, 4, false)]
#[case::static_share(4, 7, false)]
#[case::lost_owner_is_detected(4, 7, true)]
fn limit_holds_across_all_instances(
    #[case] fleet_max: u32,
    #[case] cold_limit: u32,
    #[case] detects_lost_owner: bool,
) {
    let config =
        Config { cases: 100, failure_persistence: None, max_shrink_iters: 50, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 4_000);
    let result = runner.run(&steps, |steps| {
        let mut sim = Simulation::new(fleet_max, cold_limit);
        sim.detects_lost_owner = detects_lost_owner;
        for step in &steps {
            sim.apply(step);
        }
        Ok(())
    });
    result.unwrap();
}

// Guards against a limit that does not grow after the cold start, which leaves a warm upstream
// nearly idle.
#[test]
fn limit_grows_to_warm_limit_after_warm_report() {
    let mut sim = Simulation::new(16, 4);
    for _ in 0..600 {
        for i in 0..FLEET_SIZE {
            sim.apply(&Step::RequestSlots { instance: i, is_grant_lost: false });
            for _ in 0..4 {
                sim.apply(&Step::Start(i));
            }
        }
        for i in 0..FLEET_SIZE {
            sim.apply(&Step::Finish(i));
        }
        sim.apply(&Step::Tick);
    }
    assert_eq!(sim.owner.held(&sim.upstream, sim.now).map(|(_, limit)| limit), Some(WARM_LIMIT));
    assert!(sim.running() >= 12, "only {} requests run", sim.running());
}

// Guards against one instance keeping the few slots of a cold upstream indefinitely.
#[test]
fn waiting_instances_take_turns() {
    let mut sim = Simulation::new(16, 1);
    let mut served = collections::BTreeSet::new();
    for _ in 0..COLD_TICKS {
        for i in 0..FLEET_SIZE {
            sim.apply(&Step::Start(i));
            if !sim.members[i].running.is_empty() {
                served.insert(i);
            }
            sim.apply(&Step::RequestSlots { instance: i, is_grant_lost: false });
        }
        sim.apply(&Step::Tick);
        for i in 0..FLEET_SIZE {
            sim.apply(&Step::Finish(i));
        }
    }
    assert_eq!(served.len(), FLEET_SIZE, "served: {served:?}");
}

// Guards against a request that is not counted because it arrived before its upstream was
// configured.
#[test]
fn waiting_request_counts_before_configuration() {
    let upstream = id::Upstream::new("e1");
    let mut slots = admission::SlotPool::new(16);
    slots.add_waiting(&upstream, 1, Millis(0));
    slots.configure(&upstream, 4);
    let demands = slots.take_demands(admission::group(&upstream), Millis(100));
    assert_eq!(demands.iter().map(|demand| demand.wanted).collect::<Vec<_>>(), [1]);
}
