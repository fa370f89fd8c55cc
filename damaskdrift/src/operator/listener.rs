//! Operators' HTTP listener: authentication, metrics and health checks.

use std::convert;
use std::sync;
use std::time::Duration;

use damaskdrift_core::code;
use futures_util::TryStreamExt as _;
use metrics_exporter_prometheus::PrometheusHandle;
use subtle::ConstantTimeEq as _;
use warp::Filter as _;
use warp::http::{HeaderMap, Method, Response, header};

use crate::context;
use crate::control::lifecycle;
use crate::operator::Refusal;
use crate::operator::api;

/// Maximum size of a request body in bytes; the key-value service stores values up to 1 MB.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum length of a recorded author or summary; longer ones are truncated.
const MAX_HEADER_CHARS: usize = 200;
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP listener for operators and monitoring.
pub struct Listener {
    cx: sync::Arc<context::Context>,
    metrics: PrometheusHandle,
    token: blake3::Hash,
}

impl Listener {
    /// Creates a listener that serves metrics, and the API to callers with the operators' token.
    pub fn new(cx: sync::Arc<context::Context>, metrics: PrometheusHandle, token: &str) -> Self {
        Self { cx, metrics, token: blake3::hash(token.as_bytes()) }
    }

    /// Serves requests until `stop` resolves, then completes those in progress.
    pub async fn run(
        self,
        socket: tokio::net::TcpListener,
        stop: impl Future<Output = ()> + Send + 'static,
    ) {
        let listener = sync::Arc::new(self);
        let routes = warp::method()
            .and(warp::path::full())
            .and(raw_query())
            .and(warp::header::headers_cloned())
            .and(warp::body::stream())
            .then(move |method, path: warp::path::FullPath, query, headers, body| {
                let listener = listener.clone();
                async move { listener.handle(method, path.as_str(), query, headers, body).await }
            });
        warp::serve(routes).incoming(socket).graceful(stop).run().await;
    }

    async fn handle(
        &self,
        method: Method,
        path: &str,
        query: String,
        headers: HeaderMap,
        body: impl futures_util::Stream<Item = Result<impl warp::Buf, warp::Error>>,
    ) -> Response<String> {
        match (&method, path) {
            (&Method::GET, "/metrics") => {
                return text_response(200, "text/plain; version=0.0.4", self.metrics.render());
            }
            (&Method::GET, "/healthz") => {
                return text_response(200, "text/plain", "ok\n".to_owned());
            }
            (&Method::GET, "/readyz") => return self.readiness(),
            _ => {}
        }
        let result = self.handle_api(method, path, query, &headers, body).await;
        result
            .unwrap_or_else(|refusal| json_response(refusal.code.http_status(), &refusal.to_json()))
    }

    fn readiness(&self) -> Response<String> {
        match lifecycle::readiness(&self.cx) {
            Ok(()) => text_response(200, "text/plain", "ready\n".to_owned()),
            Err(code) => {
                text_response(503, "text/plain", format!("[{}] {}\n", code.number(), code.name()))
            }
        }
    }

    async fn handle_api(
        &self,
        method: Method,
        path: &str,
        query: String,
        headers: &HeaderMap,
        body: impl futures_util::Stream<Item = Result<impl warp::Buf, warp::Error>>,
    ) -> Result<Response<String>, Refusal> {
        if !self.is_authorized(headers) {
            let message = "the operators' token is missing or wrong; pass --token-file FILE";
            return Err(Refusal::new(code::Code::OperatorUnauthorized, message));
        }
        let body = read_body(body).await?;
        let author = header_text(headers, api::AUTHOR_HEADER);
        let summary = header_text(headers, api::SUMMARY_HEADER);
        let req = api::Request { method, path, query, author, summary, body };
        let value = api::handle(&self.cx, &req).await?;
        Ok(json_response(200, &value))
    }

    /// Returns whether the request carries the operators' token.
    ///
    /// Hashes are compared in constant time, so that response times reveal nothing about the token.
    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let (Some(value), None) = (values.next(), values.next()) else {
            return false;
        };
        let Some(token) = value.as_bytes().strip_prefix(b"Bearer ") else {
            return false;
        };
        blake3::hash(token).as_bytes().ct_eq(self.token.as_bytes()).into()
    }
}

fn raw_query() -> impl warp::Filter<Extract = (String,), Error = convert::Infallible> + Clone {
    warp::query::raw().or_else(|_| async { Ok::<_, convert::Infallible>((String::new(),)) })
}

async fn read_body(
    body: impl futures_util::Stream<Item = Result<impl warp::Buf, warp::Error>>,
) -> Result<Vec<u8>, Refusal> {
    let collect = async {
        let mut body = std::pin::pin!(body);
        let mut bytes = Vec::new();
        while let Some(mut buf) = body.try_next().await.map_err(|error| {
            Refusal::new(code::Code::MalformedBody, &format!("the body broke off: {error}"))
        })? {
            while buf.has_remaining() {
                let chunk = buf.chunk();
                bytes.extend_from_slice(chunk);
                let len = chunk.len();
                buf.advance(len);
            }
            if bytes.len() > MAX_BODY_BYTES {
                let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
                return Err(Refusal::new(code::Code::BodyTooLarge, &message));
            }
        }
        Ok(bytes)
    };
    let timed_out = |_| {
        let message = "the body was not sent within 10 s";
        Refusal::new(code::Code::RequestTimeout, message)
    };
    tokio::time::timeout(BODY_TIMEOUT, collect).await.map_err(timed_out)?
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    let text: String = value.trim().chars().take(MAX_HEADER_CHARS).collect();
    (!text.is_empty()).then_some(text)
}

fn json_response(status: u16, value: &serde_json::Value) -> Response<String> {
    text_response(status, "application/json", value.to_string())
}

fn text_response(status: u16, content_type: &str, body: String) -> Response<String> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(body)
        .expect("status and content type are constants")
}
