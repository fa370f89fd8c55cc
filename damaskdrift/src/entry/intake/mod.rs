//! Admission of clients' connections and requests under limits on memory, descriptors and time.

mod body;
mod conn;
mod resources;
mod socket;

pub use body::{Body, collect};
pub use conn::Conn;
pub use resources::Resources;
pub use socket::Socket;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damaskdrift_core::limits;
use damaskdrift_core::time::Millis;

use crate::entry::clock;

/// Receive and send buffers of an accepted socket in bytes, as requested from the kernel. Without a
/// bound the kernel lets each grow to several megabytes, which count as the machine's memory.
pub const SOCKET_BUFFER_BYTES: u32 = 64 << 10;
/// Kernel memory of a full socket buffer. The kernel doubles the requested size for its own
/// overhead.
const FULL_SOCKET_BUFFER_BYTES: usize = 2 * SOCKET_BUFFER_BYTES as usize;
/// Bytes for each connection of a listener whose responses need no upstream.
const CHECK_BYTES: usize = 4 * limits::CONNECTION_BYTES;
/// Interval between checks of the connections' progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks from which the process counts as frozen meanwhile.
const MAX_CHECK_GAP: Millis = Millis(1_000);
/// Interval between log lines for one reason.
const LOG_INTERVAL: Millis = Millis(1_000);
/// How often an admission yields to the connections that are closed for it. They return what they
/// hold when they run next.
const MAX_YIELDS: usize = 8;
/// Time in which a caller is sent the refusal of its unfinished request before its connection is
/// closed.
const REFUSAL_TIME: Millis = Millis(1_000);

/// Connections closed for a reason since the last log line for it.
#[derive(Debug, Default)]
struct Closed {
    count: u64,
    logged_at: Option<Millis>,
}

/// The connections of one listener and what they hold.
#[derive(Debug)]
pub struct Intake {
    /// Name of the listener in logs and metrics.
    listener: &'static str,
    account: Arc<limits::Account>,
    max_requests: usize,
    connections: RefCell<limits::Connections>,
    open: RefCell<HashMap<limits::Id, Rc<Conn>>>,
    timeouts: Cell<limits::Timeouts>,
    closed: RefCell<BTreeMap<limits::Reason, Closed>>,
}

impl Intake {
    /// Creates the intake of a listener with an account of bytes, a number of connections and a
    /// number of requests at upstreams.
    pub fn new(
        listener: &'static str,
        bytes: usize,
        connections: usize,
        max_requests: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            listener,
            account: limits::Account::new(bytes),
            max_requests,
            connections: RefCell::new(limits::Connections::new(bytes, connections)),
            open: RefCell::default(),
            timeouts: Cell::default(),
            closed: RefCell::default(),
        })
    }

    /// Creates the intake of the callers' listener.
    pub fn for_callers(resources: &Resources) -> Rc<Self> {
        let shares = resources.shares();
        Self::new("callers", resources.account_bytes(), shares.callers, shares.requests)
    }

    /// Creates the intake of a listener whose responses need no upstream.
    pub fn for_checks(listener: &'static str, resources: &Resources) -> Rc<Self> {
        let connections = resources.shares().readiness;
        let bytes = connections * CHECK_BYTES;
        Self::new(listener, bytes, connections, connections)
    }

    /// Sets the times after which connections without progress are closed.
    pub fn set_timeouts(&self, timeouts: limits::Timeouts) {
        self.timeouts.set(timeouts);
    }

    /// Admits a new connection, if necessary in place of another one; `None` if it has to be closed.
    pub async fn admit(self: &Rc<Self>, address: net::IpAddr) -> Option<Rc<Conn>> {
        let mut reason = limits::Reason::DescriptorsShort;
        for _ in 0..MAX_YIELDS {
            let wanted = if self.connections.borrow().has_place() {
                reason = limits::Reason::MemoryShort;
                let mut buffers = self.account.guard(limits::Kind::Connection);
                if buffers.resize(limits::CONNECTION_BYTES).is_ok() {
                    return Some(self.open(address, buffers));
                }
                limits::Wanted::Bytes(buffers.missing(limits::CONNECTION_BYTES))
            } else {
                reason = limits::Reason::DescriptorsShort;
                limits::Wanted::Connection
            };
            if !self.make_room(wanted, address, reason) {
                break;
            }
            tokio::task::yield_now().await;
        }
        self.record_closed(reason);
        None
    }

    fn open(self: &Rc<Self>, address: net::IpAddr, buffers: limits::Guard) -> Rc<Conn> {
        let mut connections = self.connections.borrow_mut();
        let id = connections.open(address, clock::now());
        connections.set_bytes(id, buffers.bytes());
        let conn = Rc::new(Conn::new(self.clone(), id, address, buffers));
        self.open.borrow_mut().insert(id, conn.clone());
        conn
    }

    /// Closes connections so that one from `address` gets what it wants. Returns whether there were
    /// any.
    fn make_room(
        &self,
        wanted: limits::Wanted,
        address: net::IpAddr,
        reason: limits::Reason,
    ) -> bool {
        let chosen = self.connections.borrow().choose(wanted, address, clock::now());
        for id in &chosen {
            self.close(*id, reason);
        }
        !chosen.is_empty()
    }

    /// Closes a connection. One with an unfinished request is sent a refusal first.
    fn close(&self, id: limits::Id, reason: limits::Reason) {
        let conn = self.open.borrow().get(&id).cloned();
        let Some(conn) = conn else {
            return;
        };
        self.record_closed(reason);
        let phase = self.connections.borrow().phase(id);
        self.connections.borrow_mut().set_closing(id);
        if phase == Some(limits::Phase::Body) {
            conn.refuse(reason);
        } else {
            conn.close();
        }
    }

    fn record_closed(&self, reason: limits::Reason) {
        metrics::counter!(
            "client_connections_closed", "listener" => self.listener, "reason" => reason.name()
        )
        .increment(1);
        self.closed.borrow_mut().entry(reason).or_default().count += 1;
    }

    fn remove(&self, id: limits::Id) {
        self.connections.borrow_mut().remove(id);
        self.open.borrow_mut().remove(&id);
    }

    /// Checks the progress of all connections until the process ends.
    pub async fn watch(self: Rc<Self>) {
        let mut checked_at = clock::now();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = clock::now();
            let elapsed = now.since(std::mem::replace(&mut checked_at, now));
            if elapsed >= MAX_CHECK_GAP {
                // The process was frozen. What clients sent meanwhile is read first.
                continue;
            }
            let overdue = self.connections.borrow().overdue(&self.timeouts.get(), now);
            for (id, reason) in overdue {
                self.close(id, reason);
            }
            for (id, conn) in &*self.open.borrow() {
                if conn.refused_at().is_some_and(|at| now.since(at) >= REFUSAL_TIME) {
                    conn.close();
                } else if !conn.is_unread_charged() && self.is_stalled(*id, now) {
                    self.close(*id, limits::Reason::MemoryShort);
                }
            }
            self.log_closed(now);
            self.update_gauges();
        }
    }

    fn is_stalled(&self, id: limits::Id, now: Millis) -> bool {
        self.connections.borrow().is_stalled(id, now)
    }

    /// Logs closed connections, at most once a second for each reason.
    fn log_closed(&self, now: Millis) {
        for (reason, closed) in &mut *self.closed.borrow_mut() {
            let is_recent = closed.logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL);
            // The idle timeout is the usual end of a connection.
            if closed.count == 0 || is_recent || *reason == limits::Reason::Idle {
                continue;
            }
            log::warn!(
                listener = self.listener, reason = reason.name(), connections = closed.count,
                open = self.connections.borrow().len(), bytes = self.account.used();
                "clients' connections closed or refused"
            );
            *closed = Closed { count: 0, logged_at: Some(now) };
        }
    }

    fn update_gauges(&self) {
        for kind in limits::Kind::ALL {
            metrics::gauge!("client_bytes", "listener" => self.listener, "kind" => kind.name())
                .set(self.account.used_by(kind) as f64);
        }
        metrics::gauge!("client_bytes_limit", "listener" => self.listener)
            .set(self.account.capacity() as f64);
        let connections = self.connections.borrow();
        metrics::gauge!("client_connections", "listener" => self.listener)
            .set(connections.len() as f64);
        metrics::gauge!("client_requests_running", "listener" => self.listener)
            .set(connections.running() as f64);
    }
}
