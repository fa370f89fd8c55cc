//! The open connections of a listener, their progress, and the choice of those to close.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net;

use crate::limits::progress;
use crate::time::Millis;

/// Time without progress from which a connection may be closed for another one while it sends or
/// reads; shorter pauses are usual on a loaded link.
const MIN_STALL: Millis = Millis(1_000);
/// Bytes that count as progress of a client that sends. Single bytes do not, since a client could
/// hold memory with them for as long as it likes.
const PROGRESS_BYTES: usize = 1 << 10;
/// Part of what a connection holds, as a divisor, that counts as progress if that is more.
const PROGRESS_PART: usize = 64;
/// Part of the account, as a divisor, that is freed at least at a time, so that the search over all
/// connections is not repeated for each of a crowd.
const MIN_FREED: usize = 64;

/// Number of a connection, unique at its listener.
pub type Id = u64;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's header.
    Header,
    /// The rest of a request's body.
    Body,
    /// The response to a request.
    Running,
}

/// What is short, so that connections have to be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wanted {
    /// A number of bytes of the account.
    Bytes(usize),
    /// A place for a new connection.
    Connection,
    /// A place for a request at an upstream.
    Request,
}

#[derive(Debug)]
struct Connection {
    address: net::IpAddr,
    phase: Phase,
    /// Start of the phase.
    since: Millis,
    /// Last progress of the client.
    progress_at: Millis,
    /// Bytes since then.
    progress_bytes: usize,
    /// Since when the client has taken no byte of a response, if some wait.
    blocked_since: Option<Millis>,
    /// Whether bytes of the next request have arrived before the response to the current one.
    has_read_ahead: bool,
    is_closing: bool,
    bytes: usize,
}

/// What the connections of one address have together.
#[derive(Debug, Default)]
struct Holding {
    connections: usize,
    bytes: usize,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct Connections {
    /// Size of the account of bytes.
    account: usize,
    /// Number of connections that may be open.
    places: usize,
    next: Id,
    open: BTreeMap<Id, Connection>,
    /// Connections without a complete header of a request, by their last progress.
    without_request: BTreeSet<(Millis, Id)>,
    addresses: BTreeMap<net::IpAddr, Holding>,
    running: usize,
}

impl Connections {
    /// Creates an empty table for an account and a number of connections.
    pub fn new(account: usize, places: usize) -> Self {
        Self {
            account,
            places,
            next: 0,
            open: BTreeMap::new(),
            without_request: BTreeSet::new(),
            addresses: BTreeMap::new(),
            running: 0,
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns whether another connection may be opened.
    pub fn has_place(&self) -> bool {
        self.open.len() < self.places
    }

    /// Returns the number of connections that wait for a response.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Adds a connection.
    pub fn open(&mut self, address: net::IpAddr, now: Millis) -> Id {
        self.next += 1;
        let connection = Connection {
            address,
            phase: Phase::Idle,
            since: now,
            progress_at: now,
            progress_bytes: 0,
            blocked_since: None,
            has_read_ahead: false,
            is_closing: false,
            bytes: 0,
        };
        self.open.insert(self.next, connection);
        self.without_request.insert((now, self.next));
        self.addresses.entry(address).or_default().connections += 1;
        self.next
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: Id) {
        let Some(connection) = self.open.remove(&id) else {
            return;
        };
        self.without_request.remove(&(connection.progress_at, id));
        self.running -= usize::from(connection.phase == Phase::Running);
        if let Some(holding) = self.addresses.get_mut(&connection.address) {
            holding.connections -= 1;
            holding.bytes = holding.bytes.saturating_sub(connection.bytes);
            if holding.connections == 0 {
                self.addresses.remove(&connection.address);
            }
        }
    }

    /// Records how many bytes of the account a connection holds.
    pub fn set_bytes(&mut self, id: Id, bytes: usize) {
        if let Some(connection) = self.open.get_mut(&id)
            && let Some(holding) = self.addresses.get_mut(&connection.address)
        {
            holding.bytes = holding.bytes.saturating_sub(connection.bytes) + bytes;
            connection.bytes = bytes;
        }
    }

    /// Returns the phase of a connection, unless it has ended.
    pub fn phase(&self, id: Id) -> Option<Phase> {
        self.open.get(&id).map(|connection| connection.phase)
    }

    /// Records that a connection is going to be closed.
    pub fn set_closing(&mut self, id: Id) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.is_closing = true;
            self.without_request.remove(&(connection.progress_at, id));
        }
    }

    /// Records bytes that a client has sent.
    pub fn record_read(&mut self, id: Id, bytes: usize, now: Millis) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        connection.progress_bytes += bytes;
        let progress = PROGRESS_BYTES.max(connection.bytes / PROGRESS_PART);
        match connection.phase {
            Phase::Idle => self.enter(id, Phase::Header, now),
            Phase::Header | Phase::Body if connection.progress_bytes >= progress => {
                self.record_progress(id, now);
            }
            Phase::Header | Phase::Body => {}
            Phase::Running => connection.has_read_ahead = true,
        }
    }

    /// Records that a client has taken bytes of a response that waited.
    pub fn record_written(&mut self, id: Id, now: Millis) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        connection.blocked_since = None;
        // Nothing was read meanwhile, so the time for the next request begins here.
        connection.since = now;
        self.record_progress(id, now);
    }

    /// Records that a client leaves bytes of a response waiting.
    pub fn record_blocked(&mut self, id: Id, now: Millis) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.blocked_since.get_or_insert(now);
        }
    }

    /// Records that the header of a request is complete and its body is awaited.
    pub fn begin_body(&mut self, id: Id, now: Millis) {
        self.enter(id, Phase::Body, now);
    }

    /// Records that a request is complete and waits for its response.
    pub fn begin_running(&mut self, id: Id, now: Millis) {
        self.enter(id, Phase::Running, now);
    }

    /// Records that the response to a request is complete.
    pub fn end_request(&mut self, id: Id, now: Millis) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        let has_read_ahead = std::mem::take(&mut connection.has_read_ahead);
        self.enter(id, if has_read_ahead { Phase::Header } else { Phase::Idle }, now);
    }

    /// Returns whether the client of a connection has made no progress for some time.
    pub fn is_stalled(&self, id: Id, now: Millis) -> bool {
        let since = self.open.get(&id).and_then(Connection::stalled_since);
        since.is_some_and(|since| now.since(since) >= MIN_STALL)
    }

    /// Returns the connections whose time is over, with the reason.
    pub fn overdue(
        &self,
        timeouts: &progress::Timeouts,
        now: Millis,
    ) -> Vec<(Id, progress::Reason)> {
        let mut overdue = Vec::new();
        for (id, connection) in &self.open {
            let is_over = |since: Millis, timeout: Millis| now.since(since) >= timeout;
            let reason = match (connection.blocked_since, connection.phase) {
                _ if connection.is_closing => continue,
                (Some(since), _) if is_over(since, timeouts.read) => progress::Reason::SlowReader,
                (None, Phase::Idle) if is_over(connection.since, timeouts.idle) => {
                    progress::Reason::Idle
                }
                (None, Phase::Header) if is_over(connection.since, timeouts.header) => {
                    progress::Reason::SlowHeader
                }
                _ => continue,
            };
            overdue.push((*id, reason));
        }
        overdue
    }

    /// Returns the connections to close so that a connection from this address gets what it wants;
    /// none if it has to do without.
    ///
    /// Those of addresses that have more than their fair share come first, then those that have
    /// made no progress for longest. An address with more than its share displaces no others.
    pub fn choose(&self, wanted: Wanted, by: net::IpAddr, now: Millis) -> Vec<Id> {
        match wanted {
            Wanted::Bytes(bytes) => self.choose_for_bytes(bytes, by, now),
            Wanted::Connection => {
                let idle = self.choose_without_request(by);
                idle.or_else(|| self.stalled(wanted, by, now).first().copied())
                    .into_iter()
                    .collect()
            }
            Wanted::Request => {
                let stalled = self.stalled(wanted, by, now);
                stalled.into_iter().find(|id| self.open[id].phase == Phase::Running).into_iter()
            }
            .collect(),
        }
    }

    fn choose_without_request(&self, by: net::IpAddr) -> Option<Id> {
        let wanted = Wanted::Connection;
        let mut by_age = self.without_request.iter().map(|(_, id)| *id);
        let mut over = by_age.clone().filter(|id| self.is_over(self.open[id].address, wanted));
        over.next().or_else(|| if self.is_over(by, wanted) { None } else { by_age.next() })
    }

    fn choose_for_bytes(&self, bytes: usize, by: net::IpAddr, now: Millis) -> Vec<Id> {
        let wanted = Wanted::Bytes(bytes);
        let (mut chosen, mut freed) = (Vec::new(), 0);
        for id in self.stalled(wanted, by, now) {
            if freed >= bytes.max(self.account / MIN_FREED) {
                break;
            }
            freed += self.open[&id].bytes;
            chosen.push(id);
        }
        if freed >= bytes {
            return chosen;
        }
        if self.is_over(by, wanted) {
            return Vec::new();
        }
        // Clients that still send lose what their address has beyond its share.
        let mut over: Vec<_> = self.open.iter().filter(|(_, c)| self.is_sending_over(c)).collect();
        over.sort_by_key(|(id, connection)| (Reverse(connection.bytes), **id));
        for (id, connection) in over {
            if freed >= bytes {
                break;
            }
            if !chosen.contains(id) {
                freed += connection.bytes;
                chosen.push(*id);
            }
        }
        if freed >= bytes { chosen } else { Vec::new() }
    }

    fn is_sending_over(&self, connection: &Connection) -> bool {
        let is_sending = matches!(connection.phase, Phase::Header | Phase::Body);
        is_sending && !connection.is_closing && self.is_over(connection.address, Wanted::Bytes(0))
    }

    /// Returns the connections that have made no progress for some time, in the order in which they
    /// are closed.
    fn stalled(&self, wanted: Wanted, by: net::IpAddr, now: Millis) -> Vec<Id> {
        let is_requester_over = self.is_over(by, wanted);
        let mut stalled = Vec::new();
        for (id, connection) in &self.open {
            let Some(since) = connection.stalled_since() else {
                continue;
            };
            let is_over = self.is_over(connection.address, wanted);
            if now.since(since) < MIN_STALL || (is_requester_over && !is_over) {
                continue;
            }
            stalled.push((Reverse(is_over), since, *id));
        }
        stalled.sort_unstable();
        stalled.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Returns whether an address has more than its fair share, where several share.
    fn is_over(&self, address: net::IpAddr, wanted: Wanted) -> bool {
        let Some(holding) = self.addresses.get(&address) else {
            return false;
        };
        let (held, total) = match wanted {
            Wanted::Bytes(_) => (holding.bytes, self.account),
            Wanted::Connection | Wanted::Request => (holding.connections, self.places),
        };
        self.addresses.len() > 1 && held.saturating_mul(self.addresses.len()) > total
    }

    fn enter(&mut self, id: Id, phase: Phase, now: Millis) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        self.running -= usize::from(connection.phase == Phase::Running);
        self.running += usize::from(phase == Phase::Running);
        connection.phase = phase;
        connection.since = now;
        self.record_progress(id, now);
    }

    fn record_progress(&mut self, id: Id, now: Millis) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        self.without_request.remove(&(connection.progress_at, id));
        connection.progress_at = now;
        connection.progress_bytes = 0;
        let has_request = matches!(connection.phase, Phase::Body | Phase::Running);
        if !has_request && !connection.is_closing {
            self.without_request.insert((now, id));
        }
    }
}

impl Connection {
    /// Returns since when the client has made no progress; `None` while it waits for the instance.
    fn stalled_since(&self) -> Option<Millis> {
        match (self.blocked_since, self.phase) {
            _ if self.is_closing => None,
            (Some(since), _) => Some(since),
            (None, Phase::Running) => None,
            (None, Phase::Idle | Phase::Header | Phase::Body) => Some(self.progress_at),
        }
    }
}
