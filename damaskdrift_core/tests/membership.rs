//! Tests of membership, liveness, pause detection and ping targets.

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

// Guards against a peer that counts as dead too early, and a silent one that stays alive.
#[rstest]
#[case::in_contact(0, Liveness::Alive)]
#[case::at_suspect_limit(1_000, Liveness::Alive)]
#[case::suspect(1_001, Liveness::Suspect)]
#[case::at_dead_limit(3_000, Liveness::Suspect)]
#[case::dead(3_001, Liveness::Dead)]
fn time_since_last_contact_decides_liveness(#[case] silence: u64, #[case] expected: Liveness) {
    let mut membership = fleet(2);
    membership.record_hello(&instance(1), &domain(), &boot("a"), Millis(500));
    assert_eq!(membership.liveness(&instance(1), Millis(500 + silence)), Some(expected));
}

// Guards against sending requests to an instance that the platform lists before it runs.
#[test]
fn listed_instance_is_alive_only_after_contact() {
    let mut membership = fleet(2);
    assert_eq!(membership.liveness(&instance(1), Millis(0)), Some(Liveness::New));
    assert_eq!(membership.alive(Millis(0)).count(), 1);
    membership.record_message(&instance(1), false, Millis(10));
    assert_eq!(membership.alive(Millis(10)).count(), 2);
}

// Guards against one side of a partition finding a majority in itself, because the roster shrinks
// when members are silent or report that they are leaving.
#[test]
fn roster_keeps_silent_and_leaving_members() {
    let mut membership = fleet(4);
    membership.record_message(&instance(1), true, Millis(10));
    assert_eq!(membership.liveness(&instance(1), Millis(10)), Some(Liveness::Leaving));
    assert_eq!(roster_len(&membership, 60_000), 4);
}

// Guards against instances that read the platform's list at different times and use rosters of
// different sizes for a majority.
#[rstest]
#[case::missing_in_list(false)]
#[case::listed_as_leaving(true)]
fn dropped_member_counts_until_the_roster_retention_ends(#[case] leaving: bool) {
    let mut membership = fleet(2);
    membership.record_message(&instance(1), false, Millis(1_000));
    let list = if leaving { vec![listed(1, true)] } else { Vec::new() };
    membership.apply_list(&list, Millis(1_000));
    assert_eq!(membership.liveness(&instance(1), Millis(1_000)), Some(Liveness::Leaving));
    assert_eq!(roster_len(&membership, 6_000), 2);
    assert_eq!(roster_len(&membership, 6_001), 1);
    membership.apply_list(&list, Millis(60_000));
    assert_eq!(roster_len(&membership, 60_000), 1, "a later list does not restart the retention");
}

// Guards against ignoring an instance that has made contact but is not in the lagging list yet.
#[test]
fn unlisted_instance_is_a_member_until_its_ttl_ends() {
    let mut membership = fleet(2);
    membership.record_hello(&instance(7), &domain(), &boot("a"), Millis(0));
    assert_eq!(roster_len(&membership, 0), 3);
    let list = [listed(0, false), listed(1, false)];
    membership.apply_list(&list, Millis(10_000));
    assert_eq!(roster_len(&membership, 10_000), 3);
    membership.apply_list(&list, Millis(10_001));
    assert_eq!(roster_len(&membership, 10_001), 2);
}

// Guards against a replacement that counts as leaving because the instance of the same name before
// it was leaving.
#[test]
fn new_boot_id_clears_leaving() {
    let mut membership = fleet(2);
    membership.record_hello(&instance(1), &domain(), &boot("a"), Millis(0));
    membership.record_message(&instance(1), true, Millis(0));
    membership.record_hello(&instance(1), &domain(), &boot("a"), Millis(1));
    assert_eq!(membership.liveness(&instance(1), Millis(1)), Some(Liveness::Leaving));
    membership.record_hello(&instance(1), &domain(), &boot("b"), Millis(2));
    assert_eq!(membership.liveness(&instance(1), Millis(2)), Some(Liveness::Alive));
}

// Guards against a process that relies on stale data after a pause.
#[rstest]
#[case::steady(250, None)]
#[case::at_limit(1_000, None)]
#[case::paused(1_001, Some(Millis(1_001)))]
fn long_gap_between_ticks_is_a_pause(#[case] gap: u64, #[case] expected: Option<Millis>) {
    let mut detector = membership::PauseDetector::new();
    assert_eq!(detector.tick(Millis(5_000)), None);
    assert_eq!(detector.tick(Millis(5_000 + gap)), expected);
}

// Guards against pings whose number grows with the square of the fleet.
#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(16, 15)]
#[case(17, 6)]
#[case(32, 6)]
#[case(33, 7)]
#[case(330, 10)]
fn ping_fanout_is_bounded(#[case] n: usize, #[case] expected: usize) {
    assert_eq!(membership::ping_fanout(n), expected);
    let peers: Vec<_> = (1..n).map(instance).collect();
    let chosen = membership::ping_targets(&peers, &mut ChaCha8Rng::seed_from_u64(1));
    let distinct: std::collections::BTreeSet<_> = chosen.iter().collect();
    assert_eq!(distinct.len(), expected);
}
