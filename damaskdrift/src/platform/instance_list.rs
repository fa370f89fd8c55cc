//! Client of the platform's list of live and leaving instances.

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

/// Largest answer accepted, in bytes; a thousand entries take about 150 KB.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// One process in the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    /// Its name.
    pub id: String,
    /// What it does.
    pub role: Role,
    /// Where it listens; for an entry instance, its peer listener.
    pub address: net::SocketAddr,
    /// The failure domain it stands in.
    pub failure_domain: id::FailureDomain,
    /// Whether it is about to be removed.
    pub state: State,
}

/// What a listed process does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An instance of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// A KV cache store.
    Store,
}

/// Whether a listed process is about to be removed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It stays.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// A list that could not be read.
#[derive(Debug, Error)]
pub enum Error {
    /// The call was not answered.
    #[error("the instance list does not answer: {_0}")]
    Unavailable(String),
    /// The answer does not fit the protocol.
    #[error("the instance list sent an invalid answer: {_0}")]
    Protocol(String),
}

/// Reads the list over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Empty<Bytes>>,
    address: net::SocketAddr,
    timeout: Duration,
}

#[derive(Deserialize)]
struct Answer {
    instances: Vec<Entry>,
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

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns why there is no list.
    pub async fn read(&self) -> Result<Vec<Entry>, Error> {
        let answer = tokio::time::timeout(self.timeout, self.exchange()).await;
        answer.unwrap_or_else(|_| Err(Error::Unavailable("timeout".to_owned())))
    }

    async fn exchange(&self) -> Result<Vec<Entry>, Error> {
        let uri: Uri = format!("http://{}/v1/instances", self.address)
            .parse()
            .map_err(|error| Error::Protocol(format!("{}: {error}", self.address)))?;
        let response = self.http.get(uri).await;
        let response = response.map_err(|error| Error::Unavailable(error.to_string()))?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(Error::Unavailable(format!("status {status}")));
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?.to_bytes();
        let answer: Answer =
            serde_json::from_slice(&body).map_err(|error| Error::Protocol(error.to_string()))?;
        Ok(answer.instances)
    }
}
