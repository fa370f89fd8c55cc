//! Experiment `returning-prompts`: placement of returning prompts against its baselines.
//!
//! The core's placement runs against simulated engines with one queue, one prefix cache and one
//! transfer link each, because eighteen real engines at several loads take hours.

mod engine;
mod instance;
mod policy;
mod simulation;
mod workload;

use std::process;
use std::thread;

use policy::Policy;
use workload::MICROS_PER_SEC;

use crate::error::Error;
use crate::standin::flag;

const HELP: &str = "\
Measure placement of returning prompts against its baselines

Usage: damaskdrift_lab experiment returning-prompts [--seed N] [--seconds N] [--load F]

Options:
  --seed N     Seed of the load [1]
  --seconds N  Length of the measured time [300]
  --load F     Only this load, as a share of what the engines compute when nothing is cached

Prints a line per measure: name, baseline, value, target, and whether it is met. Exits with 1 when
a target is missed.
";

/// Loads as fractions of the engines' prefill capacity when nothing is cached.
const LOADS: [f64; 3] = [0.5, 0.7, 0.9];
/// The load to which the targets apply.
const TARGET_LOAD: f64 = 0.7;
/// Simulated time before the measurement, in which the caches fill.
const WARM_UP_SECS: u64 = 400;
/// Number of engines whose link is slow in the middle third of the measured time.
const SLOW_LINK_ENGINES: usize = 4;
/// Factor by which the rate of a slow link is multiplied.
const SLOW_LINK_FACTOR: f64 = 0.1;

/// Policies in the order of the table and of the comparisons in `print_targets`.
const POLICIES: [Policy; 4] =
    [Policy::Placement, Policy::LeastLoaded, Policy::ImportEverything, Policy::Oracle];

/// Runs the experiment and prints its results; the exit code is non-zero if a target is missed.
///
/// # Errors
///
/// Returns an error if an option is unknown or out of range.
pub fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let (mut seed, mut seconds, mut loads) = (1, 300, LOADS.to_vec());
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(process::ExitCode::SUCCESS);
            }
            lexopt::Arg::Long("seed") => seed = flag::value(&mut args)?,
            lexopt::Arg::Long("load") => loads = vec![flag::value(&mut args)?],
            lexopt::Arg::Long("seconds") => seconds = flag::value(&mut args)?,
            other => return Err(other.unexpected().into()),
        }
    }
    if !(1..=100_000).contains(&seconds) {
        return Err(Error::Usage("--seconds must be in 1 to 100000".to_owned()));
    }
    if !loads.iter().all(|load| (0.01..=2.0).contains(load)) {
        return Err(Error::Usage("--load must be in 0.01 to 2".to_owned()));
    }
    let mut is_met = true;
    for load in loads {
        let outcomes = run_policies(load, seconds, seed);
        print_outcomes(load, &outcomes);
        if load == TARGET_LOAD {
            is_met = print_targets(&outcomes);
        }
    }
    Ok(if is_met { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE })
}

fn run_policies(load: f64, seconds: u64, seed: u64) -> Vec<simulation::Outcome> {
    let warm_up_end = WARM_UP_SECS * MICROS_PER_SEC;
    let times = simulation::Times { warm_up_end, end: warm_up_end + seconds * MICROS_PER_SEC };
    let tokens_per_s = load * engine::PREFILL_TOKENS_PER_S * simulation::ENGINES as f64;
    let prompts = workload::generate(times.end, tokens_per_s, seed);
    let third = seconds * MICROS_PER_SEC / 3;
    let slowdown = engine::Slowdown {
        from: warm_up_end + third,
        until: warm_up_end + 2 * third,
        engine_count: SLOW_LINK_ENGINES,
        rate_factor: SLOW_LINK_FACTOR,
    };
    thread::scope(|scope| {
        let prompts = &prompts;
        let runs = POLICIES.map(|policy| {
            scope.spawn(move || simulation::run(policy, prompts, times, slowdown, seed))
        });
        runs.map(|run| run.join().expect("a simulation does not panic")).into()
    })
}

fn print_outcomes(load: f64, outcomes: &[simulation::Outcome]) {
    println!("load {:.0}%", load * 100.0);
    for (policy, outcome) in POLICIES.iter().zip(outcomes) {
        println!(
            "  {policy:<18} returning first token p50 {:>6.0} ms  p95 {:>6.0} ms  all p95 {:>6.0} ms  \
             recomputed {:>5.1}%  link {:>6.0} GB  busy {:>3.0}%",
            quantile_ms(&outcome.first_token_returning, 0.5),
            quantile_ms(&outcome.first_token_returning, 0.95),
            quantile_ms(&outcome.first_token_all, 0.95),
            100.0 * recomputed_share(outcome),
            outcome.link_bytes as f64 / 1e9,
            100.0 * outcome.busy_share,
        );
    }
}

/// Prints a line per target and returns whether all are met.
fn print_targets(outcomes: &[simulation::Outcome]) -> bool {
    let [placement, least_loaded, import_everything, oracle] = outcomes else {
        return false;
    };
    let p95 = |outcome: &simulation::Outcome| quantile_ms(&outcome.first_token_returning, 0.95);
    let first_token_ratio = |baseline| p95(placement) / p95(baseline);
    let recomputed_ratio = recomputed_share(placement) / recomputed_share(oracle);
    let link_bytes_ratio = placement.link_bytes as f64 / import_everything.link_bytes as f64;
    let measures = [
        ("first-token-p95-ratio", "least-loaded", first_token_ratio(least_loaded), 0.5),
        ("first-token-p95-ratio", "oracle", first_token_ratio(oracle), 1.3),
        ("recomputed-share-ratio", "oracle", recomputed_ratio, 1.15),
        ("first-token-p95-ratio", "import-everything", first_token_ratio(import_everything), 1.0),
        ("link-bytes-ratio", "import-everything", link_bytes_ratio, 1.0),
    ];
    let mut is_met = true;
    for (name, baseline, value, target) in measures {
        let verdict = if value <= target { "met" } else { "missed" };
        is_met &= value <= target;
        println!("{name} {baseline} value {value:.3} target {target:.2} {verdict}");
    }
    is_met
}

fn quantile_ms(histogram: &hdrhistogram::Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn recomputed_share(outcome: &simulation::Outcome) -> f64 {
    outcome.recomputed_tokens as f64 / outcome.prompt_tokens.max(1) as f64
}
