//! Tests of configuration propagation and freshness, with a simulated fleet.

use std::collections;

use damaskdrift_core::config_sync::{self, Freshness, Offer, ReadOutcome, StopReason};
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const LIMIT: Millis = Millis(2_000);
const STEP: u64 = 25;

fn instance(i: usize) -> id::Instance {
    id::Instance::new(&format!("i{i}"))
}

fn roster(n: usize) -> collections::BTreeSet<id::Instance> {
    (0..n).map(instance).collect()
}

fn report(revision: u64, age: Option<u64>) -> config_sync::PeerReport {
    let confirmed_age = age.map(Millis);
    config_sync::PeerReport { revision: id::Revision(revision), confirmed_age, members: Vec::new() }
}

// Guards against a delayed read or push reinstalling an older configuration.
#[rstest]
#[case::older(4, Offer::Older, 5)]
#[case::same(5, Offer::Same, 5)]
#[case::newer(6, Offer::Installed, 6)]
fn an_offer_never_lowers_the_installed_revision(
    #[case] offered: u64,
    #[case] expected: Offer,
    #[case] installed: u64,
) {
    let mut state = config_sync::State::new();
    state.offer(id::Revision(5));
    assert_eq!(state.offer(id::Revision(offered)), expected);
    assert_eq!(state.installed(), id::Revision(installed));
}

// Guards against a service that lost data confirming a configuration that it no longer holds.
#[test]
fn a_lower_revision_at_the_service_confirms_nothing() {
    let mut state = config_sync::State::new();
    state.offer(id::Revision(5));
    assert_eq!(state.confirm_from_service(id::Revision(4), Millis(100)), ReadOutcome::Reverted);
    assert_eq!(state.confirmed_age(Millis(100)), None);
}

// Guards against counting the ages in a pong from its receipt, which a slow link delays.
#[test]
fn a_pong_confirms_as_of_its_ping() {
    let mut state = config_sync::State::new();
    state.offer(id::Revision(5));
    state.confirm_from_peer(&instance(1), &report(5, Some(300)), Millis(1_000));
    assert_eq!(state.confirmed_age(Millis(3_000)), Some(Millis(2_300)));
}

#[rstest]
// Guards against an instance taking new work while it cannot confirm its configuration.
#[case::alone(&[], 5, false)]
#[case::half_including_itself(&[1], 5, false)]
// Guards against a global outage of the service stopping all new work.
#[case::majority(&[1, 2], 5, true)]
// Guards against taking new work under a configuration that a peer knows to be superseded.
#[case::majority_with_a_newer_revision(&[1, 2, 3], 6, false)]
fn an_unconfirmed_instance_needs_a_majority(
    #[case] reachable: &[usize],
    #[case] last_revision: u64,
    #[case] allowed: bool,
) {
    let mut state = config_sync::State::new();
    state.offer(id::Revision(5));
    state.confirm_from_service(id::Revision(5), Millis(0));
    for peer in reachable {
        let revision = if Some(peer) == reachable.last() { last_revision } else { 5 };
        state.confirm_from_peer(&instance(*peer), &report(revision, None), Millis(9_000));
    }
    let roster = roster(4);
    let decision = state.freshness(&instance(0), Some(&roster), Millis(10_000), LIMIT);
    assert_eq!(decision.allows_new_work(), allowed, "{decision}");
}

// Guards against an instance that has never read the instance list counting itself as the whole
// fleet.
#[test]
fn an_unknown_roster_is_no_majority() {
    let mut state = config_sync::State::new();
    state.offer(id::Revision(5));
    let decision = state.freshness(&instance(0), None, Millis(10_000), LIMIT);
    assert_eq!(decision, Freshness::Stopped(StopReason::RosterUnknown));
}

// Guards against confirmations from before a pause of the process counting after it.
#[test]
fn a_pause_clears_confirmations_but_not_the_revision() {
    let mut state = config_sync::State::new();
    state.offer(id::Revision(5));
    state.confirm_from_service(id::Revision(5), Millis(1_000));
    state.clear_confirmations();
    let decision = state.freshness(&instance(0), Some(&roster(2)), Millis(1_100), LIMIT);
    assert_eq!(decision, Freshness::Stopped(StopReason::Minority { reachable: 1, roster: 2 }));
    assert_eq!(state.installed(), id::Revision(5));
}

#[rstest]
// Guards against claims of `stopped` about instances that may still be confirmed by a majority with
// the old revision.
#[case::too_few_confirmed(1, 2_500, config_sync::ClaimReason::Minority)]
#[case::limit_running(2, 2_000, config_sync::ClaimReason::LimitRunning)]
#[case::limit_passed(2, 2_100, config_sync::ClaimReason::LimitPassed)]
#[case::all_confirmed(4, 10, config_sync::ClaimReason::Complete)]
fn a_writer_claims_stopped_only_after_the_freshness_limit(
    #[case] confirmed: usize,
    #[case] now: u64,
    #[case] reason: config_sync::ClaimReason,
) {
    let mut propagation = config_sync::Propagation::new(&instance(0), Some(&roster(4)), Millis(0));
    for peer in 1..confirmed {
        propagation.confirm(&instance(peer), Millis(0));
    }
    propagation.observe_roster(Some(&roster(4)));
    let claim = propagation.claim(Millis(now), LIMIT);
    assert_eq!(claim.reason, reason);
    assert_eq!(claim.stopped.is_empty(), reason != config_sync::ClaimReason::LimitPassed);
}

// Guards against a command that waits beyond its time limit, or ends before it can classify all
// members.
#[rstest]
#[case::all_confirmed(4, 0, true)]
#[case::before_the_limit(2, 2_099, false)]
#[case::after_the_limit(2, 2_100, true)]
#[case::minority(1, 2_499, false)]
#[case::minority_at_the_end(1, 2_500, true)]
fn a_writer_waits_until_all_members_are_classified(
    #[case] confirmed: usize,
    #[case] now: u64,
    #[case] settled: bool,
) {
    let mut propagation = config_sync::Propagation::new(&instance(0), Some(&roster(4)), Millis(0));
    for peer in 1..confirmed {
        propagation.confirm(&instance(peer), Millis(0));
    }
    assert_eq!(propagation.is_settled(Millis(now), LIMIT), settled);
}

// Guards against a claim based on a roster that an unresponsive instance may see differently.
#[test]
fn a_changed_roster_leaves_pending_instances_unconfirmed() {
    let mut propagation = config_sync::Propagation::new(&instance(0), Some(&roster(4)), Millis(0));
    propagation.confirm(&instance(1), Millis(0));
    propagation.observe_roster(Some(&roster(3)));
    let claim = propagation.claim(Millis(9_000), LIMIT);
    assert_eq!(claim.reason, config_sync::ClaimReason::RosterChanged);
    assert_eq!(claim.unconfirmed, vec![instance(2), instance(3)]);
}

// Guards against every instance of a large fleet watching the service.
#[test]
fn two_live_instances_of_each_domain_watch() {
    let domains = [id::FailureDomain::new("north"), id::FailureDomain::new("south")];
    let fleet: Vec<_> = (0..9).map(|i| (instance(i), &domains[usize::from(i > 5)])).collect();
    let all = config_sync::watchers(fleet.iter().map(|(i, d)| (i, *d)));
    assert_eq!(all.len(), 4);
    let first = all.iter().next().copied().expect("there are four");
    let rest = fleet.iter().filter(|(i, _)| i != first).map(|(i, d)| (i, *d));
    let after_loss = config_sync::watchers(rest);
    assert_eq!(after_loss.len(), 4);
    assert_eq!(all.intersection(&after_loss).count(), 3, "a loss moves one watch only");
}

// Guards against the instances of a large fleet, which ping only a few peers per tick, mistaking an
// outage of the service for their own isolation.
#[rstest]
#[case::pongs_with_members(8, true)]
#[case::direct_pongs_only(0, false)]
fn indirect_evidence_confirms_a_large_fleet(#[case] max_members: usize, #[case] expected: bool) {
    const INSTANCES: usize = 330;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let roster = roster(INSTANCES);
    let names: Vec<_> = (0..INSTANCES).map(instance).collect();
    let mut states = vec![config_sync::State::new(); INSTANCES];
    for state in &mut states {
        state.offer(id::Revision(1));
    }
    for tick in 0..20_u64 {
        let sent_at = Millis(10_000 + tick * 250);
        for i in 0..INSTANCES {
            let mut peers = names.clone();
            peers.swap_remove(i);
            for peer in membership::ping_targets(&peers, &mut rng) {
                let index = names.iter().position(|name| *name == peer).expect("a member");
                let members = states[index].evidence_sample(sent_at, LIMIT, max_members, &mut rng);
                let report = config_sync::PeerReport { members, ..report(1, None) };
                states[i].confirm_from_peer(&peer, &report, sent_at);
            }
            if tick < 8 {
                continue;
            }
            let decision = states[i].freshness(&names[i], Some(&roster), sent_at, LIMIT);
            assert_eq!(
                decision.allows_new_work(),
                expected,
                "{} at {sent_at}: {decision}",
                names[i]
            );
        }
    }
}

/// A message in transit; the simulation delivers it when it is due, if the link is up then.
enum Message {
    Ping { from: usize, to: usize, sent_at: u64 },
    Pong { from: usize, to: usize, sent_at: u64, report: config_sync::PeerReport },
    Read { by: usize, sent_at: u64 },
    ReadResponse { by: usize, sent_at: u64, revision: u64 },
    Push { to: usize, revision: u64 },
    Ack { from: usize },
    Fetch { from: usize, to: usize },
    Fetched { to: usize, revision: u64 },
}

/// A fleet whose links, service and processes fail at random.
struct Fleet {
    rng: ChaCha8Rng,
    now: u64,
    states: Vec<config_sync::State>,
    paused_until: Vec<u64>,
    links: Vec<Vec<bool>>,
    service_links: Vec<bool>,
    service_revision: u64,
    in_transit: Vec<(u64, Message)>,
    propagation: Option<config_sync::Propagation>,
    claim: Option<config_sync::Claim>,
}

impl Fleet {
    fn new(n: usize, seed: u64) -> Self {
        let mut states = vec![config_sync::State::new(); n];
        for state in &mut states {
            state.offer(id::Revision(1));
        }
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 10_000,
            states,
            paused_until: vec![0; n],
            links: vec![vec![true; n]; n],
            service_links: vec![true; n],
            service_revision: 1,
            in_transit: Vec::new(),
            propagation: None,
            claim: None,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.inject_faults();
        let due = self.in_transit.extract_if(.., |(at, _)| *at <= self.now).collect::<Vec<_>>();
        for (_, message) in due {
            self.deliver(message);
        }
        for i in 0..self.states.len() {
            if self.paused_until[i] <= self.now && self.rng.random_bool(0.1) {
                self.tick(i);
            }
        }
    }

    fn inject_faults(&mut self) {
        let n = self.states.len();
        let (i, j) = (self.rng.random_range(0..n), self.rng.random_range(0..n));
        if self.rng.random_bool(0.02) {
            // A partition between two random sides; one of them loses the service.
            let side: Vec<bool> = (0..n).map(|_| self.rng.random_bool(0.4)).collect();
            let service_side = self.rng.random_bool(0.5);
            for (a, row) in self.links.iter_mut().enumerate() {
                for (b, link) in row.iter_mut().enumerate() {
                    *link = side[a] == side[b];
                }
                self.service_links[a] = side[a] == service_side;
            }
        }
        if self.rng.random_bool(0.05) {
            self.links[i][j] = !self.links[i][j];
        }
        if self.rng.random_bool(0.05) {
            self.service_links[i] = !self.service_links[i];
        }
        if self.rng.random_bool(0.01) {
            self.paused_until[i] = self.now + self.rng.random_range(100..4_000);
        }
    }

    fn tick(&mut self, i: usize) {
        let sent_at = self.now;
        if self.rng.random_bool(0.3) {
            self.send(Message::Read { by: i, sent_at });
        }
        for to in 0..self.states.len() {
            if to == i {
                continue;
            }
            self.send(Message::Ping { from: i, to, sent_at });
            if self.states[i].is_behind() {
                self.send(Message::Fetch { from: i, to });
            }
        }
    }

    fn send(&mut self, message: Message) {
        let delay = if self.rng.random_bool(0.1) { 3_000 } else { 60 };
        let at = self.now + self.rng.random_range(0..delay);
        self.in_transit.push((at, message));
    }

    fn deliver(&mut self, message: Message) {
        let (a, b) = match message {
            Message::Ping { from, to, .. } | Message::Pong { from, to, .. } => (from, Some(to)),
            Message::Fetch { from, to } => (from, Some(to)),
            Message::Push { to, .. } | Message::Fetched { to, .. } => (0, Some(to)),
            Message::Ack { from } => (from, Some(0)),
            Message::Read { by, .. } | Message::ReadResponse { by, .. } => (by, None),
        };
        let link = b.map_or(self.service_links[a], |b| self.links[a][b]);
        if !link {
            return;
        }
        let receiver = match message {
            Message::Read { .. } => None,
            Message::ReadResponse { by, .. } => Some(by),
            _ => b,
        };
        if let Some(i) = receiver.filter(|i| self.paused_until[*i] > self.now) {
            self.in_transit.push((self.paused_until[i], message));
            return;
        }
        self.receive(message);
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Ping { from, to, sent_at } => {
                let (state, now) = (&self.states[to], Millis(self.now));
                let report = config_sync::PeerReport {
                    revision: state.installed(),
                    confirmed_age: state.confirmed_age(now),
                    members: state.evidence(now, LIMIT),
                };
                self.send(Message::Pong { from: to, to: from, sent_at, report });
            }
            Message::Pong { from, to, sent_at, report } => {
                self.states[to].confirm_from_peer(&instance(from), &report, Millis(sent_at));
            }
            Message::Read { by, sent_at } => {
                self.send(Message::ReadResponse { by, sent_at, revision: self.service_revision });
            }
            Message::ReadResponse { by, sent_at, revision } => {
                self.install(by, revision);
                self.states[by].confirm_from_service(id::Revision(revision), Millis(sent_at));
            }
            Message::Push { to, revision } => {
                self.install(to, revision);
                self.send(Message::Ack { from: to });
            }
            Message::Ack { from } => {
                if let Some(propagation) = &mut self.propagation {
                    propagation.confirm(&instance(from), Millis(self.now));
                }
            }
            Message::Fetch { from, to } => {
                let revision = self.states[to].installed().0;
                self.send(Message::Fetched { to: from, revision });
            }
            Message::Fetched { to, revision } => self.install(to, revision),
        }
    }

    fn install(&mut self, i: usize, revision: u64) {
        let before = self.states[i].installed();
        self.states[i].offer(id::Revision(revision));
        assert!(self.states[i].installed() >= before, "instance {i} reverted");
    }

    /// Writes a change of the configuration at instance 0, and pushes it to all others.
    fn write(&mut self) {
        self.service_revision += 1;
        self.install(0, self.service_revision);
        let n = self.states.len();
        let propagation =
            config_sync::Propagation::new(&instance(0), Some(&roster(n)), Millis(self.now));
        self.propagation = Some(propagation);
        for to in 1..n {
            self.send(Message::Push { to, revision: self.service_revision });
        }
    }

    fn claim(&mut self) {
        let n = self.states.len();
        let Some(propagation) = &mut self.propagation else { return };
        propagation.observe_roster(Some(&roster(n)));
        self.claim = Some(propagation.claim(Millis(self.now), LIMIT));
    }

    /// Checks that no instance claimed as stopped or confirmed takes new work under an old
    /// revision.
    fn check(&self) {
        let Some(claim) = &self.claim else { return };
        let roster = roster(self.states.len());
        for (i, state) in self.states.iter().enumerate() {
            let own = instance(i);
            if !claim.stopped.contains(&own) && !claim.confirmed.contains(&own) {
                continue;
            }
            let decision = state.freshness(&own, Some(&roster), Millis(self.now), LIMIT);
            let is_old = state.installed().0 < self.service_revision;
            assert!(!(is_old && decision.allows_new_work()), "{own} at {}: {decision}", self.now);
        }
    }
}

// Guards against a claim of `stopped` about an instance that still takes new work under the old
// revision, and against a return to an older revision, under random partitions, delays and pauses.
#[rstest]
fn stopped_instances_take_no_new_work(#[values(2, 3, 4, 5, 8)] n: usize) {
    let mut claims = 0;
    let mut majority_confirmed = 0;
    for seed in 0..150 {
        let mut fleet = Fleet::new(n, seed);
        for _ in 0..100 {
            fleet.step();
        }
        fleet.write();
        // Half of the runs claim before the end of the writer's wait.
        let wait = (LIMIT + config_sync::CLAIM_MARGIN).0;
        let wait = if seed % 2 == 0 { wait } else { fleet.rng.random_range(0..wait) };
        for _ in 0..wait / STEP {
            fleet.step();
        }
        fleet.claim();
        claims += fleet.claim.as_ref().map_or(0, |claim| claim.stopped.len());
        for _ in 0..200 {
            fleet.check();
            fleet.step();
            let (state, now) = (&fleet.states[n - 1], Millis(fleet.now));
            let decision = state.freshness(&instance(n - 1), Some(&roster(n)), now, LIMIT);
            majority_confirmed +=
                usize::from(matches!(decision, Freshness::MajorityConfirmed { .. }));
        }
    }
    assert!(claims > 0, "no run claimed an instance as stopped");
    assert!(n < 3 || majority_confirmed > 0, "no decision was confirmed by a majority");
}
