//! Writes a driver's decision to the fleet document and rejects outdated writes.

use thiserror::Error;

use crate::fleet;
use crate::id;
use crate::rollout::Decision;
use crate::time::UnixMillis;

/// Reason why a decision no longer applies to the fleet document.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum RecordError {
    /// The move is missing from the document or has ended.
    #[error("move {_0} is not running")]
    NotRunning(id::Move),
    /// The document is at another step than the one for which the decision was made.
    #[error("move {name} is at step {found}, the decision was made at step {expected}")]
    StepMismatch {
        /// Name of the move.
        name: id::Move,
        /// Step in the document.
        found: usize,
        /// Step for which the decision was made.
        expected: usize,
    },
    /// A driver with a higher fencing token has written to the move.
    #[error("move {name} was written under fencing token {found}, newer than {own}")]
    Fenced {
        /// Name of the move.
        name: id::Move,
        /// Fencing token in the document.
        found: id::FencingToken,
        /// Fencing token of the rejected write.
        own: id::FencingToken,
    },
}

/// Records a decision that was made at `expected_step`.
///
/// # Errors
///
/// Returns why the decision no longer applies; the caller must not write anything then.
pub fn record(
    mut document: fleet::Document,
    name: &id::Move,
    expected_step: usize,
    fencing: id::FencingToken,
    decision: &Decision,
    at: UnixMillis,
) -> Result<fleet::Document, RecordError> {
    let Some(m) = document.moves.get_mut(name) else {
        return Err(RecordError::NotRunning(name.clone()));
    };
    if m.state != fleet::MoveState::Running {
        return Err(RecordError::NotRunning(name.clone()));
    }
    if m.fencing > fencing {
        return Err(RecordError::Fenced { name: name.clone(), found: m.fencing, own: fencing });
    }
    if m.step != expected_step {
        return Err(RecordError::StepMismatch {
            name: name.clone(),
            found: m.step,
            expected: expected_step,
        });
    }
    m.fencing = fencing;
    match decision {
        Decision::Hold { .. } => {}
        Decision::Grow { step, .. } => {
            m.step = *step;
            m.step_started = at;
        }
        Decision::Finish { .. } => m.state = fleet::MoveState::Done,
        Decision::RollBack { reason } => {
            m.state = fleet::MoveState::RolledBack { reason: reason.clone() };
        }
    }
    Ok(document)
}
