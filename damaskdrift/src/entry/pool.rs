//! Pool of idle connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net;

use damaskdrift_core::time::Millis;
use hyper::header;
use hyper::http::response;

use crate::entry::client;
use crate::entry::clock;

/// Limit of the idle time that allows any pooled connection, for requests that may be retried.
pub const NO_IDLE_LIMIT: Millis = Millis(u64::MAX);
/// Maximum idle time of a connection for a request that must not be retried. Upstreams may drop
/// idle connections without notice, and a request sent on such a connection is lost.
pub const AT_MOST_ONCE_MAX_IDLE: Millis = Millis(1_000);
/// Idle time after which a connection is closed if the server announces no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);
/// Share of an announced keep-alive timeout for which a connection is used, in percent; the rest
/// covers the network delay of the next request.
const KEEP_ALIVE_PERCENT: u64 = 70;
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

#[derive(Debug)]
struct Idle {
    conn: client::Conn,
    idle_since: Millis,
    expires_at: Millis,
}

/// Idle connections by address, the most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<net::SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes the most recently used connection to an address that has been idle for at most
    /// `max_idle`.
    pub fn take(&self, address: net::SocketAddr, max_idle: Millis) -> Option<client::Conn> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&address)?;
        conns.retain(|idle| now < idle.expires_at && !idle.conn.sender.is_closed());
        let index = conns.iter().rposition(|idle| {
            idle.conn.sender.is_ready() && now.since(idle.idle_since) <= max_idle
        })?;
        Some(conns.remove(index).conn)
    }

    /// Adds a connection whose response, with the head `parts`, was read to its end.
    ///
    /// The connection is closed instead if the server announced that. If the pool already holds the
    /// maximum for the address, the connection that has been idle for longest is closed.
    pub fn put(&self, address: net::SocketAddr, conn: client::Conn, parts: &response::Parts) {
        conn.complete();
        if conn.sender.is_closed() || announces_close(parts) {
            return;
        }
        let idle_since = clock::now();
        let timeout = keep_alive_timeout(parts)
            .map_or(DEFAULT_IDLE_TIMEOUT, |timeout| Millis(timeout.0 * KEEP_ALIVE_PERCENT / 100));
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(address).or_default();
        if conns.len() >= MAX_IDLE_PER_ADDRESS {
            conns.remove(0);
        }
        conns.push(Idle { conn, idle_since, expires_at: idle_since + timeout });
    }

    /// Closes all idle connections to an address, for example after a request on one failed.
    pub fn clear(&self, address: net::SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

fn announces_close(parts: &response::Parts) -> bool {
    let value = parts.headers.get(header::CONNECTION).and_then(|v| v.to_str().ok());
    value.is_some_and(|v| v.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// Returns the timeout that a `Keep-Alive` header announces.
fn keep_alive_timeout(parts: &response::Parts) -> Option<Millis> {
    let value = parts.headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|token| token.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Millis::from_secs)
}
