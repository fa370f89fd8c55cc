//! Demonstration of prompts, at-most-once calls and an instance failure on a small loopback fleet.

mod at_most_once;
mod caller;
mod conversation;
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

/// Time limit for the whole run, without building the binaries.
const RUN_TIMEOUT: Duration = Duration::from_secs(55);
/// Number of instances, of engines and of failure domains.
const SIZE: usize = 3;
/// Number of plain services.
const SERVICES: usize = 2;
/// Number of concurrent conversations.
const CONVERSATIONS: usize = 24;
/// Number of calls that must run at most once.
const CALLS: usize = 120;
/// Interval between the starts of consecutive calls.
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Index of the instance that is killed.
const VICTIM: usize = 1;
/// Time from the start of the load to the kill.
const KILL_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the kill to the restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Time limit for a started instance to become ready, and for its first successful responses.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs the quickstart and prints its report; the exit code is non-zero if a check failed.
///
/// # Errors
///
/// Returns an error if the run could not be completed.
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
    let report = time::timeout(RUN_TIMEOUT, run_fleet())
        .await
        .map_err(|_| Error::Unexpected(format!("quickstart: not done after {RUN_TIMEOUT:?}")))??;
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
    fleet.warm_up(READY_TIMEOUT).await?;
    let caller = Caller::new(&fleet);
    let mut turns = JoinSet::new();
    for index in 0..CONVERSATIONS {
        turns.spawn(conversation::run(caller.clone(), index));
    }
    let mut calls = JoinSet::new();
    for index in 0..CALLS {
        let delay = CALL_INTERVAL * index as u32;
        let caller = caller.clone();
        calls.spawn(async move {
            time::sleep(delay).await;
            at_most_once::run(caller, index).await
        });
    }
    kill_and_restart(&mut fleet).await?;
    let turns: Result<Vec<_>, Error> = turns.join_all().await.into_iter().collect();
    let turns = turns?.into_iter().flatten().collect();
    let calls: Result<Vec<_>, Error> = calls.join_all().await.into_iter().collect();
    Report::new(&fleet, turns, calls?).await
}

async fn kill_and_restart(fleet: &mut Fleet) -> Result<(), Error> {
    let victim = &mut fleet.instances[VICTIM];
    time::sleep(KILL_DELAY).await;
    victim.process.kill()?;
    println!("killed {}", victim.id);
    time::sleep(RESTART_DELAY).await;
    victim.restart()?;
    victim.wait_ready(READY_TIMEOUT).await?;
    println!("restarted {}", victim.id);
    Ok(())
}
