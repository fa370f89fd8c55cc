//! TCP proxy that injects network faults.

mod admin;
mod forward;
mod link;
mod mode;

use std::net;
use std::process;
use std::sync::Arc;

use lexopt::ValueExt as _;

use crate::error::Error;
use crate::server;

pub use link::{Link, Stats};
pub use mode::{Kind, Mode};

const HELP: &str = "\
TCP proxy that injects faults

Usage: damaskdrift_lab proxy --listen A --to B [--listen A2 --to B2 ...] --admin C

Each pair of --listen and --to is a link, numbered from 0. All addresses are IP:PORT; port 0 lets
the system choose. The proxy prints `listening on IP:PORT` for the admin listener once all links
are open; GET /links lists them.

Options:
  --listen A  Address on which a link accepts connections
  --to B      Address to which that link forwards them
  --admin C   Address of the admin listener
  -h, --help  Print help

Admin requests:
  PUT /mode          Set the mode of every link
  PUT /links/N/mode  Set the mode of one link
  GET /links         Addresses, modes and counts of all links

A mode is JSON; every field may be left out:
  {\"mode\":\"pass|cut|blackhole|hold-answers\",\"delay_ms\":n,\"bytes_per_s\":n,\"drop_answers\":bool}
";

/// Runs the proxy until it is killed.
///
/// # Errors
///
/// Returns an error if the command line is invalid or an address cannot be listened on.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let mut listen: Vec<net::SocketAddr> = Vec::new();
    let mut to: Vec<net::SocketAddr> = Vec::new();
    let mut admin: Option<net::SocketAddr> = None;
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("listen") => listen.push(args.value()?.parse()?),
            lexopt::Arg::Long("to") => to.push(args.value()?.parse()?),
            lexopt::Arg::Long("admin") => admin = Some(args.value()?.parse()?),
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(process::ExitCode::SUCCESS);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(admin) = admin else {
        return Err(Error::Usage("proxy needs --admin IP:PORT".to_owned()));
    };
    if listen.is_empty() || listen.len() != to.len() {
        return Err(Error::Usage("proxy needs --listen and --to in pairs".to_owned()));
    }
    let mut links = Vec::new();
    for (listen, to) in listen.into_iter().zip(to) {
        links.push(Link::open(listen, to).await?);
    }
    server::run(admin, admin::routes(Arc::from(links))).await?;
    Ok(process::ExitCode::SUCCESS)
}
