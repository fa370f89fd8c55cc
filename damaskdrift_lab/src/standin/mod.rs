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

/// Maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Runs the stand-in named by the first argument until the process is killed.
///
/// # Errors
///
/// Returns an error when the name is unknown, a flag is invalid or the listener cannot be
/// opened.
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

/// Opens a listener and prints its address, so that the parent process can connect.
///
/// # Errors
///
/// Returns an error when the socket cannot be bound to the address.
pub async fn listen(address: net::SocketAddr) -> Result<TcpListener, Error> {
    let listen_error = |error| Error::Io(format!("cannot listen on {address}"), error);
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(listen_error)?;
    socket.set_reuseaddr(true).map_err(listen_error)?;
    // Accepted connections inherit the option; without it, small SSE events are held back until the
    // client's delayed acknowledgement arrives.
    socket.set_nodelay(true).map_err(listen_error)?;
    socket.bind(address).map_err(listen_error)?;
    let listener = socket.listen(LISTEN_BACKLOG).map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    println!("listening on {bound}");
    Ok(listener)
}
