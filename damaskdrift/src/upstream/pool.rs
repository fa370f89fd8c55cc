//! Idle connections to upstreams.

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

/// Most idle connections kept to one upstream.
const MAX_IDLE: usize = 64;
/// Age at which an idle connection is closed; it is below the idle timeout of common servers.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// Time for which an upstream that failed is tried last.
const TRIED_LAST_FOR: Duration = Duration::from_secs(1);
/// Longest wait for an idle connection to finish its last exchange.
const READY_WAIT: Duration = Duration::from_millis(20);

/// An upstream that a request was given to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The upstream.
    pub id: id::Upstream,
    /// Its address.
    pub address: net::SocketAddr,
    /// Whether it is a model engine.
    pub is_engine: bool,
}

/// Opens connections and keeps idle ones.
#[derive(Debug)]
pub struct Pool {
    timeouts: Timeouts,
    idle: sync::Mutex<collections::HashMap<net::SocketAddr, Vec<Idle>>>,
    /// When a connection or an answer last failed.
    failed: sync::Mutex<collections::HashMap<net::SocketAddr, Instant>>,
}

#[derive(Debug)]
struct Idle {
    conn: Connection,
    since: Instant,
}

impl Target {
    /// Creates the target of a configured upstream; an invalid address gives none.
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
        Self { timeouts, idle: sync::Mutex::default(), failed: sync::Mutex::default() }
    }

    /// Returns the longest waits on an upstream.
    pub fn timeouts(&self) -> Timeouts {
        self.timeouts
    }

    /// Returns a connection to a start of an upstream, an idle one if there is one.
    ///
    /// # Errors
    ///
    /// Returns why there is none; no byte of a caller's request was sent.
    pub async fn connect(
        &self,
        target: &Target,
        boot: Option<&id::Boot>,
    ) -> Result<Connection, Failure> {
        while let Some(mut conn) = self.take(target, boot) {
            let ready = tokio::time::timeout(READY_WAIT, conn.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(conn);
            }
        }
        self.open(target, boot).await
    }

    /// Opens a new connection to a start of an upstream.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be opened, with `NoUpstream` when the upstream has another start by now;
    /// no byte of a caller's request was sent.
    pub async fn open(
        &self,
        target: &Target,
        boot: Option<&id::Boot>,
    ) -> Result<Connection, Failure> {
        let opened = Connection::open(target.address, target.is_engine, self.timeouts).await;
        self.note(target, opened.is_ok());
        let conn = opened?;
        if boot.is_some() && conn.boot.as_ref() != boot {
            let message = format!("{} has restarted since its slot was granted", target.id);
            return Err(Failure::unsent(code::Code::NoUpstream, message));
        }
        Ok(conn)
    }

    /// Notes that a target failed to answer a request; it is tried last for a short time.
    pub fn note_failure(&self, target: &Target) {
        self.note(target, false);
    }

    /// Moves targets that failed lately behind the others.
    pub fn demote_failing(&self, targets: &mut [Target]) {
        let failed = lock(&self.failed);
        targets.sort_by_key(|target| {
            failed.get(&target.address).is_some_and(|at| at.elapsed() < TRIED_LAST_FOR)
        });
    }

    fn note(&self, target: &Target, is_ok: bool) {
        let mut failed = lock(&self.failed);
        if is_ok {
            failed.remove(&target.address);
        } else {
            failed.insert(target.address, Instant::now());
        }
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(&self, target: &Target, conn: Connection) {
        if conn.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let kept = idle.entry(target.address).or_default();
        kept.retain(Idle::is_usable);
        if kept.len() < MAX_IDLE {
            kept.push(Idle { conn, since: Instant::now() });
        }
    }

    fn take(&self, target: &Target, boot: Option<&id::Boot>) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(&target.address)?;
        kept.retain(Idle::is_usable);
        let position =
            kept.iter().rposition(|idle| boot.is_none() || idle.conn.boot.as_ref() == boot)?;
        Some(kept.swap_remove(position).conn)
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
