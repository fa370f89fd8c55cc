//! Listener for other instances.

use std::net;
use std::sync;
use std::time::Duration;

use damaskdrift_core::id;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time;

use crate::context;
use crate::peer::Error;
use crate::peer::handlers;
use crate::peer::message;
use crate::peer::socket;

/// Maximum number of open connections from peers.
const MAX_CONNECTIONS: usize = 1_024;
/// Maximum number of replies queued for sending per connection.
const QUEUE_LEN: usize = 64;
/// Timeout for sending a reply, reached when the peer does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Spawns a task that accepts and serves connections from peers.
pub fn start(cx: &sync::Arc<context::Context>, listener: TcpListener) {
    tokio::spawn(accept(cx.clone(), listener));
}

async fn accept(cx: sync::Arc<context::Context>, listener: TcpListener) {
    let permits = sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((tcp, address)) => {
                let cx = cx.clone();
                tokio::spawn(async move {
                    serve(&cx, tcp, address).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("cannot accept a connection from a peer: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(cx: &sync::Arc<context::Context>, tcp: TcpStream, address: net::SocketAddr) {
    let error = match socket::accept(cx, tcp).await {
        Ok(mut socket) => {
            let hello = &socket.hello;
            let peer = hello.instance.clone();
            cx.membership().record_hello(&peer, &hello.failure_domain, &hello.boot, cx.now());
            handle_requests(cx, &peer, &mut socket).await
        }
        Err(error) => error,
    };
    let code = error.code();
    match error {
        Error::Unreachable(_) => {
            log::debug!(code = code.number(), address:%; "connection from a peer ended: {error}");
        }
        _ => {
            log::warn!(code = code.number(), address:%; "closed a connection from a peer: {error}");
        }
    }
}

/// Handles requests until the connection fails, and returns the error that ended it.
async fn handle_requests(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
    socket: &mut socket::Socket<socket::Stream>,
) -> Error {
    let (tx, mut rx) = mpsc::channel(QUEUE_LEN);
    loop {
        let frame = tokio::select! {
            Some(frame) = rx.recv() => frame,
            frame = socket.receive() => match frame {
                Ok(message::Frame::Request(number, request)) => {
                    // Handled concurrently, so that a slow request does not delay heartbeats.
                    tokio::spawn(reply(cx.clone(), peer.clone(), number, request, tx.clone()));
                    continue;
                }
                Ok(_) => return Error::Message("expected a request frame".to_owned()),
                Err(error) => return error,
            },
        };
        match time::timeout(SEND_TIMEOUT, socket.send(&frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error,
            Err(_) => return Error::Unreachable(format!("reply not sent within {SEND_TIMEOUT:?}")),
        }
    }
}

async fn reply(
    cx: sync::Arc<context::Context>,
    peer: id::Instance,
    number: u64,
    request: message::Request,
    tx: mpsc::Sender<message::Frame>,
) {
    let reply = handlers::handle(&cx, &peer, request).await;
    // The connection may have closed in the meantime; the peer's call has then failed.
    let _ = tx.send(message::Frame::Reply(number, reply)).await;
}
