//! HTTP client for the platform's store, upstreams and stores of kept KV cache.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task;

use crate::entry::pool;

/// Longest wait for a connection; the network answers in a few milliseconds, or a packet was lost
/// and is sent again after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer of a call, in bytes: a page of the platform's store with its encoding.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A call that got no usable answer.
#[derive(Debug, Error)]
pub enum Failure {
    /// No byte of the request left.
    #[error("not sent: {_0}")]
    Unsent(String),
    /// The request may have arrived.
    #[error("no answer: {_0}")]
    Sent(String),
    /// The answer has an unexpected status.
    #[error("status {_0}")]
    Status(StatusCode),
    /// The answer cannot be read.
    #[error("unreadable answer: {_0}")]
    Unreadable(String),
}

/// One connection.
#[derive(Debug)]
pub struct Conn {
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
}

/// A client with a pool of kept connections.
#[derive(Debug, Default)]
pub struct Client {
    pool: pool::Pool,
}

impl Conn {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be opened; nothing was sent.
    pub async fn open(address: net::SocketAddr) -> Result<Self, Failure> {
        let unsent = |error: &dyn std::error::Error| Failure::Unsent(error.to_string());
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(stream) => stream.map_err(|error| unsent(&error))?,
            Err(_) => return Err(Failure::Unsent(format!("connecting to {address} timed out"))),
        };
        stream.set_nodelay(true).map_err(|error| unsent(&error))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(|error| unsent(&error))?;
        task::spawn_local(async move {
            if let Err(error) = conn.await {
                log::debug!(address:%; "connection ended: {error}");
            }
        });
        metrics::counter!("connections_opened").increment(1);
        Ok(Self { sender })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have arrived.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                // The library gives back the message of which it has written nothing.
                let is_unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if is_unsent { Failure::Unsent(reason) } else { Failure::Sent(reason) })
            }
        }
    }
}

impl Client {
    /// Returns the pool of kept connections.
    pub fn pool(&self) -> &pool::Pool {
        &self.pool
    }

    /// Sends a request and reads the whole answer within a time.
    ///
    /// # Errors
    ///
    /// Returns what is known of the request's arrival.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Failure> {
        let exchange = async {
            let mut conn = match self.pool.take(address, pool::ANY_IDLE) {
                Some(conn) => conn,
                None => Conn::open(address).await?,
            };
            let (parts, body) = conn.send(req).await?.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| Failure::Sent(error.to_string()))?.to_bytes();
            self.pool.put(address, conn, &parts);
            Ok((parts, body))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Sent(format!("no answer within {} ms", timeout.as_millis()))),
        }
    }
}
