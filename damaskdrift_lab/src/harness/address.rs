//! Loopback addresses for the processes of a test.

use std::io;
use std::net;
use std::ops;
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpSocket;

use crate::error::Error;

/// Values of the last octet; 0 (network) and 255 (broadcast) are left out.
const LAST_OCTETS: u32 = 254;
/// Number of addresses available to one process; later calls reuse them in order.
const ADDRESSES: u32 = 4 * LAST_OCTETS;
/// Ports below the ephemeral range, so the kernel assigns them neither for port 0 nor for outgoing
/// connections.
const PORTS: ops::Range<u16> = 10_000..30_000;
/// Random ports tried before [`free_port`] fails.
const MAX_ATTEMPTS: usize = 100;

/// Returns a loopback address that no earlier call in this process has returned.
///
/// Outgoing connections take their source port on 127.0.0.1, so the port of a killed process is
/// still free when the process is restarted at its own address. The process id is part of the
/// address, so test binaries that run at the same time get different addresses. After 1016 calls
/// the addresses are reused.
pub fn unique_ip() -> net::Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % ADDRESSES;
    // The 24 variable bits of 127.0.0.0/8 hold 14 bits of the process id and 10 bits for the number.
    let network = ((process::id() & 0x3fff) << 2) | (number / LAST_OCTETS);
    let [.., second, third] = network.to_be_bytes();
    let last = (number % LAST_OCTETS + 1).to_be_bytes()[3];
    net::Ipv4Addr::new(127, second, third, last)
}

/// Returns an address at `ip` with a port on which no socket listens; a later call may return it too.
///
/// The port is outside the ephemeral range, so the kernel does not assign it to another process
/// before the intended process listens on it. It is probed without listening: a child process holds
/// a copy of a closed socket until it executes its program, and the copy of a listener would still
/// accept connections and occupy the port.
///
/// # Errors
///
/// Returns an error if no free port was found after 100 attempts.
pub fn free_port(ip: net::Ipv4Addr) -> Result<net::SocketAddr, Error> {
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        match bind((ip, rand::random_range(PORTS)).into()) {
            Ok(socket) => {
                let to_error =
                    |error| Error::Io(format!("cannot read the bound address at {ip}"), error);
                return socket.local_addr().map_err(to_error);
            }
            Err(error) => last_error = Some(error),
        }
    }
    let message = format!("no free port at {ip} after {MAX_ATTEMPTS} attempts: {last_error:?}");
    Err(Error::Unexpected(message))
}

/// Returns a socket that is bound to `address` and does not listen.
///
/// With `SO_REUSEADDR`, a listener that also sets the option can bind while a copy of this socket is
/// open. Binding still fails if another socket listens on the address.
fn bind(address: net::SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
