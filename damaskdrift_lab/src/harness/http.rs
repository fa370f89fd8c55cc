//! HTTP client for the listeners of instances and the admin routes of stand-ins.

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

/// Time limit for a complete response, or between two chunks of a stream; a call can override it.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before a refused call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Outcome of a call that was refused before anything was sent to an upstream.
const NOT_RUN: &str = "not-run";
/// Prefix of a data line of a server-sent event.
const DATA_PREFIX: &str = "data:";
/// Separator after a server-sent event.
const EVENT_END: &[u8] = b"\n\n";

/// Reason why a call has no complete response.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// No connection could be opened, so nothing was sent.
    #[error("cannot connect: {_0}")]
    Connect(String),
    /// The connection failed before the response was complete.
    #[error("connection broken before the response was complete: {_0}")]
    Broken(String),
    /// The response, or the next chunk of a stream, did not arrive within the time limit.
    #[error("no response within {_0:?}")]
    Timeout(Duration),
    /// The call cannot be encoded, or the response has an unexpected status or body.
    #[error("{_0}")]
    Malformed(String),
}

/// Sends calls over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

/// An HTTP request with its target address and time limit.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    address: net::SocketAddr,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    timeout: Duration,
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Time from sending the request to the end of the body.
    pub elapsed: Duration,
}

/// A response whose body is read while it arrives.
#[derive(Debug)]
pub struct Stream {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    sent_at: Instant,
    first_byte: Option<Duration>,
    received_bytes: u64,
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
    /// Creates a client with an empty connection pool and with Nagle's algorithm disabled.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { http: HyperClient::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a call and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response.
    pub async fn send(&self, call: Call) -> Result<Response, Error> {
        let sent_at = Instant::now();
        let timeout = call.timeout;
        let exchange = async {
            let response = self.request(call).await?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|error| broken(&error))?.to_bytes();
            let status = head.status.as_u16();
            Ok(Response { status, headers: head.headers, body, elapsed: sent_at.elapsed() })
        };
        time::timeout(timeout, exchange).await.unwrap_or(Err(Error::Timeout(timeout)))
    }

    /// Sends a call and returns its response as a stream.
    ///
    /// # Errors
    ///
    /// Returns an error if no response headers arrived.
    pub async fn stream(&self, call: Call) -> Result<Stream, Error> {
        let sent_at = Instant::now();
        let timeout = call.timeout;
        let response = time::timeout(timeout, self.request(call)).await;
        let (head, body) = response.unwrap_or(Err(Error::Timeout(timeout)))?.into_parts();
        Ok(Stream {
            status: head.status.as_u16(),
            headers: head.headers,
            sent_at,
            first_byte: None,
            received_bytes: 0,
            body,
            buf: BytesMut::new(),
            timeout,
        })
    }

    /// Sends a call, and retries it while it is refused with the outcome `not-run`.
    ///
    /// After `timeout` the last refusal is returned as the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response.
    pub async fn send_until_run(&self, call: Call, timeout: Duration) -> Result<Response, Error> {
        let deadline = Instant::now() + timeout;
        loop {
            let response = self.send(call.clone()).await?;
            if response.outcome().as_deref() != Some(NOT_RUN) || Instant::now() >= deadline {
                return Ok(response);
            }
            time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Opens a stream, and retries while it is refused with the outcome `not-run`.
    ///
    /// # Errors
    ///
    /// Returns an error if no response headers arrived, or if the status is 400 or above and either
    /// the outcome is not `not-run` or `timeout` has passed.
    pub async fn stream_until_run(&self, call: Call, timeout: Duration) -> Result<Stream, Error> {
        let deadline = Instant::now() + timeout;
        loop {
            let mut stream = self.stream(call.clone()).await?;
            if stream.status < 400 {
                return Ok(stream);
            }
            let refusal = stream.read_to_end().await?;
            if outcome(&refusal).as_deref() != Some(NOT_RUN) || Instant::now() >= deadline {
                let text = String::from_utf8_lossy(&refusal);
                return Err(Error::Malformed(format!("status {}: {text}", stream.status)));
            }
            time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn request(&self, call: Call) -> Result<hyper::Response<Incoming>, Error> {
        let req = call.into_request()?;
        self.http.request(req).await.map_err(|error| {
            if error.is_connect() { Error::Connect(error_chain(&error)) } else { broken(&error) }
        })
    }
}

impl Call {
    /// Creates a call without headers or body and with a time limit of 30 s.
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

    /// Returns the call with a header appended.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the call with an `authorization: Bearer` header.
    pub fn with_bearer(self, key: &str) -> Self {
        self.with_header("authorization", &format!("Bearer {key}"))
    }

    /// Returns the call with the given body in place of the empty one.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the call with a JSON body and the matching `content-type`.
    pub fn with_json(self, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("the lab's values can be written as JSON");
        self.with_header("content-type", "application/json").with_body(body)
    }

    /// Returns the call with a time limit for its response; for a stream, for its headers and
    /// between two chunks.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn into_request(self) -> Result<Request<Full<Bytes>>, Error> {
        let malformed = |error: &dyn std::error::Error| Error::Malformed(error_chain(error));
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

impl Response {
    /// Returns a header's value if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the parse error and the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Error::Malformed(format!("{error} in {:?}", self.text())))
    }

    /// Returns the `outcome` field of an error body, such as `not-run` or `unknown`.
    pub fn outcome(&self) -> Option<String> {
        outcome(&self.body)
    }

    /// Returns the response if its status is 200.
    ///
    /// # Errors
    ///
    /// Returns an error with the status and body otherwise.
    pub fn ok(self) -> Result<Self, Error> {
        if self.status == 200 {
            return Ok(self);
        }
        Err(Error::Malformed(format!("status {}: {}", self.status, self.text())))
    }
}

impl Stream {
    /// Returns a header's value if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the time from sending the request to the first byte of the body, once it has arrived.
    pub fn first_byte(&self) -> Option<Duration> {
        self.first_byte
    }

    /// Returns the number of body bytes received so far, at which a stream can be resumed.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Returns the data of the next server-sent event, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the next chunk does not arrive in time.
    pub async fn next_event(&mut self) -> Result<Option<String>, Error> {
        loop {
            if let Some(end) = self.buf.windows(EVENT_END.len()).position(|w| w == EVENT_END) {
                let event = self.buf.split_to(end);
                self.buf.advance(EVENT_END.len());
                return Ok(Some(event_data(&event)));
            }
            match self.next_chunk().await? {
                Some(chunk) => self.buf.extend_from_slice(&chunk),
                None => return Ok(None),
            }
        }
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the next chunk does not arrive in time.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = time::timeout(self.timeout, self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| Error::Timeout(self.timeout))? else {
                return Ok(None);
            };
            let Ok(chunk) = frame.map_err(|error| broken(&error))?.into_data() else {
                continue;
            };
            if chunk.is_empty() {
                continue;
            }
            self.first_byte.get_or_insert_with(|| self.sent_at.elapsed());
            self.received_bytes += chunk.len() as u64;
            return Ok(Some(chunk));
        }
    }

    /// Returns the rest of the body, with bytes that were buffered for the next event.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the next chunk does not arrive in time.
    pub async fn read_to_end(&mut self) -> Result<Bytes, Error> {
        let mut rest = std::mem::take(&mut self.buf);
        while let Some(chunk) = self.next_chunk().await? {
            rest.extend_from_slice(&chunk);
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
    Error::Broken(error_chain(error))
}

/// Returns an error's message followed by those of its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
