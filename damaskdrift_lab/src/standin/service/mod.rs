//! Stand-in for a plain HTTP service that counts how often each call runs.

mod fault;
mod routes;
mod state;

use std::net;
use std::process;

use lexopt::ValueExt as _;

use crate::error::Error;
use crate::server;

pub use fault::Fault;

const HELP: &str = "\
Stand-in for a plain service

Usage: damaskdrift_lab standin service --listen IP:PORT [OPTIONS]

Options:
  --listen IP:PORT   Address; port 0 lets the system choose
  --delay-ms N       Time between a run and its answer [0]
  --answer-bytes N   Least size of an answer's body [0]
  --seed N           Seed of the choice of failures and lost answers [1]
  -h, --help         Print help
";

/// Command-line options of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the listener.
    pub listen: net::SocketAddr,
    /// Delay between a run and its response, in milliseconds.
    pub delay_ms: u64,
    /// Size of the padding in each response body, and so its minimum size, in bytes.
    pub padding_bytes: usize,
    /// Seed of the random choice of runs that fail and of responses that are dropped.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        let listen = net::SocketAddr::from(([127, 0, 0, 1], 0));
        Self { listen, delay_ms: 0, padding_bytes: 0, seed: 1 }
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
            lexopt::Arg::Long("delay-ms") => options.delay_ms = args.value()?.parse()?,
            lexopt::Arg::Long("answer-bytes") => options.padding_bytes = args.value()?.parse()?,
            lexopt::Arg::Long("seed") => options.seed = args.value()?.parse()?,
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(process::ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    server::run(options.listen, routes::routes(state::State::new(&options))).await?;
    Ok(process::ExitCode::SUCCESS)
}
