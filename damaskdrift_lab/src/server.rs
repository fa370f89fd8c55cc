//! HTTP server shared by the stand-ins and the proxy.

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

/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Response extension that makes the server close the connection instead of sending the response.
#[derive(Clone, Copy, Debug)]
pub struct DroppedResponse;

/// Error with which hyper closes the connection instead of sending the response.
#[derive(Debug, Error)]
#[error("response dropped by fault injection")]
struct DroppedResponseError;

/// Returns a response that is not sent; the connection is closed instead.
pub fn dropped_response() -> Response {
    let mut response = warp::reply().into_response();
    response.extensions_mut().insert(DroppedResponse);
    response
}

/// Parses a JSON body and ignores its content type.
///
/// # Errors
///
/// Returns the parse error as text for the client.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

/// Returns a response with status 400 and `message` as plain text.
pub fn bad_request(message: String) -> Response {
    warp::reply::with_status(message, StatusCode::BAD_REQUEST).into_response()
}

/// Prints `listening on IP:PORT` to standard output and serves `filter` until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
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
                eprintln!("cannot accept a connection on {address}: {error}");
                time::sleep(ACCEPT_RETRY_PAUSE).await;
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
        let response = inner.call(req);
        async {
            let Ok(response) = response.await;
            if response.extensions().get::<DroppedResponse>().is_some() {
                return Err(DroppedResponseError);
            }
            Ok(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    // A failed connection affects only its client, which sees it closed.
    let _ = builder.serve_connection(stream, service).await;
}
