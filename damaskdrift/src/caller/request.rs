//! Authentication, headers and bodies of callers' requests.

use std::pin;
use std::sync;
use std::time::Duration;

use bytes::{Buf, BufMut as _, Bytes, BytesMut};
use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::template;
use futures_util::{Stream, StreamExt as _};
use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;

use crate::caller::refusal::Refusal;
use crate::context;

/// Scheme prefix of the `authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// An authenticated caller, with the configuration in force when its request arrived.
#[derive(Clone)]
pub struct Caller {
    /// The workspace that the caller's API key belongs to.
    pub workspace: id::Workspace,
    /// The configuration that applies to the whole request.
    pub fleet: sync::Arc<fleet::Snapshot>,
}

impl Caller {
    /// Authenticates a request by its bearer API key.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the instance has no configuration, or when the key is missing, given
    /// more than once or unknown.
    pub fn new(cx: &context::Context, headers: &HeaderMap) -> Result<Self, Refusal> {
        let fleet = cx.fleet.load_full();
        if fleet.revision.0 == 0 {
            return Err(code::Code::NotConfigured.into());
        }
        let unauthorized = |message| Refusal::new(code::Code::Unauthorized, message);
        let value = single(headers, &header::AUTHORIZATION)?
            .ok_or_else(|| unauthorized("an authorization header with a bearer key is needed"))?;
        let key = value
            .strip_prefix(BEARER_PREFIX)
            .ok_or_else(|| unauthorized("the authorization header is not 'Bearer KEY'"))?;
        let workspace = fleet
            .authenticate(key)
            .cloned()
            .ok_or_else(|| unauthorized("the bearer key belongs to no workspace"))?;
        Ok(Self { workspace, fleet })
    }

    /// Returns the workspace's policy, which lists the models and services it may use.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the configuration has no policy for the workspace.
    pub fn policy(&self) -> Result<&template::Policy, Refusal> {
        let policy = self.fleet.policies.get(&self.workspace);
        policy.ok_or_else(|| Refusal::new(code::Code::Internal, "the workspace has no policy"))
    }
}

/// Returns the text of a header that may occur at most once, or `None` if it is absent.
///
/// # Errors
///
/// Returns a refusal when the header occurs more than once or is not visible ASCII.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let bad = |reason| Refusal::new(code::Code::BadHeader, &format!("header {name} {reason}"));
    if values.next().is_some() {
        return Err(bad("occurs more than once"));
    }
    value.to_str().map(Some).map_err(|_| bad("has bytes that are not visible ASCII"))
}

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Returns a refusal when the body is too large, arrives too slowly or is truncated.
pub async fn read_body<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    limit: u64,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    let read = tokio::time::timeout(timeout, collect(body, limit)).await;
    read.unwrap_or_else(|_| {
        let message = format!("the body did not arrive within {} ms", timeout.as_millis());
        Err(Refusal::new(code::Code::RequestTimeout, &message))
    })
}

async fn collect<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    limit: u64,
) -> Result<Bytes, Refusal> {
    let mut body = pin::pin!(body);
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|error| {
            Refusal::new(code::Code::MalformedBody, &format!("the body broke off: {error}"))
        })?;
        if (buf.len() + chunk.remaining()) as u64 > limit {
            let message = format!("the body is larger than {limit} bytes");
            return Err(Refusal::new(code::Code::BodyTooLarge, &message));
        }
        buf.put(chunk);
    }
    Ok(buf.freeze())
}
