//! Experiments that measure a policy against its baseline.

pub mod returning_prompts;

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
        "returning-prompts" => returning_prompts::run(args),
        other => Err(Error::Usage(format!("unknown experiment {other:?}"))),
    }
}
