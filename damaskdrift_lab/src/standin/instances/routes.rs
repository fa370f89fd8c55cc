//! HTTP routes of the instance list stand-in.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};

use crate::server;
use crate::standin::instances::list::{DelayedList, List};

/// Returns the routes that read and replace a list.
pub fn routes(
    list: DelayedList,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    let list = Arc::new(Mutex::new(list));
    let with_list = warp::any().map(move || list.clone());
    let get = with_list.clone().and(warp::get()).and(warp::path!("v1" / "instances")).map(get);
    let put = (with_list.and(warp::put()))
        .and(warp::path!("admin" / "instances"))
        .and(warp::body::bytes())
        .map(set);
    get.or(put).unify()
}

fn get(list: Arc<Mutex<DelayedList>>) -> Response {
    warp::reply::json(lock(&list).get(Instant::now())).into_response()
}

fn set(list: Arc<Mutex<DelayedList>>, body: Bytes) -> Response {
    match server::parse_json::<List>(&body) {
        Ok(new_list) => {
            lock(&list).set(new_list, Instant::now());
            StatusCode::OK.into_response()
        }
        Err(message) => server::bad_request(message),
    }
}

fn lock(list: &Mutex<DelayedList>) -> MutexGuard<'_, DelayedList> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}
