//! Tests of the duties: true time, the holder's life cycle, the rate of calls, and usage reports of
//! whole fleets.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::BTreeMap;

use damaskdrift_core::balance::Reporter;
use damaskdrift_core::duty::{
    CallRate, Clocks, Holding, Lease, Ledger, Process, Record, Settled, UsageRules, WindowCounts,
};
use damaskdrift_core::id;
use damaskdrift_core::time::{Millis, UnixMillis};
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const RULES: UsageRules = UsageRules { window: Millis(5_000), late: Millis(10_000) };
const LEASE: Millis = Millis(1_600);
const TURN: Millis = Millis(3_000);
/// Step of the virtual time of a fleet.
const STEP: u64 = 200;
/// Largest fleet without relays.
const MESH: usize = 10;
const DOMAINS: usize = 3;

fn domain(index: usize) -> id::FailureDomain {
    id::FailureDomain::new(&format!("z{}", index % DOMAINS))
}

/// Guards against windows that follow the stepped clocks of a minority, also where most instances
/// hear of the others through two relays only.
#[rstest]
fn stepped_clocks_of_a_minority_have_no_effect(
    #[values(1, 8, 82, 295, 1_000)] instances: usize,
    #[values(-7_000, 7_000)] step: i64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let now = Millis(50_000);
    let mut stepped = vec![false; instances];
    for _ in 0..instances * 2 / 5 {
        stepped[rng.random_range(0..instances)] = true;
    }
    let mut clocks = vec![Clocks::default(); instances];
    for (index, own) in clocks.iter_mut().enumerate() {
        own.set_own(rng.random_range(-20..=20) + if stepped[index] { step } else { 0 });
    }
    let own_samples: Vec<_> = clocks.iter().map(|own| own.sample(|_| false, now)).collect();
    // One instance hears of its domain directly and of the others by their sums.
    for (index, sample) in own_samples.iter().enumerate().skip(1) {
        let is_near = index % DOMAINS == 0 || instances <= MESH;
        let receiver = if is_near { 0 } else { index % DOMAINS };
        if index == receiver {
            continue;
        }
        let reporter = Reporter::Instance(id::Instance::new(&index.to_string()));
        clocks[receiver].set_report(reporter, sample.clone(), now);
    }
    if instances > MESH {
        for other in 1..DOMAINS {
            let sum = clocks[other].sample(|_| true, now);
            clocks[0].set_report(Reporter::Domain(domain(other)), sum, now);
        }
        let all = clocks[0].sample(|_| true, now);
        assert_eq!(all.instances as usize, instances);
        clocks[instances - 1].set_report(Reporter::Others, all, now);
        let leaf = clocks[instances - 1].offset(|reporter| *reporter == Reporter::Others, now);
        assert!(leaf.abs() <= 20, "a leaf is {leaf} ms off");
    }
    let offset = clocks[0].offset(|_| true, now);
    assert!(offset.abs() <= 20, "{offset} ms off");
}

/// Guards against holders that act in the order A, B, A within the lease time, against a process that
/// was restarted in between, and against a token that is used after its refusal or its lease.
#[rstest]
fn holder_acts_only_in_its_turn() {
    let lease = |token| Some(Lease { token: id::FencingToken(token), is_valid: true });
    let mut holding = Holding::new(TURN, Millis(0));
    holding.update(lease(1), Millis(20_000));
    assert_eq!(holding.token(Millis(20_000)), Some(id::FencingToken(1)));
    holding.update(Some(Lease { is_valid: false, ..lease(1).unwrap() }), Millis(20_100));
    assert_eq!(holding.token(Millis(20_100)), None);
    holding.update(lease(1), Millis(20_200));
    assert_eq!(holding.token(Millis(20_200)), Some(id::FencingToken(1)));
    holding.update(None, Millis(20_300));
    holding.record_other(Millis(20_400));
    holding.update(lease(3), Millis(21_000));
    assert_eq!(holding.token(Millis(23_399)), None);
    assert_eq!(holding.token(Millis(23_400)), Some(id::FencingToken(3)));
    holding.record_refusal(id::FencingToken(2));
    assert!(!holding.is_fenced());
    holding.record_refusal(id::FencingToken(3));
    holding.update(lease(3), Millis(23_500));
    assert_eq!((holding.token(Millis(23_500)), holding.is_fenced()), (None, true));
    // A new process may have been the holder before the other one.
    let mut restarted = Holding::new(TURN, Millis(30_000));
    restarted.record_other(Millis(30_500));
    restarted.update(lease(9), Millis(31_000));
    assert_eq!(restarted.token(Millis(33_499)), None);
    // One that has run for longer takes over at once.
    let mut successor = Holding::new(TURN, Millis(0));
    successor.record_other(Millis(30_500));
    successor.update(lease(9), Millis(31_000));
    assert_eq!(successor.token(Millis(31_000)), Some(id::FencingToken(9)));
}

/// Guards against more calls within any second than are permitted.
#[rstest]
fn calls_stay_below_the_rate(#[values(1.0, 4.0, 20.0)] per_second: f64) {
    let mut rate = CallRate::new(per_second, Millis(0));
    let mut taken = Vec::new();
    for now in (0..60_000).step_by(10) {
        // Calls come in bursts.
        if now % 7_000 > 3_000 && rate.try_take(Millis(now)) {
            taken.push(now);
        }
    }
    for (index, at) in taken.iter().enumerate() {
        let within = taken[index..].iter().filter(|other| **other < at + 1_000).count();
        assert!(within as f64 <= per_second, "{within} calls in the second from {at}");
    }
    assert!(taken.len() as f64 > per_second * 15.0, "only {} calls", taken.len());
}

/// The platform's store: the leader's entry and the record.
#[derive(Default)]
struct Store {
    revision: u64,
    /// Holder, token and expiry.
    leader: Option<(usize, u64, Millis)>,
    record: Record,
}

/// One instance of a simulated fleet.
struct Node {
    process: Process,
    domain: id::FailureDomain,
    ledger: Ledger,
    record: Record,
    holding: Holding,
    lease: Option<(u64, Millis)>,
    frozen_until: Millis,
    /// Until when the store cannot be reached.
    cut_until: Millis,
    started_at: Millis,
}

/// A call that arrives at the cloud: when, the holder, its token, the window and its counts.
type Call = (Millis, usize, u64, u64, WindowCounts);

struct Fleet {
    now: Millis,
    nodes: Vec<Node>,
    relays: Vec<usize>,
    /// Until when each failure domain's reports to and from others are lost.
    parted_until: [Millis; DOMAINS],
    store: Store,
    truth: BTreeMap<u64, WindowCounts>,
    pending: Vec<Call>,
    highest: u64,
    accepted: BTreeMap<u64, WindowCounts>,
    holders: BTreeMap<u64, usize>,
    /// Holders and times of accepted calls.
    actions: Vec<(usize, Millis)>,
}

impl Node {
    fn new(index: usize, now: Millis, rng: &mut impl Rng) -> Self {
        let instance = id::Instance::new(&format!("i{index}"));
        let process = Process { instance, boot: rng.random() };
        let first = RULES.window_from(UnixMillis(now.0));
        Self {
            ledger: Ledger::new(domain(index), process.clone(), first),
            process,
            domain: domain(index),
            record: Record::default(),
            holding: Holding::new(TURN, now),
            lease: None,
            frozen_until: Millis(0),
            cut_until: Millis(0),
            started_at: now,
        }
    }
}

impl Fleet {
    fn new(instances: usize, rng: &mut impl Rng) -> Self {
        let now = Millis(100_000_100);
        let nodes: Vec<_> = (0..instances).map(|index| Node::new(index, now, rng)).collect();
        let relays = if instances <= MESH { instances } else { DOMAINS * 2 };
        Self {
            now,
            nodes,
            relays: (0..relays).collect(),
            parted_until: [Millis(0); DOMAINS],
            store: Store::default(),
            truth: BTreeMap::new(),
            pending: Vec::new(),
            highest: 0,
            accepted: BTreeMap::new(),
            holders: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    fn is_up(&self, index: usize) -> bool {
        self.now >= self.nodes[index].frozen_until
    }

    fn reaches_store(&self, index: usize) -> bool {
        self.is_up(index) && self.now >= self.nodes[index].cut_until
    }

    /// Counts requests and exchanges reports.
    fn run_requests(&mut self, rng: &mut impl Rng) {
        let unix = UnixMillis(self.now.0);
        let window = RULES.window_at(unix);
        for index in 0..self.nodes.len() {
            if self.is_up(index) {
                let workspace = id::Workspace::new(["w0", "w1"][rng.random_range(0..2)]);
                let known = self.truth.entry(window).or_default();
                *known.entry(workspace.clone()).or_default() += 1;
                assert!(self.nodes[index].ledger.record(&workspace, window), "counted late");
            }
        }
        let is_mesh = self.relays.len() == self.nodes.len();
        for from in 0..self.nodes.len() {
            let node = &self.nodes[from];
            let (own, process) = (node.ledger.own_counts(), node.process.clone());
            let from_domain = node.domain.clone();
            for to in self.relays.clone() {
                let parted = self.parted_until[from % DOMAINS].max(self.parted_until[to % DOMAINS]);
                if from % DOMAINS != to % DOMAINS && self.now < parted {
                    continue;
                }
                let is_near = is_mesh || self.nodes[to].domain == from_domain;
                if from == to || !self.is_up(from) || !self.is_up(to) || rng.random_bool(0.05) {
                    continue;
                }
                let is_relay = self.relays.contains(&from);
                if is_near {
                    let ledger = &mut self.nodes[to].ledger;
                    ledger.set_process_report(from_domain.clone(), process.clone(), &own, unix);
                } else if is_relay {
                    let ledger = &self.nodes[from].ledger;
                    let members = self.nodes.iter().filter(|node| node.domain == from_domain);
                    let members = members.map(|node| &node.process.instance);
                    let until = ledger.domain_complete_until(members, unix);
                    let counts = ledger.domain_counts();
                    let ledger = &mut self.nodes[to].ledger;
                    ledger.set_domain_report(from_domain.clone(), &counts, until);
                }
            }
        }
    }

    /// Follows the store, and claims or renews the leadership.
    fn run_store(&mut self, rng: &mut impl Rng) {
        let now = self.now;
        if self.store.leader.is_some_and(|(_, _, expires_at)| now >= expires_at) {
            self.store.leader = None;
        }
        for index in 0..self.nodes.len() {
            if !self.reaches_store(index) || rng.random_bool(0.1) {
                continue;
            }
            let node = &mut self.nodes[index];
            if self.store.record.revision > node.record.revision {
                node.record.replace(self.store.record.clone());
                let last = node.record.last_window().unwrap();
                node.ledger.settle(last, UnixMillis(now.0));
            }
            match &mut self.store.leader {
                Some((leader, ..)) if *leader != index => node.holding.record_other(now),
                Some((_, token, expires_at))
                    if node.lease.is_some_and(|(own, _)| own == *token) =>
                {
                    *expires_at = now + LEASE;
                    node.lease = Some((*token, now + LEASE));
                }
                // A process that was restarted does not know its token.
                Some(_) => {}
                None if self.relays.contains(&index) && rng.random_bool(0.3) => {
                    self.store.revision += 1;
                    let token = self.store.revision;
                    self.store.leader = Some((index, token, now + LEASE));
                    node.lease = Some((token, now + LEASE));
                }
                None => {}
            }
        }
    }

    /// Lets instances that hold the duties settle and report.
    fn run_duties(&mut self, rng: &mut impl Rng) {
        let (now, unix) = (self.now, UnixMillis(self.now.0));
        let registered: Vec<_> = self
            .nodes
            .iter()
            .map(|node| (node.process.instance.clone(), node.domain.clone()))
            .collect();
        for index in self.relays.clone() {
            if !self.is_up(index) {
                continue;
            }
            let can_reach = self.reaches_store(index);
            let node = &mut self.nodes[index];
            let lease = node.lease.map(|(token, expires_at)| Lease {
                token: id::FencingToken(token),
                is_valid: now + Millis(400) < expires_at,
            });
            if node.lease.is_some_and(|(_, expires_at)| now >= expires_at) {
                node.lease = None;
            }
            node.holding.update(lease, now);
            let Some(token) = node.holding.token(now) else {
                continue;
            };
            let members = registered.iter().map(|(instance, domain)| (instance, domain));
            let complete_until = node.ledger.complete_until(members, unix);
            let may_miss = now.since(node.started_at.max(node.frozen_until)) >= Millis(2_500);
            let due = RULES.due(&node.ledger, &node.record, complete_until, may_miss, unix);
            if !due.is_empty() && can_reach {
                let mut record = node.record.clone();
                let settled = due.into_iter().map(|window| Settled {
                    window,
                    counts: node.ledger.total(window),
                    is_acknowledged: false,
                });
                record.settle(settled.collect());
                let is_leader = self.store.leader.is_some_and(|(_, known, _)| known == token.0);
                if is_leader && self.store.record.revision == record.revision {
                    self.store.revision += 1;
                    record.revision = self.store.revision;
                    self.store.record = record.clone();
                    // The response to a write may be lost.
                    if rng.random_bool(0.7) {
                        let last = record.last_window().unwrap();
                        node.record = record;
                        node.ledger.settle(last, unix);
                    }
                }
            }
            for settled in node.record.unacknowledged() {
                // A call arrives late, sometimes by seconds, or never.
                let delay = if rng.random_bool(0.2) { rng.random_range(0..6_000) } else { 50 };
                if rng.random_bool(0.9) {
                    let (window, counts) = (settled.window, settled.counts.clone());
                    self.pending.push((now + Millis(delay), index, token.0, window, counts));
                }
            }
        }
    }

    /// Executes the calls that arrive.
    fn run_cloud(&mut self, rng: &mut impl Rng) {
        let now = self.now;
        let calls = std::mem::take(&mut self.pending);
        let (arrived, pending): (Vec<Call>, _) = calls.into_iter().partition(|call| call.0 <= now);
        self.pending = pending;
        for (_, index, token, window, counts) in arrived {
            let holder = *self.holders.entry(token).or_insert(index);
            assert_eq!(holder, index, "two holders of token {token}");
            let has_response = rng.random_bool(0.8);
            let node = &mut self.nodes[index];
            if token < self.highest {
                if has_response {
                    node.holding.record_refusal(id::FencingToken(token));
                }
                continue;
            }
            self.highest = token;
            let first = self.accepted.entry(window).or_insert_with(|| counts.clone());
            assert_eq!(*first, counts, "two different reports of window {window}");
            if has_response {
                node.record.acknowledge(window);
            }
        }
    }

    /// Records which holder may act, and checks that no other one acted in between within a lease.
    fn check_turns(&mut self) {
        let now = self.now;
        for index in self.relays.clone() {
            if self.reaches_store(index) && self.nodes[index].holding.token(now).is_some() {
                let other = self.actions.iter().rposition(|(holder, _)| *holder != index);
                let before = other.and_then(|other| {
                    self.actions[..other].iter().rfind(|(holder, _)| *holder == index)
                });
                let is_aba = before.is_some_and(|(_, at)| now.since(*at) < TURN);
                assert!(!is_aba, "i{index} acted before and after another holder");
                self.actions.push((index, now));
            }
        }
        self.actions.retain(|(_, at)| now.since(*at) < Millis(20_000));
    }
}

/// Guards against two different reports of a window, windows without a report, counts outside the
/// tolerance, and holders out of turn, with kills, freezes, partitions, a store out of reach, and lost or
/// late responses between any two steps.
#[rstest]
fn every_window_is_reported_once_and_truly(
    #[values(1, 8, 82, 295, 1_000)] instances: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(instances, &mut rng);
    let started_at = fleet.now;
    let mut killed_at = BTreeMap::<u64, u64>::new();
    let end = started_at + Millis(if instances > 200 { 40_000 } else { 90_000 });
    while fleet.now < end {
        fleet.now = fleet.now + Millis(STEP);
        fleet.run_requests(&mut rng);
        fleet.run_store(&mut rng);
        fleet.run_duties(&mut rng);
        fleet.check_turns();
        fleet.run_cloud(&mut rng);
        // A third of the faults meets the leader.
        if instances == 1 || !rng.random_bool(0.03) {
            continue;
        }
        let leader = fleet.store.leader.map(|(index, ..)| index);
        let leader = leader.filter(|_| rng.random_bool(0.3));
        let index = leader.unwrap_or_else(|| rng.random_range(0..instances));
        let until = fleet.now + Millis(rng.random_range(500..5_000));
        match rng.random_range(0..4) {
            0 => {
                *killed_at.entry(RULES.window_at(UnixMillis(fleet.now.0))).or_default() += 1;
                fleet.nodes[index] = Node::new(index, fleet.now, &mut rng);
                fleet.nodes[index].frozen_until = fleet.now + Millis(1_000);
            }
            1 => fleet.nodes[index].frozen_until = until,
            2 => fleet.parted_until[index % DOMAINS] = until,
            _ => fleet.nodes[index].cut_until = until,
        }
    }
    let last = RULES.window_at(UnixMillis(end.0 - RULES.late.0 - 6_000)) - 1;
    for window in RULES.window_from(UnixMillis(started_at.0))..=last {
        let accepted = fleet.accepted.get(&window);
        let accepted = accepted.unwrap_or_else(|| panic!("window {window} has no report"));
        // What was counted after the last report of a killed instance is lost, and a report in ten
        // of a small fleet may be lost twice in a row.
        let killed: u64 = killed_at.range(window..=window).map(|(_, n)| n).sum();
        for (workspace, truth) in &fleet.truth[&window] {
            let count = accepted.get(workspace).copied().unwrap_or(0);
            let allowed = *truth as f64 * 0.05 + 4.0 * killed as f64;
            let off = count.abs_diff(*truth) as f64;
            assert!(off <= allowed, "window {window}: {count} of {truth} for {workspace}");
        }
    }
}
