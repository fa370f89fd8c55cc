//! Bodies of requests, collected in one buffer, and of responses, whose end is recorded.

use std::cell::RefCell;
use std::io;
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
use memmap2::{Advice, MmapMut, MmapOptions};
use tokio::time::Instant;

use crate::entry::clock;
use crate::entry::intake;
use crate::entry::intake::conn;
use crate::entry::refusal;
use crate::entry::relay;

/// Steps in which the buffer of a small body grows and is charged.
const SMALL_STEP_BYTES: usize = 16 << 10;
/// Steps in which a large body is charged.
const LARGE_STEP_BYTES: usize = 64 << 10;

/// Time that a body that is due gets in addition. After the process was frozen, it reads in this
/// time what the client has sent meanwhile.
const LATE_TIME: Duration = Duration::from_millis(500);

/// A buffer for a body.
#[derive(Debug)]
enum Buffer {
    /// A small body, or the start of a large one.
    Small(Vec<u8>),
    /// A large body in a mapping of its own, of which only the written part is resident. The heap
    /// would keep the memory of many large buffers after their end, since small allocations that
    /// live longer come to lie between them.
    Large(MmapMut, usize),
}

/// The body of a request with the bytes charged for it, in the form that [`Bytes`] can own.
struct Collected {
    buffer: Buffer,
    _guard: limits::Guard,
}

impl Buffer {
    fn bytes(&self) -> &[u8] {
        match self {
            Self::Small(buffer) => buffer,
            Self::Large(mapping, length) => &mapping[..*length],
        }
    }

    /// Returns a buffer for at most `max_bytes` that begins with these bytes.
    fn map(start: &[u8], max_bytes: usize) -> io::Result<Self> {
        let mut mapping = MmapOptions::new().len(max_bytes).map_anon()?;
        // A huge page would make megabytes resident for a body that stops after its first bytes.
        // The kernel may have none to advise on.
        let _ = mapping.advise(Advice::NoHugePage);
        mapping[..start.len()].copy_from_slice(start);
        Ok(Self::Large(mapping, start.len()))
    }
}

impl AsRef<[u8]> for Collected {
    fn as_ref(&self) -> &[u8] {
        self.buffer.bytes()
    }
}

/// A body that is being collected.
struct Collector<'a> {
    conn: &'a intake::Conn,
    guard: RefCell<limits::Guard>,
    buffer: Buffer,
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
    let mut collector =
        Collector { conn, guard, buffer: Buffer::Small(Vec::new()), length, max_bytes };
    let started_at = clock::now();
    let timeout = tokio::time::sleep_until(due(started_at, 0, deadline));
    let mut timeout = std::pin::pin!(timeout);
    let mut is_late = false;
    loop {
        let frame = tokio::select! {
            biased;
            refusal = conn.refusal() => return Err(refusal),
            frame = body.frame() => frame,
            () = timeout.as_mut() => {
                let now = Instant::now();
                if deadline.is_some_and(|deadline| deadline <= now) {
                    return Err(conn::too_slow());
                }
                let due = due(started_at, collector.buffer.bytes().len(), deadline);
                if due <= now && is_late {
                    conn.record_slow_body();
                    return Err(conn::too_slow());
                }
                is_late = due <= now;
                timeout.as_mut().reset(if is_late { now + LATE_TIME } else { due });
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
        let bytes = self.buffer.bytes().len() + data.len();
        if bytes > self.max_bytes {
            return Err(too_large(self.max_bytes));
        }
        let max_bytes = self.length.unwrap_or(self.max_bytes);
        let is_small = bytes <= limits::SMALL_BYTES;
        if bytes > self.guard.borrow().bytes() {
            let step = if is_small { SMALL_STEP_BYTES } else { LARGE_STEP_BYTES };
            let charged = bytes.next_multiple_of(step).min(max_bytes).max(bytes);
            self.conn.charge(&self.guard, charged).await?;
            self.conn.set_body_bytes(charged);
        }
        if let Buffer::Small(buffer) = &mut self.buffer {
            if is_small {
                let charged = self.guard.borrow().bytes();
                buffer.reserve_exact(charged - buffer.len());
                buffer.extend_from_slice(data);
                return Ok(());
            }
            let mapped = Buffer::map(buffer, max_bytes.max(bytes));
            self.buffer = mapped.map_err(|error| {
                log::warn!(cause:% = error; "cannot map memory for a body");
                conn::no_memory()
            })?;
        }
        if let Buffer::Large(mapping, length) = &mut self.buffer {
            mapping[*length..bytes].copy_from_slice(data);
            *length = bytes;
        }
        Ok(())
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
