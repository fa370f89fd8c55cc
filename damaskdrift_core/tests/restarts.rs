//! Tests of the fleet-wide limit on retries while instances are killed and restarted.

use damaskdrift_core::retry;
use damaskdrift_core::time::Millis;
use rstest::rstest;

const LIMIT: retry::Bound = retry::Bound { ratio: 0.2, slack: 56.0, window: Millis(10_000) };
/// Step of the simulation in milliseconds.
const STEP: u64 = 20;
/// Length of the simulation in milliseconds.
const LENGTH: u64 = 50_000;
/// Time from the start of the simulation until requests arrive, which is longer than a window.
const WARM_UP: u64 = 12_000;
/// Interval in which the instances retry as much as they may, in milliseconds.
const RETRIES: std::ops::Range<u64> = 24_000..44_000;

/// First attempts and retries of the fleet in each step.
#[derive(Default)]
struct Counts {
    first_attempts: Vec<f64>,
    retries: Vec<f64>,
}

impl Counts {
    /// Asserts the users' rule: in each window at most the ratio of the requests of that window, of
    /// the one before it or of the one half a window before it, plus the slack.
    fn assert_within_limit(&self, description: &str) {
        let window = steps(LIMIT.window.0);
        let sum = |of: &[f64], start: usize| -> f64 { of.iter().skip(start).take(window).sum() };
        for start in window..self.retries.len() - window {
            let retries = sum(&self.retries, start);
            let starts = [start, start - window / 2, start - window];
            let requests = starts.map(|start| sum(&self.first_attempts, start));
            let allowed = LIMIT.ratio * requests.into_iter().fold(0.0, f64::max) + LIMIT.slack;
            assert!(
                retries <= allowed,
                "{description}: {retries} retries from {} ms, allowed {allowed}",
                start as u64 * STEP
            );
        }
    }
}

/// Returns the number of steps in a time in milliseconds.
fn steps(ms: u64) -> usize {
    usize::try_from(ms / STEP).expect("a short simulation")
}

/// Simulates a fleet that retries as much as it may, with half or all of it killed at some times.
fn simulate(instances: usize, requests_per_s: f64, kills: &[u64], is_half: bool) -> Counts {
    let mut windows: Vec<_> =
        (0..instances).map(|_| retry::AttemptWindow::new(Millis(0))).collect();
    let count = u32::try_from(instances).expect("few instances");
    let mut counts = Counts::default();
    let mut due = 0.0;
    let mut next = 0;
    for now in (0..LENGTH / STEP).map(|step| step * STEP) {
        if kills.contains(&now) {
            for (index, window) in windows.iter_mut().enumerate() {
                if !is_half || index % 2 == 0 {
                    *window = retry::AttemptWindow::new(Millis(now));
                }
            }
        }
        let (mut first_attempts, mut retries) = (0.0, 0.0);
        if now >= WARM_UP {
            due += requests_per_s * STEP as f64 / 1_000.0;
        }
        while due >= 1.0 {
            due -= 1.0;
            next = (next + 1) % instances;
            windows[next].record_first_attempt(&LIMIT, Millis(now));
            first_attempts += 1.0;
        }
        if RETRIES.contains(&now) {
            for window in &mut windows {
                while window.try_retry(&LIMIT, count, Millis(now)) {
                    retries += 1.0;
                }
            }
        }
        counts.first_attempts.push(first_attempts);
        counts.retries.push(retries);
    }
    counts
}

/// Guards against instances that exceed the fleet-wide limit after a restart, because they use a
/// share of it again that they had used before they were killed.
#[rstest]
fn restarted_instances_stay_within_the_limit(
    #[values(1, 3, 8, 74, 295)] instances: usize,
    #[values(40.0, 360.0, 3_000.0)] requests_per_s: f64,
    #[values(&[24_500], &[24_500, 28_000], &[24_500, 27_500, 30_500])] kills: &[u64],
    #[values(true, false)] is_half: bool,
) {
    let counts = simulate(instances, requests_per_s, kills, is_half);
    let description = format!("{instances} instances, {requests_per_s}/s, kills at {kills:?} ms");
    counts.assert_within_limit(&description);
}

/// Guards against a limit for restarted instances that remains for longer than a window, or holds
/// for instances that were not restarted.
#[rstest]
fn instances_older_than_a_window_use_four_fifths_of_the_limit(#[values(1, 3, 8)] instances: usize) {
    let counts = simulate(instances, 360.0, &[], false);
    let (from, window) = (steps(RETRIES.start), steps(LIMIT.window.0));
    let retries: f64 = counts.retries.iter().skip(from).take(window).sum();
    let allowed = LIMIT.ratio * 3_600.0 + LIMIT.slack;
    assert!(retries >= 0.8 * allowed - instances as f64, "{retries} retries of {allowed}");
}

/// Guards against a new instance that retries nothing, so that callers get errors that a second
/// server would have prevented.
#[rstest]
fn new_instances_may_retry_some_requests() {
    let mut window = retry::AttemptWindow::new(Millis(50_000));
    for now in 50_000..51_000 {
        window.record_first_attempt(&LIMIT, Millis(now));
    }
    let retries = (0..100).filter(|_| window.try_retry(&LIMIT, 8, Millis(51_000))).count();
    assert!((10..=30).contains(&retries), "{retries} retries of 1000 requests");
}
