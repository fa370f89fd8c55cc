//! Stand-in for the platform's instance list.

mod list;
mod routes;

use std::net;
use std::process;
use std::time::Duration;

use lexopt::ValueExt as _;

use crate::error::Error;
use crate::server;

pub use list::{Entry, List, Role, State};

const HELP: &str = "\
Stand-in for the instance list

Usage: damaskdrift_lab standin instances --listen IP:PORT [OPTIONS]

Options:
  --listen IP:PORT  Address; port 0 lets the system choose
  --lag-ms N        Time after which a change becomes visible [0]
  -h, --help        Print help
";

/// Runs the stand-in until it is killed.
///
/// # Errors
///
/// Returns an error when a flag is invalid or the listener cannot be opened.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let mut listen = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let mut lag = Duration::ZERO;
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("listen") => listen = args.value()?.parse()?,
            lexopt::Arg::Long("lag-ms") => lag = Duration::from_millis(args.value()?.parse()?),
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(process::ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    server::run(listen, routes::routes(list::DelayedList::new(lag))).await?;
    Ok(process::ExitCode::SUCCESS)
}
