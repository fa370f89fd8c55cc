//! Experiments that measure policies and costs against baselines, or check guarantees under faults.

mod config_spread;
mod control_cost;
mod domain_move;
mod faults;
mod fit;
mod idle_fleet;
mod measure;
mod overhead;
mod returning_prompts;
mod slopes;
mod version_moves;

use std::process;

use lexopt::ValueExt as _;

use crate::error::Error;

/// Runs the experiment that is the first argument of `args`.
///
/// # Errors
///
/// Returns an error if the experiment is unknown or fails to run.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let name = args.value()?.string()?;
    match name.as_str() {
        "config-spread" => config_spread::run(args).await,
        "control-cost" => control_cost::run(args).await,
        "domain-move" => domain_move::run(args).await,
        "faults" => faults::run(args).await,
        "overhead" => overhead::run(args).await,
        "slopes" => slopes::run(args),
        "version-moves" => version_moves::run(args),
        "returning-prompts" => returning_prompts::run(args),
        other => Err(Error::Usage(format!("unknown experiment {other:?}"))),
    }
}
