//! Experiment `faults`: checks the guarantees under a mixed load and random, seeded faults.

mod fault;
mod load;
mod report;

use std::process;
use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::error::Error;
use crate::experiment::faults::fault::{Fault, Injector};
use crate::experiment::faults::load::Load;
use crate::experiment::faults::report::Report;
use crate::harness::Fleet;
use crate::standin::flag;

const HELP: &str = "\
Check the guarantees under single and double faults

Usage: damaskdrift_lab experiment faults [OPTIONS]

Draws faults from the seed while callers stream prompts and send calls that may not be repeated.
Prints the rounds by fault and the checks by guarantee; exits non-zero on a breach.

Options:
  --seed N     Seed of the faults [1]
  --minutes F  Length of the run [1]
  -h, --help   Print help
";

const INSTANCES: usize = 4;
const ENGINES: usize = 3;
const SERVICES: usize = 2;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const COLD_LIMIT: u32 = 4;
const WARM_LIMIT: u32 = 24;
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_secs(4);
/// Delay between the recovery of the fleet and the next fault.
const RECOVERY_DURATION: Duration = Duration::from_secs(4);
/// Probability that a second fault is drawn in a round; one that conflicts with the first is
/// dropped.
const SECOND_FAULT_PROBABILITY: f64 = 0.4;

#[derive(Clone, Copy, Debug)]
struct Options {
    seed: u64,
    length: Duration,
}

/// Runs the experiment and prints its report; the exit code is non-zero after a breach.
///
/// # Errors
///
/// Returns an error if an argument is malformed, or if the fleet does not start or recover.
pub async fn run(args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let Some(options) = parse_options(args)? else {
        print!("{HELP}");
        return Ok(process::ExitCode::SUCCESS);
    };
    let mut fleet = Fleet::builder()
        .with_instances(INSTANCES)
        .with_engines(ENGINES)
        .with_services(SERVICES)
        .with_failure_domains(&DOMAINS)
        .with_engine_limits(COLD_LIMIT, WARM_LIMIT)
        .with_engine_args(&["--cold-ms", "3000", "--cold-overload", "slow"])
        .with_service_args(&["--delay-ms", "20"])
        .with_setting("drain", "accept_ms", 500)
        .with_key_value_links()
        .with_peer_links()
        .start()
        .await?;
    fleet.warm_up(START_TIMEOUT).await?;
    let report = run_rounds(&mut fleet, options).await?;
    print!("{report}");
    if report.is_ok() {
        println!("faults: ok with seed {}", options.seed);
        return Ok(process::ExitCode::SUCCESS);
    }
    println!("faults: breached; repeat with --seed {}", options.seed);
    Ok(process::ExitCode::FAILURE)
}

fn parse_options(mut args: lexopt::Parser) -> Result<Option<Options>, Error> {
    let mut options = Options { seed: 1, length: Duration::from_secs(60) };
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("seed") => options.seed = flag::value(&mut args)?,
            lexopt::Arg::Long("minutes") => {
                let minutes: f64 = flag::value(&mut args)?;
                let length = Duration::try_from_secs_f64(minutes * 60.0);
                let error = |_| Error::Usage("--minutes must be a positive number".to_owned());
                options.length = length.map_err(error)?;
            }
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

async fn run_rounds(fleet: &mut Fleet, options: Options) -> Result<Report, Error> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut report = Report::default();
    let load = Load::start(fleet);
    let start = Instant::now();
    let mut injector = Injector::new(fleet);
    while start.elapsed() < options.length {
        let faults = draw_round(&mut rng);
        let names: Vec<_> = faults.iter().map(ToString::to_string).collect();
        println!("{:5.1} s: {}", start.elapsed().as_secs_f64(), names.join(" and "));
        report.record_round(&faults);
        for fault in &faults {
            injector.inject(*fault, &mut report).await?;
        }
        time::sleep(FAULT_DURATION).await;
        for fault in &faults {
            injector.clear(*fault).await?;
        }
        injector.recover(&faults, &mut report).await?;
        time::sleep(RECOVERY_DURATION).await;
    }
    injector.check_cold_limits(&mut report).await?;
    let records = load.stop().await;
    report.check_load(&records, &injector.run_counts().await?, injector.undisturbed_drains());
    Ok(report)
}

/// Draws one fault, or two that do not conflict with each other.
fn draw_round(rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let first = Fault::draw(rng, INSTANCES, ENGINES);
    let mut faults = vec![first];
    if rng.random_bool(SECOND_FAULT_PROBABILITY) {
        let second = Fault::draw(rng, INSTANCES, ENGINES);
        if !second.conflicts_with(first) {
            faults.push(second);
        }
    }
    faults
}
