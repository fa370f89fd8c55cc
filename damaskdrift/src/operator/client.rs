//! Client of the operators' listener, used by the commands.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, header};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::operator::Error;
use crate::operator::api;

/// Longest wait for an answer; a change waits for the confirmations of the fleet.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Calls the operators' listener of one instance.
pub struct Client {
    address: net::SocketAddr,
    token: String,
    author: String,
}

/// A fleet document with its revision.
#[derive(Debug, Deserialize)]
pub struct Fleet {
    /// Revision to base a change on.
    pub revision: id::Revision,
    /// The document.
    pub document: fleet::Document,
}

impl Client {
    /// Creates a client.
    pub fn new(address: net::SocketAddr, token: &str, author: &str) -> Self {
        Self { address, token: token.to_owned(), author: author.to_owned() }
    }

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// Returns the refusal or why there was no answer.
    pub fn get(&self, path: &str) -> Result<serde_json::Value, Error> {
        self.call(Method::GET, path, Bytes::new())
    }

    /// Sends a body to a path.
    ///
    /// # Errors
    ///
    /// Returns the refusal or why there was no answer.
    pub fn send(
        &self,
        method: Method,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<serde_json::Value, Error> {
        self.call(method, path, Bytes::from(body.to_string()))
    }

    /// Reads the fleet document.
    ///
    /// # Errors
    ///
    /// Returns the refusal or why there was no answer.
    pub fn fleet(&self) -> Result<Fleet, Error> {
        let value = self.get("/v1/fleet")?;
        serde_json::from_value(value).map_err(|error| self.unexpected(&error.to_string()))
    }

    /// Creates the error of an answer with another form.
    pub fn unexpected(&self, message: &str) -> Error {
        Error::Answer { address: self.address, message: message.to_owned() }
    }

    fn call(&self, method: Method, path: &str, body: Bytes) -> Result<serde_json::Value, Error> {
        let is_change = method != Method::GET;
        let unreachable =
            |message: String| Error::Unreachable { address: self.address, message, is_change };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| unreachable(error.to_string()))?;
        let answer = runtime.block_on(async {
            tokio::time::timeout(ANSWER_TIMEOUT, self.exchange(method, path, body)).await
        });
        let (status, body) = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(message)) => return Err(unreachable(message)),
            Err(_) => return Err(unreachable("timeout after 15 s".to_owned())),
        };
        let value: serde_json::Value = serde_json::from_slice(&body)
            .map_err(|error| self.unexpected(&format!("status {status}, {error}")))?;
        if (200..300).contains(&status) {
            return Ok(value);
        }
        let error = &value["error"];
        Err(Error::Refused {
            code: error["code"].as_u64().unwrap_or_default(),
            message: error["message"].as_str().unwrap_or("no reason given").to_owned(),
            body: value,
        })
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(u16, Bytes), String> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http: HttpClient<_, Full<Bytes>> =
            HttpClient::builder(TokioExecutor::new()).build(connector);
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(api::AUTHOR_HEADER, self.author.as_str())
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let response = http.request(req).await.map_err(|error| describe(&error))?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        Ok((status, body.map_err(|error| error.to_string())?.to_bytes()))
    }
}

/// Joins an error with its causes; the client's own text leaves the cause out.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
