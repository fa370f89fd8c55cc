//! Admin HTTP routes of the proxy.

use std::sync::Arc;

use bytes::Bytes;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};

use crate::proxy::link::{Link, Stats};
use crate::proxy::mode::Mode;
use crate::server;

/// Returns the admin routes that control the given links.
pub fn routes(
    links: Arc<[Link]>,
) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    let with_links = warp::any().map(move || links.clone());
    let all = (with_links.clone().and(warp::put()))
        .and(warp::path!("mode"))
        .and(warp::body::bytes())
        .then(async |links: Arc<[Link]>, body: Bytes| set_mode(&links, &body).await);
    let one = (with_links.clone().and(warp::put()))
        .and(warp::path!("links" / usize / "mode"))
        .and(warp::body::bytes())
        .then(set_one_mode);
    let list = with_links.and(warp::get()).and(warp::path!("links")).map(|links: Arc<[Link]>| {
        let stats: Vec<Stats> = links.iter().map(Link::stats).collect();
        warp::reply::json(&stats).into_response()
    });
    all.or(one).unify().or(list).unify()
}

async fn set_one_mode(links: Arc<[Link]>, index: usize, body: Bytes) -> Response {
    match links.get(index) {
        Some(link) => set_mode(std::slice::from_ref(link), &body).await,
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn set_mode(links: &[Link], body: &[u8]) -> Response {
    match server::parse_json(body).and_then(Mode::checked) {
        Ok(mode) => {
            let updates = links.iter().map(|link| link.set_mode(mode));
            futures_util::future::join_all(updates).await;
            warp::reply::json(&mode).into_response()
        }
        Err(message) => server::bad_request(message),
    }
}
