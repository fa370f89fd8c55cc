//! HTTP client of stand-ins that call each other.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

/// Calls other stand-ins over pooled connections.
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
    /// Sends a request and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Returns why no whole answer came.
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

    /// Posts JSON.
    ///
    /// # Errors
    ///
    /// Returns why no whole answer came.
    pub async fn post_json(
        &self,
        url: &str,
        body: &impl Serialize,
    ) -> Result<(StatusCode, Bytes), String> {
        let body = serde_json::to_vec(body).map_err(|error| error.to_string())?;
        self.call(Method::POST, url, body.into()).await
    }
}
