//! Tests of the plan of a stop.

use damaskdrift_core::shutdown::Plan;
use damaskdrift_core::time::Millis;
use rstest::rstest;

const BEGAN_AT: Millis = Millis(100_000);

// Guards against requests that a stopping instance accepts and then cuts off when it exits.
#[rstest]
fn requests_that_must_not_run_again_end_before_the_exit(
    #[values(1_000, 3_000, 8_000, 30_000)] grace_ms: u64,
) {
    let plan = Plan::new(BEGAN_AT, Millis(grace_ms));
    for after_ms in (0..grace_ms).step_by(50) {
        let now = BEGAN_AT + Millis(after_ms);
        assert!(!plan.admits(None, false, now), "without a limit, after {after_ms} ms");
        for limit_ms in (0..2 * grace_ms).step_by(50) {
            let ends_at = now + Millis(limit_ms);
            let is_certain = ends_at < plan.exits_at();
            let is_admitted = plan.admits(Some(ends_at), false, now);
            assert!(!is_admitted || is_certain, "{limit_ms} ms, after {after_ms} ms");
        }
    }
}

// Guards against an instance that refuses everything as soon as it stops, while load balancers still
// send requests to it.
#[rstest]
#[case::short(Some(2_000), false, 3_000, true)]
#[case::short_and_too_late(Some(2_000), false, 5_400, false)]
#[case::long(Some(6_000), false, 1_000, true)]
#[case::long_and_too_late(Some(6_000), false, 2_000, false)]
#[case::long_that_may_run_again(Some(60_000), true, 2_000, true)]
#[case::long_that_may_run_again_and_too_late(Some(60_000), true, 2_600, false)]
#[case::unlimited_that_may_run_again(None, true, 2_000, true)]
#[case::short_that_may_run_again(Some(2_000), true, 3_000, true)]
fn requests_are_admitted_while_they_can_end(
    #[case] limit_ms: Option<u64>,
    #[case] may_run_again: bool,
    #[case] after_ms: u64,
    #[case] want: bool,
) {
    let plan = Plan::new(BEGAN_AT, Millis(8_000));
    let now = BEGAN_AT + Millis(after_ms);
    let ends_at = limit_ms.map(|limit_ms| now + Millis(limit_ms));
    assert_eq!(plan.admits(ends_at, may_run_again, now), want);
}

// Guards against an instance that exits while it still accepts connections, whose requests would end
// without a response, and against one that is killed before it exits.
#[rstest]
fn connections_are_accepted_until_before_the_exit(
    #[values(1_000, 3_000, 4_000, 8_000, 30_000)] grace_ms: u64,
) {
    let plan = Plan::new(BEGAN_AT, Millis(grace_ms));
    assert!(BEGAN_AT < plan.stops_accepting_at());
    assert!(plan.stops_accepting_at() < plan.exits_at());
    assert!(plan.exits_at() < BEGAN_AT + Millis(grace_ms));
}
