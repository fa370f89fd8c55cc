//! Heads of the answers that callers get.

use damaskdrift_core::id;
use hyper::header;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{HeaderMap, StatusCode};

/// Header that names the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header that names the weight version which answered.
const VERSION: HeaderName = HeaderName::from_static("x-version");

/// Headers that belong to one connection and are never passed on.
pub const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

impl Head {
    /// Takes the status and the useful headers of an engine's answer.
    pub fn new(parts: &response::Parts, request: &id::Request) -> Self {
        let mut headers = HeaderMap::new();
        for name in [header::CONTENT_TYPE, header::CACHE_CONTROL, VERSION] {
            if let Some(value) = parts.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        headers.insert(REQUEST_ID, value(request));
        Self { status: parts.status, headers }
    }

    /// Puts the head on a body.
    pub fn with_body(self, mut response: warp::reply::Response) -> warp::reply::Response {
        *response.status_mut() = self.status;
        response.headers_mut().extend(self.headers);
        response
    }
}

/// Returns the value of the header that names a request.
pub fn value(request: &id::Request) -> HeaderValue {
    HeaderValue::from_str(request.as_str()).expect("a request id has only visible ASCII")
}

/// Copies the headers that may cross from one connection to another.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copied = HeaderMap::new();
    for (name, value) in headers {
        let is_kept_back = HOP_BY_HOP.contains(name)
            || name.as_str() == "keep-alive"
            || named.iter().any(|other| other == name.as_str());
        if !is_kept_back {
            copied.append(name.clone(), value.clone());
        }
    }
    copied
}
