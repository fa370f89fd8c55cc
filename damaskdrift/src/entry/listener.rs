//! Listeners for callers, readiness checks and metrics.

use std::convert;
use std::future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::time::Millis;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpStream};
use tokio::task;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::entry::forward;
use crate::entry::relay;
use crate::entry::state;

/// Idle time of a caller's connection before a configuration sets one.
const DEFAULT_IDLE: Millis = Millis(15_000);
/// Read buffer of a caller's connection before a configuration bounds a request's header.
const DEFAULT_BUFFER: usize = 16 << 10;
/// Smallest read buffer that the HTTP library accepts.
const SMALLEST_BUFFER: usize = 8 << 10;
/// Pause after a failed accept, which mostly means that descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until `close`; the connections are then closed as soon as they are idle.
pub async fn serve_callers(
    entry: Rc<state::Entry>,
    listener: TcpListener,
    close: CancellationToken,
) {
    let tracker = TaskTracker::new();
    loop {
        let stream = tokio::select! {
            accepted = accept(&listener) => accepted,
            () = close.cancelled() => break,
        };
        let conn = serve_caller(entry.clone(), stream, close.clone());
        task::spawn_local(tracker.track_future(conn));
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// Accepts a connection; a failure is logged and tried again.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(cause:% = error; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(entry: Rc<state::Entry>, stream: TcpStream, close: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(cause:% = error; "caller's connection ended before it was served");
        return;
    }
    let limits = entry.table.borrow().as_ref().map(|table| table.limits);
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_timeout);
    let buffer = limits.map_or(DEFAULT_BUFFER, |l| l.header_bytes).max(SMALLEST_BUFFER);
    let service = service::service_fn(move |req| forward::serve(entry.clone(), req));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(idle))
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = close.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(error) = ended {
        log::debug!(cause:% = error; "caller's connection ended");
    }
}

/// Answers readiness checks.
pub async fn serve_readiness(entry: Rc<state::Entry>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let entry = entry.clone();
        serve_small(stream, move |req: Request<Incoming>| {
            let (parts, _) = req.into_parts();
            let status = match (entry.port.is_readiness_check(&parts), entry.is_ready()) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            text(status, String::new())
        });
    }
}

/// Serves the metrics.
pub async fn serve_metrics(page: PrometheusHandle, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let page = page.clone();
        serve_small(stream, move |_| text(StatusCode::OK, page.render()));
    }
}

/// Serves a connection whose requests are answered at once.
fn serve_small(
    stream: TcpStream,
    answer: impl Fn(Request<Incoming>) -> Response<relay::Body> + 'static,
) {
    task::spawn_local(async move {
        let service =
            service::service_fn(|req| future::ready(Ok::<_, convert::Infallible>(answer(req))));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from(DEFAULT_IDLE))
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = conn.await {
            log::debug!(cause:% = error; "connection to a page ended");
        }
    });
}

fn text(status: StatusCode, body: String) -> Response<relay::Body> {
    let mut response = Response::new(relay::Body::own(Full::new(Bytes::from(body))));
    *response.status_mut() = status;
    response
}
