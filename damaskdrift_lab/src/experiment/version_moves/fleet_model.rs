//! Model of the load and of the two versions.

use damaskdrift_core::rollout::Side;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::scenario::{Fault, Onset, Scenario};

/// Routes and their shares of the load.
pub const ROUTES: [(&str, f64); 3] = [("north", 0.6), ("south", 0.3), ("west", 0.1)];
/// Number of high-load spells in a move; each takes the last 40% of its period.
const SPELLS: u64 = 5;
/// High load as a multiple of low load.
const HIGH_LOAD: f64 = 2.5;
/// Latency at high load as a multiple of that at low load.
const LOAD_SLOWDOWN: f64 = 1.4;
/// Latency of a cold upstream as a multiple of that of a warm one.
const COLD_SLOWDOWN: f64 = 4.0;
/// Error rate of a good version.
const ERROR_RATE: f64 = 0.003;
/// Median time to first token at low load, in milliseconds.
const FIRST_TOKEN_MS: f64 = 300.0;
/// Median time between tokens at low load, in milliseconds.
const BETWEEN_TOKENS_MS: f64 = 40.0;
/// Tokens of an answer after the first.
const TOKENS: u64 = 10;
/// Standard deviation of the logarithm of a latency.
const LATENCY_SIGMA: f64 = 0.4;

/// What a request will have shown when it finishes.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    /// Whether it succeeds.
    pub succeeded: bool,
    /// Time to first token, in milliseconds.
    pub first_token: u64,
    /// Time between tokens, in milliseconds.
    pub between_tokens: u64,
    /// Whether the upstream reports a cold start when the request starts or ends.
    pub cold: bool,
}

/// Returns whether the load is high.
pub fn is_high_load(scenario: &Scenario, at: u64) -> bool {
    let period = scenario.deadline / SPELLS;
    at % period > period * 6 / 10
}

/// Returns the requests a second.
pub fn rate(scenario: &Scenario, at: u64) -> f64 {
    scenario.rate * if is_high_load(scenario, at) { HIGH_LOAD } else { 1.0 }
}

/// Returns the route of a request.
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

/// Returns whether a bad version misbehaves at a time, on some route.
pub fn is_misbehaving(scenario: &Scenario, at: u64) -> bool {
    scenario.is_bad()
        && match scenario.onset {
            Onset::AtOnce | Onset::OneRoute => true,
            Onset::Late => at >= scenario.onset_at,
            Onset::UnderLoad => is_high_load(scenario, at),
        }
}

/// Serves a request.
pub fn serve(
    scenario: &Scenario,
    at: u64,
    side: Side,
    route: usize,
    rng: &mut ChaCha8Rng,
) -> Served {
    let is_new = side == Side::New;
    let is_hit = scenario.onset != Onset::OneRoute || route == scenario.bad_route;
    let is_faulty = is_new && is_hit && is_misbehaving(scenario, at);
    let mut error_rate = ERROR_RATE;
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
    let is_reported_cold = |at: u64| is_cold(scenario, at.saturating_sub(scenario.cold_lag));
    Served {
        succeeded: !rng.random_bool(error_rate),
        first_token,
        between_tokens,
        cold: is_new && (is_reported_cold(at) || is_reported_cold(end)),
    }
}

/// Returns how long a request runs, in milliseconds.
pub fn duration(first_token: u64, between_tokens: u64) -> u64 {
    first_token + TOKENS * between_tokens
}

fn is_cold(scenario: &Scenario, at: u64) -> bool {
    scenario.cold.iter().any(|(start, end)| (*start..*end).contains(&at))
}

/// Draws from the standard normal distribution by the method of Box and Muller.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
