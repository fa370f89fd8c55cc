//! HTTP routes of a plain service.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use tokio::time;
use warp::Filter;
use warp::http::{HeaderMap, Method, StatusCode};
use warp::path::FullPath;
use warp::reply::{Reply, Response};

use crate::server;
use crate::standin::service::fault::Fault;
use crate::standin::service::state::State;

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Paths that never count as runs.
const ADMIN_PREFIX: &str = "/admin/";

/// Body of an answer.
#[derive(Debug, Serialize)]
struct Answer<'a> {
    run: u64,
    method: &'a str,
    path: &'a str,
    key: &'a str,
    body_bytes: usize,
    #[serde(skip_serializing_if = "str::is_empty")]
    padding: &'a str,
}

/// Returns the routes of a service.
pub fn routes(
    state: State,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    let state = Arc::new(state);
    let with = warp::any().map(move || state.clone());
    let runs = with
        .clone()
        .and(warp::get())
        .and(warp::path!("admin" / "runs"))
        .map(|state: Arc<State>| warp::reply::json(&state.runs()).into_response());
    let fault = (with.clone().and(warp::post()))
        .and(warp::path!("admin" / "fault"))
        .and(warp::body::bytes())
        .map(set_fault);
    let call = with
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(call);
    runs.or(fault).unify().or(call).unify()
}

fn set_fault(state: Arc<State>, body: Bytes) -> Response {
    match server::parse_json(&body).and_then(Fault::checked) {
        Ok(fault) => {
            state.set_fault(fault);
            warp::reply::json(&fault).into_response()
        }
        Err(message) => server::bad_request(message),
    }
}

async fn call(
    state: Arc<State>,
    method: Method,
    path: FullPath,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if path.as_str().starts_with(ADMIN_PREFIX) {
        return StatusCode::NOT_FOUND.into_response();
    }
    let key = headers.get(KEY_HEADER).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let run = state.run(key);
    time::sleep(run.delay).await;
    if run.answer_lost {
        return server::dropped_response();
    }
    let bytes = state.answer_bytes();
    let padding = ".".repeat(bytes);
    let answer = Answer {
        run: run.number,
        method: method.as_str(),
        path: path.as_str(),
        key,
        body_bytes: body.len(),
        padding: &padding,
    };
    let status = if run.failed { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    warp::reply::with_status(warp::reply::json(&answer), status).into_response()
}
