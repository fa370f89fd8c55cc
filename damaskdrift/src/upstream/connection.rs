//! One connection to one start of an upstream.

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
use crate::upstream::counted::Counted;
use crate::upstream::failure::Failure;

/// Largest load report accepted, in bytes.
const MAX_LOAD_BYTES: usize = 64 << 10;

/// Longest waits on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For a connection to open, the load report included.
    pub connect: Duration,
    /// For an answer to begin, and between two pieces of it.
    pub answer: Duration,
}

/// One connection, bound to the start of the upstream that it was opened to.
#[derive(Debug)]
pub struct Connection {
    /// The start of the upstream; a plain service reports none.
    pub boot: Option<id::Boot>,
    /// Whether the upstream reported a cold start when the connection was opened.
    pub cold: bool,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: task::JoinHandle<()>,
    written: sync::Arc<AtomicU64>,
    host: header::HeaderValue,
}

/// An engine's report of its load.
#[derive(Clone, Debug, Deserialize)]
pub struct Load {
    /// The start of the engine.
    pub boot_id: id::Boot,
    /// Whether it is in a cold start.
    #[serde(default)]
    pub cold: bool,
    /// Requests running.
    #[serde(default)]
    pub running: u32,
    /// Requests queued.
    #[serde(default)]
    pub queued: u32,
}

impl Timeouts {
    /// Takes the waits from the settings.
    pub fn new(limits: &settings::Limits) -> Self {
        Self {
            connect: Duration::from_millis(limits.connect_timeout_ms),
            answer: Duration::from_millis(limits.upstream_timeout_ms),
        }
    }
}

impl Connection {
    /// Opens a connection; for an engine it also reads the load report that names the boot id.
    ///
    /// # Errors
    ///
    /// Returns why the upstream cannot be used; no byte of a caller's request was sent.
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
        let io = TokioIo::new(Counted::new(stream, written.clone()));
        let (sender, conn) = http1::handshake(io).await.map_err(|error| failed(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = conn.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        let host = header::HeaderValue::try_from(address.to_string())
            .expect("a socket address has only visible ASCII");
        let mut conn = Self { boot: None, cold: false, sender, driver, written, host };
        if is_engine {
            let load = conn.read_load().await.map_err(|failure| failed(&failure))?;
            conn.boot = Some(load.boot_id);
            conn.cold = load.cold;
        }
        Ok(conn)
    }

    async fn read_load(&mut self) -> Result<Load, Failure> {
        let mut req = Request::new(Full::default());
        *req.uri_mut() = hyper::Uri::from_static("/v1/load");
        let response = self.exchange(req).await?;
        let invalid = |message: String| Failure::sent(code::Code::UpstreamBroken, message);
        if response.status() != StatusCode::OK {
            return Err(invalid(format!("load report has status {}", response.status())));
        }
        let body = Limited::new(response.into_body(), MAX_LOAD_BYTES).collect().await;
        let body = body.map_err(|error| invalid(format!("load report: {error}")))?.to_bytes();
        let load = serde_json::from_slice(&body)
            .map_err(|error| invalid(format!("load report: {error}")))?;
        self.ready().await?;
        Ok(load)
    }

    /// Waits until the connection can take a request.
    ///
    /// # Errors
    ///
    /// Returns that the connection is closed.
    pub async fn ready(&mut self) -> Result<(), Failure> {
        self.sender.ready().await.map_err(|error| {
            Failure::unsent(code::Code::ConnectFailed, format!("connection closed: {error}"))
        })
    }

    /// Returns whether the upstream or an error closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns why no answer came and whether a byte of the request may have been sent.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        let before = self.written.load(Ordering::SeqCst);
        let exchange = tokio::time::timeout(wait, self.exchange(req)).await;
        let mut failure = match exchange {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(failure)) => failure,
            Err(_) => {
                let message = format!("no answer within {} ms", wait.as_millis());
                Failure::sent(code::Code::UpstreamTimeout, message)
            }
        };
        // The driver is stopped first: until then it could still write the request.
        self.stop().await;
        failure.sent = self.written.load(Ordering::SeqCst) > before;
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

    async fn stop(&mut self) {
        self.driver.abort();
        // Only cancellation or the end of the driver is reported here; both are wanted.
        let _ = (&mut self.driver).await;
    }
}

/// Reads an engine's load report over a connection of its own.
///
/// # Errors
///
/// Returns why there is no report.
pub async fn read_load(address: net::SocketAddr, timeouts: Timeouts) -> Result<Load, Failure> {
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
