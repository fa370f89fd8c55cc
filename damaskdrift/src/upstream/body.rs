//! Reads the bodies of upstreams' answers.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use damaskdrift_core::code;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use crate::upstream::failure::Failure;

/// Returns the next piece of a body, or nothing at its end.
///
/// # Errors
///
/// Returns that the upstream broke off or sent nothing for `wait`.
pub async fn next_piece(body: &mut Incoming, wait: Duration) -> Result<Option<Bytes>, Failure> {
    loop {
        let Ok(frame) = tokio::time::timeout(wait, body.frame()).await else {
            let message = format!("no piece of the answer within {} ms", wait.as_millis());
            return Err(Failure::sent(code::Code::UpstreamTimeout, message));
        };
        match frame {
            None => return Ok(None),
            Some(Err(error)) => {
                let message = format!("the answer broke off: {error}");
                return Err(Failure::sent(code::Code::UpstreamBroken, message));
            }
            // A frame that holds no data holds trailers, which are not passed on.
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
/// Returns that the upstream broke off, stalled or sent more.
pub async fn read_all(body: &mut Incoming, limit: usize, wait: Duration) -> Result<Bytes, Failure> {
    let mut read = BytesMut::new();
    while let Some(piece) = next_piece(body, wait).await? {
        if read.len() + piece.len() > limit {
            let message = format!("the answer is larger than {limit} bytes");
            return Err(Failure::sent(code::Code::UpstreamBroken, message));
        }
        read.extend_from_slice(&piece);
    }
    Ok(read.freeze())
}
