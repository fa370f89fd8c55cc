//! Tests of retry decisions, budgets and backoff.

use damaskdrift_core::id;
use damaskdrift_core::retry::{
    Budgets, Decision, FailedAttempt, MAX_ATTEMPTS, Reason, backoff, decide,
};
use damaskdrift_core::time::Millis;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

// Guards against retrying a non-idempotent call that may have run, or a call whose response the
// caller has partly received.
#[rstest]
#[case::unsent_non_idempotent(1, false, false, false, None)]
#[case::sent_idempotent(1, true, true, false, None)]
#[case::sent_non_idempotent(1, true, false, false, Some(Reason::MayHaveRun))]
#[case::delivered(1, true, true, true, Some(Reason::Delivered))]
#[case::last_attempt(MAX_ATTEMPTS, false, true, false, Some(Reason::Attempts))]
fn only_safe_attempts_are_retried(
    #[case] attempts: u32,
    #[case] sent: bool,
    #[case] is_idempotent: bool,
    #[case] delivered: bool,
    #[case] want: Option<Reason>,
) {
    let failed = FailedAttempt { attempts, sent, is_idempotent, delivered };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let workspace = id::Workspace::new("mill");
    let decision = decide(failed, &mut Budgets::default(), &workspace, &mut rng);
    match (decision, want) {
        (Decision::Retry(_), None) => {}
        (Decision::Stop(reason), Some(want)) => assert_eq!(reason, want),
        other => panic!("unexpected {other:?}"),
    }
}

// Guards against retries that multiply the load when every call fails, and against one workspace
// exhausting the retry budget of another.
#[test]
fn retries_are_limited_to_a_tenth_of_requests() {
    let failed = FailedAttempt { attempts: 1, sent: false, is_idempotent: true, delivered: false };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut budgets = Budgets::default();
    let (failing, other) = (id::Workspace::new("mill"), id::Workspace::new("office"));
    let mut retries = 0;
    for _ in 0..1_000 {
        budgets.deposit(&failing);
        let decision = decide(failed, &mut budgets, &failing, &mut rng);
        retries += u32::from(matches!(decision, Decision::Retry(_)));
    }
    assert!((100..=110).contains(&retries), "{retries} retries");
    assert!(matches!(decide(failed, &mut budgets, &other, &mut rng), Decision::Retry(_)));
}

// Guards against callers whose requests failed at the same time retrying at the same time.
#[test]
fn backoff_doubles_with_full_jitter() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (attempts, bound) in [(1, 20), (3, 80), (40, 1_000)] {
        let waits: Vec<_> = (0..200).map(|_| backoff(attempts, &mut rng)).collect();
        let longest = waits.iter().max().expect("there are waits");
        let mean = waits.iter().map(|wait| wait.0).sum::<u64>() / 200;
        assert!(*longest <= Millis(bound) && longest.0 > bound * 9 / 10);
        assert!((bound * 4 / 10..bound * 6 / 10).contains(&mean), "mean {mean}");
    }
}
