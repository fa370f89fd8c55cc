//! Reads the bodies of upstreams' responses.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use damaskdrift_core::code;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::upstream::failure::Failure;

/// Returns the next chunk of a body, or `None` at its end.
///
/// # Errors
///
/// Returns a failure when the connection breaks or no data arrives for `timeout`.
pub async fn next_chunk(body: &mut Incoming, timeout: Duration) -> Result<Option<Bytes>, Failure> {
    loop {
        let Ok(frame) = tokio::time::timeout(timeout, body.frame()).await else {
            let message = format!("no piece of the answer within {} ms", timeout.as_millis());
            return Err(Failure::sent(code::Code::UpstreamTimeout, message));
        };
        match frame {
            None => return Ok(None),
            Some(Err(error)) => {
                let message = format!("the answer broke off: {error}");
                return Err(Failure::sent(code::Code::UpstreamBroken, message));
            }
            // A frame without data holds trailers, which are not forwarded.
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if !data.is_empty() => return Ok(Some(data)),
                _ => continue,
            },
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns a failure when the connection breaks, no data arrives for `timeout`, or the body exceeds
/// `limit`.
pub async fn read_all(
    body: &mut Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, Failure> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = next_chunk(body, timeout).await? {
        if buf.len() + chunk.len() > limit {
            let message = format!("the answer is larger than {limit} bytes");
            return Err(Failure::sent(code::Code::UpstreamBroken, message));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
