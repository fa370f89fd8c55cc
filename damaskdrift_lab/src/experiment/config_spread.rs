//! Experiment `config-spread`: time until a configuration change has reached all instances.

use std::process;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{self, Instant};

use crate::error::Error;
use crate::experiment::fit::Fit;
use crate::experiment::idle_fleet;
use crate::experiment::measure::{self, Measure};
use crate::harness::Fleet;

/// Number of changes of each kind for each fleet size.
const ROUNDS: usize = 10;
/// Largest time until all instances have a change; it is set for 8 instances and applied to all
/// sizes.
const TARGET_MS: f64 = 2_000.0;
/// Pause between two changes, not a multiple of the duration of a watch, so that changes are made at
/// different times within a watch.
const PAUSE: Duration = Duration::from_millis(330);

const HELP: &str = "\
Measure the time until all instances have a change, for 2 to 32 instances

Usage: damaskdrift_lab experiment config-spread

Changes are made through an instance, which pushes them, and past all instances, so that only the
watches see them. Baseline: every instance polls the service each 500 ms.
";

/// Times until all instances have a change, in milliseconds.
#[derive(Default)]
struct Times {
    /// Changes by an operator through an instance.
    operator: Vec<f64>,
    /// Changes written directly to the key-value service.
    service: Vec<f64>,
    /// The same changes as in `service`, until all pollers of the baseline have read them.
    polling: Vec<f64>,
}

/// Runs the experiment and prints its measures and slopes; the exit code does not depend on the
/// targets.
///
/// # Errors
///
/// Returns an error if an argument is unknown, if a fleet does not start, or if a change is not
/// made or does not reach all instances.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    if let Some(arg) = args.next()? {
        if matches!(arg, lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) {
            print!("{HELP}");
            return Ok(process::ExitCode::SUCCESS);
        }
        return Err(arg.unexpected().into());
    }
    println!("config-spread, {ROUNDS} changes each; ms until all instances have it, median/max");
    let mut operator = Vec::new();
    let mut service = Vec::new();
    for instances in idle_fleet::SIZES {
        let times = measure_size(instances).await?;
        let (operator_median, operator_max) = measure::median_and_max(times.operator);
        let (service_median, service_max) = measure::median_and_max(times.service);
        let (polling_median, polling_max) = measure::median_and_max(times.polling);
        operator.push((instances as f64, operator_median));
        service.push((instances as f64, service_median));
        for (writer, median, max) in [
            ("an instance", operator_median, operator_max),
            ("the service", service_median, service_max),
        ] {
            let name = |kind: &str| format!("{instances} instances, by {writer}, {kind}");
            println!("{}", to_measure(name("median"), polling_median, median));
            println!("{}", to_measure(name("max"), polling_max, max));
        }
    }
    println!("slope through an instance: {:.2} ms per instance", Fit::new(&operator).slope);
    println!("slope through the service: {:.2} ms per instance", Fit::new(&service).slope);
    Ok(process::ExitCode::SUCCESS)
}

fn to_measure(name: String, baseline: f64, value: f64) -> Measure {
    Measure { name, baseline, value, target: TARGET_MS, unit: "ms" }
}

async fn measure_size(instances: usize) -> Result<Times, Error> {
    let fleet = idle_fleet::start(instances).await?;
    let mut times = Times::default();
    for round in 0..ROUNDS {
        times.operator.push(change_by_operator(&fleet, round).await?);
        time::sleep(PAUSE).await;
        let (service, polling) = change_by_service(&fleet, round).await?;
        times.service.push(service);
        times.polling.push(polling);
        time::sleep(PAUSE).await;
    }
    Ok(times)
}

/// Takes a failure domain out of service or returns it, and returns the time until all instances
/// have confirmed the change, in milliseconds.
async fn change_by_operator(fleet: &Fleet, round: usize) -> Result<f64, Error> {
    let (_, revision) = fleet.document().await?;
    let state = if round.is_multiple_of(2) { "out" } else { "in" };
    let path = format!("/v1/domains/a/{state}?expected={revision}");
    let instance = &fleet.instances[round % fleet.instances.len()];
    let written_at = Instant::now();
    let response = instance.send(instance.operator_call(hyper::Method::POST, &path)).await?;
    let body: Value = response.ok()?.json()?;
    let confirmed = body["confirmed"].as_array().map_or(0, Vec::len);
    if confirmed != fleet.instances.len() {
        let instances = fleet.instances.len();
        let message = format!("{confirmed} of {instances} instances confirmed the change: {body}");
        return Err(Error::Unexpected(message));
    }
    Ok(written_at.elapsed().as_secs_f64() * 1e3)
}

/// Writes a change to the key-value service, and returns the time until all instances have it and
/// the time until all pollers have read it, in milliseconds.
async fn change_by_service(fleet: &Fleet, round: usize) -> Result<(f64, f64), Error> {
    let started = Instant::now();
    let write = async {
        time::sleep(PAUSE).await;
        let written_at = Instant::now();
        let revision =
            fleet.edit_document(|document| document.change.id = format!("round-{round}")).await?;
        Ok::<_, Error>((written_at, revision))
    };
    let (_, before) = fleet.document().await?;
    // The pollers start before the change, so that it is made between two of their reads.
    let polling = idle_fleet::poll_until(fleet, fleet.instances.len(), before + 1, started);
    let service = async {
        let (written_at, revision) = write.await?;
        let propagation = idle_fleet::wait_for_revision(fleet, revision, written_at).await?;
        Ok::<_, Error>((written_at, propagation))
    };
    let (polling, service) = tokio::join!(polling, service);
    let (written_at, propagation) = service?;
    let polling = (started + polling?).duration_since(written_at);
    Ok((propagation.as_secs_f64() * 1e3, polling.as_secs_f64() * 1e3))
}
