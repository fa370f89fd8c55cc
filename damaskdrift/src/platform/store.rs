//! Client of the KV cache stores.

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

/// Largest manifest accepted, in bytes.
const MAX_MANIFEST_BYTES: usize = 4 << 10;

/// A call that a store did not answer as asked.
#[derive(Debug, Error)]
pub enum Error {
    /// The call was not answered.
    #[error("the store does not answer: {_0}")]
    Unavailable(String),
    /// The answer does not fit the protocol.
    #[error("the store sent an invalid answer: {_0}")]
    Protocol(String),
}

/// Calls stores over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Empty<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self { http: HttpClient::builder(TokioExecutor::new()).build(connector), timeout }
    }

    /// Reads the manifest of a block; `None` when the store keeps no sealed block of that key.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn manifest(
        &self,
        store: net::SocketAddr,
        key: &block::Key,
    ) -> Result<Option<block::Manifest>, Error> {
        let answer = tokio::time::timeout(self.timeout, self.exchange(store, key)).await;
        answer.unwrap_or_else(|_| Err(Error::Unavailable("timeout".to_owned())))
    }

    async fn exchange(
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
