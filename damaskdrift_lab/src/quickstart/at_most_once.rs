//! Calls that must run at most once.

use bytes::Bytes;
use hyper::Method;
use tokio::time;

use crate::error::Error;
use crate::harness::Response;
use crate::harness::fleet::SERVICE;
use crate::harness::http;
use crate::quickstart::caller::{Caller, RETRY_PAUSE};

/// Maximum number of attempts until the outcome of a call is known.
const MAX_ATTEMPTS: usize = 100;

/// Result of one call and its retry.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Idempotency key of the call.
    pub key: String,
    /// Response body, absent if the outcome was reported as unknown.
    pub response: Option<Bytes>,
    /// Whether a retry with the same key got the same response.
    pub is_replayed: bool,
    /// Description of a wrong response to the retry, absent if it is right.
    pub failure: Option<String>,
}

/// Sends a call until its outcome is known, then repeats this with the same key.
///
/// # Errors
///
/// Returns an error if the outcome is not known after [`MAX_ATTEMPTS`].
pub async fn run(caller: Caller, index: usize) -> Result<CallResult, Error> {
    let key = format!("notice-{index}");
    let first = send_until_known(&caller, &key).await?;
    let retry = send_until_known(&caller, &key).await?;
    let body = |response: &Response| (response.status == 200).then(|| response.body.clone());
    let mut result = CallResult {
        response: body(&first),
        is_replayed: first.status == 200 && first.body == retry.body,
        key,
        failure: None,
    };
    // A response that is not yet recorded in the key-value service may be unknown to other instances.
    let is_recorded = first.header("x-recorded") != Some("false");
    if first.status == 200 && is_recorded && !result.is_replayed {
        result.failure = Some(format!(
            "{}: the repeat was answered with status {}: {}",
            result.key,
            retry.status,
            retry.text()
        ));
    }
    Ok(result)
}

/// Sends a call until its response is 200 or reports an unknown outcome.
async fn send_until_known(caller: &Caller, key: &str) -> Result<Response, Error> {
    let path = format!("/v1/services/{SERVICE}/lodge");
    for _ in 0..MAX_ATTEMPTS {
        let call = caller.call(Method::POST, &path).with_header("idempotency-key", key);
        match caller.http.send(call.with_body(format!("notice {key}"))).await {
            Ok(response) if response.status == 200 => return Ok(response),
            Ok(response) if response.outcome().as_deref() == Some("unknown") => {
                return Ok(response);
            }
            Ok(response) if response.status >= 500 => {}
            Ok(response) => {
                let text = response.text();
                let message = format!("{key} was answered with status {}: {text}", response.status);
                return Err(Error::Unexpected(message));
            }
            Err(error @ http::Error::Malformed(_)) => return Err(error.into()),
            // The idempotency key makes a retry safe even if the call has run.
            Err(_) => {}
        }
        time::sleep(RETRY_PAUSE).await;
    }
    Err(Error::Unexpected(format!("{key} has no outcome after {MAX_ATTEMPTS} attempts")))
}
