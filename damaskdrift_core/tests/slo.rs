//! Tests of burn rates, and of the times at which an owner may send orders to an upstream.

use damaskdrift_core::order::{self, Permission};
use damaskdrift_core::slo;
use damaskdrift_core::time::Millis;
use damaskdrift_core::{fleet, id};
use rstest::rstest;

const OBJECTIVE: f64 = 0.99;

/// Returns the burn rates of 10 requests every 5 s; `bad` gives the number of bad ones at a time in
/// seconds.
fn burn_rates(secs: u64, bad: impl Fn(u64) -> u64) -> Vec<slo::BurnRates> {
    let mut recorder = slo::Recorder::default();
    let workspace = id::Workspace::new("mill");
    for at in (0..secs).step_by(5) {
        for i in 0..10 {
            let now = Millis::from_secs(at);
            recorder.count(now, &workspace, slo::Measure::Availability, i >= bad(at));
        }
    }
    // Two instances with the same counts have the burn rates of one.
    let rows = recorder.totals(Millis::from_secs(secs - 1));
    let merged = slo::merge(rows.clone().into_iter().chain(rows));
    slo::burn_rates(&merged[0], OBJECTIVE)
}

// Guards against alerts for short bursts, alerts that last long after the fault, and slow burns
// without an alert.
#[rstest]
#[case::healthy(7_200, |_| 0, [false; 4])]
#[case::total_failure(7_200, |_| 10, [true; 4])]
#[case::short_burst(7_200, |at| if at >= 7_140 { 10 } else { 0 }, [false, false, false, false])]
#[case::ended_10_min_ago(7_200, |at| if at < 6_600 { 5 } else { 0 }, [false, true, true, true])]
#[case::slow_burn(300_000, |at| u64::from(at % 20 == 0), [false, false, false, true])]
fn alerts_need_both_windows(
    #[case] secs: u64,
    #[case] bad: fn(u64) -> u64,
    #[case] want: [bool; 4],
) {
    let rates = burn_rates(secs, bad);
    let alerts: Vec<_> = rates.iter().map(|rate| rate.is_alert).collect();
    assert_eq!(alerts, want, "{rates:?}");
}

// Guards against a burn rate that is not relative to the error budget.
#[test]
fn burn_rate_is_relative_to_the_error_budget() {
    let rates = burn_rates(7_200, |at| u64::from(at % 10 == 0));
    assert!((rates[0].long - 5.0).abs() < 0.01, "{rates:?}");
}

// Guards against orders of two successive owners that overlap at an upstream that ignores fencing
// tokens.
#[rstest]
#[case(fleet::Fencing::Ignored, 2_900, Permission::Wait { until: Millis(3_000) })]
#[case(fleet::Fencing::Ignored, 3_000, Permission::Allowed)]
#[case(fleet::Fencing::Ignored, 9_000, Permission::TooLate)]
#[case(fleet::Fencing::Checked, 0, Permission::Allowed)]
#[case(fleet::Fencing::Checked, 9_000, Permission::Allowed)]
#[case(fleet::Fencing::Checked, 10_000, Permission::TooLate)]
fn orders_of_successive_owners_do_not_overlap(
    #[case] fencing: fleet::Fencing,
    #[case] now: u64,
    #[case] want: Permission,
) {
    let lease = order::Lease { acquired_at: Millis(0), expires_at: Millis(10_000) };
    assert_eq!(lease.permission(Millis(now), fencing), want);
}
