//! Client of the cache stores, which hold KV cache blocks.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::block;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// Maximum size of a manifest in bytes.
const MAX_MANIFEST_BYTES: usize = 4 << 10;

/// Error of a request to a cache store.
#[derive(Debug, Error)]
pub enum Error {
    /// The request failed or timed out.
    #[error("cache store is unavailable: {_0}")]
    Unavailable(String),
    /// The response violates the protocol.
    #[error("invalid response from the cache store: {_0}")]
    Protocol(String),
}

/// Client that sends requests to cache stores over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Empty<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client; the timeout limits each request and each connection attempt.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self { http: HttpClient::builder(TokioExecutor::new()).build(connector), timeout }
    }

    /// Reads the manifest of a block; `None` if the store holds no sealed block with that key.
    ///
    /// # Errors
    ///
    /// Returns why the manifest could not be read.
    pub async fn manifest(
        &self,
        store: net::SocketAddr,
        key: &block::Key,
    ) -> Result<Option<block::Manifest>, Error> {
        let result = tokio::time::timeout(self.timeout, self.request(store, key)).await;
        result.unwrap_or_else(|_| {
            Err(Error::Unavailable(format!("no response within {:?}", self.timeout)))
        })
    }

    async fn request(
        &self,
        store: net::SocketAddr,
        key: &block::Key,
    ) -> Result<Option<block::Manifest>, Error> {
        let uri: Uri = format!("http://{store}/v1/manifests/{key}")
            .parse()
            .map_err(|error| Error::Protocol(format!("{store}: {error}")))?;
        let response = self.http.get(uri).await;
        let response = response.map_err(|error| Error::Unavailable(error.to_string()))?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            status => return Err(Error::Protocol(format!("status {status}"))),
        }
        let body = Limited::new(response.into_body(), MAX_MANIFEST_BYTES).collect().await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?.to_bytes();
        let manifest =
            serde_json::from_slice(&body).map_err(|error| Error::Protocol(error.to_string()))?;
        Ok(Some(manifest))
    }
}
