//! Operators' HTTP listener: authentication, metrics and health.

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

/// Largest body accepted, in bytes; the key-value service holds values up to 1 MB.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Most characters kept of an author or summary.
const MAX_HEADER_CHARS: usize = 200;
/// Longest time to read a body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// What the listener answers with.
pub struct Listener {
    cx: sync::Arc<context::Context>,
    page: PrometheusHandle,
    token: blake3::Hash,
}

impl Listener {
    /// Creates a listener that accepts the operators' token.
    pub fn new(cx: sync::Arc<context::Context>, page: PrometheusHandle, token: &str) -> Self {
        Self { cx, page, token: blake3::hash(token.as_bytes()) }
    }

    /// Answers calls until `stop` resolves.
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
                async move { listener.answer(method, path.as_str(), query, headers, body).await }
            });
        warp::serve(routes).incoming(socket).graceful(stop).run().await;
    }

    async fn answer(
        &self,
        method: Method,
        path: &str,
        query: String,
        headers: HeaderMap,
        body: impl futures_util::Stream<Item = Result<impl warp::Buf, warp::Error>>,
    ) -> Response<String> {
        match (&method, path) {
            (&Method::GET, "/metrics") => {
                return text(200, "text/plain; version=0.0.4", self.page.render());
            }
            (&Method::GET, "/healthz") => return text(200, "text/plain", "ok\n".to_owned()),
            (&Method::GET, "/readyz") => return self.ready(),
            _ => {}
        }
        let answer = self.authorized(method, path, query, &headers, body).await;
        answer.unwrap_or_else(|refusal| json(refusal.code.http_status(), &refusal.to_json()))
    }

    fn ready(&self) -> Response<String> {
        match lifecycle::readiness(&self.cx) {
            Ok(()) => text(200, "text/plain", "ready\n".to_owned()),
            Err(code) => text(503, "text/plain", format!("[{}] {}\n", code.number(), code.name())),
        }
    }

    async fn authorized(
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
        let call = api::Call { method, path, query, author, summary, body };
        let value = api::answer(&self.cx, &call).await?;
        Ok(json(200, &value))
    }

    /// Compares hashes in constant time, so that the time taken tells nothing about the token.
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
        while let Some(mut piece) = body.try_next().await.map_err(|error| {
            Refusal::new(code::Code::MalformedBody, &format!("the body broke off: {error}"))
        })? {
            while piece.has_remaining() {
                let chunk = piece.chunk();
                bytes.extend_from_slice(chunk);
                let len = chunk.len();
                piece.advance(len);
            }
            if bytes.len() > MAX_BODY_BYTES {
                let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
                return Err(Refusal::new(code::Code::BodyTooLarge, &message));
            }
        }
        Ok(bytes)
    };
    let timeout = |_| {
        let message = "the body was not sent within 10 s";
        Refusal::new(code::Code::RequestTimeout, message)
    };
    tokio::time::timeout(READ_TIMEOUT, collect).await.map_err(timeout)?
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    let text: String = value.trim().chars().take(MAX_HEADER_CHARS).collect();
    (!text.is_empty()).then_some(text)
}

fn json(status: u16, value: &serde_json::Value) -> Response<String> {
    text(status, "application/json", value.to_string())
}

fn text(status: u16, content_type: &str, body: String) -> Response<String> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(body)
        .expect("status and content type are constants")
}
