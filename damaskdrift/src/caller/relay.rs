//! Relays an engine's event stream to the caller and resumes it after connection failures.

use std::sync;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use futures_util::stream;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::backoff;
use crate::caller::resume;
use crate::context;
use crate::control::slots;
use crate::upstream;

/// Chunks buffered for a caller that reads more slowly than the upstream writes.
const BUFFERED_CHUNKS: usize = 8;
/// Last bytes of a complete event stream.
const END_MARKER: &[u8] = b"data: [DONE]\n\n";
/// Maximum number of consecutive attempts to resume a broken stream that receive no byte; then the
/// stream fails.
const RESUME_ATTEMPTS: u32 = 7;
/// Maximum number of such attempts while the stream has not delivered a byte; lower, because
/// another engine can still serve the request from the start.
const FIRST_CHUNK_ATTEMPTS: u32 = 2;
/// Delay before the second attempt to resume; doubles with each further attempt.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// Sending half of the channel from an engine's stream to the caller's response.
pub type Sender = mpsc::Sender<Chunk>;
/// Receiving half of the channel from an engine's stream to the caller's response.
pub type Receiver = mpsc::Receiver<Chunk>;

/// A message from an engine's stream to the caller's response. The end has its own variant: a
/// channel closed without `End` means that the stream was cut off, and the caller must not treat it
/// as complete.
#[derive(Debug)]
pub enum Chunk {
    /// The next bytes of the body.
    Data(Bytes),
    /// The stream is complete.
    End,
}

/// Identifies a stream on its engine.
#[derive(Clone, Debug)]
pub struct StreamId {
    /// The engine that generates the stream.
    pub target: upstream::Target,
    /// The id under which the engine retains the stream for a resumption.
    pub request: id::Request,
    /// The caller's workspace.
    pub workspace: id::Workspace,
}

/// Reads an event stream from an engine, resuming it when the connection breaks.
pub struct Source {
    cx: sync::Arc<context::Context>,
    stream: StreamId,
    conn: upstream::Connection,
    body: Option<Incoming>,
    boot: Option<id::Boot>,
    start_offset: u64,
    offset: u64,
    /// The last bytes read, at most the length of `END_MARKER`.
    tail: Vec<u8>,
    attempts_left: u32,
    slot: Option<slots::Slot>,
}

/// Statistics of a relayed stream.
#[derive(Debug)]
pub struct StreamStats {
    /// Whether the stream was read to its end.
    pub is_complete: bool,
    /// Longest time between two chunks, in milliseconds; absent with fewer than two chunks.
    pub longest_gap: Option<Millis>,
}

impl Source {
    /// Creates a source; without a body, the first read resumes the stream from `offset`.
    pub fn new(
        cx: &sync::Arc<context::Context>,
        stream: StreamId,
        conn: upstream::Connection,
        body: Option<Incoming>,
        offset: u64,
    ) -> Self {
        let boot = conn.boot.clone();
        Self {
            cx: cx.clone(),
            stream,
            conn,
            body,
            boot,
            start_offset: offset,
            offset,
            tail: Vec::new(),
            attempts_left: if offset == 0 { FIRST_CHUNK_ATTEMPTS } else { RESUME_ATTEMPTS },
            slot: None,
        }
    }

    /// Keeps a slot occupied until the stream has ended.
    pub fn with_slot(mut self, slot: slots::Slot) -> Self {
        self.slot = Some(slot);
        self
    }

    /// Returns the next chunk, or `None` at the end of the stream. A broken connection is replaced
    /// without losing or duplicating bytes.
    ///
    /// # Errors
    ///
    /// Returns the failure that broke the stream when it cannot be resumed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, upstream::Failure> {
        loop {
            let failure = match self.read().await {
                Ok(Some(chunk)) => {
                    self.advance(&chunk);
                    return Ok(Some(chunk));
                }
                Ok(None) if self.is_at_end() => return Ok(None),
                Ok(None) => broken("the stream ended early"),
                Err(failure) => failure,
            };
            slots::record_connection_loss(&self.cx, &self.stream.target.id);
            self.reconnect(failure).await?;
        }
    }

    /// Relays the rest of the stream. It is read to its end even if the caller disconnects, because
    /// the engine retains it for a resumption, and the slot must stay occupied until it ends.
    pub async fn relay(mut self, first: Bytes, tx: Sender) -> StreamStats {
        let stall_timeout = self.cx.upstreams.timeouts().response;
        let mut tx = deliver(Some(tx), Chunk::Data(first), stall_timeout).await;
        let mut last_chunk_at = Instant::now();
        let mut stats = StreamStats { is_complete: false, longest_gap: None };
        loop {
            let chunk = match self.next().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(failure) => {
                    log::warn!(
                        "[{}] stream {} failed: {failure}",
                        failure.code.number(),
                        self.stream.request
                    );
                    return stats;
                }
            };
            stats.longest_gap = stats.longest_gap.max(Some(last_chunk_at.elapsed().into()));
            tx = deliver(tx, Chunk::Data(chunk), stall_timeout).await;
            last_chunk_at = Instant::now();
        }
        deliver(tx, Chunk::End, stall_timeout).await;
        stats.is_complete = true;
        if let Some(boot) = &self.boot {
            slots::record_completion(&self.cx, &self.stream.target.id, boot);
        }
        self.cx.upstreams.put(&self.stream.target, self.conn);
        stats
    }

    async fn read(&mut self) -> Result<Option<Bytes>, upstream::Failure> {
        let timeout = self.cx.upstreams.timeouts().response;
        match &mut self.body {
            Some(body) => upstream::next_chunk(body, timeout).await,
            None => Err(broken("the connection broke before the answer began")),
        }
    }

    /// Returns whether the stream is complete rather than closed early by the engine. A stream
    /// resumed near its end yields only a suffix of the end marker.
    fn is_at_end(&self) -> bool {
        let is_suffix = self.start_offset > 0 && self.tail.len() < END_MARKER.len();
        self.tail == END_MARKER || (is_suffix && END_MARKER.ends_with(&self.tail))
    }

    fn advance(&mut self, chunk: &[u8]) {
        self.attempts_left = RESUME_ATTEMPTS;
        self.offset += chunk.len() as u64;
        let last_bytes = &chunk[chunk.len().saturating_sub(END_MARKER.len())..];
        self.tail.extend_from_slice(last_bytes);
        let excess = self.tail.len().saturating_sub(END_MARKER.len());
        self.tail.drain(..excess);
    }

    async fn reconnect(&mut self, failure: upstream::Failure) -> Result<(), upstream::Failure> {
        self.body = None;
        let mut delay = Duration::ZERO;
        while self.attempts_left > 0 {
            self.attempts_left -= 1;
            // All streams of an engine tend to break at once; jitter spreads their reconnects.
            tokio::time::sleep(backoff::jittered(delay, 0.5..1.0)).await;
            delay = (delay * 2).max(RESUME_DELAY);
            let opened =
                resume::open(&self.cx, &self.stream, self.boot.as_ref(), self.offset).await;
            match opened {
                Ok((conn, response)) if response.status() == StatusCode::OK => {
                    log::info!("stream {} resumed at byte {}", self.stream.request, self.offset);
                    self.conn = conn;
                    self.body = Some(response.into_body());
                    return Ok(());
                }
                Ok((_, response)) => {
                    log::info!(
                        "stream {} not resumed: engine responded with status {}",
                        self.stream.request,
                        response.status()
                    );
                    break;
                }
                // A restarted engine no longer has the stream.
                Err(error) if error.code == code::Code::NoUpstream => break,
                Err(error) => log::debug!("stream {} not resumed: {error}", self.stream.request),
            }
        }
        Err(failure)
    }
}

/// Body error that aborts the response of an incomplete stream; the caller may resume the stream by
/// its request id.
#[derive(Debug, thiserror::Error)]
#[error("upstream stream ended before it was complete")]
pub struct IncompleteStream;

/// Sends a chunk to the caller and returns the channel, or `None` once the caller has disconnected
/// or accepted no chunk for `stall_timeout`.
async fn deliver(tx: Option<Sender>, chunk: Chunk, stall_timeout: Duration) -> Option<Sender> {
    let tx = tx?;
    tx.send_timeout(chunk, stall_timeout).await.is_ok().then_some(tx)
}

fn broken(message: &str) -> upstream::Failure {
    upstream::Failure::sent(code::Code::UpstreamBroken, message.to_owned())
}

/// Creates the bounded channel between an upstream's stream and the caller's response.
pub fn channel() -> (Sender, Receiver) {
    mpsc::channel(BUFFERED_CHUNKS)
}

/// Builds the caller's response; its body fails if the channel closes without [`Chunk::End`].
pub fn response(rx: Receiver) -> warp::reply::Response {
    let chunks = stream::unfold(rx, |mut rx| async {
        match rx.recv().await {
            Some(Chunk::Data(bytes)) => Some((Ok(bytes), rx)),
            Some(Chunk::End) => None,
            None => Some((Err(IncompleteStream), rx)),
        }
    });
    warp::Reply::into_response(warp::reply::stream(chunks))
}
