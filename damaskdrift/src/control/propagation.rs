//! Writes a change of the fleet document, propagates it and collects confirmations.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use thiserror::Error;
use tokio::task;
use tokio::time;

use crate::context;
use crate::control::sync as config;
use crate::peer;
use crate::peer::message;
use crate::platform::key_value;

/// Time for which a write that fails or gets no response is retried.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before a write or push is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the roster is checked for changes while confirmations are collected.
const ROSTER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Propagation of an accepted change at the time when its confirmations were collected.
#[derive(Clone, Debug)]
pub struct Report {
    /// Revision of the change.
    pub revision: id::Revision,
    /// Instances that have installed it.
    pub confirmed: Vec<id::Instance>,
    /// Instances that did not confirm it, but have installed it or accept no new work.
    pub stopped: Vec<id::Instance>,
    /// Instances that did not confirm it and may still use the old configuration.
    pub unconfirmed: Vec<id::Instance>,
    /// Reason for the classification of the instances that did not confirm it.
    pub reason: config_sync::ClaimReason,
}

/// A change that was not accepted, or whose outcome is unknown.
#[derive(Debug, Error)]
pub enum Error {
    /// Another change was accepted first.
    #[error("another change was accepted first, at revision {revision}")]
    Conflict {
        /// The current revision; 0 when the document is absent.
        revision: id::Revision,
        /// The change that was accepted; `None` when the document is absent or unreadable.
        winner: Option<fleet::Change>,
    },
    /// The document fails validation.
    #[error("the fleet document has {} faults", _0.len())]
    Invalid(Vec<fleet::Fault>),
    /// The document exceeds the value size limit of the key-value service.
    #[error("the fleet document is larger than the key-value service holds")]
    TooLarge,
    /// The key-value service rejected the change or was unreachable; nothing was written.
    #[error("the change was not written: {message}")]
    NotWritten {
        /// The result code to return to the operator.
        code: code::Code,
        /// The cause of the last failed attempt.
        message: String,
    },
    /// The key-value service did not respond; the change may have been written.
    #[error("the change may have been written: {_0}")]
    Unknown(String),
}

impl Error {
    /// Returns the result code to return to the operator.
    pub fn code(&self) -> code::Code {
        match self {
            Self::Conflict { .. } => code::Code::RevisionConflict,
            Self::Invalid(_) => code::Code::DocumentInvalid,
            Self::TooLarge => code::Code::ValueTooLarge,
            Self::NotWritten { code, .. } => *code,
            Self::Unknown(_) => code::Code::PlatformUnavailable,
        }
    }
}

/// Writes a document if `expected` is the current revision, and propagates it to all instances.
///
/// The document must have a unique change id, which identifies the write if its response is lost.
///
/// # Errors
///
/// Returns why the change was not accepted, or that its outcome is unknown.
pub async fn write(
    cx: &sync::Arc<context::Context>,
    expected: id::Revision,
    document: &fleet::Document,
) -> Result<Report, Error> {
    let faults = fleet::check(document);
    if !faults.is_empty() {
        return Err(Error::Invalid(faults));
    }
    if cx.membership().roster(cx.now()).is_none() {
        let message = "the instance list was never read";
        return Err(not_written(code::Code::PlatformUnavailable, message));
    }
    let document_text = serde_json::to_string(document)
        .map_err(|error| not_written(code::Code::Internal, &error.to_string()))?;
    let entry = write_until_resolved(cx, expected, &document.change.id, document_text).await?;
    let value = message::FleetValue {
        revision: entry.revision,
        document: String::from_utf8_lossy(&entry.value).into_owned(),
    };
    config::install(cx, value.clone())
        .map_err(|_| Error::Unknown("the written document cannot be installed".to_owned()))?;
    Ok(collect_confirmations(cx, value).await)
}

/// Retries a write until the service reports whether the change was accepted, or the time is up.
async fn write_until_resolved(
    cx: &context::Context,
    expected: id::Revision,
    change: &str,
    document: String,
) -> Result<key_value::Entry, Error> {
    let value = Bytes::from(document);
    let deadline = time::Instant::now() + WRITE_TIMEOUT;
    let mut may_be_written = false;
    loop {
        let error = match cx.key_value.put(config::FLEET_KEY, value.clone(), expected, None).await {
            Ok(key_value::Swap::Written(revision)) => {
                return Ok(key_value::Entry { value, revision });
            }
            Ok(key_value::Swap::Conflict(winner)) => return resolve_conflict(change, winner),
            Err(key_value::Error::TooLarge) => return Err(Error::TooLarge),
            Err(error) => error,
        };
        may_be_written |= error.is_ambiguous();
        if time::Instant::now() >= deadline {
            if may_be_written {
                return Err(Error::Unknown(error.to_string()));
            }
            let code = match error {
                key_value::Error::Refused(429) => code::Code::PlatformRateLimited,
                _ => code::Code::PlatformUnavailable,
            };
            return Err(not_written(code, &error.to_string()));
        }
        time::sleep(RETRY_INTERVAL).await;
    }
}

fn not_written(code: code::Code, message: &str) -> Error {
    Error::NotWritten { code, message: message.to_owned() }
}

/// Distinguishes a conflict with another change from an earlier write of this change whose response
/// was lost.
fn resolve_conflict(
    change: &str,
    winner: Option<key_value::Entry>,
) -> Result<key_value::Entry, Error> {
    let Some(entry) = winner else {
        return Err(Error::Conflict { revision: id::Revision(0), winner: None });
    };
    let document = serde_json::from_slice::<fleet::Document>(&entry.value).ok();
    let Some(document) = document else {
        return Err(Error::Conflict { revision: entry.revision, winner: None });
    };
    let is_own = |c: &fleet::Change| !change.is_empty() && c.id == change;
    if is_own(&document.change) || document.history.iter().any(is_own) {
        return Ok(entry);
    }
    Err(Error::Conflict { revision: entry.revision, winner: Some(document.change) })
}

async fn collect_confirmations(
    cx: &sync::Arc<context::Context>,
    value: message::FleetValue,
) -> Report {
    let limit = cx.freshness_limit();
    let now = cx.now();
    let roster = cx.membership().roster(now);
    let own = &cx.settings.instance.id;
    let mut propagation = config_sync::Propagation::new(own, roster.as_ref(), now);
    let mut pushes = task::JoinSet::new();
    for peer in propagation.pending() {
        pushes.spawn(push(cx.clone(), peer.clone(), value.clone()));
    }
    let mut ticks = time::interval(ROSTER_CHECK_INTERVAL);
    while !propagation.is_settled(cx.now(), limit) {
        tokio::select! {
            Some(confirmed) = pushes.join_next() => {
                if let Ok(peer) = confirmed {
                    propagation.confirm(&peer, cx.now());
                }
            }
            _ = ticks.tick() => {}
        }
        let now = cx.now();
        propagation.observe_roster(cx.membership().roster(now).as_ref());
    }
    let claim = propagation.claim(cx.now(), limit);
    Report {
        revision: value.revision,
        confirmed: claim.confirmed,
        stopped: claim.stopped,
        unconfirmed: claim.unconfirmed,
        reason: claim.reason,
    }
}

/// Pushes a document until the peer acknowledges it; the caller aborts the task at its deadline.
async fn push(
    cx: sync::Arc<context::Context>,
    peer: id::Instance,
    value: message::FleetValue,
) -> id::Instance {
    loop {
        let request = message::Request::FleetPush(value.clone());
        if let Ok(message::Reply::Ack) = peer::call(&cx, &peer, request).await {
            return peer;
        }
        time::sleep(RETRY_INTERVAL).await;
    }
}
