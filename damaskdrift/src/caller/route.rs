//! Recognizes routes of plain services that may not be repeated.

use damaskdrift_core::template;

/// Returns whether a call may not be repeated. A path is also matched in its normal form, since a
/// service may treat `/lodge`, `//lodge/` and `/%6Codge` alike.
pub fn is_non_idempotent(policy: &template::ServicePolicy, method: &str, path: &str) -> bool {
    let method = method.to_ascii_uppercase();
    let normal = normalize(path);
    [path, &normal].iter().any(|path| policy.is_non_idempotent(&method, path))
}

fn normalize(path: &str) -> String {
    let decoded = decode(path);
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

fn decode(path: &str) -> String {
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
