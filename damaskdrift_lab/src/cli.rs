//! Command line of the lab.

use std::process;

use lexopt::ValueExt as _;

use crate::error::Error;
use crate::experiment;
use crate::proxy;
use crate::quickstart;
use crate::standin;

const HELP: &str = "\
damaskdrift_lab: stand-ins, fault proxy and experiments

Usage: damaskdrift_lab COMMAND [OPTIONS]

Commands:
  standin NAME     Run a stand-in: key-value, engine, service, store, weights or instances
  proxy            Run the TCP fault proxy
  quickstart       Run a small fleet on loopback and show what came back
  experiment NAME  Run an experiment

Options:
  -h, --help  Print help; after COMMAND, that command's help
";

/// Parses the command line of the process and runs the command.
///
/// # Errors
///
/// Returns an error if the command line is invalid or the command fails.
pub fn run() -> Result<process::ExitCode, Error> {
    let mut args = lexopt::Parser::from_env();
    let command = match args.next()? {
        Some(lexopt::Arg::Value(command)) => command.string()?,
        Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) => {
            print!("{HELP}");
            return Ok(process::ExitCode::SUCCESS);
        }
        Some(other) => return Err(other.unexpected().into()),
        None => return Err(Error::Usage("a command is missing; see --help".to_owned())),
    };
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| Error::Io("cannot start the runtime".to_owned(), error))?;
    match command.as_str() {
        "standin" => runtime.block_on(standin::run(args)),
        "proxy" => runtime.block_on(proxy::run(args)),
        "quickstart" => runtime.block_on(quickstart::run(args)),
        "experiment" => runtime.block_on(experiment::run(args)),
        name => Err(Error::Usage(format!("unknown command {name:?}; see --help"))),
    }
}
