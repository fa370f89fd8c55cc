//! Bodies of answers: an upstream's passed on as it comes, or the instance's own.

use std::net;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use http_body_util::Full;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::http::response;
use thiserror::Error;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::state;

/// Size of a prompt, in tokens to be read, from which other instances are told of it at once. It
/// takes some ten milliseconds to read, for which other requests there wait.
const NOTED_TOKENS: u64 = 500;

/// A request that an upstream has not finished. Dropping it ends the instance's count of it.
#[derive(Debug)]
pub struct Flight {
    entry: Rc<state::Entry>,
    upstream: id::Upstream,
    sent: balance::InFlightRequest,
    since: Millis,
    expected: Option<Millis>,
}

/// An answer that an instance broke off.
#[derive(Debug, Error)]
pub enum Broken {
    /// The upstream's connection ended early.
    #[error("the upstream's answer ended early: {_0}")]
    Upstream(#[from] hyper::Error),
    /// The time of the request was over.
    #[error("the time of the request is over")]
    Late,
}

/// An upstream's answer on its way.
#[derive(Debug)]
pub struct Passing {
    incoming: Incoming,
    flight: Flight,
    conn: Option<(net::SocketAddr, client::Conn, response::Parts)>,
    deadline: Option<Pin<Box<tokio::time::Sleep>>>,
    has_begun: bool,
    request: String,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// An upstream's.
    Passing(Box<Passing>),
    /// The instance's own.
    Own(Full<Bytes>),
}

impl Flight {
    /// Counts a request as sent; the first event of an engine is expected after
    /// `expected`.
    pub fn new(
        entry: &Rc<state::Entry>,
        upstream: &id::Upstream,
        sent: balance::InFlightRequest,
        expected: Option<Millis>,
    ) -> Self {
        let since = clock::now();
        if let Some(upstream) = entry.upstreams.borrow_mut().get_mut(upstream) {
            upstream.begin_request(&sent, since);
        }
        if sent.pending_prefill >= NOTED_TOKENS {
            entry.load_changed.notify_one();
        }
        Self { entry: entry.clone(), upstream: upstream.clone(), sent, since, expected }
    }

    /// Notes that the first piece of the answer came.
    fn begin(&mut self) {
        let now = clock::now();
        if self.sent.pending_prefill >= NOTED_TOKENS {
            self.entry.load_changed.notify_one();
        }
        let took = now.since(self.since);
        metrics::histogram!("first_piece_seconds").record(took.0 as f64 / 1_000.0);
        let mut upstreams = self.entry.upstreams.borrow_mut();
        if let Some(upstream) = upstreams.get_mut(&self.upstream) {
            upstream.finish_prefill(&mut self.sent);
        }
        if let Some(expected) = self.expected {
            upstreams.observe_delay(&self.upstream, took.since(expected), now);
        }
    }

    /// Notes what the answer, or its absence, says of the upstream.
    pub fn observe(&self, verdict: balance::Observation) {
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(&self.upstream) {
            upstream.health.observe(verdict, clock::now());
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(&self.upstream) {
            upstream.end_request(&mut self.sent);
        }
    }
}

impl Passing {
    /// Passes an answer on; the connection is kept once the answer was read to its end.
    pub fn new(
        incoming: Incoming,
        flight: Flight,
        conn: (net::SocketAddr, client::Conn, response::Parts),
        deadline: Option<tokio::time::Instant>,
        request: String,
    ) -> Self {
        let deadline = deadline.map(|at| Box::pin(tokio::time::sleep_until(at)));
        Self { incoming, flight, conn: Some(conn), deadline, has_begun: false, request }
    }

    fn finish(&mut self) {
        if let Some((address, conn, parts)) = self.conn.take() {
            self.flight.entry.client.pool().put(address, conn, &parts);
        }
    }

    fn log_break(&self, broken: &Broken) {
        let took_ms = clock::now().since(self.flight.since).0;
        log::warn!(
            request = self.request, upstream:% = self.flight.upstream, took_ms, cause:% = broken;
            "answer broken off"
        );
        metrics::counter!("answers_broken_off").increment(1);
    }
}

impl Body {
    /// Creates the body of an answer of the instance's own.
    pub fn own(body: Full<Bytes>) -> Self {
        Self::Own(body)
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let passing = match self.get_mut() {
            Self::Passing(passing) => passing,
            Self::Own(body) => {
                return Pin::new(body).poll_frame(cx).map_err(|never| match never {});
            }
        };
        match Pin::new(&mut passing.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if !passing.has_begun {
                    passing.has_begun = true;
                    passing.flight.begin();
                }
                // Kept before hyper asks again: it does not ask past an announced length.
                if passing.incoming.is_end_stream() {
                    passing.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                passing.flight.observe(balance::Observation::TransportError);
                let broken = Broken::from(error);
                passing.log_break(&broken);
                Poll::Ready(Some(Err(broken)))
            }
            Poll::Ready(None) => {
                passing.finish();
                Poll::Ready(None)
            }
            Poll::Pending => {
                let Some(deadline) = &mut passing.deadline else {
                    return Poll::Pending;
                };
                if deadline.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                passing.deadline = None;
                passing.log_break(&Broken::Late);
                Poll::Ready(Some(Err(Broken::Late)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Passing(passing) => passing.incoming.is_end_stream(),
            Self::Own(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Passing(passing) => passing.incoming.size_hint(),
            Self::Own(body) => body.size_hint(),
        }
    }
}
