//! HTTP client for callers, operators and the stand-ins' admin routes.

use std::net;
use std::time::{Duration, Instant};

use bytes::{Buf as _, Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time;

use crate::error;

/// Longest time for an answer, or between two pieces of a stream, unless a call sets its own.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before a refused call is sent again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Outcome of a refusal before anything was sent to an upstream.
const NOT_RUN: &str = "not-run";
/// Start of a line that carries the data of a server-sent event.
const DATA_PREFIX: &str = "data:";
/// Ends a server-sent event.
const EVENT_END: &[u8] = b"\n\n";

/// A call without a complete answer.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// No connection could be opened, so nothing was sent.
    #[error("cannot connect: {_0}")]
    Connect(String),
    /// The connection broke before the answer was complete.
    #[error("connection broken: {_0}")]
    Broken(String),
    /// The answer was not complete in time.
    #[error("no answer in {_0:?}")]
    Timeout(Duration),
    /// The call or its answer is malformed.
    #[error("{_0}")]
    Malformed(String),
}

/// Sends calls over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    address: net::SocketAddr,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    timeout: Duration,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time from the send to the end of the body.
    pub elapsed: Duration,
}

/// A running answer of server-sent events.
#[derive(Debug)]
pub struct Stream {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    sent: Instant,
    first_byte: Option<Duration>,
    received: u64,
    body: Incoming,
    buf: BytesMut,
    timeout: Duration,
}

impl From<Error> for error::Error {
    fn from(error: Error) -> Self {
        Self::Unexpected(error.to_string())
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { http: HyperClient::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn send(&self, call: Call) -> Result<Answer, Error> {
        let sent = Instant::now();
        let timeout = call.timeout;
        let answer = async {
            let response = self.request(call).await?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|error| broken(&error))?.to_bytes();
            let status = head.status.as_u16();
            Ok(Answer { status, headers: head.headers, body, elapsed: sent.elapsed() })
        };
        time::timeout(timeout, answer).await.unwrap_or(Err(Error::Timeout(timeout)))
    }

    /// Sends a call and returns its answer as a stream of events.
    ///
    /// # Errors
    ///
    /// Returns why the answer did not start.
    pub async fn stream(&self, call: Call) -> Result<Stream, Error> {
        let sent = Instant::now();
        let timeout = call.timeout;
        let response = time::timeout(timeout, self.request(call)).await;
        let (head, body) = response.unwrap_or(Err(Error::Timeout(timeout)))?.into_parts();
        Ok(Stream {
            status: head.status.as_u16(),
            headers: head.headers,
            sent,
            first_byte: None,
            received: 0,
            body,
            buf: BytesMut::new(),
            timeout,
        })
    }

    /// Sends a call again while it is refused with the outcome `not-run`, up to a time limit.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn send_until_run(&self, call: Call, limit: Duration) -> Result<Answer, Error> {
        let deadline = Instant::now() + limit;
        loop {
            let answer = self.send(call.clone()).await?;
            if answer.outcome().as_deref() != Some(NOT_RUN) || Instant::now() >= deadline {
                return Ok(answer);
            }
            time::sleep(REFUSAL_PAUSE).await;
        }
    }

    /// Opens a stream, again while it is refused with the outcome `not-run`, up to a time limit.
    ///
    /// # Errors
    ///
    /// Returns why the answer did not start, or the last refusal.
    pub async fn stream_until_run(&self, call: Call, limit: Duration) -> Result<Stream, Error> {
        let deadline = Instant::now() + limit;
        loop {
            let mut stream = self.stream(call.clone()).await?;
            if stream.status < 400 {
                return Ok(stream);
            }
            let refusal = stream.rest().await?;
            if outcome(&refusal).as_deref() != Some(NOT_RUN) || Instant::now() >= deadline {
                let text = String::from_utf8_lossy(&refusal);
                return Err(Error::Malformed(format!("status {}: {text}", stream.status)));
            }
            time::sleep(REFUSAL_PAUSE).await;
        }
    }

    async fn request(&self, call: Call) -> Result<hyper::Response<Incoming>, Error> {
        let req = call.into_request()?;
        self.http.request(req).await.map_err(|error| {
            if error.is_connect() { Error::Connect(text(&error)) } else { broken(&error) }
        })
    }
}

impl Call {
    /// Creates a call without headers or body.
    pub fn new(method: Method, address: net::SocketAddr, path: &str) -> Self {
        Self {
            method,
            address,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Creates a GET call.
    pub fn get(address: net::SocketAddr, path: &str) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Creates a PUT call.
    pub fn put(address: net::SocketAddr, path: &str) -> Self {
        Self::new(Method::PUT, address, path)
    }

    /// Creates a POST call.
    pub fn post(address: net::SocketAddr, path: &str) -> Self {
        Self::new(Method::POST, address, path)
    }

    /// Creates a DELETE call.
    pub fn delete(address: net::SocketAddr, path: &str) -> Self {
        Self::new(Method::DELETE, address, path)
    }

    /// Returns the call with another header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the call with a bearer key or token.
    pub fn with_bearer(self, key: &str) -> Self {
        self.with_header("authorization", &format!("Bearer {key}"))
    }

    /// Returns the call with a body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the call with a JSON body.
    pub fn with_json(self, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("the lab's values have JSON forms");
        self.with_header("content-type", "application/json").with_body(body)
    }

    /// Returns the call with a limit on the time for its answer.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn into_request(self) -> Result<Request<Full<Bytes>>, Error> {
        let malformed = |error: &dyn std::error::Error| Error::Malformed(text(error));
        let uri = format!("http://{}{}", self.address, self.path);
        let mut req = Request::new(Full::new(self.body));
        *req.method_mut() = self.method;
        *req.uri_mut() = uri.parse().map_err(|error| malformed(&error))?;
        for (name, value) in self.headers {
            let name = name.parse::<HeaderName>().map_err(|error| malformed(&error))?;
            let value = HeaderValue::from_str(&value).map_err(|error| malformed(&error))?;
            req.headers_mut().append(name, value);
        }
        Ok(req)
    }
}

impl Answer {
    /// Returns a header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the fault and the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Error::Malformed(format!("{error} in {:?}", self.text())))
    }

    /// Returns the outcome that a refusal states.
    pub fn outcome(&self) -> Option<String> {
        outcome(&self.body)
    }

    /// Returns the answer if its status is 200.
    ///
    /// # Errors
    ///
    /// Returns the status and body otherwise.
    pub fn ok(self) -> Result<Self, Error> {
        if self.status == 200 {
            return Ok(self);
        }
        Err(Error::Malformed(format!("status {}: {}", self.status, self.text())))
    }
}

impl Stream {
    /// Returns a header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the time from the send to the first byte of the body, once it has arrived.
    pub fn first_byte(&self) -> Option<Duration> {
        self.first_byte
    }

    /// Returns the bytes of the body received so far; a resumed stream starts at this offset.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the data of the next event; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns why the stream is broken.
    pub async fn next_event(&mut self) -> Result<Option<String>, Error> {
        loop {
            if let Some(end) = self.buf.windows(EVENT_END.len()).position(|w| w == EVENT_END) {
                let event = self.buf.split_to(end);
                self.buf.advance(EVENT_END.len());
                return Ok(Some(event_data(&event)));
            }
            match self.next_piece().await? {
                Some(piece) => self.buf.extend_from_slice(&piece),
                None => return Ok(None),
            }
        }
    }

    /// Returns the next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns why the stream is broken.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = time::timeout(self.timeout, self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| Error::Timeout(self.timeout))? else {
                return Ok(None);
            };
            let Ok(piece) = frame.map_err(|error| broken(&error))?.into_data() else {
                continue;
            };
            if piece.is_empty() {
                continue;
            }
            self.first_byte.get_or_insert_with(|| self.sent.elapsed());
            self.received += piece.len() as u64;
            return Ok(Some(piece));
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns why the stream is broken.
    pub async fn rest(&mut self) -> Result<Bytes, Error> {
        let mut rest = std::mem::take(&mut self.buf);
        while let Some(piece) = self.next_piece().await? {
            rest.extend_from_slice(&piece);
        }
        Ok(rest.freeze())
    }
}

fn outcome(body: &[u8]) -> Option<String> {
    let body: serde_json::Value = serde_json::from_slice(body).ok()?;
    body["error"]["outcome"].as_str().map(str::to_owned)
}

fn event_data(event: &[u8]) -> String {
    let text = String::from_utf8_lossy(event);
    let lines = text.lines().filter_map(|line| line.strip_prefix(DATA_PREFIX));
    lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect::<Vec<_>>().join("\n")
}

fn broken(error: &dyn std::error::Error) -> Error {
    Error::Broken(text(error))
}

/// Returns an error's text with its causes.
fn text(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
