//! The fleet document, which holds all configuration that operators change at run time.

mod check;
mod document;
mod snapshot;

pub use check::{Fault, check};
pub use document::{
    Change, Document, DomainState, FailureDomain, Fencing, Kind, ModelRule, Move, MoveState,
    Parameter, Route, Secret, ServiceLevel, ServiceRule, Template, Upstream, Workspace,
};
pub use snapshot::{KeyHash, Snapshot};
