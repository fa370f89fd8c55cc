//! Stand-in for the key-value service.

mod fault;
mod rate;
mod routes;
mod service;
mod store;

use std::net;
use std::process;

use lexopt::ValueExt as _;

use crate::error::Error;
use crate::server;

pub use fault::Fault;
pub use service::Stats;

const HELP: &str = "\
Stand-in for the key-value service

Usage: damaskdrift_lab standin key-value --listen IP:PORT [OPTIONS]

Options:
  --listen IP:PORT     Address; port 0 lets the system choose
  --reads-per-s N      Reads and watches accepted per second [2000]
  --writes-per-s N     Writes, renewals and deletions accepted per second [400]
  --delay-ms N         Time between a call and its effect [0]
  --seed N             Seed of the choice of lost answers [1]
  -h, --help           Print help
";

/// Command-line options of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the listener.
    pub listen: net::SocketAddr,
    /// Maximum rate of reads and watches; calls above it get status 429.
    pub reads_per_s: u32,
    /// Maximum rate of writes, renewals and deletions; calls above it get status 429.
    pub writes_per_s: u32,
    /// Delay between a call and its effect, in milliseconds.
    pub delay_ms: u64,
    /// Seed of the random choice of responses that are dropped.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            reads_per_s: 2_000,
            writes_per_s: 400,
            delay_ms: 0,
            seed: 1,
        }
    }
}

/// Runs the stand-in until it is killed.
///
/// # Errors
///
/// Returns an error when a flag is invalid or the listener cannot be opened.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let mut options = Options::default();
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("listen") => options.listen = args.value()?.parse()?,
            lexopt::Arg::Long("reads-per-s") => options.reads_per_s = args.value()?.parse()?,
            lexopt::Arg::Long("writes-per-s") => options.writes_per_s = args.value()?.parse()?,
            lexopt::Arg::Long("delay-ms") => options.delay_ms = args.value()?.parse()?,
            lexopt::Arg::Long("seed") => options.seed = args.value()?.parse()?,
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(process::ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let service = service::Service::new(&options);
    server::run(options.listen, routes::routes(service)).await?;
    Ok(process::ExitCode::SUCCESS)
}
