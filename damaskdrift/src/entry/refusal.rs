//! Answers that an instance gives itself.

use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use http_body_util::Full;
use hyper::header;
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::entry::relay;

/// An answer that an instance gives itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What went wrong.
    pub code: code::Code,
    /// Whether the request was run.
    pub outcome: code::Outcome,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// What was decided from, for the log and the caller.
    pub reason: String,
}

impl Refusal {
    /// Creates the refusal of a request that has not run and never will.
    pub fn not_run(code: code::Code, reason: impl Into<String>) -> Self {
        Self { code, outcome: code::Outcome::NotRun, retry_after: None, reason: reason.into() }
    }

    /// Creates the answer to a request of which nothing is known.
    pub fn unknown(code: code::Code, reason: impl Into<String>) -> Self {
        Self { code, outcome: code::Outcome::Unknown, retry_after: None, reason: reason.into() }
    }

    /// Takes the promise back that the request has not run.
    pub fn into_unknown(mut self) -> Self {
        if self.outcome == code::Outcome::NotRun {
            self.outcome = code::Outcome::Unknown;
            self.retry_after = None;
        }
        self
    }

    /// Says when the caller may come back.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the status: one that promises that the request has not run only if that is so.
    pub fn status(&self) -> StatusCode {
        let status = match (self.outcome, self.code.http_status()) {
            (code::Outcome::NotRun, 502 | 504) => 503,
            (code::Outcome::NotRun, status) => status,
            (_, 408 | 421 | 429 | 503) => 502,
            (_, status) => status,
        };
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Returns the answer.
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
            Response::new(relay::Body::own(Full::new(Bytes::from(body.to_string()))));
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
