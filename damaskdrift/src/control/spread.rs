//! Writes a change of the fleet document and collects confirmations.

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

/// Longest time to settle a write whose answers are lost.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Pause before a write or push is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How often the roster is compared while confirmations are collected.
const ROSTER_INTERVAL: Duration = Duration::from_millis(100);

/// How far an accepted change has come.
#[derive(Clone, Debug)]
pub struct Spread {
    /// Revision of the change.
    pub revision: id::Revision,
    /// Instances that have installed it.
    pub confirmed: Vec<id::Instance>,
    /// Silent instances that have installed it or take no new work.
    pub stopped: Vec<id::Instance>,
    /// Silent instances that may still use the old configuration.
    pub unconfirmed: Vec<id::Instance>,
    /// Why the silent instances are classed as they are.
    pub reason: config_sync::ClaimReason,
}

/// A change that was not accepted, or whose fate is not known.
#[derive(Debug, Error)]
pub enum Error {
    /// Another change was accepted first; it is given unless the document is absent.
    #[error("another change was accepted first, at revision {revision}")]
    Conflict {
        /// The present revision; 0 when the document is absent.
        revision: id::Revision,
        /// The change that won.
        winner: Option<fleet::Change>,
    },
    /// The document has faults.
    #[error("the fleet document has {} faults", _0.len())]
    Invalid(Vec<fleet::Fault>),
    /// The document is larger than the service holds.
    #[error("the fleet document is larger than the key-value service holds")]
    TooLarge,
    /// The service did not take the change; nothing was written.
    #[error("the change was not written: {message}")]
    NotWritten {
        /// The result code.
        code: code::Code,
        /// The cause.
        message: String,
    },
    /// The service did not answer; the change may have been written.
    #[error("the change may have been written: {_0}")]
    Unknown(String),
}

impl Error {
    /// Returns the result code.
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

/// Writes a document if `expected` is the present revision, and spreads it to all instances.
///
/// The document must carry a change id of its own, which settles a write whose answer is lost.
///
/// # Errors
///
/// Returns why the change was not accepted, or that its fate is not known.
pub async fn write(
    cx: &sync::Arc<context::Context>,
    expected: id::Revision,
    document: &fleet::Document,
) -> Result<Spread, Error> {
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
    let entry = settle(cx, expected, &document.change.id, document_text).await?;
    let value = message::FleetValue {
        revision: entry.revision,
        document: String::from_utf8_lossy(&entry.value).into_owned(),
    };
    config::install(cx, value.clone())
        .map_err(|_| Error::Unknown("the written document cannot be installed".to_owned()))?;
    Ok(collect(cx, value).await)
}

/// Writes until the service tells whether the change was accepted.
async fn settle(
    cx: &context::Context,
    expected: id::Revision,
    change: &str,
    document: String,
) -> Result<key_value::Entry, Error> {
    let value = Bytes::from(document);
    let end = time::Instant::now() + SETTLE_TIME;
    let mut may_be_written = false;
    loop {
        let error = match cx.key_value.put(config::FLEET_KEY, value.clone(), expected, None).await {
            Ok(key_value::Swap::Written(revision)) => {
                return Ok(key_value::Entry { value, revision });
            }
            Ok(key_value::Swap::Conflict(winner)) => return resolve(change, winner),
            Err(key_value::Error::TooLarge) => return Err(Error::TooLarge),
            Err(error) => error,
        };
        may_be_written |= error.is_ambiguous();
        if time::Instant::now() >= end {
            if may_be_written {
                return Err(Error::Unknown(error.to_string()));
            }
            let code = match error {
                key_value::Error::Refused(429) => code::Code::PlatformRateLimited,
                _ => code::Code::PlatformUnavailable,
            };
            return Err(not_written(code, &error.to_string()));
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

fn not_written(code: code::Code, message: &str) -> Error {
    Error::NotWritten { code, message: message.to_owned() }
}

/// Tells a lost race from an own write whose answer was lost.
fn resolve(change: &str, winner: Option<key_value::Entry>) -> Result<key_value::Entry, Error> {
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

async fn collect(cx: &sync::Arc<context::Context>, value: message::FleetValue) -> Spread {
    let limit = cx.freshness_limit();
    let now = cx.now();
    let roster = cx.membership().roster(now);
    let own = &cx.settings.instance.id;
    let mut propagation = config_sync::Propagation::new(own, roster.as_ref(), now);
    let mut pushes = task::JoinSet::new();
    for peer in propagation.pending() {
        pushes.spawn(push(cx.clone(), peer.clone(), value.clone()));
    }
    let mut ticks = time::interval(ROSTER_INTERVAL);
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
    Spread {
        revision: value.revision,
        confirmed: claim.confirmed,
        stopped: claim.stopped,
        unconfirmed: claim.unconfirmed,
        reason: claim.reason,
    }
}

/// Pushes a document until the peer acknowledges it; the caller ends the task at its deadline.
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
        time::sleep(RETRY_PAUSE).await;
    }
}
