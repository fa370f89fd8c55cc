//! A small fleet on loopback that shows the whole path.

use std::process;

use crate::error::Error;

/// Runs the quickstart.
///
/// # Errors
///
/// Returns why it could not run.
pub async fn run(_args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    Err(Error::Usage("not available yet".to_owned()))
}
