//! Outgoing connection to one peer, opened on the first call and reopened after a failure.

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::id;
use tokio::sync::{mpsc, oneshot};
use tokio::time;

use crate::backoff;
use crate::context;
use crate::peer::Error;
use crate::peer::message;
use crate::peer::socket;

/// Maximum number of calls queued for the connection.
const QUEUE_LEN: usize = 64;
/// Delay before reconnecting after the first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Maximum delay before reconnecting; a recovered peer must be reached before it would otherwise
/// be considered dead.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Time without a reply after which a connection with pending calls is closed.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which calls are removed whose caller no longer waits.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Handle of the task that owns the connection to one peer.
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
    /// Spawns the connection task for a peer; it ends when all clones of the link are dropped.
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
    /// Returns why the peer did not reply, or that too many calls are queued.
    pub async fn call(&self, request: message::Request) -> Result<message::Reply, Error> {
        let (reply, rx) = oneshot::channel();
        let full = |_| Error::Unreachable(format!("{QUEUE_LEN} calls are queued already"));
        self.tx.try_send(Call { request, reply }).map_err(full)?;
        rx.await.unwrap_or_else(|_| Err(connection_lost()))
    }
}

async fn run(cx: sync::Weak<context::Context>, peer: id::Instance, mut rx: mpsc::Receiver<Call>) {
    let mut backoff = backoff::Backoff::new(BACKOFF_MIN, BACKOFF_MAX);
    let mut is_logged = false;
    while let Some(first) = rx.recv().await {
        let opened = match cx.upgrade() {
            Some(cx) => open(&cx, &peer).await,
            None => return,
        };
        let error = match opened {
            Ok(socket) => {
                log::info!(peer:% = peer; "connected to peer");
                backoff.reset();
                is_logged = false;
                exchange(socket, first, &mut rx).await
            }
            Err(error) => {
                let _ = first.reply.send(Err(error.clone()));
                error
            }
        };
        if !is_logged {
            let code = error.code().number();
            log::warn!(code, peer:% = peer; "connection to peer failed: {error}");
            is_logged = true;
        }
        reject_calls_for(backoff.next(), &error, &mut rx).await;
    }
}

async fn open(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
) -> Result<socket::Socket<socket::Stream>, Error> {
    let Some(address) = cx.membership().address(peer) else {
        return Err(Error::Unknown(peer.clone()));
    };
    let socket = socket::connect(cx, peer, address).await?;
    let hello = &socket.hello;
    cx.membership().record_hello(peer, &hello.failure_domain, &hello.boot, cx.now());
    Ok(socket)
}

/// Exchanges requests and replies until the connection fails, and returns the error that ended it.
async fn exchange(
    mut socket: socket::Socket<socket::Stream>,
    first: Call,
    rx: &mut mpsc::Receiver<Call>,
) -> Error {
    let mut pending = collections::HashMap::new();
    let mut number = 0_u64;
    let mut last_reply = time::Instant::now();
    let mut sweep = time::interval(SWEEP_INTERVAL);
    sweep.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut next = Some(first);
    loop {
        if let Some(call) = next.take() {
            number += 1;
            pending.insert(number, call.reply);
            let frame = message::Frame::Request(number, call.request);
            let sent = time::timeout(REPLY_TIMEOUT, socket.send(&frame)).await;
            match sent.unwrap_or_else(|_| Err(connection_lost())) {
                Ok(()) => {}
                // Dropping `pending` fails the calls that wait for a reply.
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
                    last_reply = time::Instant::now();
                    if let Some(tx) = pending.remove(&number) {
                        let _ = tx.send(Ok(reply));
                    }
                }
                Ok(_) => return Error::Message("expected a reply frame".to_owned()),
                Err(error) => return error,
            },
            _ = sweep.tick() => {
                if !pending.is_empty() && last_reply.elapsed() > REPLY_TIMEOUT {
                    return Error::Unreachable(format!("no reply within {REPLY_TIMEOUT:?}"));
                }
                pending.retain(|_, tx: &mut oneshot::Sender<_>| !tx.is_closed());
            }
        }
    }
}

/// Fails new calls with the error until the reconnect delay has passed.
async fn reject_calls_for(delay: Duration, error: &Error, rx: &mut mpsc::Receiver<Call>) {
    let end = time::sleep(delay);
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

fn connection_lost() -> Error {
    Error::Unreachable("the connection was lost".to_owned())
}
