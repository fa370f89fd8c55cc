//! Tests of membership.

use damaskdrift_core::id;
use damaskdrift_core::membership::{self, Liveness};
use damaskdrift_core::time::Millis;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn instance(i: usize) -> id::Instance {
    id::Instance::new(&format!("i{i}"))
}

fn domain() -> id::FailureDomain {
    id::FailureDomain::new("north")
}

fn boot(name: &str) -> id::Boot {
    id::Boot::new(name)
}

fn listed(i: usize, leaving: bool) -> membership::Listed {
    let address = "127.0.0.1:9".parse().expect("an address");
    membership::Listed { instance: instance(i), address, failure_domain: domain(), leaving }
}

fn fleet(n: usize) -> membership::Membership {
    let mut membership = membership::Membership::new(instance(0), domain());
    let list: Vec<_> = (0..n).map(|i| listed(i, false)).collect();
    membership.apply_list(&list, Millis(0));
    membership
}

fn roster_len(membership: &membership::Membership, now: u64) -> usize {
    membership.roster(Millis(now)).map_or(0, |roster| roster.len())
}

// Guards against a peer counting as dead too early, and a silent one as alive.
#[rstest]
#[case::at_once(0, Liveness::Alive)]
#[case::before_suspicion(1_000, Liveness::Alive)]
#[case::suspected(1_001, Liveness::Suspect)]
#[case::before_death(3_000, Liveness::Suspect)]
#[case::dead(3_001, Liveness::Dead)]
fn silence_decides_liveness(#[case] silence: u64, #[case] expected: Liveness) {
    let mut membership = fleet(2);
    membership.contact(&instance(1), &domain(), &boot("a"), Millis(500));
    assert_eq!(membership.liveness(&instance(1), Millis(500 + silence)), Some(expected));
}

// Guards against work for an instance that the platform announced but that does not run yet.
#[test]
fn a_listed_instance_is_alive_only_after_contact() {
    let mut membership = fleet(2);
    assert_eq!(membership.liveness(&instance(1), Millis(0)), Some(Liveness::New));
    assert_eq!(membership.alive(Millis(0)).count(), 1);
    membership.heard(&instance(1), false, Millis(10));
    assert_eq!(membership.alive(Millis(10)).count(), 2);
}

// Guards against a side of a partition finding a majority in itself.
#[test]
fn silence_and_an_own_word_leave_the_roster_unchanged() {
    let mut membership = fleet(4);
    membership.heard(&instance(1), true, Millis(10));
    assert_eq!(membership.liveness(&instance(1), Millis(10)), Some(Liveness::Leaving));
    assert_eq!(roster_len(&membership, 60_000), 4);
}

// Guards against instances that read the list at different moments disagreeing on a majority.
#[rstest]
#[case::gone(false)]
#[case::leaving(true)]
fn a_dropped_member_counts_for_the_hold(#[case] leaving: bool) {
    let mut membership = fleet(2);
    membership.heard(&instance(1), false, Millis(1_000));
    let list = if leaving { vec![listed(1, true)] } else { Vec::new() };
    membership.apply_list(&list, Millis(1_000));
    assert_eq!(membership.liveness(&instance(1), Millis(1_000)), Some(Liveness::Leaving));
    assert_eq!(roster_len(&membership, 6_000), 2);
    assert_eq!(roster_len(&membership, 6_001), 1);
    membership.apply_list(&list, Millis(60_000));
    assert_eq!(roster_len(&membership, 60_000), 1, "a later reading does not start a new hold");
}

// Guards against a late list hiding an instance that has already made contact.
#[test]
fn contact_adds_an_unlisted_instance_until_it_is_silent() {
    let mut membership = fleet(2);
    membership.contact(&instance(7), &domain(), &boot("a"), Millis(0));
    assert_eq!(roster_len(&membership, 0), 3);
    let list = [listed(0, false), listed(1, false)];
    membership.apply_list(&list, Millis(10_000));
    assert_eq!(roster_len(&membership, 10_000), 3);
    membership.apply_list(&list, Millis(10_001));
    assert_eq!(roster_len(&membership, 10_001), 2);
}

// Guards against a replaced instance being shunned because its predecessor was leaving.
#[test]
fn a_new_boot_ends_leaving() {
    let mut membership = fleet(2);
    membership.contact(&instance(1), &domain(), &boot("a"), Millis(0));
    membership.heard(&instance(1), true, Millis(0));
    membership.contact(&instance(1), &domain(), &boot("a"), Millis(1));
    assert_eq!(membership.liveness(&instance(1), Millis(1)), Some(Liveness::Leaving));
    membership.contact(&instance(1), &domain(), &boot("b"), Millis(2));
    assert_eq!(membership.liveness(&instance(1), Millis(2)), Some(Liveness::Alive));
}

// Guards against a paused process trusting what it knew before.
#[rstest]
#[case::steady(250, None)]
#[case::late(1_000, None)]
#[case::paused(1_001, Some(Millis(1_001)))]
fn a_gap_between_ticks_is_a_pause(#[case] gap: u64, #[case] expected: Option<Millis>) {
    let mut pulse = membership::Pulse::new();
    assert_eq!(pulse.tick(Millis(5_000)), None);
    assert_eq!(pulse.tick(Millis(5_000 + gap)), expected);
}

// Guards against heartbeats growing with the square of the fleet.
#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(16, 15)]
#[case(17, 6)]
#[case(32, 6)]
#[case(33, 7)]
#[case(330, 10)]
fn the_degree_is_bounded(#[case] n: usize, #[case] expected: usize) {
    assert_eq!(membership::degree(n), expected);
    let peers: Vec<_> = (1..n).map(instance).collect();
    let chosen = membership::targets(&peers, &mut ChaCha8Rng::seed_from_u64(1));
    let distinct: std::collections::BTreeSet<_> = chosen.iter().collect();
    assert_eq!(distinct.len(), expected);
}
