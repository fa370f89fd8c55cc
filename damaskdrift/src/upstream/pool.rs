//! Pool of idle connections to upstreams.

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;

use crate::settings;
use crate::upstream::connection::{Connection, Timeouts};
use crate::upstream::failure::Failure;

/// Largest number of idle connections per upstream.
const MAX_IDLE: usize = 64;
/// Idle time after which a connection is closed; below the idle timeout of common servers.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// Time for which an upstream is ranked last after a failure.
const DEMOTION_PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for an idle connection to finish its last exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// An upstream that a request can be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The upstream's id in the fleet document.
    pub id: id::Upstream,
    /// The address to connect to.
    pub address: net::SocketAddr,
    /// Whether the upstream is a model engine rather than a plain service.
    pub is_engine: bool,
}

/// Opens connections to upstreams and reuses idle ones.
#[derive(Debug)]
pub struct Pool {
    timeouts: Timeouts,
    idle: sync::Mutex<collections::HashMap<net::SocketAddr, Vec<Idle>>>,
    /// Time of the last failed connection attempt or response, by address.
    failed_at: sync::Mutex<collections::HashMap<net::SocketAddr, Instant>>,
}

#[derive(Debug)]
struct Idle {
    conn: Connection,
    since: Instant,
}

impl Target {
    /// Creates the target for a configured upstream, or `None` if its address is invalid.
    pub fn new(id: &id::Upstream, upstream: &fleet::Upstream) -> Option<Self> {
        let address = upstream.address.parse().ok()?;
        let is_engine = matches!(upstream.kind, fleet::Kind::Engine { .. });
        Some(Self { id: id.clone(), address, is_engine })
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(limits: &settings::Limits) -> Self {
        let timeouts = Timeouts::new(limits);
        Self { timeouts, idle: sync::Mutex::default(), failed_at: sync::Mutex::default() }
    }

    /// Returns the timeouts for operations on upstreams, set when the instance starts.
    pub fn timeouts(&self) -> Timeouts {
        self.timeouts
    }

    /// Returns a connection to an upstream, reusing an idle one if possible. With a boot id, it
    /// must reach the process with that id.
    ///
    /// # Errors
    ///
    /// Returns why no connection can be opened; no byte of a caller's request was sent.
    pub async fn connect(
        &self,
        target: &Target,
        boot: Option<&id::Boot>,
    ) -> Result<Connection, Failure> {
        while let Some(mut conn) = self.take(target, boot) {
            let ready = tokio::time::timeout(READY_TIMEOUT, conn.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(conn);
            }
        }
        self.open(target, boot).await
    }

    /// Opens a new connection to an upstream. With a boot id, it must reach the process with that
    /// id.
    ///
    /// # Errors
    ///
    /// Returns why the connection cannot be opened, with `NoUpstream` when the upstream has
    /// restarted under another boot id; no byte of a caller's request was sent.
    pub async fn open(
        &self,
        target: &Target,
        boot: Option<&id::Boot>,
    ) -> Result<Connection, Failure> {
        let opened = Connection::open(target.address, target.is_engine, self.timeouts).await;
        self.record_result(target, opened.is_ok());
        let conn = opened?;
        if boot.is_some() && conn.boot.as_ref() != boot {
            let message = format!("{} has restarted since its slot was granted", target.id);
            return Err(Failure::unsent(code::Code::NoUpstream, message));
        }
        Ok(conn)
    }

    /// Records that a target failed to respond to a request; it is ranked last for a short time.
    pub fn record_failure(&self, target: &Target) {
        self.record_result(target, false);
    }

    /// Moves recently failed targets behind the others, keeping the order otherwise.
    pub fn demote_failing(&self, targets: &mut [Target]) {
        let failed_at = lock(&self.failed_at);
        targets.sort_by_key(|target| {
            failed_at.get(&target.address).is_some_and(|at| at.elapsed() < DEMOTION_PERIOD)
        });
    }

    fn record_result(&self, target: &Target, is_ok: bool) {
        let mut failed_at = lock(&self.failed_at);
        if is_ok {
            failed_at.remove(&target.address);
        } else {
            failed_at.insert(target.address, Instant::now());
        }
    }

    /// Returns a connection to the pool; its last response must have been read to its end.
    pub fn put(&self, target: &Target, conn: Connection) {
        if conn.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let connections = idle.entry(target.address).or_default();
        connections.retain(Idle::is_usable);
        if connections.len() < MAX_IDLE {
            connections.push(Idle { conn, since: Instant::now() });
        }
    }

    fn take(&self, target: &Target, boot: Option<&id::Boot>) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&target.address)?;
        connections.retain(Idle::is_usable);
        let position = connections
            .iter()
            .rposition(|idle| boot.is_none() || idle.conn.boot.as_ref() == boot)?;
        Some(connections.swap_remove(position).conn)
    }
}

impl Idle {
    fn is_usable(&self) -> bool {
        !self.conn.is_closed() && self.since.elapsed() < MAX_IDLE_AGE
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds the lock")
}
