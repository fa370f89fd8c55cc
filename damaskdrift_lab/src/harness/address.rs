//! Loopback addresses for processes.

use std::net;
use std::ops;
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::error::Error;

/// Numbers that the last part of an address takes; 0 and 255 are special.
const LAST_PARTS: u32 = 254;
/// Addresses of one process before they repeat.
const ADDRESSES: u32 = 4 * LAST_PARTS;
/// Ports that the system neither chooses for port 0 nor for outgoing connections.
const PORTS: ops::Range<u16> = 10_000..30_000;
/// Ports tried before the search is given up.
const MAX_TRIES: usize = 100;

/// Returns a loopback address that no other process of this program uses.
///
/// Outgoing connections take their source port on 127.0.0.1, so a process that is killed finds its
/// port free when it starts again under its own address.
pub fn own_ip() -> net::Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % ADDRESSES;
    // 127.0.0.0/8 has 24 bits: 14 of the process id, then those of the number.
    let network = ((process::id() & 0x3fff) << 2) | (number / LAST_PARTS);
    let [.., second, third] = network.to_be_bytes();
    let last = (number % LAST_PARTS + 1).to_be_bytes()[3];
    net::Ipv4Addr::new(127, second, third, last)
}

/// Returns an address at `ip` with a port that is free now.
///
/// The port is not one that the system chooses by itself, so that nobody takes it until the process
/// that it is meant for listens.
///
/// # Errors
///
/// Returns why no port is free.
pub fn free_port(ip: net::Ipv4Addr) -> Result<net::SocketAddr, Error> {
    let mut last_error = None;
    for _ in 0..MAX_TRIES {
        match net::TcpListener::bind((ip, rand::random_range(PORTS))) {
            Ok(listener) => {
                let fault = |error| Error::Io(format!("no address at {ip}"), error);
                return listener.local_addr().map_err(fault);
            }
            Err(error) => last_error = Some(error),
        }
    }
    let message = format!("no free port at {ip} after {MAX_TRIES} tries: {last_error:?}");
    Err(Error::Unexpected(message))
}
