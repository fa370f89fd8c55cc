//! Refusals returned by the operators' listener.

use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;

use crate::platform::key_value;

/// Refusal of a request, with the details that the operator needs to react.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Result code, which also determines the HTTP status.
    pub code: code::Code,
    /// Cause, and what the operator can do about it.
    pub message: String,
    /// Conflicting change that was accepted first, with its revision.
    pub winner: Option<Box<(id::Revision, fleet::Change)>>,
    /// Faults of the submitted fleet document or request body.
    pub faults: Vec<fleet::Fault>,
    /// Whether the refused change took effect.
    pub outcome: code::Outcome,
}

impl Refusal {
    /// Creates the refusal of a request that had no effect.
    pub fn new(code: code::Code, message: &str) -> Self {
        let outcome = code::Outcome::NotRun;
        Self { code, message: message.to_owned(), winner: None, faults: Vec::new(), outcome }
    }

    /// Creates the refusal of a change that is based on an outdated revision.
    pub fn conflict(revision: id::Revision, change: &fleet::Change) -> Self {
        let message = format!(
            "revision {revision} is newer than the one this change was based on: {:?} by {}; \
             read the document again and repeat the change",
            change.summary, change.author
        );
        let mut refusal = Self::new(code::Code::RevisionConflict, &message);
        refusal.winner = Some(Box::new((revision, change.clone())));
        refusal
    }

    /// Creates the refusal of a document with faults.
    pub fn invalid(faults: Vec<fleet::Fault>) -> Self {
        let list: Vec<_> = faults.iter().map(ToString::to_string).collect();
        let message = format!("the fleet document has faults: {}", list.join("; "));
        let mut refusal = Self::new(code::Code::DocumentInvalid, &message);
        refusal.faults = faults;
        refusal
    }

    /// Creates the refusal of a request for which the key-value service could not be used.
    pub fn from_key_value(error: &key_value::Error) -> Self {
        let code = match error {
            key_value::Error::Refused(429) => code::Code::PlatformRateLimited,
            key_value::Error::TooLarge => code::Code::ValueTooLarge,
            key_value::Error::Protocol(_) => code::Code::PlatformProtocol,
            key_value::Error::Unavailable(_) | key_value::Error::Refused(_) => {
                code::Code::PlatformUnavailable
            }
        };
        Self::new(code, &format!("{error}; nothing was changed, repeat the command later"))
    }

    /// Returns the response body.
    pub fn to_json(&self) -> serde_json::Value {
        let mut error = serde_json::json!({
            "code": self.code.number(),
            "name": self.code.name(),
            "message": self.message,
            "outcome": self.outcome,
        });
        if let Some((revision, change)) = self.winner.as_deref() {
            error["revision"] = serde_json::json!(revision);
            error["change"] = serde_json::json!(change);
        }
        if !self.faults.is_empty() {
            let faults = self.faults.iter();
            error["faults"] =
                faults.map(|f| serde_json::json!({"key": f.key, "message": f.message})).collect();
        }
        serde_json::json!({"error": error})
    }
}
