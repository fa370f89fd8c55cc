//! Changes to the fleet document by compare-and-swap.

use std::sync;

use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;

use crate::context;
use crate::control::propagation;
use crate::control::sync::FLEET_KEY;
use crate::operator::Refusal;
use crate::platform::key_value;

/// Metadata that is recorded with a change.
#[derive(Clone, Debug)]
pub struct Metadata {
    /// Name of the operator or component that makes the change.
    pub author: String,
    /// One-line description of the change.
    pub summary: String,
}

/// Reads the stored fleet document; returns an empty one at revision 0 if there is none.
///
/// # Errors
///
/// Returns the refusal if the key-value service fails or the value is not a fleet document.
pub async fn read(client: &key_value::Client) -> Result<(id::Revision, fleet::Document), Refusal> {
    let entry = client.get(FLEET_KEY).await.map_err(|error| Refusal::from_key_value(&error))?;
    match entry {
        Some(entry) => Ok((entry.revision, parse(&entry.value)?)),
        None => Ok((id::Revision(0), fleet::Document::default())),
    }
}

/// Edits the fleet document and writes it if it still has the expected revision, then collects
/// the confirmations of the instances.
///
/// # Errors
///
/// Returns the refusal of the edit, the faults of the edited document, a conflicting change that
/// was accepted first, or why the key-value service did not process the write.
pub async fn apply(
    cx: &sync::Arc<context::Context>,
    expected: id::Revision,
    metadata: &Metadata,
    edit: impl FnOnce(fleet::Document) -> Result<fleet::Document, Refusal>,
) -> Result<propagation::Report, Refusal> {
    let (revision, current) = read(&cx.key_value).await?;
    if revision != expected {
        return Err(Refusal::conflict(revision, &current.change));
    }
    let change = fleet::Change {
        id: format!("{:032x}", rand::random::<u128>()),
        at: context::Context::unix_now(),
        author: metadata.author.clone(),
        summary: metadata.summary.clone(),
    };
    let document = edit(current)?.with_change(change);
    let written = propagation::write(cx, expected, &document).await;
    written.map_err(|error| refusal(error, &document.change))
}

fn refusal(error: propagation::Error, change: &fleet::Change) -> Refusal {
    match error {
        propagation::Error::Conflict { revision, winner: Some(winner) } => {
            Refusal::conflict(revision, &winner)
        }
        propagation::Error::Conflict { winner: None, .. } => {
            let message = "the fleet document was deleted; apply it again without --expected";
            Refusal::new(code::Code::RevisionConflict, message)
        }
        propagation::Error::Invalid(faults) => Refusal::invalid(faults),
        propagation::Error::Unknown(_) => outcome_unknown(change),
        propagation::Error::NotWritten { .. } => {
            let message = format!("{error}; nothing was changed, repeat the command later");
            Refusal::new(error.code(), &message)
        }
        propagation::Error::TooLarge => Refusal::new(error.code(), &error.to_string()),
    }
}

fn outcome_unknown(change: &fleet::Change) -> Refusal {
    let message = format!(
        "the key-value service does not answer and change {} may have been made; look for it \
         with 'damaskdrift template history' before you repeat the command",
        change.id
    );
    let mut refusal = Refusal::new(code::Code::PlatformUnavailable, &message);
    refusal.outcome = code::Outcome::Unknown;
    refusal
}

fn parse(value: &[u8]) -> Result<fleet::Document, Refusal> {
    serde_json::from_slice(value).map_err(|error| {
        let message = format!("the stored fleet document cannot be read: {error}");
        Refusal::new(code::Code::PlatformProtocol, &message)
    })
}
