//! Client of the platform's key-value service.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// Response header with the revision at which a key was last written.
const REVISION_HEADER: &str = "x-revision";
/// Maximum response size in bytes; the service stores values up to 1 MB.
const MAX_RESPONSE_BYTES: usize = 2 << 20;

/// Value of a key with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Value as it was written.
    pub value: Bytes,
    /// Revision at which the key was last written.
    pub revision: id::Revision,
}

/// Result of a compare-and-swap that the service processed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was written at this revision.
    Written(id::Revision),
    /// The key has another revision than expected; carries its current entry, or `None` if the key
    /// is absent.
    Conflict(Option<Entry>),
}

/// Error of a request to the key-value service.
#[derive(Debug, Error)]
pub enum Error {
    /// The request got no response; a write may have taken effect.
    #[error("key-value service does not answer: {_0}")]
    Unavailable(String),
    /// The service refused the request with this status, and a write had no effect.
    #[error("key-value service refused the call with status {_0}")]
    Refused(u16),
    /// The value exceeds the service's size limit, and was not written.
    #[error("value is larger than the key-value service holds")]
    TooLarge,
    /// The response violates the protocol; a write may have taken effect.
    #[error("key-value service sent an invalid answer: {_0}")]
    Protocol(String),
}

/// Client that sends requests over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    address: net::SocketAddr,
    timeout: Duration,
}

struct Response {
    status: StatusCode,
    revision: Option<id::Revision>,
    body: Bytes,
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Protocol(_))
    }
}

impl Client {
    /// Creates a client; the timeout limits each request and each connection attempt.
    pub fn new(address: net::SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let http = HttpClient::builder(TokioExecutor::new()).build(connector);
        Self { http, address, timeout }
    }

    /// Reads the entry of a key; `None` if the key is absent.
    ///
    /// # Errors
    ///
    /// Returns why the request failed.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let response = self.request(Method::GET, &format!("/v1/kv/{key}"), Bytes::new()).await?;
        match response.status {
            StatusCode::OK => response.into_entry().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(error_from_status(status)),
        }
    }

    /// Writes a key if it has the expected revision; revision 0 requires that the key is absent.
    ///
    /// # Errors
    ///
    /// Returns why the write failed; see [`Error::is_ambiguous`].
    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: id::Revision,
        ttl: Option<Millis>,
    ) -> Result<Swap, Error> {
        let mut path = format!("/v1/kv/{key}?expected={expected}");
        if let Some(Millis(ttl)) = ttl {
            path.push_str(&format!("&ttl_ms={ttl}"));
        }
        self.compare_and_swap(Method::PUT, &path, value).await
    }

    /// Extends the TTL of a key if it has the expected revision, which does not change.
    ///
    /// # Errors
    ///
    /// Returns why the request failed.
    pub async fn renew(
        &self,
        key: &str,
        expected: id::Revision,
        ttl: Millis,
    ) -> Result<Swap, Error> {
        let path = format!("/v1/renew/{key}?expected={expected}&ttl_ms={}", ttl.0);
        self.compare_and_swap(Method::POST, &path, Bytes::new()).await
    }

    /// Deletes a key if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Returns why the request failed.
    pub async fn delete(&self, key: &str, expected: id::Revision) -> Result<Swap, Error> {
        let path = format!("/v1/kv/{key}?expected={expected}");
        self.compare_and_swap(Method::DELETE, &path, Bytes::new()).await
    }

    /// Waits until a key has a revision above `after`; returns `None` if `wait` ends first.
    ///
    /// # Errors
    ///
    /// Returns why the request failed.
    pub async fn watch(
        &self,
        key: &str,
        after: id::Revision,
        wait: Millis,
    ) -> Result<Option<Entry>, Error> {
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={}", wait.0);
        let timeout = self.timeout + wait.into();
        let response = self.request_within(Method::GET, &path, Bytes::new(), timeout).await?;
        match response.status {
            StatusCode::OK => response.into_entry().map(Some),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(error_from_status(status)),
        }
    }

    async fn compare_and_swap(
        &self,
        method: Method,
        path: &str,
        value: Bytes,
    ) -> Result<Swap, Error> {
        let response = self.request(method, path, value).await?;
        match response.status {
            StatusCode::OK => response.revision().map(Swap::Written),
            StatusCode::CONFLICT if response.revision()?.0 == 0 => Ok(Swap::Conflict(None)),
            StatusCode::CONFLICT => response.into_entry().map(|entry| Swap::Conflict(Some(entry))),
            status => Err(error_from_status(status)),
        }
    }

    async fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Response, Error> {
        self.request_within(method, path, body, self.timeout).await
    }

    async fn request_within(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let result = tokio::time::timeout(timeout, self.exchange(method, path, body)).await;
        result.unwrap_or_else(|_| Err(Error::Unavailable("timeout".to_owned())))
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Response, Error> {
        let uri: Uri = format!("http://{}{path}", self.address)
            .parse()
            .map_err(|error| Error::Protocol(format!("{path}: {error}")))?;
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = uri;
        let unavailable = |error: &dyn std::error::Error| Error::Unavailable(error.to_string());
        let response = self.http.request(req).await.map_err(|error| unavailable(&error))?;
        let status = response.status();
        let header = response.headers().get(REVISION_HEADER);
        let revision = header.and_then(|value| value.to_str().ok()?.parse().ok()).map(id::Revision);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?.to_bytes();
        Ok(Response { status, revision, body })
    }
}

impl Response {
    fn revision(&self) -> Result<id::Revision, Error> {
        self.revision.ok_or_else(|| Error::Protocol(format!("no {REVISION_HEADER} header")))
    }

    fn into_entry(self) -> Result<Entry, Error> {
        let revision = self.revision()?;
        Ok(Entry { value: self.body, revision })
    }
}

fn error_from_status(status: StatusCode) -> Error {
    match status {
        StatusCode::PAYLOAD_TOO_LARGE => Error::TooLarge,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Error::Refused(status.as_u16())
        }
        status => Error::Protocol(format!("status {status}")),
    }
}
