//! Kept connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net;

use damaskdrift_core::time::Millis;
use hyper::header;
use hyper::http::response;

use crate::entry::client;
use crate::entry::clock;

/// Kept connections of any age are used: for requests that may be sent again.
pub const ANY_IDLE: Millis = Millis(u64::MAX);
/// Longest idle time of a connection that carries a request which must not be repeated. Upstreams
/// may drop idle connections without notice, and what is sent on one is then lost.
pub const SHORT_IDLE: Millis = Millis(1_000);
/// Idle time after which a connection is closed when its upstream announces no time.
const DEFAULT_IDLE: Millis = Millis(4_000);
/// Share of the idle time announced by an upstream for which a connection is kept, in percent;
/// the rest covers the way of the next request.
const IDLE_PERCENT: u64 = 70;
/// Most connections kept for one address.
const MOST_IDLE: usize = 16;

#[derive(Debug)]
struct Idle {
    conn: client::Conn,
    since: Millis,
    until: Millis,
}

/// Kept connections by address, the most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<net::SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes a connection that has been idle for at most `longest`.
    pub fn take(&self, address: net::SocketAddr, longest: Millis) -> Option<client::Conn> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|idle| now < idle.until && !idle.conn.sender.is_closed());
        let index = kept
            .iter()
            .rposition(|idle| idle.conn.sender.is_ready() && now.since(idle.since) <= longest)?;
        Some(kept.remove(index).conn)
    }

    /// Keeps a connection whose answer, with this head, was read to its end.
    pub fn put(&self, address: net::SocketAddr, conn: client::Conn, parts: &response::Parts) {
        if conn.sender.is_closed() || closes(parts) {
            return;
        }
        let since = clock::now();
        let life = announced(parts).map_or(DEFAULT_IDLE, |t| Millis(t.0 * IDLE_PERCENT / 100));
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() >= MOST_IDLE {
            kept.remove(0);
        }
        kept.push(Idle { conn, since, until: since + life });
    }

    /// Closes all kept connections to an address.
    pub fn clear(&self, address: net::SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

fn closes(parts: &response::Parts) -> bool {
    let value = parts.headers.get(header::CONNECTION).and_then(|v| v.to_str().ok());
    value.is_some_and(|v| v.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// Returns the idle time that a `Keep-Alive` header announces.
fn announced(parts: &response::Parts) -> Option<Millis> {
    let value = parts.headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|token| token.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Millis::from_secs)
}
