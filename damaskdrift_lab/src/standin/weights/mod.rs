//! Stand-in for the weight store.

use std::process;

use crate::error::Error;

/// Runs the stand-in until it is killed.
///
/// # Errors
///
/// Returns why it could not run.
pub async fn run(_args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    Err(Error::Usage("not available yet".to_owned()))
}
