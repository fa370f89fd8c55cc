//! Changes of the fleet document by compare-and-swap.

use std::sync;

use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;

use crate::context;
use crate::control::propagation;
use crate::control::sync::FLEET_KEY;
use crate::operator::Refusal;
use crate::platform::key_value;

/// Who changes what.
#[derive(Clone, Debug)]
pub struct Intent {
    /// Who makes the change.
    pub author: String,
    /// What the change does, in one line.
    pub summary: String,
}

/// Reads the stored fleet document; an absent one has revision 0.
///
/// # Errors
///
/// Returns the refusal when the service does not answer or the value is no fleet document.
pub async fn read(client: &key_value::Client) -> Result<(id::Revision, fleet::Document), Refusal> {
    let entry = client.get(FLEET_KEY).await.map_err(|error| Refusal::platform(&error))?;
    match entry {
        Some(entry) => Ok((entry.revision, parse(&entry.value)?)),
        None => Ok((id::Revision(0), fleet::Document::default())),
    }
}

/// Writes an edited fleet document if it still has the expected revision, and collects
/// confirmations.
///
/// # Errors
///
/// Returns the refusal of the edit, the faults of the edited document, the change that was
/// accepted first, or why the key-value service did not take the write.
pub async fn apply(
    cx: &sync::Arc<context::Context>,
    expected: id::Revision,
    intent: &Intent,
    edit: impl FnOnce(fleet::Document) -> Result<fleet::Document, Refusal>,
) -> Result<propagation::Report, Refusal> {
    let (revision, current) = read(&cx.key_value).await?;
    if revision != expected {
        return Err(Refusal::conflict(revision, &current.change));
    }
    let change = fleet::Change {
        id: format!("{:032x}", rand::random::<u128>()),
        at: context::Context::unix_now(),
        author: intent.author.clone(),
        summary: intent.summary.clone(),
    };
    let document = edit(current)?.with_change(change);
    let spread = propagation::write(cx, expected, &document).await;
    spread.map_err(|error| refusal(error, &document.change))
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
        propagation::Error::Unknown(_) => unsettled(change),
        propagation::Error::NotWritten { .. } => {
            let message = format!("{error}; nothing was changed, repeat the command later");
            Refusal::new(error.code(), &message)
        }
        propagation::Error::TooLarge => Refusal::new(error.code(), &error.to_string()),
    }
}

fn unsettled(change: &fleet::Change) -> Refusal {
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
