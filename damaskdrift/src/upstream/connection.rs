//! HTTP connection to one process of an upstream.

use std::net;
use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::id;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task;

use crate::settings;
use crate::upstream::counting_stream::CountingStream;
use crate::upstream::failure::Failure;

/// Maximum size of the head of a response, and of the read buffer of a connection. A faulty upstream
/// may send a head without end on all connections at once.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Largest load report accepted.
const MAX_LOAD_REPORT_BYTES: usize = 64 << 10;

/// Timeouts of operations on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For opening a connection, including the load report of an engine.
    pub connect: Duration,
    /// For the response head, and between two chunks of the body.
    pub response: Duration,
}

/// A connection, bound to the upstream process that it was opened to.
#[derive(Debug)]
pub struct Connection {
    /// The boot id of the upstream's process; absent for a plain service, which reports none.
    pub boot: Option<id::Boot>,
    /// Whether the upstream reported a cold start when the connection was opened.
    pub is_cold: bool,
    sender: http1::SendRequest<Full<Bytes>>,
    /// Task that drives the HTTP connection.
    driver: task::JoinHandle<()>,
    /// Number of bytes written to the socket.
    written: sync::Arc<AtomicU64>,
    host: header::HeaderValue,
}

/// An engine's report of its load.
#[derive(Clone, Debug, Deserialize)]
pub struct LoadReport {
    /// Identifies the engine's process; changes when the engine restarts.
    pub boot_id: id::Boot,
    /// Whether the engine is in a cold start.
    #[serde(default)]
    pub cold: bool,
    /// Number of requests running.
    #[serde(default)]
    pub running: u32,
    /// Number of requests queued in the engine.
    #[serde(default)]
    pub queued: u32,
}

impl Timeouts {
    /// Reads the timeouts from the settings.
    pub fn new(limits: &settings::Limits) -> Self {
        Self {
            connect: Duration::from_millis(limits.connect_timeout_ms),
            response: Duration::from_millis(limits.upstream_timeout_ms),
        }
    }
}

impl Connection {
    /// Opens a connection; for an engine, also reads the load report to learn its boot id.
    ///
    /// # Errors
    ///
    /// Returns why the connection cannot be opened; no byte of a caller's request was sent.
    pub async fn open(
        address: net::SocketAddr,
        is_engine: bool,
        timeouts: Timeouts,
    ) -> Result<Self, Failure> {
        let opened = tokio::time::timeout(timeouts.connect, Self::establish(address, is_engine));
        opened.await.unwrap_or_else(|_| {
            let message = format!("connecting to {address} took too long");
            Err(Failure::unsent(code::Code::ConnectFailed, message))
        })
    }

    async fn establish(address: net::SocketAddr, is_engine: bool) -> Result<Self, Failure> {
        let failed = |error: &dyn std::error::Error| {
            let message = format!("cannot connect to {address}: {error}");
            Failure::unsent(code::Code::ConnectFailed, message)
        };
        let stream = TcpStream::connect(address).await.map_err(|error| failed(&error))?;
        stream.set_nodelay(true).map_err(|error| failed(&error))?;
        let written = sync::Arc::new(AtomicU64::new(0));
        let io = TokioIo::new(CountingStream::new(stream, written.clone()));
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_HEAD_BYTES);
        let (sender, conn) = http.handshake(io).await.map_err(|error| failed(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = conn.await {
                log::debug!("connection to upstream {address} failed: {error}");
            }
        });
        let host = header::HeaderValue::try_from(address.to_string())
            .expect("a socket address has only visible ASCII");
        let mut conn = Self { boot: None, is_cold: false, sender, driver, written, host };
        if is_engine {
            let load = conn.read_load().await.map_err(|failure| failed(&failure))?;
            conn.boot = Some(load.boot_id);
            conn.is_cold = load.cold;
        }
        Ok(conn)
    }

    async fn read_load(&mut self) -> Result<LoadReport, Failure> {
        let mut req = Request::new(Full::default());
        *req.uri_mut() = hyper::Uri::from_static("/v1/load");
        let response = self.exchange(req).await?;
        let invalid = |message: String| Failure::sent(code::Code::UpstreamBroken, message);
        if response.status() != StatusCode::OK {
            return Err(invalid(format!("load report has status {}", response.status())));
        }
        let body = Limited::new(response.into_body(), MAX_LOAD_REPORT_BYTES).collect().await;
        let body = body.map_err(|error| invalid(format!("load report: {error}")))?.to_bytes();
        let load = serde_json::from_slice(&body)
            .map_err(|error| invalid(format!("load report: {error}")))?;
        self.ready().await?;
        Ok(load)
    }

    /// Waits until the connection can accept a request.
    ///
    /// # Errors
    ///
    /// Returns a failure when the connection is closed.
    pub async fn ready(&mut self) -> Result<(), Failure> {
        self.sender.ready().await.map_err(|error| {
            Failure::unsent(code::Code::ConnectFailed, format!("connection closed: {error}"))
        })
    }

    /// Returns whether the connection was closed by the upstream or by an error.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns why no response arrived and whether a byte of the request may have been sent.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        let written_before = self.written.load(Ordering::SeqCst);
        let exchange = tokio::time::timeout(timeout, self.exchange(req)).await;
        let mut failure = match exchange {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(failure)) => failure,
            Err(_) => {
                let message = format!("no answer within {} ms", timeout.as_millis());
                Failure::sent(code::Code::UpstreamTimeout, message)
            }
        };
        // The driver must stop before the byte count is read, since it could still write the
        // request.
        self.stop_driver().await;
        failure.sent = self.written.load(Ordering::SeqCst) > written_before;
        Err(failure)
    }

    async fn exchange(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        req.headers_mut().insert(header::HOST, self.host.clone());
        self.sender.send_request(req).await.map_err(|error| {
            Failure::sent(code::Code::UpstreamBroken, format!("upstream broke off: {error}"))
        })
    }

    async fn stop_driver(&mut self) {
        self.driver.abort();
        // The result only states whether the task was cancelled or had already finished.
        let _ = (&mut self.driver).await;
    }
}

/// Reads an engine's load report over a separate connection.
///
/// # Errors
///
/// Returns why the report cannot be read.
pub async fn read_load(
    address: net::SocketAddr,
    timeouts: Timeouts,
) -> Result<LoadReport, Failure> {
    let exchange = async {
        let mut conn = Connection::establish(address, false).await?;
        conn.read_load().await
    };
    tokio::time::timeout(timeouts.connect, exchange).await.unwrap_or_else(|_| {
        let message = format!("no load report of {address} in time");
        Err(Failure::unsent(code::Code::UpstreamTimeout, message))
    })
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
