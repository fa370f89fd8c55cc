//! HTTP routes of the instance list.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};

use crate::server;
use crate::standin::instances::list::{Delayed, List};

/// Returns the routes of a list.
pub fn routes(
    list: Delayed,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    let list = Arc::new(Mutex::new(list));
    let with = warp::any().map(move || list.clone());
    let get = with.clone().and(warp::get()).and(warp::path!("v1" / "instances")).map(get);
    let put = (with.and(warp::put()))
        .and(warp::path!("admin" / "instances"))
        .and(warp::body::bytes())
        .map(set);
    get.or(put).unify()
}

fn get(list: Arc<Mutex<Delayed>>) -> Response {
    warp::reply::json(lock(&list).get(Instant::now())).into_response()
}

fn set(list: Arc<Mutex<Delayed>>, body: Bytes) -> Response {
    match server::parse_json::<List>(&body) {
        Ok(next) => {
            lock(&list).set(next, Instant::now());
            StatusCode::OK.into_response()
        }
        Err(message) => server::bad_request(message),
    }
}

fn lock(list: &Mutex<Delayed>) -> MutexGuard<'_, Delayed> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}
