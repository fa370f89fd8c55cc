//! A small fleet on loopback that shows the whole path.

mod caller;
mod conversation;
mod lodging;
mod report;

use std::process;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;

use crate::error::Error;
use crate::harness::{Fleet, binary};
use crate::quickstart::caller::Caller;
use crate::quickstart::report::Report;

const HELP: &str = "\
Run a small fleet on loopback and show what came back

Usage: damaskdrift_lab quickstart

Starts the stand-ins and three instances, sends returning prompts and calls that may not be
repeated, kills one instance on the way and prints what the callers saw. Ends with
`quickstart: ok`, or with what failed and a non-zero exit code.
";

/// Longest time of the whole run, without building the binaries.
const RUN_LIMIT: Duration = Duration::from_secs(55);
/// Instances, engines and failure domains.
const SIZE: usize = 3;
/// Plain services.
const SERVICES: usize = 2;
/// Conversations at the same time.
const CONVERSATIONS: usize = 24;
/// Calls that may not be repeated.
const CALLS: usize = 120;
/// Pause between the starts of two calls.
const CALL_PAUSE: Duration = Duration::from_millis(40);
/// The instance that is killed.
const VICTIM: usize = 1;
/// Time from the start of the load to the kill.
const KILL_AFTER: Duration = Duration::from_millis(1_500);
/// Time from the kill to the restart.
const RESTART_AFTER: Duration = Duration::from_millis(1_500);
/// Longest time from a start until the instance is ready and answers.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Runs the quickstart.
///
/// # Errors
///
/// Returns why it could not run.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    match args.next()? {
        None => {}
        Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) => {
            print!("{HELP}");
            return Ok(process::ExitCode::SUCCESS);
        }
        Some(other) => return Err(other.unexpected().into()),
    }
    println!("preparing the binaries");
    binary::find(binary::DAMASKDRIFT)?;
    let report = time::timeout(RUN_LIMIT, run_fleet())
        .await
        .map_err(|_| Error::Unexpected(format!("quickstart: not done after {RUN_LIMIT:?}")))??;
    print!("{report}");
    let failures = report.failures();
    for failure in &failures {
        println!("quickstart: failed: {failure}");
    }
    if !failures.is_empty() {
        return Ok(process::ExitCode::FAILURE);
    }
    println!("quickstart: ok");
    Ok(process::ExitCode::SUCCESS)
}

async fn run_fleet() -> Result<Report, Error> {
    println!("starting {SIZE} instances, {SIZE} engines and {SERVICES} services on loopback");
    let mut fleet = Fleet::builder()
        .with_failure_domains(&["a", "b", "c"])
        .with_instances(SIZE)
        .with_engines(SIZE)
        .with_services(SERVICES)
        .with_service_args(&["--delay-ms", "10"])
        .start()
        .await?;
    fleet.warm_up(READY_LIMIT).await?;
    let caller = Caller::new(&fleet);
    let mut turns = JoinSet::new();
    for index in 0..CONVERSATIONS {
        turns.spawn(conversation::run(caller.clone(), index));
    }
    let mut lodgings = JoinSet::new();
    for index in 0..CALLS {
        let start = CALL_PAUSE * index as u32;
        let caller = caller.clone();
        lodgings.spawn(async move {
            time::sleep(start).await;
            lodging::run(caller, index).await
        });
    }
    kill_and_restart(&mut fleet).await?;
    let turns: Result<Vec<_>, Error> = turns.join_all().await.into_iter().collect();
    let turns = turns?.into_iter().flatten().collect();
    let lodgings: Result<Vec<_>, Error> = lodgings.join_all().await.into_iter().collect();
    Report::new(&fleet, turns, lodgings?).await
}

async fn kill_and_restart(fleet: &mut Fleet) -> Result<(), Error> {
    let victim = &mut fleet.instances[VICTIM];
    time::sleep(KILL_AFTER).await;
    victim.process.kill()?;
    println!("killed {}", victim.id);
    time::sleep(RESTART_AFTER).await;
    victim.restart()?;
    victim.wait_ready(READY_LIMIT).await?;
    println!("restarted {}", victim.id);
    Ok(())
}
