//! Records of calls as stored in the key-value service.
//!
//! A record is one line of JSON, a line feed, and the body of the recorded response.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id;
use crate::idempotency::{MAX_BODY_BYTES, MAX_HEADER_BYTES};

/// Unique id of one attempt to run a call.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct AttemptId(String);

/// Hash of a call's service, method, path and body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct BodyHash(String);

/// A complete response of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers, in order; values may hold any byte.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// State of a call as stored under its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Id of the attempt that wrote the record.
    pub attempt: AttemptId,
    /// Instance that made the attempt.
    pub instance: id::Instance,
    /// Hash of the call, which reveals a key that is used for different calls.
    pub body_hash: BodyHash,
    /// Progress of the call.
    pub state: State,
}

/// Progress of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum State {
    /// The attempt may send the call at any time.
    Claimed,
    /// The service responded.
    Completed(Response),
    /// The service sent a response that is too large to record.
    BodyNotRecorded {
        /// HTTP status code of the response.
        status: u16,
    },
    /// The call was sent and its outcome is unknown.
    Unknown {
        /// Cause, as text for the caller.
        reason: String,
    },
    /// The attempt has not sent the call and never will, so the key may be claimed again.
    Released,
}

/// Reason why a stored value is not a valid record.
#[derive(Debug, Error)]
pub enum InvalidRecord {
    /// The value has no line feed, which ends the metadata.
    #[error("record has no line feed after its metadata")]
    MissingLineFeed,
    /// The first line is not valid metadata.
    #[error("invalid record metadata: {_0}")]
    Metadata(#[from] serde_json::Error),
}

#[derive(Deserialize, Serialize)]
struct Metadata {
    attempt: AttemptId,
    instance: id::Instance,
    body_hash: BodyHash,
    #[serde(flatten)]
    state: MetadataState,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
enum MetadataState {
    Claimed,
    #[serde(rename = "answered")]
    Completed {
        status: u16,
        headers: Vec<(String, String)>,
    },
    #[serde(rename = "unknown-body")]
    BodyNotRecorded {
        status: u16,
    },
    Unknown {
        reason: String,
    },
    Released,
}

/// Returns the store key of the record of a workspace's call.
pub fn key(workspace: &id::Workspace, idempotency_key: &str) -> String {
    format!("idem/{workspace}/{}", blake3::hash(idempotency_key.as_bytes()).to_hex())
}

impl Response {
    /// Returns whether the response is small enough to be recorded.
    pub fn is_recordable(&self) -> bool {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() <= MAX_BODY_BYTES && headers.sum::<usize>() <= MAX_HEADER_BYTES
    }
}

impl AttemptId {
    /// Creates an id from a unique text.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl BodyHash {
    /// Hashes a call.
    ///
    /// The hash includes the service, method and path, so that a key used for one route never
    /// returns the response of another.
    pub fn new(service: &id::Service, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [service.as_str(), method, path] {
            hasher.update(field.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(body);
        Self(hasher.finalize().to_hex().to_string())
    }
}

impl Record {
    /// Encodes the record for the key-value service.
    pub fn encode(&self) -> Vec<u8> {
        let (state, body): (_, &[u8]) = match &self.state {
            State::Claimed => (MetadataState::Claimed, &[]),
            State::Completed(response) => {
                let headers = response.headers.iter();
                let headers =
                    headers.map(|(name, value)| (name.clone(), decode_latin1(value))).collect();
                (MetadataState::Completed { status: response.status, headers }, &response.body)
            }
            State::BodyNotRecorded { status } => {
                (MetadataState::BodyNotRecorded { status: *status }, &[])
            }
            State::Unknown { reason } => (MetadataState::Unknown { reason: reason.clone() }, &[]),
            State::Released => (MetadataState::Released, &[]),
        };
        let metadata = Metadata {
            attempt: self.attempt.clone(),
            instance: self.instance.clone(),
            body_hash: self.body_hash.clone(),
            state,
        };
        let mut encoded =
            serde_json::to_vec(&metadata).expect("a record has only text and numbers");
        encoded.push(b'\n');
        encoded.extend_from_slice(body);
        encoded
    }

    /// Decodes a stored value.
    ///
    /// # Errors
    ///
    /// Returns an error when the line feed is missing or the metadata is not valid.
    pub fn decode(value: &[u8]) -> Result<Self, InvalidRecord> {
        let end = value.iter().position(|b| *b == b'\n').ok_or(InvalidRecord::MissingLineFeed)?;
        let metadata: Metadata = serde_json::from_slice(&value[..end])?;
        let state = match metadata.state {
            MetadataState::Claimed => State::Claimed,
            MetadataState::Completed { status, headers } => {
                let headers =
                    headers.into_iter().map(|(name, v)| (name, encode_latin1(&v))).collect();
                State::Completed(Response { status, headers, body: value[end + 1..].to_vec() })
            }
            MetadataState::BodyNotRecorded { status } => State::BodyNotRecorded { status },
            MetadataState::Unknown { reason } => State::Unknown { reason },
            MetadataState::Released => State::Released,
        };
        let Metadata { attempt, instance, body_hash, .. } = metadata;
        Ok(Self { attempt, instance, body_hash, state })
    }
}

/// Decodes a header value as Latin-1, so that JSON can represent any byte.
fn decode_latin1(value: &[u8]) -> String {
    value.iter().map(|b| char::from(*b)).collect()
}

/// Encodes text as Latin-1, the inverse of [`decode_latin1`].
fn encode_latin1(value: &str) -> Vec<u8> {
    value.chars().map(|c| u8::try_from(u32::from(c)).unwrap_or(b'?')).collect()
}
