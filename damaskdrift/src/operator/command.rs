//! Commands for operators.

use std::process;

use crate::operator;

/// Runs an operator's command.
///
/// # Errors
///
/// Returns why the command failed.
pub fn run(name: &str, _args: lexopt::Parser) -> Result<process::ExitCode, operator::Error> {
    Err(operator::Error::Usage(format!("unknown command {name:?}")))
}
