//! One client's connection and what it holds.

use std::cell::{Cell, RefCell};
use std::net;
use std::rc::Rc;
use std::task::Waker;

use damaskdrift_core::code;
use damaskdrift_core::limits;
use damaskdrift_core::time::Millis;
use hyper::http::request;
use tokio::sync::Notify;

use crate::entry::clock;
use crate::entry::intake;
use crate::entry::refusal;

/// A client's connection.
#[derive(Debug)]
pub struct Conn {
    intake: Rc<intake::Intake>,
    id: limits::Id,
    address: net::IpAddr,
    /// Buffers of the connection.
    buffers: RefCell<limits::Guard>,
    /// The header of the request and what is needed to forward it.
    request: RefCell<limits::Guard>,
    /// What the client leaves unread or has sent ahead.
    unread: RefCell<limits::Guard>,
    /// Bytes of the next request's header that have arrived.
    header_bytes: Cell<usize>,
    /// Bytes of the request's body, which is charged on its own.
    body_bytes: Cell<usize>,
    is_blocked: Cell<bool>,
    /// Bytes to charge for what the client leaves unread.
    unread_bytes: Cell<usize>,
    read_waker: RefCell<Option<Waker>>,
    refused: Cell<Option<(limits::Reason, Millis)>>,
    refuse: Notify,
    close: Notify,
}

impl Conn {
    pub(super) fn new(
        intake: Rc<intake::Intake>,
        id: limits::Id,
        address: net::IpAddr,
        buffers: limits::Guard,
    ) -> Self {
        let request = RefCell::new(intake.account.guard(limits::Kind::Request));
        let unread = RefCell::new(intake.account.guard(limits::Kind::Response));
        Self {
            intake,
            id,
            address,
            buffers: RefCell::new(buffers),
            request,
            unread,
            header_bytes: Cell::new(0),
            body_bytes: Cell::new(0),
            is_blocked: Cell::new(false),
            unread_bytes: Cell::new(0),
            read_waker: RefCell::default(),
            refused: Cell::new(None),
            refuse: Notify::new(),
            close: Notify::new(),
        }
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    /// Records that a body grew too slowly.
    pub(super) fn record_slow_body(&self) {
        self.intake.record_closed(limits::Reason::SlowBody);
    }

    /// Waits until the request whose body is being read has to be refused.
    pub(super) async fn refusal(&self) -> refusal::Refusal {
        self.refuse.notified().await;
        refusal_for(self.refused.get().map_or(limits::Reason::MemoryShort, |(reason, _)| reason))
    }

    pub(super) fn close(&self) {
        self.close.notify_one();
    }

    pub(super) fn refuse(&self, reason: limits::Reason) {
        self.refused.set(Some((reason, clock::now())));
        self.refuse.notify_one();
    }

    pub(super) fn refused_at(&self) -> Option<Millis> {
        self.refused.get().map(|(_, at)| at)
    }

    /// Removes the connection, which has ended, from the intake.
    pub fn remove(&self) {
        self.intake.remove(self.id);
    }

    /// Records the complete header of a request and charges for it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the account is short and no other connection can be closed, or if the
    /// header is larger than the limit.
    pub async fn begin_request(
        &self,
        parts: &request::Parts,
        max_header_bytes: usize,
    ) -> Result<(), refusal::Refusal> {
        self.intake.connections.borrow_mut().begin_body(self.id, clock::now());
        let fields = parts.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
        let bytes = limits::header_bytes(fields);
        if bytes > max_header_bytes {
            let reason = format!("the header fields have more than {max_header_bytes} bytes");
            return Err(refusal::Refusal::not_run(code::Code::HeaderTooLarge, reason));
        }
        let memory = limits::header_memory(parts.headers.len(), bytes);
        self.header_bytes.set(0);
        let memory = limits::REQUEST_BYTES + memory;
        if memory > limits::SMALL_BYTES {
            // The header is in memory already, so a large one does not wait for room: the headers of
            // a crowd would wait together.
            let is_charged = self.request.borrow_mut().resize(memory).is_ok();
            if !is_charged {
                self.make_room(&self.request, memory);
                return Err(no_memory());
            }
            self.update_bytes();
            return Ok(());
        }
        self.charge(&self.request, memory).await
    }

    /// Records that the header of a request is no longer in memory.
    pub fn end_header(&self) {
        let mut request = self.request.borrow_mut();
        let bytes = request.bytes().min(limits::REQUEST_BYTES);
        // A reduction cannot fail.
        let _ = request.resize(bytes);
        drop(request);
        self.update_bytes();
    }

    /// Records that a request is complete, and admits it to upstreams.
    ///
    /// # Errors
    ///
    /// Returns a refusal if too many requests are at upstreams.
    pub async fn begin_running(&self) -> Result<(), refusal::Refusal> {
        for _ in 0..intake::MAX_YIELDS {
            if let Some((reason, _)) = self.refused.get() {
                return Err(refusal_for(reason));
            }
            if self.intake.connections.borrow().running() < self.intake.max_requests {
                self.intake.connections.borrow_mut().begin_running(self.id, clock::now());
                return Ok(());
            }
            let reason = limits::Reason::DescriptorsShort;
            if !self.intake.make_room(limits::Wanted::Request, self.address, reason) {
                break;
            }
            tokio::task::yield_now().await;
        }
        Err(too_many())
    }

    /// Records that the response to a request is complete.
    pub(super) fn end_request(&self) {
        self.intake.connections.borrow_mut().end_request(self.id, clock::now());
        self.body_bytes.set(0);
        let _ = self.request.borrow_mut().resize(0);
        if !self.is_blocked.get() {
            let _ = self.unread.borrow_mut().resize(0);
        }
        self.update_bytes();
    }

    /// Returns an empty guard for the body of a request.
    pub(super) fn body_guard(&self) -> RefCell<limits::Guard> {
        RefCell::new(self.intake.account.guard(limits::Kind::Body))
    }

    /// Records the bytes of the body of the current request.
    pub(super) fn set_body_bytes(&self, bytes: usize) {
        self.body_bytes.set(bytes);
        self.update_bytes();
    }

    /// Lets a guard grow, if necessary after others' connections are closed.
    pub(super) async fn charge(
        &self,
        guard: &RefCell<limits::Guard>,
        bytes: usize,
    ) -> Result<(), refusal::Refusal> {
        for _ in 0..intake::MAX_YIELDS {
            if guard.borrow_mut().resize(bytes).is_ok() {
                self.update_bytes();
                return Ok(());
            }
            if !self.make_room(guard, bytes) {
                break;
            }
            tokio::task::yield_now().await;
        }
        Err(no_memory())
    }

    /// Lets a guard grow without waiting. Returns whether it did or will be able to, since others'
    /// connections are being closed.
    fn charge_now(&self, guard: &RefCell<limits::Guard>, bytes: usize) -> bool {
        let has_grown = guard.borrow_mut().resize(bytes).is_ok();
        self.update_bytes();
        has_grown || self.make_room(guard, bytes)
    }

    fn make_room(&self, guard: &RefCell<limits::Guard>, bytes: usize) -> bool {
        let wanted = limits::Wanted::Bytes(guard.borrow().missing(bytes));
        self.intake.make_room(wanted, self.address, limits::Reason::MemoryShort)
    }

    fn update_bytes(&self) {
        let guards = [&self.buffers, &self.request, &self.unread];
        let guarded: usize = guards.iter().map(|guard| guard.borrow().bytes()).sum();
        let bytes = guarded + self.body_bytes.get();
        self.intake.connections.borrow_mut().set_bytes(self.id, bytes);
    }

    /// Returns whether the client leaves bytes of a response unread; nothing is read from it then.
    pub(super) fn is_blocked(&self) -> bool {
        self.is_blocked.get()
    }

    /// Sets the task that is to read when the client reads again.
    pub(super) fn set_read_waker(&self, waker: &Waker) {
        self.read_waker.replace(Some(waker.clone()));
    }

    /// Records bytes that the client has sent, and the size of the buffer that they were read into.
    /// Returns whether they may be kept.
    pub(super) fn record_read(&self, bytes: usize, buffer_bytes: usize) -> bool {
        let mut connections = self.intake.connections.borrow_mut();
        let phase = connections.phase(self.id);
        connections.record_read(self.id, bytes, clock::now());
        drop(connections);
        match phase {
            Some(limits::Phase::Running) => {
                // A request that has been sent is not given up for a client that sends ahead.
                self.charge_now(&self.unread, intake::FULL_SOCKET_BUFFER_BYTES);
                true
            }
            Some(limits::Phase::Idle | limits::Phase::Header) => {
                let before = self.header_bytes.get();
                self.header_bytes.set(before + bytes);
                self.charge_buffer(before + buffer_bytes)
            }
            _ => self.charge_buffer(buffer_bytes),
        }
    }

    /// Charges for a read buffer of this size. The HTTP library does not shrink its buffer again.
    fn charge_buffer(&self, buffer_bytes: usize) -> bool {
        let added = buffer_bytes.saturating_sub(limits::READ_BUFFER_BYTES);
        let bytes = limits::CONNECTION_BYTES + added;
        bytes <= self.buffers.borrow().bytes() || self.charge_now(&self.buffers, bytes)
    }

    /// Records bytes of a response that the client has taken.
    pub(super) fn record_written(&self) {
        if !self.is_blocked.replace(false) {
            return;
        }
        self.intake.connections.borrow_mut().record_written(self.id, clock::now());
        let _ = self.unread.borrow_mut().resize(0);
        self.update_bytes();
        let waker = self.read_waker.take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Records that the client leaves bytes of a response unread. Returns whether they may be kept.
    pub(super) fn record_blocked(&self, bytes: usize) -> bool {
        if !self.is_blocked.replace(true) {
            self.intake.connections.borrow_mut().record_blocked(self.id, clock::now());
        }
        let bytes = bytes + limits::UNREAD_RESPONSE_BYTES + intake::FULL_SOCKET_BUFFER_BYTES;
        self.unread_bytes.set(bytes);
        self.is_unread_charged() || self.charge_now(&self.unread, bytes)
    }

    /// Returns whether what the client leaves unread is charged. It is not while the connections
    /// that are closed for it still hold their bytes.
    pub(super) fn is_unread_charged(&self) -> bool {
        let bytes = self.unread_bytes.get();
        !self.is_blocked.get()
            || self.unread.borrow().bytes() >= bytes
            || self.unread.borrow_mut().resize(bytes).is_ok()
    }
}

/// Returns the refusal of a request whose connection is closed for a reason.
fn refusal_for(reason: limits::Reason) -> refusal::Refusal {
    match reason {
        limits::Reason::SlowBody => too_slow(),
        limits::Reason::DescriptorsShort => too_many(),
        _ => no_memory(),
    }
}

/// Returns the refusal of a request whose body arrives too slowly.
pub(super) fn too_slow() -> refusal::Refusal {
    let reason = "the body did not arrive in time";
    refusal::Refusal::not_run(code::Code::RequestTimeout, reason)
}

/// Returns the refusal of a request for which no descriptor is left.
fn too_many() -> refusal::Refusal {
    let reason = "the instance has too many connections or requests";
    refusal::Refusal::not_run(code::Code::InstanceOverloaded, reason)
}

/// Returns the refusal of a request for which the account is short.
pub(super) fn no_memory() -> refusal::Refusal {
    let reason = "the instance has no memory left for the request";
    refusal::Refusal::not_run(code::Code::InstanceOverloaded, reason)
}
