//! Outgoing connection to one peer, opened on the first call and reopened after a failure.

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::id;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use crate::backoff;
use crate::context;
use crate::peer::Error;
use crate::peer::message;
use crate::peer::socket;

/// Calls that may wait for a connection.
const QUEUE_LEN: usize = 64;
/// First pause after a failed connection.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed connections; a returning peer must be found within the time in
/// which it would otherwise be considered dead.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Silence after which a connection with calls under way is given up.
const SILENCE_MAX: Duration = Duration::from_secs(3);
/// How often calls that nobody awaits any more are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Sends calls to the task that holds the connection.
#[derive(Clone, Debug)]
pub struct Link {
    tx: mpsc::Sender<Call>,
}

#[derive(Debug)]
struct Call {
    request: message::Request,
    reply: oneshot::Sender<Result<message::Reply, Error>>,
}

impl Link {
    /// Starts the task of a link to a peer; it ends when the link is dropped.
    pub fn new(cx: &sync::Arc<context::Context>, peer: &id::Instance) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        // The task must not keep the context alive, because the context owns the link.
        tokio::spawn(run(sync::Arc::downgrade(cx), peer.clone(), rx));
        Self { tx }
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply.
    pub async fn call(&self, request: message::Request) -> Result<message::Reply, Error> {
        let (reply, rx) = oneshot::channel();
        let full = |_| Error::Unreachable("too many calls are waiting".to_owned());
        self.tx.try_send(Call { request, reply }).map_err(full)?;
        rx.await.unwrap_or_else(|_| Err(broken()))
    }
}

async fn run(cx: sync::Weak<context::Context>, peer: id::Instance, mut rx: mpsc::Receiver<Call>) {
    let mut backoff = backoff::Backoff::new(BACKOFF_MIN, BACKOFF_MAX);
    let mut is_reported = false;
    while let Some(first) = rx.recv().await {
        let opened = match cx.upgrade() {
            Some(cx) => open(&cx, &peer).await,
            None => return,
        };
        let error = match opened {
            Ok(socket) => {
                log::info!(peer:% = peer; "connected to peer");
                backoff.reset();
                is_reported = false;
                exchange(socket, first, &mut rx).await
            }
            Err(error) => {
                let _ = first.reply.send(Err(error.clone()));
                error
            }
        };
        if !is_reported {
            log::warn!(code = error.code().number(), peer:% = peer; "connection failed: {error}");
            is_reported = true;
        }
        refuse_during(backoff.next(), &error, &mut rx).await;
    }
}

async fn open(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
) -> Result<socket::Socket<TcpStream>, Error> {
    let Some(address) = cx.membership().address(peer) else {
        return Err(Error::Unknown(peer.clone()));
    };
    let socket = socket::connect(cx, peer, address).await?;
    let hello = &socket.hello;
    cx.membership().record_hello(peer, &hello.failure_domain, &hello.boot, cx.now());
    Ok(socket)
}

/// Exchanges requests and replies until the connection fails, and returns why it did.
async fn exchange(
    mut socket: socket::Socket<TcpStream>,
    first: Call,
    rx: &mut mpsc::Receiver<Call>,
) -> Error {
    let mut pending = collections::HashMap::new();
    let mut number = 0_u64;
    let mut heard = time::Instant::now();
    let mut sweep = time::interval(SWEEP_INTERVAL);
    sweep.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut next = Some(first);
    loop {
        if let Some(call) = next.take() {
            number += 1;
            pending.insert(number, call.reply);
            let frame = message::Frame::Request(number, call.request);
            let sent = time::timeout(SILENCE_MAX, socket.send(&frame)).await;
            match sent.unwrap_or_else(|_| Err(broken())) {
                Ok(()) => {}
                // The receivers of the pending calls see that their sender is gone.
                Err(error) => return error,
            }
        }
        tokio::select! {
            call = rx.recv() => match call {
                Some(call) => next = Some(call),
                None => return Error::Unreachable("the link is no longer used".to_owned()),
            },
            frame = socket.receive() => match frame {
                Ok(message::Frame::Reply(number, reply)) => {
                    heard = time::Instant::now();
                    if let Some(waiting) = pending.remove(&number) {
                        let _ = waiting.send(Ok(reply));
                    }
                }
                Ok(_) => return Error::Message("a frame is no reply".to_owned()),
                Err(error) => return error,
            },
            _ = sweep.tick() => {
                if !pending.is_empty() && heard.elapsed() > SILENCE_MAX {
                    return Error::Unreachable("no reply for too long".to_owned());
                }
                pending.retain(|_, waiting: &mut oneshot::Sender<_>| !waiting.is_closed());
            }
        }
    }
}

async fn refuse_during(pause: Duration, error: &Error, rx: &mut mpsc::Receiver<Call>) {
    let end = time::sleep(pause);
    tokio::pin!(end);
    loop {
        tokio::select! {
            () = &mut end => return,
            call = rx.recv() => match call {
                Some(call) => drop(call.reply.send(Err(error.clone()))),
                None => return,
            },
        }
    }
}

fn broken() -> Error {
    Error::Unreachable("the connection broke".to_owned())
}
