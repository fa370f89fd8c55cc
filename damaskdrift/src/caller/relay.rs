//! Carries an engine's answer to the caller, across broken connections.

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

/// Pieces held for a caller that reads more slowly than the upstream writes.
const BUFFERED_PIECES: usize = 8;
/// Last bytes of a complete stream of events.
const END: &[u8] = b"data: [DONE]\n\n";
/// Attempts to resume a broken stream without receiving a byte before it is given up.
const RESUME_ATTEMPTS: u32 = 7;
/// The same for a stream that has not begun; another engine may begin it anew.
const FIRST_ATTEMPTS: u32 = 2;
/// Wait before the second attempt to resume; it doubles with each further one.
const RESUME_WAIT: Duration = Duration::from_millis(50);

/// Takes what a stream brings to its caller.
pub type Sender = mpsc::Sender<Piece>;
/// Gives what a stream brings to its caller.
pub type Receiver = mpsc::Receiver<Piece>;

/// What a stream brings to its caller. The end is a piece of its own: a channel that is closed
/// without it was abandoned, and its caller must not take the stream for complete.
#[derive(Debug)]
pub enum Piece {
    /// The next bytes.
    Data(Bytes),
    /// The end of a complete stream.
    End,
}

/// Identifies a stream at its engine.
#[derive(Clone, Debug)]
pub struct StreamId {
    /// The engine.
    pub target: upstream::Target,
    /// The request.
    pub request: id::Request,
    /// The caller's workspace.
    pub workspace: id::Workspace,
}

/// A stream of events that is read from an engine.
pub struct Source {
    cx: sync::Arc<context::Context>,
    stream: StreamId,
    conn: upstream::Connection,
    body: Option<Incoming>,
    boot: Option<id::Boot>,
    start: u64,
    offset: u64,
    tail: Vec<u8>,
    attempts_left: u32,
    slot: Option<slots::Slot>,
}

/// What a stream showed when it ended.
#[derive(Debug)]
pub struct Seen {
    /// Whether all of it was read.
    pub is_complete: bool,
    /// Longest time between two pieces.
    pub longest_gap: Option<Millis>,
}

impl Source {
    /// Creates the source of a stream; without a body it is resumed from `offset` when first read.
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
            start: offset,
            offset,
            tail: Vec::new(),
            attempts_left: if offset == 0 { FIRST_ATTEMPTS } else { RESUME_ATTEMPTS },
            slot: None,
        }
    }

    /// Holds a slot until the stream has ended.
    pub fn with_slot(mut self, slot: slots::Slot) -> Self {
        self.slot = Some(slot);
        self
    }

    /// Returns the next piece; a broken connection is replaced without a gap or a repetition.
    ///
    /// # Errors
    ///
    /// Returns why the rest of the stream cannot be had.
    pub async fn next(&mut self) -> Result<Option<Bytes>, upstream::Failure> {
        loop {
            let failure = match self.read().await {
                Ok(Some(piece)) => {
                    self.advance(&piece);
                    return Ok(Some(piece));
                }
                Ok(None) if self.is_at_end() => return Ok(None),
                Ok(None) => broken("the stream ended early"),
                Err(failure) => failure,
            };
            slots::record_connection_loss(&self.cx, &self.stream.target.id);
            self.reconnect(failure).await?;
        }
    }

    /// Relays the rest of the stream; it is read to its end even if the caller goes away, because
    /// the engine keeps it for a resumption and the slot must cover it until then.
    pub async fn relay(mut self, first: Bytes, tx: Sender) -> Seen {
        let stall = self.cx.upstreams.timeouts().answer;
        let mut tx = deliver(Some(tx), Piece::Data(first), stall).await;
        let mut last = Instant::now();
        let mut seen = Seen { is_complete: false, longest_gap: None };
        loop {
            let piece = match self.next().await {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(failure) => {
                    log::warn!("[{}] {}: {failure}", failure.code.number(), self.stream.request);
                    return seen;
                }
            };
            seen.longest_gap = seen.longest_gap.max(Some(last.elapsed().into()));
            tx = deliver(tx, Piece::Data(piece), stall).await;
            last = Instant::now();
        }
        deliver(tx, Piece::End, stall).await;
        seen.is_complete = true;
        if let Some(boot) = &self.boot {
            slots::record_completion(&self.cx, &self.stream.target.id, boot);
        }
        self.cx.upstreams.put(&self.stream.target, self.conn);
        seen
    }

    async fn read(&mut self) -> Result<Option<Bytes>, upstream::Failure> {
        let wait = self.cx.upstreams.timeouts().answer;
        match &mut self.body {
            Some(body) => upstream::next_piece(body, wait).await,
            None => Err(broken("the connection broke before the answer began")),
        }
    }

    /// Tells a complete stream from one that the engine closed early. A stream resumed near its end
    /// shows only a part of the last event.
    fn is_at_end(&self) -> bool {
        let is_part = self.start > 0 && self.tail.len() < END.len();
        self.tail == END || (is_part && END.ends_with(&self.tail))
    }

    fn advance(&mut self, piece: &[u8]) {
        self.attempts_left = RESUME_ATTEMPTS;
        self.offset += piece.len() as u64;
        let fresh = &piece[piece.len().saturating_sub(END.len())..];
        self.tail.extend_from_slice(fresh);
        let excess = self.tail.len().saturating_sub(END.len());
        self.tail.drain(..excess);
    }

    async fn reconnect(&mut self, failure: upstream::Failure) -> Result<(), upstream::Failure> {
        self.body = None;
        let mut wait = Duration::ZERO;
        while self.attempts_left > 0 {
            self.attempts_left -= 1;
            // All streams of an engine break together; the jitter keeps them from returning together.
            tokio::time::sleep(backoff::jittered(wait, 0.5..1.0)).await;
            wait = (wait * 2).max(RESUME_WAIT);
            let opened =
                resume::open(&self.cx, &self.stream, self.boot.as_ref(), self.offset).await;
            match opened {
                Ok((conn, response)) if response.status() == StatusCode::OK => {
                    log::info!("{} resumed at byte {}", self.stream.request, self.offset);
                    self.conn = conn;
                    self.body = Some(response.into_body());
                    return Ok(());
                }
                Ok((_, response)) => {
                    log::info!("{} not resumed: {}", self.stream.request, response.status());
                    break;
                }
                // A restarted engine has lost the stream.
                Err(error) if error.code == code::Code::NoUpstream => break,
                Err(error) => log::debug!("{} not resumed: {error}", self.stream.request),
            }
        }
        Err(failure)
    }
}

/// A stream that was cut off; the caller may resume it by its request id.
#[derive(Debug, thiserror::Error)]
#[error("the upstream's stream broke off")]
pub struct Broken;

/// Passes a piece to the caller and returns the channel while the caller still takes pieces; one that
/// takes none for `stall` is cut off.
async fn deliver(tx: Option<Sender>, piece: Piece, stall: Duration) -> Option<Sender> {
    let tx = tx?;
    tx.send_timeout(piece, stall).await.is_ok().then_some(tx)
}

fn broken(message: &str) -> upstream::Failure {
    upstream::Failure::sent(code::Code::UpstreamBroken, message.to_owned())
}

/// Creates the channel between an upstream's stream and the caller.
pub fn channel() -> (Sender, Receiver) {
    mpsc::channel(BUFFERED_PIECES)
}

/// Builds the caller's answer from a channel of pieces.
pub fn response(rx: Receiver) -> warp::reply::Response {
    let pieces = stream::unfold(rx, |mut rx| async {
        match rx.recv().await {
            Some(Piece::Data(bytes)) => Some((Ok(bytes), rx)),
            Some(Piece::End) => None,
            None => Some((Err(Broken), rx)),
        }
    });
    warp::Reply::into_response(warp::reply::stream(pieces))
}
