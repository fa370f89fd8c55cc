//! Measures placement of returning prompts against its baselines.
//!
//! The core's placement is driven against a model of each engine with one queue, one prefix cache
//! and one transfer link, because eighteen real engines at several loads take hours.

mod engine;
mod instance;
mod model;
mod policy;
mod workload;

use std::process;
use std::thread;

use policy::Policy;
use workload::SECOND;

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

/// Loads as a share of what the engines compute when nothing is cached.
const LOADS: [f64; 3] = [0.5, 0.7, 0.9];
/// The load to which the targets apply.
const TARGET_LOAD: f64 = 0.7;
/// Length of the warm-up in seconds.
const WARM_UP_SECS: u64 = 400;
/// Engines whose link is slow for the middle third of the measured time, and the factor.
const SLOW_LINKS: (usize, f64) = (4, 0.1);

const POLICIES: [Policy; 4] =
    [Policy::Placement, Policy::LeastLoaded, Policy::ImportEverything, Policy::Oracle];

/// Runs the experiment.
///
/// # Errors
///
/// Returns which option is wrong.
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
        let outcomes = measure(load, seconds, seed);
        print_outcomes(load, &outcomes);
        if load == TARGET_LOAD {
            is_met = print_targets(&outcomes);
        }
    }
    Ok(if is_met { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE })
}

fn measure(load: f64, seconds: u64, seed: u64) -> Vec<model::Outcome> {
    let warm_up = WARM_UP_SECS * SECOND;
    let times = model::Times { warm_up, end: warm_up + seconds * SECOND };
    let tokens_per_s = load * engine::PREFILL_RATE * model::ENGINES as f64;
    let prompts = workload::generate(times.end, tokens_per_s, seed);
    let third = seconds * SECOND / 3;
    let (engines, factor) = SLOW_LINKS;
    let (from, until) = (warm_up + third, warm_up + 2 * third);
    let slowdown = engine::Slowdown { from, until, engines, factor };
    thread::scope(|scope| {
        let prompts = &prompts;
        let runs = POLICIES
            .map(|policy| scope.spawn(move || model::run(policy, prompts, times, slowdown, seed)));
        runs.map(|run| run.join().expect("a run does not panic")).into()
    })
}

fn print_outcomes(load: f64, outcomes: &[model::Outcome]) {
    println!("load {:.0}%", load * 100.0);
    for (policy, outcome) in POLICIES.iter().zip(outcomes) {
        println!(
            "  {policy:<18} returning first token p50 {:>6.0} ms  p95 {:>6.0} ms  all p95 {:>6.0} ms  \
             recomputed {:>5.1}%  link {:>6.0} GB  busy {:>3.0}%",
            millis(&outcome.returning, 0.5),
            millis(&outcome.returning, 0.95),
            millis(&outcome.all, 0.95),
            100.0 * recomputed(outcome),
            outcome.link_bytes as f64 / 1e9,
            100.0 * outcome.busy,
        );
    }
}

/// Prints a line per target and returns whether all are met.
fn print_targets(outcomes: &[model::Outcome]) -> bool {
    let [placement, least_loaded, import_everything, oracle] = outcomes else {
        return false;
    };
    let p95 = |outcome: &model::Outcome| millis(&outcome.returning, 0.95);
    let first_token = |baseline| p95(placement) / p95(baseline);
    let recomputed = recomputed(placement) / recomputed(oracle);
    let bytes = placement.link_bytes as f64 / import_everything.link_bytes as f64;
    let measures = [
        ("first-token-p95-ratio", "least-loaded", first_token(least_loaded), 0.5),
        ("first-token-p95-ratio", "oracle", first_token(oracle), 1.3),
        ("recomputed-share-ratio", "oracle", recomputed, 1.15),
        ("first-token-p95-ratio", "import-everything", first_token(import_everything), 1.0),
        ("link-bytes-ratio", "import-everything", bytes, 1.0),
    ];
    let mut is_met = true;
    for (name, baseline, value, target) in measures {
        let verdict = if value <= target { "met" } else { "missed" };
        is_met &= value <= target;
        println!("{name} {baseline} value {value:.3} target {target:.2} {verdict}");
    }
    is_met
}

fn millis(histogram: &hdrhistogram::Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn recomputed(outcome: &model::Outcome) -> f64 {
    outcome.recomputed as f64 / outcome.tokens.max(1) as f64
}
