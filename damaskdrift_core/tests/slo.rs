//! Tests of burn rates and of the times for orders.

use damaskdrift_core::order::{self, Permission};
use damaskdrift_core::slo;
use damaskdrift_core::time::Millis;
use damaskdrift_core::{fleet, id};
use rstest::rstest;

const OBJECTIVE: f64 = 0.99;

/// Counts 10 requests every 5 s; `bad` tells how many are bad at a time in seconds.
fn burns(secs: u64, bad: impl Fn(u64) -> u64) -> Vec<slo::Burn> {
    let mut ledger = slo::Ledger::default();
    let workspace = id::Workspace::new("mill");
    for at in (0..secs).step_by(5) {
        for i in 0..10 {
            let now = Millis::from_secs(at);
            ledger.count(now, &workspace, slo::Measure::Availability, i >= bad(at));
        }
    }
    // Two instances that count the same have the burn rates of one.
    let rows = ledger.totals(Millis::from_secs(secs - 1));
    let merged = slo::merge(rows.clone().into_iter().chain(rows));
    slo::burns(&merged[0], OBJECTIVE)
}

// Guards against alerts that come too early, stay after the fault, or miss a slow burn.
#[rstest]
#[case::healthy(7_200, |_| 0, [false; 4])]
#[case::total_failure(7_200, |_| 10, [true; 4])]
#[case::short_burst(7_200, |at| if at >= 7_140 { 10 } else { 0 }, [false, false, false, false])]
#[case::over_since_10_min(7_200, |at| if at < 6_600 { 5 } else { 0 }, [false, true, true, true])]
#[case::slow_burn(300_000, |at| u64::from(at % 20 == 0), [false, false, false, true])]
fn alerts_need_both_windows(
    #[case] secs: u64,
    #[case] bad: fn(u64) -> u64,
    #[case] want: [bool; 4],
) {
    let burns = burns(secs, bad);
    let alerts: Vec<_> = burns.iter().map(|burn| burn.is_alert).collect();
    assert_eq!(alerts, want, "{burns:?}");
}

// Guards against a rate that ignores the error budget.
#[test]
fn burn_rate_is_the_bad_share_over_the_budget() {
    let burns = burns(7_200, |at| u64::from(at % 10 == 0));
    assert!((burns[0].long - 5.0).abs() < 0.01, "{burns:?}");
}

// Guards against two owners whose orders reach an upstream that ignores fencing numbers.
#[rstest]
#[case(fleet::Fencing::Ignored, 2_900, Permission::Wait { until: Millis(3_000) })]
#[case(fleet::Fencing::Ignored, 3_000, Permission::Allowed)]
#[case(fleet::Fencing::Ignored, 9_000, Permission::TooLate)]
#[case(fleet::Fencing::Checked, 0, Permission::Allowed)]
#[case(fleet::Fencing::Checked, 9_000, Permission::Allowed)]
#[case(fleet::Fencing::Checked, 10_000, Permission::TooLate)]
fn owners_keep_apart(#[case] fencing: fleet::Fencing, #[case] now: u64, #[case] want: Permission) {
    let tenure = order::Lease { acquired_at: Millis(0), expires_at: Millis(10_000) };
    assert_eq!(tenure.permission(Millis(now), fencing), want);
}
