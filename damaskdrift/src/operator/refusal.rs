//! Refusals of the operators' listener.

use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;

use crate::platform::key_value;

/// A refused call with what the operator needs to act on it.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The result code.
    pub code: code::Code,
    /// What is wrong and what to do.
    pub message: String,
    /// The change that was accepted first, with its revision.
    pub winner: Option<Box<(id::Revision, fleet::Change)>>,
    /// Faults of a fleet document.
    pub faults: Vec<fleet::Fault>,
    /// Whether the refused change took effect.
    pub outcome: code::Outcome,
}

impl Refusal {
    /// Creates a refusal of a call that had no effect.
    pub fn new(code: code::Code, message: &str) -> Self {
        let outcome = code::Outcome::NotRun;
        Self { code, message: message.to_owned(), winner: None, faults: Vec::new(), outcome }
    }

    /// Creates the refusal of a change that lost to another one.
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

    /// Creates the refusal of a call that the key-value service did not carry out.
    pub fn platform(error: &key_value::Error) -> Self {
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

    /// Returns the answer's body.
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
