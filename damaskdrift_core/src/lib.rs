//! Decision logic of damaskdrift, without I/O, clocks or global state.

pub mod admission;
pub mod admission_queue;
pub mod balance;
pub mod block;
pub mod code;
pub mod config_sync;
pub mod duty;
pub mod fleet;
pub mod id;
pub mod idempotency;
pub mod limits;
pub mod membership;
pub mod order;
pub mod placement;
pub mod prefix_cache;
pub mod quarantine;
pub mod response_head;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod shutdown;
pub mod slo;
pub mod template;
pub mod time;
pub mod weights;
