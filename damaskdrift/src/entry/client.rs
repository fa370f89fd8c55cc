//! HTTP client for the platform store, upstreams and cache stores.

use std::net;
use std::rc::Rc;
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

use crate::entry::client_stream;
use crate::entry::pool;
use crate::upstream;

/// Timeout for opening a connection. The network responds within a few milliseconds unless a packet
/// was lost, which is retransmitted only after 1 s.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response, which holds at most one encoded page of the platform store.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Statuses with which an upstream may refuse a request without running it.
const REFUSALS: &[StatusCode] = &[
    StatusCode::BAD_REQUEST,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Reason for which a request got no usable response.
#[derive(Debug, Error)]
pub enum Failure {
    /// No byte of the request was sent.
    #[error("not sent: {_0}")]
    NotSent(String),
    /// The request was sent at least in part and may have been received.
    #[error("no answer: {_0}")]
    Unconfirmed(String),
    /// The response has an unexpected status.
    #[error("unexpected status {_0}")]
    Status(StatusCode),
    /// The response body cannot be decoded.
    #[error("invalid response: {_0}")]
    InvalidResponse(String),
}

/// An HTTP/1 connection, for one request at a time.
#[derive(Debug)]
pub struct Conn {
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    exchange: Rc<client_stream::Exchange>,
}

/// An HTTP client that reuses connections from a pool.
#[derive(Debug, Default)]
pub struct Client {
    pool: pool::Pool,
}

impl Conn {
    /// Opens a new TCP connection, outside the pool.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotSent`] if the connection cannot be opened.
    pub async fn open(address: net::SocketAddr) -> Result<Self, Failure> {
        let not_sent = |error: &dyn std::error::Error| Failure::NotSent(error.to_string());
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(stream) => stream.map_err(|error| not_sent(&error))?,
            Err(_) => return Err(Failure::NotSent(format!("connecting to {address} timed out"))),
        };
        stream.set_nodelay(true).map_err(|error| not_sent(&error))?;
        let mut http = http1::Builder::new();
        http.max_buf_size(upstream::MAX_HEAD_BYTES);
        let exchange = Rc::<client_stream::Exchange>::default();
        let stream = client_stream::ClientStream::new(stream, exchange.clone());
        let handshake = http.handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(|error| not_sent(&error))?;
        task::spawn_local(async move {
            if let Err(error) = conn.await {
                log::debug!(address:%; "HTTP connection failed: {error}");
            }
        });
        metrics::counter!("connections_opened").increment(1);
        Ok(Self { sender, exchange })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// The connection is reset if it is dropped before [`complete`](Self::complete) is called, so that
    /// a request that was given up does not arrive later.
    ///
    /// # Errors
    ///
    /// Returns a failure that says whether the request may have been received.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        self.exchange.begin();
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                // hyper returns the request if it has written none of it.
                let is_not_sent = error.take_message().is_some();
                let reason = match self.exchange.exceeded() {
                    Some(limit) => limit.to_string(),
                    None => error.into_error().to_string(),
                };
                Err(if is_not_sent {
                    Failure::NotSent(reason)
                } else {
                    Failure::Unconfirmed(reason)
                })
            }
        }
    }

    /// Records that the response was read to its end, after which the connection closes in an
    /// orderly way.
    pub fn complete(&self) {
        self.exchange.complete();
    }
}

impl Client {
    /// Returns the pool of idle connections.
    pub fn pool(&self) -> &pool::Pool {
        &self.pool
    }

    /// Sends a request over a pooled or new connection and reads the complete response; `timeout`
    /// covers all of it.
    ///
    /// # Errors
    ///
    /// Returns a failure that says whether the request may have been received. It is
    /// [`Failure::Unconfirmed`] when `timeout` expires, even while the connection is being opened.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Failure> {
        let exchange = async {
            let mut conn = match self.pool.take(address, pool::NO_IDLE_LIMIT) {
                Some(conn) => conn,
                None => Conn::open(address).await?,
            };
            let (parts, body) = conn.send(req).await?.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| Failure::Unconfirmed(error.to_string()))?.to_bytes();
            conn.complete();
            // Responses to calls name no request. If a refusal were sent again, it would be taken for
            // the response to the next request on this connection.
            if !REFUSALS.contains(&parts.status) {
                self.pool.put(address, conn, &parts);
            }
            Ok((parts, body))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => {
                Err(Failure::Unconfirmed(format!("no answer within {} ms", timeout.as_millis())))
            }
        }
    }
}
