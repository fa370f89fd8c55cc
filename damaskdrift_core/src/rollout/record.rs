//! Writes a driver's decision into the fleet document, fenced against late drivers.

use thiserror::Error;

use crate::fleet;
use crate::id;
use crate::rollout::Decision;
use crate::time::UnixMillis;

/// A decision that no longer fits the document.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum Stale {
    /// The move is not running any more.
    #[error("move {_0} is not running")]
    NotRunning(id::Move),
    /// Another step was recorded.
    #[error("move {name} is at step {found}, the decision was made at step {read}")]
    Step {
        /// The move.
        name: id::Move,
        /// The step in the document.
        found: usize,
        /// The step that the driver read.
        read: usize,
    },
    /// A newer driver has written.
    #[error("move {name} was written under fencing number {found}, newer than {own}")]
    Fenced {
        /// The move.
        name: id::Move,
        /// The number in the document.
        found: id::FencingToken,
        /// The number of the driver.
        own: id::FencingToken,
    },
}

/// Records a decision; `read_step` is the step at which it was made.
///
/// # Errors
///
/// Returns why the decision no longer fits; nothing is to be written then.
pub fn record(
    mut document: fleet::Document,
    name: &id::Move,
    read_step: usize,
    fencing: id::FencingToken,
    decision: &Decision,
    at: UnixMillis,
) -> Result<fleet::Document, Stale> {
    let Some(m) = document.moves.get_mut(name) else {
        return Err(Stale::NotRunning(name.clone()));
    };
    if m.state != fleet::MoveState::Running {
        return Err(Stale::NotRunning(name.clone()));
    }
    if m.fencing > fencing {
        return Err(Stale::Fenced { name: name.clone(), found: m.fencing, own: fencing });
    }
    if m.step != read_step {
        return Err(Stale::Step { name: name.clone(), found: m.step, read: read_step });
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
