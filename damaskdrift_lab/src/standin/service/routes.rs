//! HTTP routes of the service stand-in.

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

/// Request header with the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Prefix of the paths that aren't counted as runs.
const ADMIN_PREFIX: &str = "/admin/";

#[derive(Debug, Serialize)]
struct RunResponse<'a> {
    run: u64,
    method: &'a str,
    path: &'a str,
    key: &'a str,
    body_bytes: usize,
    #[serde(skip_serializing_if = "str::is_empty")]
    padding: &'a str,
}

/// Returns the routes that callers and tests call; every path outside `/admin/` runs the service.
pub fn routes(
    state: State,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    let state = Arc::new(state);
    let with_state = warp::any().map(move || state.clone());
    let runs = with_state
        .clone()
        .and(warp::get())
        .and(warp::path!("admin" / "runs"))
        .map(|state: Arc<State>| warp::reply::json(&state.runs()).into_response());
    let fault = (with_state.clone().and(warp::post()))
        .and(warp::path!("admin" / "fault"))
        .and(warp::body::bytes())
        .map(set_fault);
    let call = with_state
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
    let key = headers
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let run = state.run(key);
    time::sleep(run.delay).await;
    if run.response_dropped {
        return server::dropped_response();
    }
    let padding = ".".repeat(state.padding_bytes());
    let response = RunResponse {
        run: run.number,
        method: method.as_str(),
        path: path.as_str(),
        key,
        body_bytes: body.len(),
        padding: &padding,
    };
    let status = if run.failed { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    warp::reply::with_status(warp::reply::json(&response), status).into_response()
}
