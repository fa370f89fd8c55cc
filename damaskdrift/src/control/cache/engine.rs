//! Calls to the cache endpoints of engines.

use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use serde::de::DeserializeOwned;

use crate::context;
use crate::upstream;

/// Size limit of a response; 20,000 cache events take about 2 MB.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Sends a request to an engine and decodes its JSON response.
///
/// # Errors
///
/// Returns the failure when the engine does not respond within `timeout`, or responds with an error
/// status or invalid JSON.
pub async fn call<T: DeserializeOwned>(
    cx: &context::Context,
    target: &upstream::Target,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<T, upstream::Failure> {
    let invalid = |message: String| upstream::Failure::sent(code::Code::UpstreamBroken, message);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| invalid(error.to_string()))?;
    let mut conn = cx.upstreams.connect(target, None).await?;
    let mut response = conn.send(req, timeout).await?;
    let body = upstream::read_all(response.body_mut(), MAX_RESPONSE_BYTES, timeout).await?;
    if response.status() != StatusCode::OK {
        return Err(invalid(format!("{path} returned status {}", response.status())));
    }
    cx.upstreams.put(target, conn);
    serde_json::from_slice(&body).map_err(|error| invalid(format!("{path}: {error}")))
}
