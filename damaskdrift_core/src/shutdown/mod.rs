//! Decides which requests a stopping instance still sends to upstreams.

mod plan;

pub use plan::Plan;
