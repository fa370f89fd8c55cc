//! Experiment `version-moves`: compares evidence-based rollouts with fixed-step rollouts.

mod fleet_model;
mod scenario;
mod simulation;

use std::process;
use std::thread;

use lexopt::ValueExt as _;

use crate::error::Error;
use scenario::{Class, Scenario};
use simulation::{Outcome, Policy};

/// Number of simulated moves.
const MOVES: usize = 200;
/// Largest allowed share of a move's requests to a bad version before detection.
const MAX_EXPOSURE: f64 = 0.02;

/// Returns whether a move counts towards a measure.
type IsCounted = fn(&Scenario, &Outcome) -> bool;

const HELP: &str = "\
Drive 200 moves of a seeded load in virtual time

Usage: damaskdrift_lab experiment version-moves [--seed N]

Half of the moves go to a bad version (failing or slow; at once, late, under load or on one
route), 20 to a good one that starts cold; a third see an outage of the key-value service.
";

/// Runs the experiment and prints a line per measure and per missed target.
///
/// # Errors
///
/// Returns an error if an argument is unknown or malformed.
pub fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let mut seed: u64 = 1;
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("seed") => seed = args.value()?.parse()?,
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(process::ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let scenarios: Vec<_> = (0..MOVES).map(|index| Scenario::new(seed, index)).collect();
    let baseline = simulate_all(&scenarios, Policy::FixedSteps);
    let evidence = simulate_all(&scenarios, Policy::Evidence);
    println!("version-moves, seed {seed}, {MOVES} moves; baseline: fixed steps without evidence");
    for line in summary(&scenarios, &baseline, &evidence) {
        println!("{line}");
    }
    for (scenario, outcome) in scenarios.iter().zip(&evidence) {
        if let Some(cause) = missed_target(scenario, outcome) {
            println!("missed: {scenario}: {cause}");
        }
    }
    Ok(process::ExitCode::SUCCESS)
}

fn simulate_all(scenarios: &[Scenario], policy: Policy) -> Vec<Outcome> {
    let threads = thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    let chunk_len = scenarios.len().div_ceil(threads);
    thread::scope(|scope| {
        let mut handles = Vec::new();
        for chunk in scenarios.chunks(chunk_len) {
            let run = move || chunk.iter().map(|s| simulation::run(s, policy)).collect::<Vec<_>>();
            handles.push(scope.spawn(run));
        }
        let join = |handle: thread::ScopedJoinHandle<'_, Vec<Outcome>>| {
            handle.join().expect("a simulation does not panic")
        };
        handles.into_iter().flat_map(join).collect()
    })
}

/// Returns a line per measure with its name, baseline, value and target, and whether it is met.
fn summary(scenarios: &[Scenario], baseline: &[Outcome], evidence: &[Outcome]) -> Vec<String> {
    let count = |outcomes: &[Outcome], is_counted: IsCounted| {
        scenarios.iter().zip(outcomes).filter(|(s, o)| is_counted(s, o)).count()
    };
    let class_size = |class: Class| scenarios.iter().filter(|s| s.class == class).count();
    let (good, cold, bad) =
        (class_size(Class::Good), class_size(Class::GoodButCold), class_size(Class::Bad));
    let counted: [(&str, usize, IsCounted); 3] = [
        ("good moves done by the deadline", good + cold, |s, o| !s.is_bad() && o.is_done_in_time),
        ("good but cold moves not rolled back", cold, |s, o| {
            s.class == Class::GoodButCold && !o.is_rolled_back
        }),
        ("bad moves rolled back", bad, |s, o| s.is_bad() && o.is_rolled_back),
    ];
    let mut lines = Vec::new();
    for (name, target, is_counted) in counted {
        let (base, value) = (count(baseline, is_counted), count(evidence, is_counted));
        lines.push(format_line(
            name,
            &base.to_string(),
            &value.to_string(),
            target,
            value == target,
        ));
    }
    let max_exposure = |outcomes: &[Outcome]| {
        let bad = scenarios.iter().zip(outcomes).filter(|(s, _)| s.is_bad());
        bad.map(|(_, o)| o.exposure).fold(0.0, f64::max)
    };
    let percent = |value: f64| format!("{:.2}%", 100.0 * value);
    let (base, value) = (max_exposure(baseline), max_exposure(evidence));
    let name = "largest share of a bad move's requests before detection";
    lines.push(format_line(name, &percent(base), &percent(value), "2.00%", value <= MAX_EXPOSURE));
    let after_grace =
        |outcomes: &[Outcome]| outcomes.iter().map(|o| o.requests_after_grace).sum::<u64>();
    let (base, value) = (after_grace(baseline), after_grace(evidence));
    let name = "requests to a bad version 2 s after detection";
    let base = if base == 0 { "none detected".to_owned() } else { base.to_string() };
    lines.push(format_line(name, &base, &value.to_string(), 0, value == 0));
    let stale_writes =
        |outcomes: &[Outcome]| outcomes.iter().map(|o| o.accepted_stale_writes).sum::<u64>();
    let (base, value) = (stale_writes(baseline), stale_writes(evidence));
    lines.push(format_line(
        "late drivers' writes taken",
        &base.to_string(),
        &value.to_string(),
        0,
        value == 0,
    ));
    lines
}

fn format_line(
    name: &str,
    baseline: &str,
    value: &str,
    target: impl std::fmt::Display,
    is_met: bool,
) -> String {
    let met = if is_met { "met" } else { "MISSED" };
    format!("{name}: baseline {baseline}, value {value}, target {target}, {met}")
}

/// Returns the first target that a move missed, or `None` if it met all of them.
fn missed_target(scenario: &Scenario, outcome: &Outcome) -> Option<String> {
    if scenario.is_bad() && !outcome.is_rolled_back {
        return Some(format!("not rolled back; last decision: {}", outcome.last_decision));
    }
    if scenario.is_bad() && outcome.exposure > MAX_EXPOSURE {
        return Some(format!(
            "{:.2}% of {} requests before detection; {}",
            100.0 * outcome.exposure,
            outcome.requests_before_detection,
            outcome.last_decision
        ));
    }
    if outcome.requests_after_grace > 0 {
        return Some(format!("{} requests 2 s after detection", outcome.requests_after_grace));
    }
    if !scenario.is_bad() && !outcome.is_done_in_time {
        return Some(format!("not done by the deadline; last decision: {}", outcome.last_decision));
    }
    None
}
