//! Calls to engines about their KV cache.

use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use serde::de::DeserializeOwned;

use crate::context;
use crate::upstream;

/// Largest answer accepted, in bytes; 20,000 cache events take about 2 MB.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Sends a call to an engine and decodes its answer.
///
/// # Errors
///
/// Returns why there is no valid answer.
pub async fn json<T: DeserializeOwned>(
    cx: &context::Context,
    target: &upstream::Target,
    method: Method,
    path: &str,
    body: Bytes,
    wait: Duration,
) -> Result<T, upstream::Failure> {
    let invalid = |message: String| upstream::Failure::sent(code::Code::UpstreamBroken, message);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| invalid(error.to_string()))?;
    let mut conn = cx.upstreams.connect(target, None).await?;
    let mut response = conn.send(req, wait).await?;
    let body = upstream::read_all(response.body_mut(), MAX_ANSWER_BYTES, wait).await?;
    if response.status() != StatusCode::OK {
        return Err(invalid(format!("{path} has status {}", response.status())));
    }
    cx.upstreams.put(target, conn);
    serde_json::from_slice(&body).map_err(|error| invalid(format!("{path}: {error}")))
}
