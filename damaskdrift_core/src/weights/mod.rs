//! Target versions of model weights, and the loads that bring upstreams to them.

mod scheduler;
mod target;

pub use scheduler::{Candidate, LoadScheduler};
pub use target::Targets;
