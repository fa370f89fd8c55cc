//! HTTP routes of the key-value stand-in.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use warp::Filter;
use warp::http::StatusCode;
use warp::path::Tail;
use warp::reply::{Reply, Response};

use crate::server;
use crate::standin::key_value::fault::Fault;
use crate::standin::key_value::service::{CallKind, Refusal, Service};
use crate::standin::key_value::store::{Entry, SwapResult};

/// Response header with the revision of the key's last write.
const REVISION_HEADER: &str = "x-revision";
/// Maximum size of a value; larger ones get status 413.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Debug, Deserialize)]
struct PutQuery {
    expected: u64,
    ttl_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct RenewQuery {
    expected: u64,
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct DeleteQuery {
    expected: u64,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

/// Returns the routes that clients and tests call.
pub fn routes(
    service: Service,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    let with_service = warp::any().map(move || service.clone());
    let key = warp::path!("v1" / "kv" / ..).and(warp::path::tail());
    let get = with_service.clone().and(warp::get()).and(key).then(get);
    let put = (with_service.clone().and(warp::put()).and(key))
        .and(warp::query::<PutQuery>())
        .and(warp::body::bytes())
        .then(put);
    let delete = with_service
        .clone()
        .and(warp::delete())
        .and(key)
        .and(warp::query::<DeleteQuery>())
        .then(delete);
    let renew = (with_service.clone().and(warp::post()))
        .and(warp::path!("v1" / "renew" / ..))
        .and(warp::path::tail())
        .and(warp::query::<RenewQuery>())
        .then(renew);
    let watch = (with_service.clone().and(warp::get()))
        .and(warp::path!("v1" / "watch" / ..))
        .and(warp::path::tail())
        .and(warp::query::<WatchQuery>())
        .then(watch);
    let fault = (with_service.clone().and(warp::post()))
        .and(warp::path!("admin" / "fault"))
        .and(warp::body::bytes())
        .map(set_fault);
    let stats = with_service
        .and(warp::get())
        .and(warp::path!("admin" / "stats"))
        .map(|service: Service| warp::reply::json(&service.stats()));
    get.or(put)
        .unify()
        .or(delete)
        .unify()
        .or(renew)
        .unify()
        .or(watch)
        .unify()
        .or(fault)
        .unify()
        .or(stats)
}

async fn get(service: Service, key: Tail) -> Response {
    let entry = service.call(CallKind::Read, |store, now| store.get(key.as_str(), now)).await;
    match entry {
        Ok(Some(entry)) => entry_response(StatusCode::OK, entry),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(refusal) => refusal_response(refusal),
    }
}

async fn put(service: Service, key: Tail, query: PutQuery, value: Bytes) -> Response {
    if value.len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let ttl = query.ttl_ms.map(Duration::from_millis);
    run_write(service, move |service| async move {
        service
            .call(CallKind::Write, |store, now| {
                store.put(key.as_str(), value, query.expected, ttl, now)
            })
            .await
    })
    .await
}

async fn delete(service: Service, key: Tail, query: DeleteQuery) -> Response {
    run_write(service, move |service| async move {
        service
            .call(CallKind::Write, |store, now| store.delete(key.as_str(), query.expected, now))
            .await
    })
    .await
}

async fn renew(service: Service, key: Tail, query: RenewQuery) -> Response {
    let ttl = Duration::from_millis(query.ttl_ms);
    run_write(service, move |service| async move {
        service
            .call(CallKind::Write, |store, now| store.renew(key.as_str(), query.expected, ttl, now))
            .await
    })
    .await
}

async fn watch(service: Service, key: Tail, query: WatchQuery) -> Response {
    let wait = Duration::from_millis(query.wait_ms);
    match service.watch(key.as_str(), query.after, wait).await {
        Ok(Some(entry)) => entry_response(StatusCode::OK, entry),
        Ok(None) => StatusCode::NO_CONTENT.into_response(),
        Err(refusal) => refusal_response(refusal),
    }
}

fn set_fault(service: Service, body: Bytes) -> Response {
    match server::parse_json(&body).and_then(Fault::checked) {
        Ok(fault) => {
            service.set_fault(fault);
            warp::reply::json(&fault).into_response()
        }
        Err(message) => server::bad_request(message),
    }
}

/// Runs a write in its own task, so that it takes effect even if the client disconnects.
async fn run_write<F, R>(service: Service, operation: F) -> Response
where
    F: FnOnce(Service) -> R,
    R: Future<Output = Result<SwapResult, Refusal>> + Send + 'static,
{
    match tokio::spawn(operation(service)).await {
        Ok(Ok(SwapResult::Applied(revision))) => {
            revision_response(StatusCode::OK, revision, Bytes::new())
        }
        Ok(Ok(SwapResult::Conflict(Some(entry)))) => entry_response(StatusCode::CONFLICT, entry),
        Ok(Ok(SwapResult::Conflict(None))) => {
            revision_response(StatusCode::CONFLICT, 0, Bytes::new())
        }
        Ok(Err(refusal)) => refusal_response(refusal),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn entry_response(status: StatusCode, entry: Entry) -> Response {
    revision_response(status, entry.revision, entry.value)
}

fn revision_response(status: StatusCode, revision: u64, body: Bytes) -> Response {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response.headers_mut().insert(REVISION_HEADER, revision.into());
    response
}

fn refusal_response(refusal: Refusal) -> Response {
    match refusal {
        Refusal::Outage => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Refusal::RateLimited => StatusCode::TOO_MANY_REQUESTS.into_response(),
        Refusal::ResponseDropped => server::dropped_response(),
    }
}
