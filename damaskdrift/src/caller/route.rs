//! Recognizes non-idempotent routes of plain services.

use damaskdrift_core::template;

/// Returns whether a call is non-idempotent by the service's policy. The path is also matched in
/// normalized form, since a service may treat `/lodge`, `//lodge/` and `/%6Codge` as the same
/// route.
pub fn is_non_idempotent(policy: &template::ServicePolicy, method: &str, path: &str) -> bool {
    let method = method.to_ascii_uppercase();
    let normalized = normalize(path);
    [path, &normalized].iter().any(|path| policy.is_non_idempotent(&method, path))
}

fn normalize(path: &str) -> String {
    let decoded = percent_decode(path);
    let mut segments: Vec<&str> = Vec::new();
    for segment in decoded.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            other => segments.push(other),
        }
    }
    format!("/{}", segments.join("/"))
}

fn percent_decode(path: &str) -> String {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let value = tail.get(..2).and_then(|hex| str::from_utf8(hex).ok());
        let value = value.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match value.filter(|_| byte == b'%') {
            Some(value) => {
                decoded.push(value);
                rest = &tail[2..];
            }
            None => {
                decoded.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
