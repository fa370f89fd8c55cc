//! HTTP listener that the stand-ins and the proxy share.

use std::convert;
use std::net;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};

use crate::error;

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
    let listen = |error| error::Error::Io(format!("cannot listen on {address}"), error);
    let listener = TcpListener::bind(address).await.map_err(listen)?;
    println!("listening on {}", listener.local_addr().map_err(listen)?);
    let filter = TowerToHyperService::new(warp::service(filter));
    loop {
        let (stream, _) = listener.accept().await.map_err(listen)?;
        if let Err(error) = stream.set_nodelay(true) {
            eprintln!("cannot set TCP_NODELAY: {error}");
        }
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
