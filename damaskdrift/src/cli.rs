//! Command line parsing, help texts and exit codes.

use std::path;
use std::process;

use damaskdrift_core::code;
use lexopt::ValueExt as _;
use thiserror::Error;

use crate::operator;
use crate::serve;
use crate::settings;

/// Exit code of a command that failed or was refused.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a change that was accepted but not confirmed by all instances.
pub const EXIT_UNCONFIRMED: u8 = 3;

const HELP: &str = "\
damaskdrift: serves prompts that return after long gaps

Usage: damaskdrift COMMAND [OPTIONS]

Commands:
  serve      Run an entry instance
  check      Check a settings file or a fleet document
  template   Show, apply or list changes of the fleet document
  move       Start, show or cancel a move of traffic
  domain     Take a failure domain out or back in
  upstream   Show upstreams
  status     Show what the fleet did and why
  report     Print the service-level burn report

Options:
  -h, --help     Print help; after COMMAND, that command's help
  -V, --version  Print the version

Exit codes: 0 done, 1 failed or refused, 2 wrong command line, 3 accepted but not confirmed
everywhere.
";

const SERVE_HELP: &str = "\
Run an entry instance

Usage: damaskdrift serve --config FILE

Options:
  -c, --config FILE  Settings in TOML; docs/CONFIG.md lists the keys
  -h, --help         Print help

SIGTERM drains and stops, SIGHUP reads the settings again.
";

/// A command that could not be run or failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("[{}] {_0}; see 'damaskdrift --help'", code::Code::UsageError.number())]
    Usage(String),
    /// The settings file is unreadable or invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// The instance could not start.
    #[error(transparent)]
    Serve(#[from] serve::Error),
    /// An operator's command failed.
    #[error(transparent)]
    Operator(#[from] operator::Error),
}

impl Error {
    /// Returns the process exit code of the error.
    pub fn exit_code(&self) -> process::ExitCode {
        match self {
            Self::Usage(_) => EXIT_USAGE.into(),
            Self::Operator(error) => error.exit_code().into(),
            _ => EXIT_FAILED.into(),
        }
    }
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

/// Parses the command line and runs the command.
///
/// # Errors
///
/// Returns why the command could not be run or failed.
pub fn run() -> Result<process::ExitCode, Error> {
    let mut args = lexopt::Parser::from_env();
    let command = match args.next()? {
        Some(lexopt::Arg::Value(command)) => command.string()?,
        Some(lexopt::Arg::Short('V') | lexopt::Arg::Long("version")) => {
            println!("damaskdrift {}", env!("CARGO_PKG_VERSION"));
            return Ok(process::ExitCode::SUCCESS);
        }
        Some(lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) => {
            print!("{HELP}");
            return Ok(process::ExitCode::SUCCESS);
        }
        Some(other) => return Err(other.unexpected().into()),
        None => return Err(Error::Usage("a command is missing".to_owned())),
    };
    match command.as_str() {
        "serve" => run_serve(args),
        name => Ok(operator::command::run(name, args)?),
    }
}

fn run_serve(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let mut config: Option<path::PathBuf> = None;
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Short('c') | lexopt::Arg::Long("config") => {
                config = Some(args.value()?.into());
            }
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                print!("{SERVE_HELP}");
                return Ok(process::ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(config) = config else {
        return Err(Error::Usage("serve needs --config FILE".to_owned()));
    };
    serve::run(&config)?;
    Ok(process::ExitCode::SUCCESS)
}
