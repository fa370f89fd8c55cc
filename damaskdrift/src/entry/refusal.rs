//! Error responses that an instance creates itself.

use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use http_body_util::Full;
use hyper::header;
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::entry::relay;

/// An error response that the instance creates itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The result code, which determines the HTTP status unless the outcome overrides it.
    pub code: code::Code,
    /// Whether an upstream ran the request, as far as the instance knows.
    pub outcome: code::Outcome,
    /// Delay after which the caller may retry; `None` if a retry is not suggested.
    pub retry_after: Option<Duration>,
    /// Explanation for the log and the response body.
    pub reason: String,
}

impl Refusal {
    /// Creates the refusal of a request that no upstream has run or will run.
    pub fn not_run(code: code::Code, reason: impl Into<String>) -> Self {
        Self { code, outcome: code::Outcome::NotRun, retry_after: None, reason: reason.into() }
    }

    /// Creates the response to a request that an upstream may have run.
    pub fn unknown(code: code::Code, reason: impl Into<String>) -> Self {
        Self { code, outcome: code::Outcome::Unknown, retry_after: None, reason: reason.into() }
    }

    /// Replaces the outcome "not run" by "unknown" and removes the retry delay.
    pub fn into_unknown(mut self) -> Self {
        if self.outcome == code::Outcome::NotRun {
            self.outcome = code::Outcome::Unknown;
            self.retry_after = None;
        }
        self
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the HTTP status.
    ///
    /// Statuses that imply that the request did not run are used only if that is certain, and those
    /// that leave it open only if it is not.
    pub fn status(&self) -> StatusCode {
        let status = match (self.outcome, self.code.http_status()) {
            (code::Outcome::NotRun, 502 | 504) => 503,
            (code::Outcome::NotRun, status) => status,
            (_, 408 | 421 | 429 | 503) => 502,
            (_, status) => status,
        };
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Returns the HTTP response, with the retry delay in the `Retry-After` header in seconds.
    pub fn into_response(self) -> Response<relay::Body> {
        let retry_after_ms = self.retry_after.map(|after| after.as_millis());
        let body = json!({"error": {
            "code": self.code.number(),
            "name": self.code.name(),
            "message": self.reason,
            "outcome": self.outcome,
            "retry_after_ms": retry_after_ms,
        }});
        let mut response =
            Response::new(relay::Body::local(Full::new(Bytes::from(body.to_string()))));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let text = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = header::HeaderValue::try_from(text) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
