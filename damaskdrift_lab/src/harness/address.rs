//! Loopback addresses for processes.

use std::net;
use std::process;
use std::sync::atomic::{AtomicU8, Ordering};

use crate::error::Error;

/// Highest last number of an address; 255 is a broadcast address.
const LAST: u8 = 254;

/// Returns a loopback address that no other process of this program uses.
///
/// Outgoing connections take their source port on 127.0.0.1, so a process that is killed finds its
/// port free when it starts again under its own address.
pub fn own_ip() -> net::Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed) % (LAST - 1) + 2;
    net::Ipv4Addr::new(127, high, low, last)
}

/// Returns an address at `ip` with a port that is free now.
///
/// # Errors
///
/// Returns why no port is free.
pub fn free_port(ip: net::Ipv4Addr) -> Result<net::SocketAddr, Error> {
    let fault = |error| Error::Io(format!("no free port at {ip}"), error);
    let listener = net::TcpListener::bind((ip, 0)).map_err(fault)?;
    listener.local_addr().map_err(fault)
}
