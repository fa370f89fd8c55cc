//! Decisions of damaskdrift: no input, output, clock or global state.

pub mod block;
pub mod code;
pub mod fleet;
pub mod id;
pub mod placement;
pub mod template;
pub mod time;
