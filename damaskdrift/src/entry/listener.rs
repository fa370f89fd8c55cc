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
use crate::stream::FairStream;

/// Idle timeout of a caller's connection until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(15_000);
/// Read buffer of a caller's connection until a configuration limits the size of a request's
/// header.
const DEFAULT_BUFFER_BYTES: usize = 16 << 10;
/// Minimum read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Delay after a failed accept; the usual cause is a lack of free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves callers until `close` is cancelled, then closes each connection once it is idle.
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

/// Accepts a connection; failures are logged and retried.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!(cause:% = error; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(entry: Rc<state::Entry>, stream: TcpStream, close: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(cause:% = error; "cannot set TCP_NODELAY; closing the caller's connection");
        return;
    }
    let limits = entry.table.borrow().as_ref().map(|table| table.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let buffer_bytes =
        limits.map_or(DEFAULT_BUFFER_BYTES, |l| l.header_bytes).max(MIN_BUFFER_BYTES);
    let service = service::service_fn(move |req| forward::serve(entry.clone(), req));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(idle_timeout))
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(FairStream::new(stream)), service);
    let mut conn = std::pin::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = close.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(error) = result {
        log::debug!(cause:% = error; "caller's connection failed");
    }
}

/// Serves readiness checks, which succeed while the instance is ready for new connections.
pub async fn serve_readiness(entry: Rc<state::Entry>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let entry = entry.clone();
        serve_immediate(stream, move |req: Request<Incoming>| {
            let (parts, _) = req.into_parts();
            let status = match (entry.port.is_readiness_check(&parts), entry.is_ready()) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            text_response(status, String::new())
        });
    }
}

/// Serves the metrics in the Prometheus text format.
pub async fn serve_metrics(recorder: PrometheusHandle, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let recorder = recorder.clone();
        serve_immediate(stream, move |_| text_response(StatusCode::OK, recorder.render()));
    }
}

/// Serves a connection whose responses are created without waiting.
fn serve_immediate(
    stream: TcpStream,
    respond: impl Fn(Request<Incoming>) -> Response<relay::Body> + 'static,
) {
    task::spawn_local(async move {
        let service =
            service::service_fn(|req| future::ready(Ok::<_, convert::Infallible>(respond(req))));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from(DEFAULT_IDLE_TIMEOUT))
            .serve_connection(TokioIo::new(FairStream::new(stream)), service);
        if let Err(error) = conn.await {
            log::debug!(cause:% = error; "readiness or metrics connection failed");
        }
    });
}

fn text_response(status: StatusCode, body: String) -> Response<relay::Body> {
    let mut response = Response::new(relay::Body::local(Full::new(Bytes::from(body))));
    *response.status_mut() = status;
    response
}
