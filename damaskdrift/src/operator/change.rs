//! Changes of the fleet document by compare-and-swap.

use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;

use crate::context;
use crate::operator::Refusal;
use crate::platform::key_value;

/// Key of the fleet document.
pub const FLEET_KEY: &str = "fleet";
/// Attempts to settle a write whose answer was lost.
const SETTLE_ATTEMPTS: u32 = 4;
/// Wait between two attempts.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Who changes what.
#[derive(Clone, Debug)]
pub struct Intent {
    /// Who makes the change.
    pub author: String,
    /// What the change does, in one line.
    pub summary: String,
}

/// An accepted change.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Revision at which the document was written.
    pub revision: id::Revision,
    /// The written document.
    pub document: fleet::Document,
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

/// Writes an edited fleet document if it still has the expected revision.
///
/// # Errors
///
/// Returns the refusal of the edit, the faults of the edited document, the change that was
/// accepted first, or why the key-value service did not take the write.
pub async fn apply(
    cx: &context::Context,
    expected: id::Revision,
    intent: &Intent,
    edit: impl FnOnce(fleet::Document) -> Result<fleet::Document, Refusal>,
) -> Result<Accepted, Refusal> {
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
    let faults = fleet::check(&document);
    if !faults.is_empty() {
        return Err(Refusal::invalid(faults));
    }
    write(&cx.key_value, expected, document).await
}

/// Writes a document and settles a lost answer by its change id.
async fn write(
    client: &key_value::Client,
    expected: id::Revision,
    document: fleet::Document,
) -> Result<Accepted, Refusal> {
    let value = serde_json::to_vec(&document)
        .map_err(|error| Refusal::new(code::Code::Internal, &error.to_string()))?;
    let value = Bytes::from(value);
    let mut is_ambiguous = false;
    for attempt in 0..SETTLE_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
        match client.put(FLEET_KEY, value.clone(), expected, None).await {
            Ok(key_value::Swap::Written(revision)) => return Ok(Accepted { revision, document }),
            Ok(key_value::Swap::Conflict(entry)) => return settle(entry, document),
            Err(error) if error.is_ambiguous() => is_ambiguous = true,
            // A refusal after a lost answer says nothing about the earlier attempt.
            Err(_) if is_ambiguous => {}
            Err(error) => return Err(Refusal::platform(&error)),
        }
    }
    Err(unsettled(&document.change))
}

/// Tells whether a conflict was caused by an earlier attempt of the same write.
fn settle(entry: Option<key_value::Entry>, document: fleet::Document) -> Result<Accepted, Refusal> {
    let Some(entry) = entry else {
        let message = "the fleet document was deleted; apply it again without --expected";
        return Err(Refusal::new(code::Code::RevisionConflict, message));
    };
    let stored = parse(&entry.value)?;
    let is_ours = |change: &fleet::Change| change.id == document.change.id;
    if is_ours(&stored.change) || stored.history.iter().any(is_ours) {
        return Ok(Accepted { revision: entry.revision, document: stored });
    }
    Err(Refusal::conflict(entry.revision, &stored.change))
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
