//! Tests of the target versions of weights.

use damaskdrift_core::time::Millis;
use damaskdrift_core::weights;
use rstest::rstest;

fn targets(set: &[(u64, u64)]) -> weights::Targets {
    let mut targets = weights::Targets::default();
    for (version, at) in set {
        targets.record(*version, Millis(0), Millis(*at));
    }
    targets
}

// Guards against a newer target that extends the time for which requests may begin on weights older
// than the one before it.
#[rstest]
fn a_newer_target_does_not_extend_the_limit_of_an_earlier_one() {
    let mut targets = targets(&[(2, 7_000), (3, 14_000)]);
    let limit = Millis(8_000);
    for at in [14_000, 15_000, 21_999] {
        targets.prune(Millis(at), limit);
        assert_eq!(targets.usable_until(1, limit), Some(Millis(15_000)), "at {at} ms");
        assert_eq!(targets.usable_until(2, limit), Some(Millis(22_000)), "at {at} ms");
        assert_eq!(targets.usable_until(3, limit), None, "at {at} ms");
    }
    targets.prune(Millis(22_000), limit);
    assert_eq!(targets.usable_until(1, limit), Some(Millis(22_000)));
}
