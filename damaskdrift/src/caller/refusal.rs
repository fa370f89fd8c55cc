//! Error responses to callers.

use damaskdrift_core::code;
use hyper::header;
use hyper::header::HeaderValue;
use serde::Serialize;
use warp::Reply as _;
use warp::http::StatusCode;
use warp::reply::Response;

use crate::upstream;

/// Delay that retryable error responses suggest to the caller.
const RETRY_AFTER_MS: u64 = 1_000;

/// The error response to a request, sent instead of an upstream's response.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The result code, which determines the HTTP status.
    pub code: code::Code,
    /// Whether an upstream ran the request.
    pub outcome: code::Outcome,
    /// The cause in plain words, written into the response body.
    pub message: String,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Error<'a>,
}

#[derive(Serialize)]
struct Error<'a> {
    code: u16,
    name: &'a str,
    message: &'a str,
    outcome: code::Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates an error response to a request that no upstream ran.
    pub fn new(code: code::Code, message: &str) -> Self {
        Self { code, outcome: code::Outcome::NotRun, message: message.to_owned() }
    }

    /// Creates an error response to a request that an upstream may have run.
    pub fn unknown(code: code::Code, message: &str) -> Self {
        Self { code, outcome: code::Outcome::Unknown, message: message.to_owned() }
    }

    /// Replaces the outcome, keeping code and message.
    pub fn with_outcome(mut self, outcome: code::Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Builds the HTTP response, with a `retry-after` header if a retry can succeed.
    pub fn into_response(self) -> Response {
        let retry_after_ms = retry_after_ms(self.code);
        let error = Error {
            code: self.code.number(),
            name: self.code.name(),
            message: &self.message,
            outcome: self.outcome,
            retry_after_ms,
        };
        let mut response = warp::reply::json(&Body { error }).into_response();
        *response.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if let Some(ms) = retry_after_ms {
            let secs = HeaderValue::from(ms.div_ceil(1_000));
            response.headers_mut().insert(header::RETRY_AFTER, secs);
        }
        response
    }
}

impl From<upstream::Failure> for Refusal {
    fn from(failure: upstream::Failure) -> Self {
        let outcome = if failure.sent { code::Outcome::Unknown } else { code::Outcome::NotRun };
        Self { code: failure.code, outcome, message: failure.message }
    }
}

impl From<code::Code> for Refusal {
    fn from(code: code::Code) -> Self {
        Self::new(code, message(code))
    }
}

fn message(code: code::Code) -> &'static str {
    match code {
        code::Code::Overloaded => "all allowed upstreams are at their limit",
        code::Code::DeadlineUnreachable => "no upstream becomes free in time",
        code::Code::ShareExceeded => "the workspace exceeded its share",
        code::Code::NotConfigured => "the instance has no configuration yet",
        code::Code::ConfigurationStale => "the instance cannot confirm its configuration",
        code::Code::Draining => "the instance is stopping; use another one",
        code::Code::NoUpstream => "no upstream is allowed and available",
        other => other.name(),
    }
}

fn retry_after_ms(code: code::Code) -> Option<u64> {
    matches!(code.http_status(), 408 | 429 | 502 | 503 | 504).then_some(RETRY_AFTER_MS)
}
