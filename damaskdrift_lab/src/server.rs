//! HTTP listener that the stand-ins and the proxy share.

use std::convert;
use std::net;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};

use crate::error;
use crate::standin;

/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Marks a response that must not be sent; the connection is closed instead.
#[derive(Clone, Copy, Debug)]
pub struct LostAnswer;

/// Closes a connection instead of sending its answer.
#[derive(Debug, Error)]
#[error("the answer is lost")]
struct LostAnswerError;

/// Returns a reply that closes the connection without an answer.
pub fn lost_answer() -> Response {
    let mut response = warp::reply().into_response();
    response.extensions_mut().insert(LostAnswer);
    response
}

/// Parses a JSON body, whatever its content type.
///
/// # Errors
///
/// Returns the fault for the client.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

/// Returns a reply that refuses a request with 400 and the reason as text.
pub fn bad_request(message: String) -> Response {
    warp::reply::with_status(message, StatusCode::BAD_REQUEST).into_response()
}

/// Serves a filter, after printing `listening on IP:PORT` to standard output.
///
/// # Errors
///
/// Returns why the address cannot be listened on.
pub async fn run<F, R>(address: net::SocketAddr, filter: F) -> Result<(), error::Error>
where
    F: Filter<Extract = (R,), Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    R: Reply + Send,
{
    let listener = standin::listen(address).await?;
    let filter = TowerToHyperService::new(warp::service(filter));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                eprintln!("cannot accept on {address}: {error}");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        tokio::spawn(serve(TokioIo::new(stream), filter.clone()));
    }
}

async fn serve<S>(stream: TokioIo<TcpStream>, inner: S)
where
    S: Service<Request<Incoming>, Response = Response, Error = convert::Infallible>,
{
    let service = hyper::service::service_fn(|req| {
        let answer = inner.call(req);
        async {
            let Ok(response) = answer.await;
            if response.extensions().get::<LostAnswer>().is_some() {
                return Err(LostAnswerError);
            }
            Ok(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    // A failed connection concerns only its client, which sees it closed.
    let _ = builder.serve_connection(stream, service).await;
}
