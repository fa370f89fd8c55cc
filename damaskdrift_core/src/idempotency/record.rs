//! Records of calls as stored in the key-value service.
//!
//! A record is one line of JSON, a line feed, and the body of the recorded answer.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id;
use crate::idempotency::{MAX_BODY_BYTES, MAX_HEADER_BYTES};

/// Identifies one attempt to run a call.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Attempt(String);

/// Hash of what a call asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct BodyHash(String);

/// A complete answer of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers, in order; values may hold any byte.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

/// What is known of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The attempt that wrote the record.
    pub attempt: Attempt,
    /// The instance of the attempt.
    pub instance: id::Instance,
    /// What the call asks for.
    pub body_hash: BodyHash,
    /// How far the call has come.
    pub state: State,
}

/// How far a call has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum State {
    /// The attempt may send at any moment.
    Claimed,
    /// The service answered.
    Answered(Answer),
    /// The service answered with a body that is too large to record.
    UnknownBody {
        /// HTTP status.
        status: u16,
    },
    /// The call was sent and its result is not known.
    Unknown {
        /// Why it is not known.
        reason: String,
    },
    /// The attempt has sent nothing and never will; the key may be claimed again.
    Released,
}

/// A stored value that is no record.
#[derive(Debug, Error)]
pub enum Invalid {
    /// The line feed after the first line is missing.
    #[error("record has no line feed")]
    NoLine,
    /// The first line is not what was expected.
    #[error("record: {_0}")]
    Line(#[from] serde_json::Error),
}

#[derive(Deserialize, Serialize)]
struct Line {
    attempt: Attempt,
    instance: id::Instance,
    body_hash: BodyHash,
    #[serde(flatten)]
    state: LineState,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
enum LineState {
    Claimed,
    Answered { status: u16, headers: Vec<(String, String)> },
    UnknownBody { status: u16 },
    Unknown { reason: String },
    Released,
}

/// Returns the key of the record of a workspace's call.
pub fn key(workspace: &id::Workspace, idempotency_key: &str) -> String {
    format!("idem/{workspace}/{}", blake3::hash(idempotency_key.as_bytes()).to_hex())
}

impl Answer {
    /// Returns whether the answer is small enough to be recorded.
    pub fn fits(&self) -> bool {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() <= MAX_BODY_BYTES && headers.sum::<usize>() <= MAX_HEADER_BYTES
    }
}

impl Attempt {
    /// Creates an attempt from text that is unique.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl BodyHash {
    /// Hashes a call. The service, method and path belong to it, so that a key that was used for one
    /// route never brings the answer of another.
    pub fn new(service: &id::Service, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [service.as_str(), method, path] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(body);
        Self(hasher.finalize().to_hex().to_string())
    }
}

impl Record {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        let (state, body): (_, &[u8]) = match &self.state {
            State::Claimed => (LineState::Claimed, &[]),
            State::Answered(answer) => {
                let headers = answer.headers.iter();
                let headers = headers.map(|(name, value)| (name.clone(), widen(value))).collect();
                (LineState::Answered { status: answer.status, headers }, &answer.body)
            }
            State::UnknownBody { status } => (LineState::UnknownBody { status: *status }, &[]),
            State::Unknown { reason } => (LineState::Unknown { reason: reason.clone() }, &[]),
            State::Released => (LineState::Released, &[]),
        };
        let line = Line {
            attempt: self.attempt.clone(),
            instance: self.instance.clone(),
            body_hash: self.body_hash.clone(),
            state,
        };
        let mut encoded = serde_json::to_vec(&line).expect("a record has only text and numbers");
        encoded.push(b'\n');
        encoded.extend_from_slice(body);
        encoded
    }

    /// Decodes a stored value.
    ///
    /// # Errors
    ///
    /// Returns why the value is no record.
    pub fn decode(value: &[u8]) -> Result<Self, Invalid> {
        let end = value.iter().position(|b| *b == b'\n').ok_or(Invalid::NoLine)?;
        let line: Line = serde_json::from_slice(&value[..end])?;
        let state = match line.state {
            LineState::Claimed => State::Claimed,
            LineState::Answered { status, headers } => {
                let headers = headers.into_iter().map(|(name, v)| (name, narrow(&v))).collect();
                State::Answered(Answer { status, headers, body: value[end + 1..].to_vec() })
            }
            LineState::UnknownBody { status } => State::UnknownBody { status },
            LineState::Unknown { reason } => State::Unknown { reason },
            LineState::Released => State::Released,
        };
        let Line { attempt, instance, body_hash, .. } = line;
        Ok(Self { attempt, instance, body_hash, state })
    }
}

/// Maps each byte to the character of the same number, so that any header value fits into JSON.
fn widen(value: &[u8]) -> String {
    value.iter().map(|b| char::from(*b)).collect()
}

/// Reverses [`widen`].
fn narrow(value: &str) -> Vec<u8> {
    value.chars().map(|c| u8::try_from(u32::from(c)).unwrap_or(b'?')).collect()
}
