//! Headers that concern one connection alone.

use hyper::header;

use crate::caller::response;

/// Returns the headers that do not concern one connection alone.
pub fn end_to_end(headers: &hyper::HeaderMap) -> hyper::HeaderMap {
    let mut kept = headers.clone();
    for name in hop_by_hop(headers) {
        kept.remove(name);
    }
    kept
}

/// Returns the names of headers that concern one connection alone.
pub fn hop_by_hop(headers: &hyper::HeaderMap) -> Vec<header::HeaderName> {
    let mut names = response::HOP_BY_HOP.to_vec();
    names.push(header::HeaderName::from_static("keep-alive"));
    names.push(header::HeaderName::from_static("proxy-connection"));
    for value in headers.get_all(header::CONNECTION) {
        let Ok(value) = value.to_str() else {
            continue;
        };
        for token in value.split(',') {
            if let Ok(name) = token.trim().parse() {
                names.push(name);
            }
        }
    }
    names
}
