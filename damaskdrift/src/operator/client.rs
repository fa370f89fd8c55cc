//! Client of the operators' listener, used by operators' commands.

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

/// Timeout for a response; the response to a change is sent only after waiting for the instances to
/// confirm it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for connecting to the listener.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Client of one instance's operators' listener.
pub struct Client {
    address: net::SocketAddr,
    token: String,
    author: String,
}

/// Fleet document with its revision, as the listener returns it.
#[derive(Debug, Deserialize)]
pub struct Fleet {
    /// Revision of the document, which a change must state as the expected one.
    pub revision: id::Revision,
    /// Stored document, or the installed one if the stored one could not be read.
    pub document: fleet::Document,
}

impl Client {
    /// Creates a client that sends the operators' token and the author's name with each request.
    pub fn new(address: net::SocketAddr, token: &str, author: &str) -> Self {
        Self { address, token: token.to_owned(), author: author.to_owned() }
    }

    /// Sends a GET request and returns the response's JSON.
    ///
    /// # Errors
    ///
    /// Returns the refusal or why there was no valid response.
    pub fn get(&self, path: &str) -> Result<serde_json::Value, Error> {
        self.request(Method::GET, path, Bytes::new())
    }

    /// Sends a request with a JSON body and returns the response's JSON.
    ///
    /// # Errors
    ///
    /// Returns the refusal or why there was no valid response.
    pub fn send(
        &self,
        method: Method,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<serde_json::Value, Error> {
        self.request(method, path, Bytes::from(body.to_string()))
    }

    /// Reads the fleet document and its revision.
    ///
    /// # Errors
    ///
    /// Returns the refusal or why there was no valid response.
    pub fn fleet(&self) -> Result<Fleet, Error> {
        let value = self.get("/v1/fleet")?;
        serde_json::from_value(value).map_err(|error| self.invalid_response(&error.to_string()))
    }

    /// Returns the error for a response of unexpected form.
    pub fn invalid_response(&self, message: &str) -> Error {
        Error::InvalidResponse { address: self.address, message: message.to_owned() }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<serde_json::Value, Error> {
        let is_change = method != Method::GET;
        let unreachable =
            |message: String| Error::Unreachable { address: self.address, message, is_change };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| unreachable(error.to_string()))?;
        let result = runtime.block_on(async {
            tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(method, path, body)).await
        });
        let (status, body) = match result {
            Ok(Ok(response)) => response,
            Ok(Err(message)) => return Err(unreachable(message)),
            Err(_) => return Err(unreachable("timeout after 15 s".to_owned())),
        };
        let value: serde_json::Value = serde_json::from_slice(&body)
            .map_err(|error| self.invalid_response(&format!("status {status}, {error}")))?;
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
        let response = http.request(req).await.map_err(|error| format_error_chain(&error))?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        Ok((status, body.map_err(|error| error.to_string())?.to_bytes()))
    }
}

/// Joins an error with its causes, because the HTTP client's message omits them.
fn format_error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
