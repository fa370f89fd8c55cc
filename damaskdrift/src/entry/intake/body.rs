//! Bodies of requests, collected in one buffer, and of responses, whose end is recorded.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::limits;
use damaskdrift_core::time::Millis;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use tokio::time::Instant;

use crate::entry::clock;
use crate::entry::intake;
use crate::entry::intake::conn;
use crate::entry::refusal;
use crate::entry::relay;

/// Smallest growth of a body's buffer. A buffer grows by a quarter, which copies less than doubling
/// wastes.
const MIN_GROWTH_BYTES: usize = 16 << 10;
const GROWTH: usize = 4;
/// Steps in which a body of known length is charged.
const CHARGED_STEP_BYTES: usize = 64 << 10;

/// The body of a request with the bytes charged for it, in the form that [`Bytes`] can own.
struct Collected {
    buffer: Vec<u8>,
    _guard: limits::Guard,
}

impl AsRef<[u8]> for Collected {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

/// A body that is being collected.
struct Collector<'a> {
    conn: &'a intake::Conn,
    guard: RefCell<limits::Guard>,
    buffer: Vec<u8>,
    /// Length that the request's header gives.
    length: Option<usize>,
    max_bytes: usize,
}

/// Reads the complete body of a request into one buffer, so that no upstream receives a truncated
/// one and small chunks cost no more than their bytes.
///
/// # Errors
///
/// Returns a refusal if the body is too large, too slow or malformed, or if the account is short.
pub async fn collect(
    conn: &intake::Conn,
    mut body: Incoming,
    max_bytes: usize,
    deadline: Option<Instant>,
) -> Result<Bytes, refusal::Refusal> {
    let length = body.size_hint().exact().map(|l| usize::try_from(l).unwrap_or(usize::MAX));
    if length.is_some_and(|length| length > max_bytes) {
        return Err(too_large(max_bytes));
    }
    if length == Some(0) {
        return Ok(Bytes::new());
    }
    let guard = conn.body_guard();
    let mut collector = Collector { conn, guard, buffer: Vec::new(), length, max_bytes };
    let started_at = clock::now();
    let timeout = tokio::time::sleep_until(due(started_at, 0, deadline));
    let mut timeout = std::pin::pin!(timeout);
    loop {
        let frame = tokio::select! {
            biased;
            refusal = conn.refusal() => return Err(refusal),
            frame = body.frame() => frame,
            () = timeout.as_mut() => {
                let due = due(started_at, collector.buffer.len(), deadline);
                if due <= Instant::now() {
                    if deadline.is_none_or(|deadline| Instant::now() < deadline) {
                        conn.record_slow_body();
                    }
                    return Err(conn::too_slow());
                }
                timeout.as_mut().reset(due);
                continue;
            }
        };
        match frame {
            None => break,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    collector.push(data).await?;
                }
            }
            Some(Err(error)) => {
                let code = code::Code::MalformedBody;
                return Err(refusal::Refusal::not_run(code, error.to_string()));
            }
        }
    }
    Ok(collector.finish())
}

impl Collector<'_> {
    async fn push(&mut self, data: &[u8]) -> Result<(), refusal::Refusal> {
        let bytes = self.buffer.len() + data.len();
        if bytes > self.max_bytes {
            return Err(too_large(self.max_bytes));
        }
        if bytes > self.guard.borrow().bytes() {
            let charged = self.next_size(bytes);
            self.conn.charge(&self.guard, charged).await?;
            self.conn.set_body_bytes(charged);
            // Memory of a buffer that has not been written to is not resident, so only the part
            // that will be is charged.
            let capacity = self.length.unwrap_or(charged);
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Returns the bytes to charge for a body that has grown to `bytes`.
    fn next_size(&self, bytes: usize) -> usize {
        match self.length {
            Some(length) => bytes.next_multiple_of(CHARGED_STEP_BYTES).min(length).max(bytes),
            None => {
                let growth = (self.buffer.len() / GROWTH).max(MIN_GROWTH_BYTES);
                bytes.max(self.buffer.len() + growth).min(self.max_bytes)
            }
        }
    }

    fn finish(self) -> Bytes {
        Bytes::from_owner(Collected { buffer: self.buffer, _guard: self.guard.into_inner() })
    }
}

/// Returns when a body of which `bytes` have arrived must have grown further.
fn due(started_at: Millis, bytes: usize, deadline: Option<Instant>) -> Instant {
    let left = limits::body_due(started_at, bytes).since(clock::now());
    let due = Instant::now() + Duration::from(left);
    deadline.map_or(due, |deadline| due.min(deadline))
}

fn too_large(max_bytes: usize) -> refusal::Refusal {
    let reason = format!("the body has more than {max_bytes} bytes");
    refusal::Refusal::not_run(code::Code::BodyTooLarge, reason)
}

/// The body of a response, whose end is recorded at its connection.
#[derive(Debug)]
pub struct Body {
    inner: relay::Body,
    conn: Rc<intake::Conn>,
}

impl Body {
    /// Creates the body of a response on a connection.
    pub fn new(inner: relay::Body, conn: Rc<intake::Conn>) -> Self {
        Self { inner, conn }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.conn.end_request();
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = relay::BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, relay::BodyError>>> {
        Pin::new(&mut self.get_mut().inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
