//! Resumes streams by request id and byte offset.

use std::sync;

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::id;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};

use crate::caller::refusal::Refusal;
use crate::caller::relay;
use crate::caller::request::Caller;
use crate::caller::{request_id, response};
use crate::context;
use crate::upstream;

/// Largest body of an engine's error response that is read.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Handles `GET /v1/streams/REQUEST_ID?offset=BYTES`.
///
/// # Errors
///
/// Returns a refusal when the id is not that of one of the workspace's streams, the offset is
/// outside the stream, or the engine cannot be reached.
pub async fn get(
    cx: sync::Arc<context::Context>,
    request: String,
    query: String,
    headers: HeaderMap,
) -> Result<warp::reply::Response, Refusal> {
    let caller = Caller::new(&cx, &headers)?;
    let stream = find_stream(&caller, &request)?;
    let offset = parse_offset(&query)?;
    let (conn, mut response) = open(&cx, &stream, None, offset).await?;
    if response.status() != StatusCode::OK {
        let timeout = cx.upstreams.timeouts().response;
        let _ = upstream::read_all(response.body_mut(), MAX_ERROR_BYTES, timeout).await;
        return Err(refusal(response.status()));
    }
    let (head, body) = response.into_parts();
    let head = response::Head::new(&head, &stream.request);
    let mut source = relay::Source::new(&cx, stream, conn, Some(body), offset);
    let first = source.next().await?;
    let (tx, rx) = relay::channel();
    cx.tasks.spawn(source.relay(first.unwrap_or_default(), tx));
    Ok(head.with_body(relay::response(rx)))
}

/// Requests the rest of a stream from its engine over a new connection, which must reach the
/// process with the boot id `boot` if one is given.
///
/// # Errors
///
/// Returns why the engine sent no response.
pub async fn open(
    cx: &context::Context,
    stream: &relay::StreamId,
    boot: Option<&id::Boot>,
    offset: u64,
) -> Result<(upstream::Connection, Response<Incoming>), upstream::Failure> {
    let mut conn = cx.upstreams.open(&stream.target, boot).await?;
    let req = Request::get(format!("/v1/streams/{}?offset={offset}", stream.request))
        .header("x-workspace", stream.workspace.as_str())
        .body(Full::<Bytes>::default())
        .expect("ids and numbers are valid in a path and a header");
    let response = conn.send(req, cx.upstreams.timeouts().response).await?;
    Ok((conn, response))
}

fn find_stream(caller: &Caller, request: &str) -> Result<relay::StreamId, Refusal> {
    let document = &caller.fleet.document;
    let upstream =
        request_id::verify(&document.secret, &caller.workspace, request).ok_or_else(|| {
            let message = "the request id is not one of this workspace";
            Refusal::new(code::Code::WrongWorkspace, message)
        })?;
    let target = document
        .upstreams
        .get(&upstream)
        .and_then(|configured| upstream::Target::new(&upstream, configured))
        .filter(|target| target.is_engine)
        .ok_or_else(|| refusal(StatusCode::NOT_FOUND))?;
    let request = id::Request::new(request);
    Ok(relay::StreamId { target, request, workspace: caller.workspace.clone() })
}

fn parse_offset(query: &str) -> Result<u64, Refusal> {
    if query.is_empty() {
        return Ok(0);
    }
    let offset = query.strip_prefix("offset=").and_then(|offset| offset.parse().ok());
    offset.ok_or_else(|| {
        Refusal::new(code::Code::BadOffset, "expected 'offset=BYTES' with a whole number")
    })
}

fn refusal(status: StatusCode) -> Refusal {
    match status {
        StatusCode::NOT_FOUND => {
            Refusal::unknown(code::Code::UnknownStream, "the engine has no such stream any more")
        }
        StatusCode::RANGE_NOT_SATISFIABLE | StatusCode::BAD_REQUEST => {
            Refusal::unknown(code::Code::BadOffset, "the offset lies outside the stream")
        }
        status => {
            let message = format!("the engine answered with status {status}");
            Refusal::unknown(code::Code::UpstreamError, &message)
        }
    }
}
