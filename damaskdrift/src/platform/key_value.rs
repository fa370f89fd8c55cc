//! Client of the key-value service.

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

/// Header that carries the revision at which a key was last written.
const REVISION_HEADER: &str = "x-revision";
/// Largest answer accepted, in bytes; the service holds values up to 1 MB.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// A stored value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The value.
    pub value: Bytes,
    /// Revision at which the key was last written.
    pub revision: id::Revision,
}

/// Result of a compare-and-swap that the service answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was written at this revision.
    Written(id::Revision),
    /// The key had another revision; its present entry is given unless the key is absent.
    Conflict(Option<Entry>),
}

/// A call that was not answered as asked.
#[derive(Debug, Error)]
pub enum Error {
    /// The call was not answered; a write may have taken effect.
    #[error("key-value service does not answer: {_0}")]
    Unavailable(String),
    /// The service refused the call before it took effect.
    #[error("key-value service refused the call with status {_0}")]
    Refused(u16),
    /// The value is larger than the service holds.
    #[error("value is larger than the key-value service holds")]
    TooLarge,
    /// The answer does not fit the protocol.
    #[error("key-value service sent an invalid answer: {_0}")]
    Protocol(String),
}

/// Calls the key-value service over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    address: net::SocketAddr,
    timeout: Duration,
}

struct Answer {
    status: StatusCode,
    revision: Option<id::Revision>,
    body: Bytes,
}

impl Error {
    /// Returns whether a write that got this error may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Protocol(_))
    }
}

impl Client {
    /// Creates a client.
    pub fn new(address: net::SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let http = HttpClient::builder(TokioExecutor::new()).build(connector);
        Self { http, address, timeout }
    }

    /// Reads a key; an absent one is `None`.
    ///
    /// # Errors
    ///
    /// Returns why the call was not answered.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let answer = self.call(Method::GET, &format!("/v1/kv/{key}"), Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => answer.into_entry().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(refusal(status)),
        }
    }

    /// Writes a key if it has the expected revision; revision 0 means that it must be absent.
    ///
    /// # Errors
    ///
    /// Returns why the call was not answered; see [`Error::is_ambiguous`].
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
        self.swap(Method::PUT, &path, value).await
    }

    /// Extends the life of a key that has the expected revision; the revision stays.
    ///
    /// # Errors
    ///
    /// Returns why the call was not answered.
    pub async fn renew(
        &self,
        key: &str,
        expected: id::Revision,
        ttl: Millis,
    ) -> Result<Swap, Error> {
        let path = format!("/v1/renew/{key}?expected={expected}&ttl_ms={}", ttl.0);
        self.swap(Method::POST, &path, Bytes::new()).await
    }

    /// Deletes a key that has the expected revision.
    ///
    /// # Errors
    ///
    /// Returns why the call was not answered.
    pub async fn delete(&self, key: &str, expected: id::Revision) -> Result<Swap, Error> {
        let path = format!("/v1/kv/{key}?expected={expected}");
        self.swap(Method::DELETE, &path, Bytes::new()).await
    }

    /// Waits until a key has a revision above `after`; `None` when the wait ends first.
    ///
    /// # Errors
    ///
    /// Returns why the call was not answered.
    pub async fn watch(
        &self,
        key: &str,
        after: id::Revision,
        wait: Millis,
    ) -> Result<Option<Entry>, Error> {
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={}", wait.0);
        let timeout = self.timeout + wait.into();
        let answer = self.call_within(Method::GET, &path, Bytes::new(), timeout).await?;
        match answer.status {
            StatusCode::OK => answer.into_entry().map(Some),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(refusal(status)),
        }
    }

    async fn swap(&self, method: Method, path: &str, value: Bytes) -> Result<Swap, Error> {
        let answer = self.call(method, path, value).await?;
        match answer.status {
            StatusCode::OK => answer.revision().map(Swap::Written),
            StatusCode::CONFLICT if answer.revision()?.0 == 0 => Ok(Swap::Conflict(None)),
            StatusCode::CONFLICT => answer.into_entry().map(|entry| Swap::Conflict(Some(entry))),
            status => Err(refusal(status)),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Error> {
        self.call_within(method, path, body, self.timeout).await
    }

    async fn call_within(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let answer = tokio::time::timeout(timeout, self.exchange(method, path, body)).await;
        answer.unwrap_or_else(|_| Err(Error::Unavailable("timeout".to_owned())))
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Error> {
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
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?.to_bytes();
        Ok(Answer { status, revision, body })
    }
}

impl Answer {
    fn revision(&self) -> Result<id::Revision, Error> {
        self.revision.ok_or_else(|| Error::Protocol(format!("no {REVISION_HEADER} header")))
    }

    fn into_entry(self) -> Result<Entry, Error> {
        let revision = self.revision()?;
        Ok(Entry { value: self.body, revision })
    }
}

fn refusal(status: StatusCode) -> Error {
    match status {
        StatusCode::PAYLOAD_TOO_LARGE => Error::TooLarge,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Error::Refused(status.as_u16())
        }
        status => Error::Protocol(format!("status {status}")),
    }
}
