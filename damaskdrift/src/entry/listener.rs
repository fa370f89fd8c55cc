//! Listeners for callers, readiness checks and metrics.

use std::convert;
use std::io;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::limits;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task;
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use crate::entry::forward;
use crate::entry::intake;
use crate::entry::relay;
use crate::entry::run;
use crate::entry::state;

/// Size of a request's header until a configuration limits it.
pub const DEFAULT_HEADER_BYTES: usize = 16 << 10;
/// Bytes of the read buffer beside those of the header's fields, for the request line.
const REQUEST_LINE_BYTES: usize = 8 << 10;
/// Read buffer of connections whose requests have only a short header; the minimum that hyper
/// accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Delay after a failed accept; the usual cause is a lack of free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Connections that the kernel keeps until they are accepted.
const BACKLOG: u32 = 1_024;
/// Number of connections accepted before those accepted are served, so that a crowd does not close
/// connections before their first request is read.
const ACCEPT_BATCH: usize = 8;

/// Opens a listener whose connections have bounded socket buffers.
///
/// # Errors
///
/// Returns an error if the listening socket cannot be opened.
pub fn bind(address: net::SocketAddr) -> Result<TcpListener, run::Error> {
    let bind = || -> io::Result<TcpListener> {
        let socket = match address {
            net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
            net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        // Accepted sockets inherit the sizes.
        socket.set_recv_buffer_size(intake::SOCKET_BUFFER_BYTES)?;
        socket.set_send_buffer_size(intake::SOCKET_BUFFER_BYTES)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|error| run::Error::Listen(address, error))
}

/// Serves callers until `close` is cancelled, then closes each connection once it is idle.
pub async fn serve_callers(
    entry: Rc<state::Entry>,
    intake: Rc<intake::Intake>,
    listener: TcpListener,
    close: CancellationToken,
) {
    let tracker = TaskTracker::new();
    let watch = AbortOnDropHandle::new(task::spawn_local(intake.clone().watch()));
    for accepted in 1_usize.. {
        let (stream, address) = tokio::select! {
            accepted = accept_from(&listener) => accepted,
            () = close.cancelled() => break,
        };
        if let Some(conn) = intake.admit(address.ip()).await {
            let served = serve_caller(entry.clone(), &intake, conn, stream, close.clone());
            task::spawn_local(tracker.track_future(served));
        }
        if accepted % ACCEPT_BATCH == 0 {
            task::yield_now().await;
        }
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
    drop(watch);
}

/// Accepts a connection; failures are logged and retried.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    accept_from(listener).await.0
}

async fn accept_from(listener: &TcpListener) -> (TcpStream, net::SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => match stream.set_nodelay(true) {
                Ok(()) => return (stream, address),
                Err(error) => log::debug!(cause:% = error; "cannot set TCP_NODELAY"),
            },
            Err(error) => {
                log::warn!(cause:% = error; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the future that serves a caller's connection with the limits in force.
fn serve_caller(
    entry: Rc<state::Entry>,
    intake: &intake::Intake,
    conn: Rc<intake::Conn>,
    stream: TcpStream,
    close: CancellationToken,
) -> impl Future<Output = ()> + use<> {
    let limits = entry.table.borrow().as_ref().map(|table| table.limits);
    let default = limits::Timeouts::default();
    let timeouts = limits.map_or(default, |limits| limits::Timeouts {
        idle: limits.idle_timeout,
        header: limits.header_timeout,
        ..default
    });
    intake.set_timeouts(timeouts);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let mut http = http1::Builder::new();
    http.max_headers(limits::max_fields(header_bytes));
    let buffer_bytes = (header_bytes + REQUEST_LINE_BYTES).max(MIN_BUFFER_BYTES);
    let socket = intake::Socket::new(stream, conn.clone());
    serve(socket, conn, (http, buffer_bytes), close, move |req, conn| {
        forward::serve(entry.clone(), req, conn)
    })
}

/// Removes a connection from its intake when it is dropped.
struct Removal(Rc<intake::Conn>);

impl Drop for Removal {
    fn drop(&mut self) {
        self.0.remove();
    }
}

/// Serves a client's connection until it ends or has to be closed.
async fn serve<F>(
    socket: intake::Socket,
    conn: Rc<intake::Conn>,
    (mut http, buffer_bytes): (http1::Builder, usize),
    close: CancellationToken,
    respond: impl Fn(Request<Incoming>, Rc<intake::Conn>) -> F,
) where
    F: Future<Output = Result<Response<intake::Body>, convert::Infallible>>,
{
    // The intake has the timeouts; hyper's would count the time in which a response is read.
    http.header_read_timeout(None).max_buf_size(buffer_bytes);
    // Declared before the connection, so that its end is recorded after it has been dropped.
    let _removal = Removal(conn.clone());
    let service = service::service_fn(|req| respond(req, conn.clone()));
    let served = http.serve_connection(TokioIo::new(socket), service);
    let mut served = std::pin::pin!(served);
    let mut has_stopped = false;
    let result = loop {
        tokio::select! {
            result = served.as_mut() => break result,
            () = conn.closed() => break Ok(()),
            () = close.cancelled(), if !has_stopped => {
                has_stopped = true;
                served.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = result {
        log::debug!(cause:% = error; "client's connection failed");
    }
}

/// Serves readiness checks, which succeed while the instance is ready for new connections.
pub async fn serve_readiness(
    entry: Rc<state::Entry>,
    intake: Rc<intake::Intake>,
    listener: TcpListener,
) {
    let respond = move |req: Request<Incoming>| {
        let (parts, _) = req.into_parts();
        let status = match (entry.port.is_readiness_check(&parts), entry.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        text_response(status, String::new())
    };
    serve_immediate(intake, listener, respond).await;
}

/// Serves the metrics in the Prometheus text format.
pub async fn serve_metrics(
    recorder: PrometheusHandle,
    intake: Rc<intake::Intake>,
    listener: TcpListener,
) {
    let respond = move |_| text_response(StatusCode::OK, recorder.render());
    serve_immediate(intake, listener, respond).await;
}

/// Serves connections whose responses are created without waiting.
async fn serve_immediate(
    intake: Rc<intake::Intake>,
    listener: TcpListener,
    respond: impl Fn(Request<Incoming>) -> Response<relay::Body> + 'static,
) {
    let _watch = AbortOnDropHandle::new(task::spawn_local(intake.clone().watch()));
    let respond = Rc::new(respond);
    for accepted in 1_usize.. {
        let (stream, address) = accept_from(&listener).await;
        if let Some(conn) = intake.admit(address.ip()).await {
            let respond = respond.clone();
            let respond = move |req: Request<Incoming>, conn: Rc<intake::Conn>| {
                let respond = respond.clone();
                async move {
                    let (parts, body) = req.into_parts();
                    if let Err(refusal) = conn.begin_request(&parts, MIN_BUFFER_BYTES).await {
                        let response = refusal.into_response();
                        return Ok(response.map(|body| intake::Body::new(body, conn)));
                    }
                    let response = respond(Request::from_parts(parts, body));
                    conn.end_header();
                    Ok(response.map(|body| intake::Body::new(body, conn)))
                }
            };
            let socket = intake::Socket::new(stream, conn.clone());
            let limits = (http1::Builder::new(), MIN_BUFFER_BYTES);
            let close = CancellationToken::new();
            task::spawn_local(serve(socket, conn, limits, close, respond));
        }
        if accepted % ACCEPT_BATCH == 0 {
            task::yield_now().await;
        }
    }
}

fn text_response(status: StatusCode, body: String) -> Response<relay::Body> {
    let mut response = Response::new(relay::Body::local(Full::new(Bytes::from(body))));
    *response.status_mut() = status;
    response
}
