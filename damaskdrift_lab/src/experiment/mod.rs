//! Experiments that measure a policy against its baseline.

mod domain_move;
mod measure;
mod overhead;
mod version_moves;

use std::process;

use lexopt::ValueExt as _;

use crate::error::Error;

/// Runs the experiment that the command line names.
///
/// # Errors
///
/// Returns why the experiment could not run.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let name = args.value()?.string()?;
    match name.as_str() {
        "domain-move" => domain_move::run(args).await,
        "overhead" => overhead::run(args).await,
        "version-moves" => version_moves::run(args),
        other => Err(Error::Usage(format!("unknown experiment {other:?}"))),
    }
}
