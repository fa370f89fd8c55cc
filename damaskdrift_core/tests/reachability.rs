//! Tests of entries that are missing after an outage of the platform store.

use damaskdrift_core::config_sync::Reachability;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use rstest::rstest;

/// Time after which an instance that was cut off counts as connected again.
const CONNECTED_AFTER_MS: u64 = 3_000;
/// Time that live upstreams need to register again.
const REREGISTRATION_MS: u64 = 2_000;
/// When the store returns in these tests.
const RETURN_MS: u64 = 10_000;

fn upstream(name: &str) -> id::Upstream {
    id::Upstream::new(name)
}

/// Returns the state after a call that failed and one that succeeded `response_ms` after the return.
fn returned(failed_call_ms: u64, response_ms: u64) -> Reachability {
    let mut reachability = Reachability::default();
    assert!(reachability.record_unreached(Millis(5_000)));
    assert!(!reachability.record_unreached(Millis(RETURN_MS - failed_call_ms)));
    assert!(reachability.record_reached(Millis(RETURN_MS + response_ms)));
    reachability
}

// Guards against an upstream that left during or after an outage and still gets requests when the
// instance counts as connected again, however late the instance notices the return.
#[rstest]
fn missing_upstreams_are_removed_before_the_instance_counts_as_connected(
    #[values(0, 100, 400)] failed_call_ms: u64,
    #[values(0, 300, 900, 1_600)] response_ms: u64,
    #[values(0, 300, 1_900)] missing_after_ms: u64,
) {
    let mut reachability = returned(failed_call_ms, response_ms);
    let missing_at = Millis(RETURN_MS + response_ms + missing_after_ms);
    if !reachability.record_missing(upstream("a"), missing_at) {
        return;
    }
    let due_at = reachability.removal_due_at().expect("an upstream is missing");
    assert!(due_at < Millis(RETURN_MS + CONNECTED_AFTER_MS), "{due_at}");
    assert!(reachability.take_removed(due_at - Millis(1)).is_empty());
    assert_eq!(reachability.take_removed(due_at), [upstream("a")].into());
    assert_eq!(reachability.removal_due_at(), None);
}

// Guards against live upstreams that are removed before they could register again.
#[rstest]
fn upstreams_have_time_to_register_again(
    #[values(0, 100, 400)] failed_call_ms: u64,
    #[values(0, 300, 400)] response_ms: u64,
) {
    let mut reachability = returned(failed_call_ms, response_ms);
    assert!(reachability.record_missing(upstream("a"), Millis(RETURN_MS + response_ms)));
    assert!(reachability.record_missing(upstream("b"), Millis(RETURN_MS + response_ms)));
    let registered_at = Millis(RETURN_MS + REREGISTRATION_MS - 1);
    assert!(reachability.take_removed(registered_at).is_empty());
    reachability.record_listed(&upstream("a"));
    assert_eq!(reachability.take_removed(Millis(RETURN_MS + 3_000)), [upstream("b")].into());
}

// Guards against live upstreams that are removed because the store went away again before they could
// register.
#[rstest]
fn another_outage_extends_the_time_to_register_again() {
    let mut reachability = returned(100, 0);
    assert!(reachability.record_missing(upstream("a"), Millis(RETURN_MS)));
    assert!(reachability.record_unreached(Millis(RETURN_MS + 1_000)));
    assert!(reachability.record_reached(Millis(RETURN_MS + 1_500)));
    let due_at = reachability.removal_due_at().expect("an upstream is missing");
    assert!(due_at >= Millis(RETURN_MS + 1_500 + REREGISTRATION_MS), "{due_at}");
}

// Guards against leaving upstreams that stay in use although the store was never away.
#[rstest]
fn upstreams_are_removed_at_once_without_an_outage() {
    let mut reachability = Reachability::default();
    assert!(!reachability.record_missing(upstream("a"), Millis(RETURN_MS)));
    let mut reachability = returned(100, 0);
    let later = Millis(RETURN_MS + REREGISTRATION_MS + 1);
    assert!(!reachability.record_missing(upstream("a"), later));
    assert_eq!(reachability.removal_due_at(), None);
}

// Guards against leaves that remove live upstreams because only their relay saw the outage.
#[rstest]
fn a_return_seen_by_a_relay_gives_time_to_register_again() {
    let mut reachability = Reachability::default();
    reachability.record_relayed_return(Millis(RETURN_MS));
    assert!(reachability.record_missing(upstream("a"), Millis(RETURN_MS + 100)));
    assert_eq!(reachability.removal_due_at(), Some(Millis(RETURN_MS + REREGISTRATION_MS)));
}
