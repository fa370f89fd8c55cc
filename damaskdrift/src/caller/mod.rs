//! HTTP listener for callers.

mod at_most_once;
mod attempts;
mod completion;
mod prompt;
mod refusal;
mod relay;
mod request;
mod request_id;
pub mod response;
mod resume;
mod route;
mod service;

use std::convert;
use std::future::Future;
use std::sync;
use std::time::Duration;

use bytes::{Buf, Bytes};
use damaskdrift_core::code;
use futures_util::Stream;
use hyper::header;
use hyper::server::conn::http1;
use hyper::{HeaderMap, Method};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use warp::Filter;
use warp::reply::Response;

use crate::caller::completion::Dispatch;
use crate::caller::prompt::Prompt;
use crate::caller::refusal::Refusal;
use crate::caller::request::Caller;
use crate::caller::service::Call;
use crate::context;
use crate::control::lifecycle;

/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

type ParseFn = fn(Bytes) -> Result<Prompt, Refusal>;

/// Accepts connections from callers until `stop` resolves, then completes the requests in progress.
pub async fn serve(
    cx: sync::Arc<context::Context>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let service = warp::service(routes(&cx));
    let mut http = http1::Builder::new();
    let read_timeout = Duration::from_millis(cx.limits.load().read_timeout_ms);
    http.timer(TokioTimer::new()).header_read_timeout(read_timeout);
    let connections = graceful::GracefulShutdown::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        let Some(stream) = accept(&listener, stop.as_mut()).await else {
            break;
        };
        let io = TokioIo::new(stream);
        let conn = http.serve_connection(io, TowerToHyperService::new(service.clone()));
        let conn = connections.watch(conn);
        tokio::spawn(async move {
            if let Err(error) = conn.await {
                log::debug!("caller connection failed: {error}");
            }
        });
    }
    drop(listener);
    connections.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    mut stop: impl Future<Output = ()> + Unpin,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            // Connections already in the accept queue at shutdown are still served.
            biased;
            accepted = listener.accept() => accepted,
            () = &mut stop => return None,
        };
        match accepted {
            Ok((stream, _)) => {
                // With Nagle's algorithm, each small chunk of a stream could wait for the ACK of
                // the previous one.
                let _ = stream.set_nodelay(true);
                return Some(stream);
            }
            Err(error) => {
                log::warn!("cannot accept caller connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn routes(
    cx: &sync::Arc<context::Context>,
) -> impl Filter<Extract = (Response,), Error = convert::Infallible> + Clone + Send + Sync + 'static
{
    let v1 = warp::path("v1");
    let completions = v1.and(warp::path!("completions"));
    let chat = v1.and(warp::path!("chat" / "completions"));
    let query = || warp::query::raw().or(warp::any().map(String::new)).unify();
    let with_cx = {
        let cx = cx.clone();
        warp::any().map(move || cx.clone())
    };
    let prompt = |path: &'static str, parse: ParseFn| {
        with_cx
            .clone()
            .and(warp::header::headers_cloned())
            .and(warp::body::stream())
            .then(move |cx, headers, body| respond(complete(cx, headers, body, path, parse)))
    };
    let completions =
        warp::post().and(completions).and(prompt("/v1/completions", Prompt::completion));
    let chat = warp::post().and(chat).and(prompt("/v1/chat/completions", Prompt::chat));
    let streams = warp::get()
        .and(with_cx.clone())
        .and(v1.and(warp::path!("streams" / String)))
        .and(query())
        .and(warp::header::headers_cloned())
        .then(|cx, request, query, headers| respond(resume::get(cx, request, query, headers)));
    let services = with_cx
        .and(v1)
        .and(warp::path("services"))
        .and(warp::path::param::<String>())
        .and(warp::path::tail())
        .and(query())
        .and(warp::method())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(|cx, service, tail: warp::path::Tail, query, method, headers, body| {
            let path = path_and_query(tail.as_str(), query);
            respond(call(cx, service, path, method, headers, body))
        });
    let unknown = warp::any().then(|| {
        respond(async {
            Err(Refusal::new(code::Code::UnknownRoute, "no route has this method and path"))
        })
    });
    let responses =
        completions.or(chat).unify().or(streams).unify().or(services).unify().or(unknown).unify();
    let cx = cx.clone();
    responses.map(move |response| close_if_draining(&cx, response))
}

/// Adds `connection: close` while the instance drains, so that callers open their next connection
/// to another instance and no connection is closed while it carries a new request.
fn close_if_draining(cx: &context::Context, mut response: Response) -> Response {
    if cx.lifecycle.phase() >= lifecycle::Phase::Draining {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn respond(response: impl Future<Output = Result<Response, Refusal>>) -> Response {
    response.await.unwrap_or_else(|refusal| {
        log::debug!("[{}] {}: {}", refusal.code.number(), refusal.code.name(), refusal.message);
        refusal.into_response()
    })
}

async fn complete<B: Buf>(
    cx: sync::Arc<context::Context>,
    headers: HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>>,
    path: &'static str,
    parse: ParseFn,
) -> Result<Response, Refusal> {
    let caller = Caller::new(&cx, &headers)?;
    let prompt = parse(read_limited(&cx, body).await?)?;
    Dispatch::new(cx, caller, &headers, path, prompt)?.run().await
}

async fn call<B: Buf>(
    cx: sync::Arc<context::Context>,
    service: String,
    path: String,
    method: Method,
    headers: HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Response, Refusal> {
    let caller = Caller::new(&cx, &headers)?;
    let body = read_limited(&cx, body).await?;
    Call::new(cx, caller, &service, method, &path, &headers, body)?.run().await
}

async fn read_limited<B: Buf>(
    cx: &context::Context,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, Refusal> {
    let limits = cx.limits.load();
    let timeout = Duration::from_millis(limits.read_timeout_ms);
    request::read_body(body, limits.max_body_bytes, timeout).await
}

fn path_and_query(path: &str, query: String) -> String {
    if query.is_empty() { format!("/{path}") } else { format!("/{path}?{query}") }
}
