//! Decisions of damaskdrift: no input, output, clock or global state.

pub mod admission;
pub mod code;
pub mod fleet;
pub mod id;
pub mod idempotency;
pub mod retry;
pub mod template;
pub mod time;
