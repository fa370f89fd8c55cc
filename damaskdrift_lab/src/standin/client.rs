//! HTTP client for requests between stand-ins.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

/// Sends requests to other stand-ins over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { http: HttpClient::builder(TokioExecutor::new()).build(connector) }
    }
}

impl Client {
    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when the request cannot be sent or the response is incomplete.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), String> {
        let req =
            Request::builder().method(method).uri(url).header("content-type", "application/json");
        let req = req.body(Full::new(body)).map_err(|error| error.to_string())?;
        let response = self.http.request(req).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
        Ok((status, body.to_bytes()))
    }

    /// Sends a POST request with a JSON body and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when the request cannot be sent or the response is incomplete.
    pub async fn post_json(
        &self,
        url: &str,
        body: &impl Serialize,
    ) -> Result<(StatusCode, Bytes), String> {
        let body = serde_json::to_vec(body).map_err(|error| error.to_string())?;
        self.call(Method::POST, url, body.into()).await
    }
}
