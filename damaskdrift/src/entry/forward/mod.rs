//! Serves one request of a caller.

mod headers;
mod job;
mod send;

pub use headers::hop_by_hop;

use std::convert;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request;
use hyper::{Request, Response};
use rand::RngExt as _;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use crate::entry::clock;
use crate::entry::port;
use crate::entry::refusal;
use crate::entry::relay;
use crate::entry::state;

/// Waits that are announced to callers which may come back.
const RETRY_AFTER_MS: std::ops::Range<u64> = 150..400;

/// Serves a request of a caller.
///
/// # Errors
///
/// Never fails; each failure is an answer.
pub async fn serve(
    entry: Rc<state::Entry>,
    req: Request<Incoming>,
) -> Result<Response<relay::Body>, convert::Infallible> {
    let started = Instant::now();
    entry.requests.set(entry.requests.get() + 1);
    let (head, body) = req.into_parts();
    let result = match entry.port.decode_request(&head) {
        Ok(call) => match route(&entry, &call, &head, body, started).await {
            Ok(response) => Ok(response),
            Err(refusal) => Err((call.id, refusal)),
        },
        Err(error) => {
            let refusal = refusal::Refusal::not_run(code::Code::BadHeader, error.to_string());
            Err((String::new(), refusal))
        }
    };
    entry.requests.set(entry.requests.get().saturating_sub(1));
    let mut response = match result {
        Ok(response) => response,
        Err((id, refusal)) => {
            log_refusal(&entry, &id, &head, &refusal, started);
            refusal.into_response()
        }
    };
    if entry.stopping.is_cancelled() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn route(
    entry: &Rc<state::Entry>,
    call: &port::RequestHead,
    head: &request::Parts,
    body: Incoming,
    started: Instant,
) -> Result<Response<relay::Body>, refusal::Refusal> {
    let table = entry.table.borrow().clone();
    let Some(table) = table else {
        let refusal = refusal::Refusal::not_run(code::Code::NotConfigured, "no configuration yet");
        return Err(come_back(entry, refusal));
    };
    let (route, workspace) =
        match table.resolve(&call.host, head.uri.path(), call.api_key.as_deref()) {
            routing::Resolution::Found(route, workspace) => (route.clone(), workspace.cloned()),
            // A configuration that is not confirmed may lack a new route or key.
            _ if entry.staleness() != config_sync::Staleness::Fresh => return Err(stale(entry)),
            routing::Resolution::UnknownRoute => {
                return Err(refusal::Refusal::not_run(code::Code::UnknownRoute, "no such route"));
            }
            routing::Resolution::UnknownKey => {
                return Err(refusal::Refusal::not_run(code::Code::Unauthorized, "unknown key"));
            }
        };
    let wait = shortest(call.timeout, route.timeout);
    let deadline = wait.map(|wait| started + Duration::from(wait));
    let body = read_body(body, table.limits.body_bytes, deadline).await?;
    let hash = xxh3::xxh3_64(call.id.as_bytes());
    let Some(service) = table.service(route.service_for(hash)) else {
        let reason = "the route's service is not configured";
        return Err(come_back(entry, refusal::Refusal::not_run(code::Code::NoUpstream, reason)));
    };
    let job = job::Job {
        entry,
        call,
        route: &route,
        workspace: workspace.as_deref(),
        service,
        head,
        body,
        started,
        deadline,
        tried: Vec::new(),
        sends: 0,
        may_have_run: false,
    };
    job.run().await
}

/// Reads a caller's body as a whole, so that its upstream gets it in one piece or not at all.
async fn read_body(
    body: Incoming,
    most: usize,
    deadline: Option<Instant>,
) -> Result<Bytes, refusal::Refusal> {
    let read = Limited::new(body, most).collect();
    let collected = match deadline {
        Some(deadline) => match tokio::time::timeout_at(deadline, read).await {
            Ok(collected) => collected,
            Err(_) => {
                let reason = "the body did not arrive in time";
                return Err(refusal::Refusal::not_run(code::Code::RequestTimeout, reason));
            }
        },
        None => read.await,
    };
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(refusal::Refusal::not_run(code::Code::BodyTooLarge, error.to_string()))
        }
        Err(error) => Err(refusal::Refusal::not_run(code::Code::MalformedBody, error.to_string())),
    }
}

fn log_refusal(
    entry: &state::Entry,
    id: &str,
    head: &request::Parts,
    refusal: &refusal::Refusal,
    started: Instant,
) {
    let age_ms = entry.config_confirmed_at.get().map(|at| clock::now().since(at).0);
    let version = entry.table.borrow().as_ref().map(|table| table.version);
    metrics::counter!("refusals", "reason" => refusal.code.name()).increment(1);
    log::warn!(
        request = id, path = head.uri.path(), code = refusal.code.number(),
        name = refusal.code.name(), outcome:% = refusal.outcome, reason = refusal.reason.as_str(),
        took_ms = started.elapsed().as_millis() as u64, configuration:? = version,
        confirmed_age_ms:? = age_ms;
        "request refused"
    );
}

fn stale(entry: &state::Entry) -> refusal::Refusal {
    let reason = "the configuration is not confirmed";
    come_back(entry, refusal::Refusal::not_run(code::Code::ConfigurationStale, reason))
}

/// Says when to come back, at a random time so that callers do not return together.
fn come_back(entry: &state::Entry, refusal: refusal::Refusal) -> refusal::Refusal {
    let after = entry.rng.borrow_mut().random_range(RETRY_AFTER_MS);
    refusal.with_retry_after(Duration::from_millis(after))
}

fn shortest(a: Option<Millis>, b: Option<Millis>) -> Option<Millis> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
