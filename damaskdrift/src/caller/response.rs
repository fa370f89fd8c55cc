//! Heads of the responses to callers.

use damaskdrift_core::id;
use hyper::header;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{HeaderMap, StatusCode};

/// Header with the request id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the weight version that produced the response.
const VERSION: HeaderName = HeaderName::from_static("x-version");

/// Headers that apply to a single connection and are never forwarded.
pub const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

impl Head {
    /// Copies the status and the forwarded headers of an engine's response and adds the request id.
    pub fn new(parts: &response::Parts, request: &id::Request) -> Self {
        let mut headers = HeaderMap::new();
        for name in [header::CONTENT_TYPE, header::CACHE_CONTROL, VERSION] {
            if let Some(value) = parts.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        headers.insert(REQUEST_ID, request_id_value(request));
        Self { status: parts.status, headers }
    }

    /// Applies the head to a response that carries only a body.
    pub fn with_body(self, mut response: warp::reply::Response) -> warp::reply::Response {
        *response.status_mut() = self.status;
        response.headers_mut().extend(self.headers);
        response
    }
}

/// Returns the value of the [`REQUEST_ID`] header.
pub fn request_id_value(request: &id::Request) -> HeaderValue {
    HeaderValue::from_str(request.as_str()).expect("a request id has only visible ASCII")
}

/// Copies the end-to-end headers, leaving out hop-by-hop headers and those that `connection` lists.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copied = HeaderMap::new();
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP.contains(name)
            || name.as_str() == "keep-alive"
            || connection_options.iter().any(|other| other == name.as_str());
        if !is_hop_by_hop {
            copied.append(name.clone(), value.clone());
        }
    }
    copied
}
