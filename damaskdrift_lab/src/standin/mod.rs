//! Stand-ins for the platform's services and the upstreams.

pub mod client;
pub mod engine;
pub mod flag;
pub mod instances;
pub mod key_value;
pub mod link;
pub mod service;
pub mod store;
pub mod weights;

use std::net;
use std::process;

use lexopt::ValueExt as _;
use tokio::net::{TcpListener, TcpSocket};

use crate::error::Error;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Runs the stand-in that the command line names until it is killed.
///
/// # Errors
///
/// Returns why the stand-in could not run.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let name = args.value()?.string()?;
    match name.as_str() {
        "key-value" => key_value::run(args).await,
        "engine" => engine::run(args).await,
        "service" => service::run(args).await,
        "store" => store::run(args).await,
        "weights" => weights::run(args).await,
        "instances" => instances::run(args).await,
        other => Err(Error::Usage(format!("unknown stand-in {other:?}"))),
    }
}

/// Opens a listener and prints its address, so that whoever started the process can connect.
///
/// # Errors
///
/// Returns why the address cannot be used.
pub async fn listen(address: net::SocketAddr) -> Result<TcpListener, Error> {
    let cannot = |error| Error::Io(format!("cannot listen on {address}"), error);
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(cannot)?;
    socket.set_reuseaddr(true).map_err(cannot)?;
    // Accepted connections inherit the option; without it small SSE events wait for delayed
    // acknowledgements.
    socket.set_nodelay(true).map_err(cannot)?;
    socket.bind(address).map_err(cannot)?;
    let listener = socket.listen(BACKLOG).map_err(cannot)?;
    let bound = listener.local_addr().map_err(cannot)?;
    println!("listening on {bound}");
    Ok(listener)
}
