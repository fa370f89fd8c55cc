//! Forwards callers' requests to upstreams.

mod headers;
mod job;
mod send;
mod waiting;

pub use headers::hop_by_hop;

use std::convert;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request;
use hyper::{Request, Response};
use rand::RngExt as _;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use crate::entry::clock;
use crate::entry::intake;
use crate::entry::listener;
use crate::entry::port;
use crate::entry::refusal;
use crate::entry::relay;
use crate::entry::state;

/// Range of the delay after which callers are asked to retry, in milliseconds.
const RETRY_AFTER_MS: std::ops::Range<u64> = 150..400;

/// A request that counts as running until this value is dropped, also if its connection is closed.
struct RequestCount(Rc<state::Entry>);

impl RequestCount {
    fn new(entry: &Rc<state::Entry>) -> Self {
        entry.requests.set(entry.requests.get() + 1);
        Self(entry.clone())
    }
}

impl Drop for RequestCount {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get().saturating_sub(1));
    }
}

/// Serves one request of a caller.
///
/// # Errors
///
/// Never fails; each failure becomes an error response.
pub async fn serve(
    entry: Rc<state::Entry>,
    req: Request<Incoming>,
    conn: Rc<intake::Conn>,
) -> Result<Response<intake::Body>, convert::Infallible> {
    let started = Instant::now();
    let count = RequestCount::new(&entry);
    let (parts, body) = req.into_parts();
    let result = match admit_header(&entry, &conn, &parts).await {
        Ok(head) => match route(&entry, &head, &parts, (body, &conn), started).await {
            Ok(response) => Ok(response),
            Err(refusal) => Err((head.id, refusal)),
        },
        Err(refusal) => Err((String::new(), refusal)),
    };
    drop(count);
    let mut response = match result {
        Ok(response) => response,
        Err((id, refusal)) => {
            log_refusal(&entry, &id, &parts, &refusal, started);
            refusal.into_response()
        }
    };
    if entry.stopping.is_cancelled() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    drop(parts);
    conn.end_header();
    Ok(response.map(|body| intake::Body::new(body, conn)))
}

/// Admits the header of a request and decodes it.
async fn admit_header(
    entry: &state::Entry,
    conn: &intake::Conn,
    parts: &request::Parts,
) -> Result<port::RequestHead, refusal::Refusal> {
    let limits = entry.table.borrow().as_ref().map(|table| table.limits);
    let max_bytes = limits.map_or(listener::DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let admitted = conn.begin_request(parts, max_bytes).await;
    admitted.map_err(|refusal| with_overload_delay(entry, refusal))?;
    entry
        .port
        .decode_request(parts)
        .map_err(|error| refusal::Refusal::not_run(code::Code::BadHeader, error.to_string()))
}

async fn route(
    entry: &Rc<state::Entry>,
    head: &port::RequestHead,
    parts: &request::Parts,
    (body, conn): (Incoming, &intake::Conn),
    started: Instant,
) -> Result<Response<relay::Body>, refusal::Refusal> {
    let table = entry.table.borrow().clone();
    let Some(table) = table else {
        let refusal = refusal::Refusal::not_run(code::Code::NotConfigured, "no configuration yet");
        return Err(with_retry_after(entry, refusal));
    };
    let (route, workspace) =
        match table.resolve(&head.host, parts.uri.path(), head.api_key.as_deref()) {
            routing::Resolution::Found(route, workspace) => (route.clone(), workspace.cloned()),
            // A configuration that is not confirmed as current may lack a new route or key.
            _ if entry.staleness() != config_sync::Staleness::Fresh => {
                return Err(configuration_stale(entry));
            }
            routing::Resolution::UnknownRoute => {
                return Err(refusal::Refusal::not_run(code::Code::UnknownRoute, "no such route"));
            }
            routing::Resolution::UnknownKey => {
                return Err(refusal::Refusal::not_run(code::Code::Unauthorized, "unknown key"));
            }
        };
    let timeout = min_timeout(head.timeout, route.timeout);
    let deadline = timeout.map(|timeout| started + Duration::from(timeout));
    let body = intake::collect(conn, body, table.limits.body_bytes, deadline).await;
    let body = body.map_err(|refusal| with_overload_delay(entry, refusal))?;
    conn.begin_running().await.map_err(|refusal| with_overload_delay(entry, refusal))?;
    let hash = xxh3::xxh3_64(head.id.as_bytes());
    let Some(service) = table.service(route.service_for(hash)) else {
        let reason = "the route's service is not configured";
        let refusal = refusal::Refusal::not_run(code::Code::NoUpstream, reason);
        return Err(with_retry_after(entry, refusal));
    };
    let shared_segments = head.prompt.as_ref().map(port::Prompt::shared_segments);
    let job = job::Job {
        entry,
        head,
        route: &route,
        workspace: workspace.as_deref(),
        service,
        parts,
        body,
        started,
        deadline,
        tried: Vec::new(),
        attempts: 0,
        may_have_run: false,
        waited: Duration::ZERO,
        expected_weights: 0,
        has_retry: false,
        shared_segments: shared_segments.unwrap_or_default(),
        ticket: None,
        turn: None,
    };
    job.run().await
}

fn log_refusal(
    entry: &state::Entry,
    id: &str,
    parts: &request::Parts,
    refusal: &refusal::Refusal,
    started: Instant,
) {
    let age_ms = entry.config_confirmed_at.get().map(|at| clock::now().since(at).0);
    let version = entry.table.borrow().as_ref().map(|table| table.version);
    metrics::counter!("refusals", "reason" => refusal.code.name()).increment(1);
    let (is_logged, omitted) =
        entry.refusal_lines.borrow_mut().entry(refusal.code).or_default().admit(clock::now());
    if omitted > 0 {
        log::warn!(code = refusal.code.number(), omitted; "more requests were refused");
    }
    if !is_logged {
        return;
    }
    log::warn!(
        request = id, path = parts.uri.path(), code = refusal.code.number(),
        name = refusal.code.name(), outcome:% = refusal.outcome, reason = refusal.reason.as_str(),
        took_ms = started.elapsed().as_millis() as u64, configuration:? = version,
        confirmed_age_ms:? = age_ms;
        "request refused"
    );
}

fn configuration_stale(entry: &state::Entry) -> refusal::Refusal {
    let reason = "the configuration is not confirmed";
    with_retry_after(entry, refusal::Refusal::not_run(code::Code::ConfigurationStale, reason))
}

/// Adds a retry delay to a refusal for which the instance's own limits are the reason.
fn with_overload_delay(entry: &state::Entry, refusal: refusal::Refusal) -> refusal::Refusal {
    match refusal.code {
        code::Code::InstanceOverloaded => with_retry_after(entry, refusal),
        _ => refusal,
    }
}

/// Adds a random retry delay to a refusal, so that callers don't all retry at the same time.
fn with_retry_after(entry: &state::Entry, refusal: refusal::Refusal) -> refusal::Refusal {
    let delay_ms = entry.rng.borrow_mut().random_range(RETRY_AFTER_MS);
    refusal.with_retry_after(Duration::from_millis(delay_ms))
}

fn min_timeout(a: Option<Millis>, b: Option<Millis>) -> Option<Millis> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
