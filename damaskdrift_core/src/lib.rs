//! Decisions of damaskdrift: no input, output, clock or global state.

pub mod code;
pub mod fleet;
pub mod id;
pub mod order;
pub mod rollout;
pub mod slo;
pub mod template;
pub mod time;
