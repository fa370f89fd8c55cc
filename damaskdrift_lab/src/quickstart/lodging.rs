//! A call that may not be repeated.

use bytes::Bytes;
use hyper::Method;
use tokio::time;

use crate::error::Error;
use crate::harness::Answer;
use crate::harness::fleet::SERVICE;
use crate::harness::http;
use crate::quickstart::caller::{Caller, RETRY_PAUSE};

/// Most attempts of one call.
const MAX_ATTEMPTS: usize = 100;

/// What one call came to.
#[derive(Clone, Debug)]
pub struct Lodging {
    /// Its idempotency key.
    pub key: String,
    /// The answer; `None` when the caller was told that the outcome is unknown.
    pub answer: Option<Bytes>,
    /// Whether a repeat with the same key got the same answer.
    pub is_replayed: bool,
    /// What was wrong, if anything.
    pub fault: Option<String>,
}

/// Sends a call until its outcome is told, then once more with the same key.
///
/// # Errors
///
/// Returns why the outcome was not told.
pub async fn run(caller: Caller, index: usize) -> Result<Lodging, Error> {
    let key = format!("notice-{index}");
    let first = settle(&caller, &key).await?;
    let repeat = settle(&caller, &key).await?;
    let body = |answer: &Answer| (answer.status == 200).then(|| answer.body.clone());
    let mut lodging = Lodging {
        answer: body(&first),
        is_replayed: first.status == 200 && first.body == repeat.body,
        key,
        fault: None,
    };
    // An answer that could not be recorded yet may be unknown to the other instances.
    let is_recorded = first.header("x-recorded") != Some("false");
    if first.status == 200 && is_recorded && !lodging.is_replayed {
        lodging.fault = Some(format!(
            "{}: the repeat was answered with status {}: {}",
            lodging.key,
            repeat.status,
            repeat.text()
        ));
    }
    Ok(lodging)
}

/// Sends a call until it is answered with 200 or with an unknown outcome.
async fn settle(caller: &Caller, key: &str) -> Result<Answer, Error> {
    let path = format!("/v1/services/{SERVICE}/lodge");
    for _ in 0..MAX_ATTEMPTS {
        let call = caller.call(Method::POST, &path).with_header("idempotency-key", key);
        match caller.http.send(call.with_body(format!("notice {key}"))).await {
            Ok(answer) if answer.status == 200 => return Ok(answer),
            Ok(answer) if answer.outcome().as_deref() == Some("unknown") => return Ok(answer),
            Ok(answer) if answer.status >= 500 => {}
            Ok(answer) => {
                let text = answer.text();
                let message = format!("{key} was answered with status {}: {text}", answer.status);
                return Err(Error::Unexpected(message));
            }
            Err(error @ http::Error::Malformed(_)) => return Err(error.into()),
            // The key makes a repeat safe even if the call has run.
            Err(_) => {}
        }
        time::sleep(RETRY_PAUSE).await;
    }
    Err(Error::Unexpected(format!("{key} has no outcome after {MAX_ATTEMPTS} attempts")))
}
