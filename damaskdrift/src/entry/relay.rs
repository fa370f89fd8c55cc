//! Response bodies: an upstream's, which is forwarded as it arrives, or one of the instance itself.

use std::net;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::rollout;
use damaskdrift_core::time::Millis;
use http_body_util::Full;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::http::response;
use thiserror::Error;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::duties;
use crate::entry::event_stream;
use crate::entry::notices;
use crate::entry::quarantine;
use crate::entry::rollouts;
use crate::entry::state;

/// Pending prefill from which other instances are notified immediately, in tokens. Such a prefill
/// takes about 10 ms, for which other requests at the upstream wait.
const NOTIFY_PREFILL_TOKENS: u64 = 500;

/// A request that counts as in flight at its upstream until this guard is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    entry: Rc<state::Entry>,
    upstream: id::Upstream,
    incarnation: Option<balance::Incarnation>,
    request: balance::InFlightRequest,
    started_at: Millis,
    expected_first_chunk: Option<Millis>,
    exposure: Option<quarantine::Exposure>,
    /// The request as evidence on a rollout, if one is running.
    ticket: Option<rollouts::Ticket>,
    /// Cache stores that the request fetches segments from, and the tokens.
    fetches: Vec<(id::Upstream, u64)>,
    /// Workspace for which the request counts as begun when its first chunk arrives.
    uncounted: Option<id::Workspace>,
}

/// Reason for which the instance aborted a response after its head was forwarded.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The upstream's connection failed before the end of the body.
    #[error("upstream response truncated: {_0}")]
    Upstream(#[from] hyper::Error),
    /// The upstream's response ended inside an event.
    #[error("upstream response ended inside an event")]
    EndedInsideEvent,
    /// The request's deadline passed while the body was incomplete.
    #[error("request deadline exceeded before the end of the upstream response")]
    DeadlineExceeded,
}

/// The body of an upstream's response while it is forwarded.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    guard: RequestGuard,
    conn: Option<(net::SocketAddr, client::Conn, response::Parts)>,
    deadline: Option<Pin<Box<tokio::time::Sleep>>>,
    has_received_chunk: bool,
    request_id: String,
    events: Option<event_stream::EventStream>,
    is_close_delimited: bool,
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// The body of an upstream's response, forwarded chunk by chunk.
    Upstream(Box<UpstreamBody>),
    /// A complete body created by the instance, for example of an error response.
    Local(Full<Bytes>),
}

impl RequestGuard {
    /// Counts a request as in flight at an upstream.
    ///
    /// `expected_first_chunk` is the expected time until an engine's first chunk; `None` if the
    /// upstream's delay isn't to be observed.
    pub fn new(
        entry: &Rc<state::Entry>,
        upstream: &id::Upstream,
        request: balance::InFlightRequest,
        expected_first_chunk: Option<Millis>,
    ) -> Self {
        let started_at = clock::now();
        let incarnation = notices::incarnation(entry, upstream);
        entry.in_flight.set(entry.in_flight.get() + 1);
        if let Some(upstream) = entry.upstreams.borrow_mut().get_mut(upstream) {
            upstream.begin_request(&request, started_at);
        }
        if request.pending_prefill >= NOTIFY_PREFILL_TOKENS {
            entry.report_due.notify_one();
        }
        let entry = entry.clone();
        let upstream = upstream.clone();
        Self {
            entry,
            upstream,
            incarnation,
            request,
            started_at,
            expected_first_chunk,
            exposure: None,
            ticket: None,
            fetches: Vec::new(),
            uncounted: None,
        }
    }

    /// Returns the incarnation of the upstream that the request was sent to.
    pub fn recipient(&self) -> notices::Recipient<'_> {
        notices::Recipient { id: &self.upstream, incarnation: self.incarnation }
    }

    /// Sets the segments that are evidence if the upstream ends during the request.
    pub fn with_exposure(mut self, exposure: Option<quarantine::Exposure>) -> Self {
        self.exposure = exposure;
        self
    }

    /// Counts the fetches of the request from cache stores until its first chunk arrives.
    pub fn with_fetches(mut self, fetches: Vec<(id::Upstream, u64)>) -> Self {
        let mut upstreams = self.entry.upstreams.borrow_mut();
        for (store, tokens) in &fetches {
            upstreams.begin_fetch(store, *tokens);
        }
        drop(upstreams);
        self.fetches = fetches;
        self
    }

    fn end_fetches(&mut self) {
        let mut upstreams = self.entry.upstreams.borrow_mut();
        for (store, tokens) in self.fetches.drain(..) {
            upstreams.end_fetch(&store, tokens);
        }
    }

    /// Sets the request as evidence on a rollout.
    pub fn with_ticket(mut self, ticket: Option<rollouts::Ticket>) -> Self {
        self.ticket = ticket;
        self
    }

    /// Counts the request for a workspace as begun once its first chunk arrives.
    pub fn count_at_first_chunk(&mut self, workspace: &id::Workspace) {
        self.uncounted = Some(workspace.clone());
    }

    /// Records that the upstream's connection broke before the end of the answer.
    pub fn record_break(&mut self) {
        if let Some(exposure) = self.exposure.take() {
            exposure.record_break(&self.entry);
        }
    }

    /// Records that the answer is complete.
    fn record_answer(&mut self, is_close_delimited: bool) {
        if let Some(exposure) = self.exposure.take() {
            exposure.record_answer(&self.entry, is_close_delimited);
        }
    }

    /// Records the end of the request as evidence on a rollout.
    pub fn end_ticket(&mut self, outcome: rollout::Outcome) {
        if let Some(mut ticket) = self.ticket.take() {
            ticket.end(outcome);
        }
    }

    /// Records the arrival of the first chunk of the response.
    fn observe_first_chunk(&mut self) {
        if let Some(workspace) = self.uncounted.take() {
            duties::count(&self.entry, Some(&workspace));
        }
        let now = clock::now();
        if self.request.pending_prefill >= NOTIFY_PREFILL_TOKENS {
            self.entry.report_due.notify_one();
        }
        self.end_fetches();
        let delay = now.since(self.started_at);
        metrics::histogram!("first_piece_seconds").record(delay.0 as f64 / 1_000.0);
        let mut upstreams = self.entry.upstreams.borrow_mut();
        if let Some(upstream) = upstreams.get_mut(&self.upstream) {
            upstream.finish_prefill(&mut self.request);
            self.entry.admission.wake();
        }
        if let Some(expected) = self.expected_first_chunk {
            upstreams.observe_delay(&self.upstream, delay.since(expected), now);
        }
    }

    /// Records that something arrived from the upstream.
    pub fn record_contact(&self) {
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(&self.upstream) {
            upstream.record_contact(clock::now());
        }
    }

    /// Updates the upstream's health from the result of this request.
    pub fn observe(&mut self, observation: balance::Observation) {
        if observation != balance::Observation::Success {
            self.end_ticket(rollout::Outcome::Failed);
        }
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(&self.upstream) {
            upstream.health.observe(observation, clock::now());
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.end_fetches();
        self.entry.in_flight.set(self.entry.in_flight.get().saturating_sub(1));
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(&self.upstream) {
            upstream.end_request(&mut self.request);
            let held = clock::now().since(self.started_at);
            self.entry.admission.record_freed(&upstream.record.service, held);
        }
    }
}

impl UpstreamBody {
    /// Creates the body that forwards an upstream's response.
    ///
    /// The connection returns to the pool once the response was read to its end; it is closed if
    /// the body is dropped before.
    pub fn new(
        incoming: Incoming,
        guard: RequestGuard,
        conn: (net::SocketAddr, client::Conn, response::Parts),
        deadline: Option<tokio::time::Instant>,
        request_id: String,
    ) -> Self {
        let deadline = deadline.map(|at| Box::pin(tokio::time::sleep_until(at)));
        let (_, _, parts) = &conn;
        let events = event_stream::EventStream::of_response(parts);
        let is_close_delimited = event_stream::is_close_delimited(parts);
        Self {
            incoming,
            guard,
            conn: Some(conn),
            deadline,
            has_received_chunk: false,
            request_id,
            events,
            is_close_delimited,
        }
    }

    /// Returns whether the response would be an incomplete event stream if it ended now.
    ///
    /// A stream without any event is complete only if its framing says so.
    fn ends_inside_event(&self) -> bool {
        let Some(events) = &self.events else {
            return false;
        };
        let is_empty = !self.has_received_chunk && !self.is_close_delimited;
        !is_empty && !events.is_between_events()
    }

    /// Records that the upstream broke the response off.
    fn abort(&mut self, error: BodyError) -> BodyError {
        self.guard.observe(balance::Observation::TransportError);
        self.guard.record_break();
        self.log_abort(&error);
        error
    }

    /// Records that the response is complete.
    fn finish(&mut self) {
        self.guard.record_answer(self.is_close_delimited);
        self.guard.end_ticket(rollout::Outcome::Answered);
        if let Some((address, conn, parts)) = self.conn.take() {
            self.guard.entry.client.pool().put(address, conn, &parts);
        }
    }

    fn log_abort(&self, error: &BodyError) {
        let took_ms = clock::now().since(self.guard.started_at).0;
        log::warn!(
            request = self.request_id, upstream:% = self.guard.upstream, took_ms, cause:% = error;
            "answer broken off"
        );
        metrics::counter!("answers_broken_off").increment(1);
    }
}

impl Body {
    /// Creates a body that the instance sends itself, without an upstream.
    pub fn local(body: Full<Bytes>) -> Self {
        Self::Local(body)
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let body = match self.get_mut() {
            Self::Upstream(body) => body,
            Self::Local(body) => {
                return Pin::new(body).poll_frame(cx).map_err(|never| match never {});
            }
        };
        match Pin::new(&mut body.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                body.guard.record_contact();
                if let Some(exposure) = &mut body.guard.exposure {
                    exposure.record_chunk();
                }
                if let Some(ticket) = &body.guard.ticket {
                    ticket.record_chunk();
                }
                if !body.has_received_chunk {
                    body.has_received_chunk = true;
                    body.guard.observe_first_chunk();
                }
                if let (Some(events), Some(bytes)) = (&mut body.events, frame.data_ref()) {
                    events.push(bytes);
                }
                // hyper doesn't poll again once the announced content length has arrived, so the
                // connection returns to the pool here.
                if body.incoming.is_end_stream() {
                    if body.ends_inside_event() {
                        return Poll::Ready(Some(Err(body.abort(BodyError::EndedInsideEvent))));
                    }
                    body.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                Poll::Ready(Some(Err(body.abort(BodyError::from(error)))))
            }
            Poll::Ready(None) if body.ends_inside_event() => {
                Poll::Ready(Some(Err(body.abort(BodyError::EndedInsideEvent))))
            }
            Poll::Ready(None) => {
                body.finish();
                Poll::Ready(None)
            }
            Poll::Pending => {
                let Some(deadline) = &mut body.deadline else {
                    return Poll::Pending;
                };
                if deadline.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                body.deadline = None;
                body.guard.end_ticket(rollout::Outcome::Failed);
                let error = BodyError::DeadlineExceeded;
                body.log_abort(&error);
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Upstream(body) => body.incoming.is_end_stream(),
            Self::Local(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Upstream(body) => body.incoming.size_hint(),
            Self::Local(body) => body.size_hint(),
        }
    }
}
