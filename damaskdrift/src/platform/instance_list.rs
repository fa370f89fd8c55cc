//! Client of the platform's instance list.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::id;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use thiserror::Error;

/// Maximum response size in bytes; a thousand entries take about 150 KB.
const MAX_RESPONSE_BYTES: usize = 2 << 20;

/// Entry of the list, one per process.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    /// Id under which the platform lists the process.
    pub id: String,
    /// Kind of process.
    pub role: Role,
    /// Listen address; of an entry instance, that of its peer listener.
    pub address: net::SocketAddr,
    /// Failure domain in which the process runs.
    pub failure_domain: id::FailureDomain,
    /// Whether the platform is about to remove the process.
    pub state: State,
}

/// Kind of a listed process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Entry instance, which is an instance of this program.
    Entry,
    /// Engine that serves a model.
    Engine,
    /// Service other than a model engine.
    Service,
    /// Store of KV cache blocks.
    Store,
}

/// State of a listed process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The platform does not plan to remove the process.
    Live,
    /// The platform is about to remove the process.
    Leaving,
}

/// Error of reading the instance list.
#[derive(Debug, Error)]
pub enum Error {
    /// The request failed or timed out, or its status was not 200.
    #[error("instance list is unavailable: {_0}")]
    Unavailable(String),
    /// The response violates the protocol.
    #[error("invalid response from the instance list: {_0}")]
    Protocol(String),
}

/// Client that reads the list over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Empty<Bytes>>,
    address: net::SocketAddr,
    timeout: Duration,
}

#[derive(Deserialize)]
struct List {
    instances: Vec<Entry>,
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

    /// Reads all entries of the list.
    ///
    /// # Errors
    ///
    /// Returns why the list could not be read.
    pub async fn read(&self) -> Result<Vec<Entry>, Error> {
        let result = tokio::time::timeout(self.timeout, self.request()).await;
        result.unwrap_or_else(|_| {
            Err(Error::Unavailable(format!("no response within {:?}", self.timeout)))
        })
    }

    async fn request(&self) -> Result<Vec<Entry>, Error> {
        let uri: Uri = format!("http://{}/v1/instances", self.address)
            .parse()
            .map_err(|error| Error::Protocol(format!("{}: {error}", self.address)))?;
        let response = self.http.get(uri).await;
        let response = response.map_err(|error| Error::Unavailable(error.to_string()))?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(Error::Unavailable(format!("status {status}")));
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?.to_bytes();
        let list: List =
            serde_json::from_slice(&body).map_err(|error| Error::Protocol(error.to_string()))?;
        Ok(list.instances)
    }
}
