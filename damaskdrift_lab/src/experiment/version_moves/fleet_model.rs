//! Model of the load and of the latency and errors of the two versions.

use damaskdrift_core::rollout::Side;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::scenario::{Fault, Onset, Scenario};

/// Names of the routes and their shares of the load.
pub const ROUTES: [(&str, f64); 3] = [("north", 0.6), ("south", 0.3), ("west", 0.1)];
/// Number of load periods in a move; the load is high in the last 40% of each.
const LOAD_PERIODS: u64 = 5;
/// High request rate as a multiple of the low one.
const HIGH_LOAD_FACTOR: f64 = 2.5;
/// Latency at high load as a multiple of that at low load.
const LOAD_SLOWDOWN: f64 = 1.4;
/// Latency of a cold upstream as a multiple of that of a warm one.
const COLD_SLOWDOWN: f64 = 4.0;
/// Error rate of a version that does not misbehave.
const BASE_ERROR_RATE: f64 = 0.003;
/// Median time to first token at low load, in milliseconds.
const FIRST_TOKEN_MS: f64 = 300.0;
/// Median time between tokens at low load, in milliseconds.
const BETWEEN_TOKENS_MS: f64 = 40.0;
/// Tokens of a response after the first.
const TOKENS_AFTER_FIRST: u64 = 10;
/// Standard deviation of the logarithm of a latency.
const LATENCY_SIGMA: f64 = 0.4;

/// Result of a simulated request.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    /// Whether the request succeeds.
    pub succeeded: bool,
    /// Time to first token, in milliseconds.
    pub first_token: u64,
    /// Mean time between tokens, in milliseconds.
    pub between_tokens: u64,
    /// Whether the upstream reports a cold start at the start or the end of the request.
    pub cold: bool,
}

/// Returns whether the load is high at a time.
pub fn is_high_load(scenario: &Scenario, at: u64) -> bool {
    let period = scenario.deadline / LOAD_PERIODS;
    at % period > period * 6 / 10
}

/// Returns the request rate at a time, in requests per second.
pub fn rate(scenario: &Scenario, at: u64) -> f64 {
    scenario.rate * if is_high_load(scenario, at) { HIGH_LOAD_FACTOR } else { 1.0 }
}

/// Draws the route of a request, as an index into [`ROUTES`].
pub fn route(rng: &mut ChaCha8Rng) -> usize {
    let draw = rng.random::<f64>();
    let mut sum = 0.0;
    for (index, (_, share)) in ROUTES.iter().enumerate() {
        sum += share;
        if draw < sum {
            return index;
        }
    }
    ROUTES.len() - 1
}

/// Returns whether the new version misbehaves at a time on at least one route.
pub fn is_misbehaving(scenario: &Scenario, at: u64) -> bool {
    scenario.is_bad()
        && match scenario.onset {
            Onset::AtOnce | Onset::OneRoute => true,
            Onset::Late => at >= scenario.onset_at,
            Onset::UnderLoad => is_high_load(scenario, at),
        }
}

/// Draws the result of a request that starts at a time on one of the two versions.
pub fn serve(
    scenario: &Scenario,
    at: u64,
    side: Side,
    route: usize,
    rng: &mut ChaCha8Rng,
) -> Served {
    let is_new = side == Side::New;
    let is_affected_route = scenario.onset != Onset::OneRoute || route == scenario.bad_route;
    let is_faulty = is_new && is_affected_route && is_misbehaving(scenario, at);
    let mut error_rate = BASE_ERROR_RATE;
    let mut slowdown = if is_high_load(scenario, at) { LOAD_SLOWDOWN } else { 1.0 };
    if is_faulty {
        match scenario.fault {
            Fault::Fails(share) => error_rate = share,
            Fault::Slow(factor) => slowdown *= factor,
        }
    }
    if is_new && is_cold(scenario, at) {
        slowdown *= COLD_SLOWDOWN;
    }
    let mut latency = |median: f64| {
        let factor = (LATENCY_SIGMA * normal(rng)).exp();
        (median * slowdown * factor) as u64
    };
    let first_token = latency(FIRST_TOKEN_MS);
    let between_tokens = latency(BETWEEN_TOKENS_MS);
    let end = at + duration(first_token, between_tokens);
    let is_reported_cold = |at: u64| is_cold(scenario, at.saturating_sub(scenario.cold_report_lag));
    Served {
        succeeded: !rng.random_bool(error_rate),
        first_token,
        between_tokens,
        cold: is_new && (is_reported_cold(at) || is_reported_cold(end)),
    }
}

/// Returns how long a request runs, in milliseconds.
pub fn duration(first_token: u64, between_tokens: u64) -> u64 {
    first_token + TOKENS_AFTER_FIRST * between_tokens
}

fn is_cold(scenario: &Scenario, at: u64) -> bool {
    scenario.cold_periods.iter().any(|(start, end)| (*start..*end).contains(&at))
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
