//! Separation of hop-by-hop headers from end-to-end headers.

use hyper::header;

use crate::caller::response;

/// Returns a copy of the headers without the hop-by-hop ones.
pub fn end_to_end(headers: &hyper::HeaderMap) -> hyper::HeaderMap {
    let mut forwarded = headers.clone();
    for name in hop_by_hop(headers) {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the names of hop-by-hop headers, including those that `Connection` lists.
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
