//! Orders the requests that wait at one instance for room at the upstreams of one service, and
//! decides which are tried and which are refused.

mod forecast;
mod order;
mod queue;
mod returns;
mod share;
mod wake;

pub use forecast::{Capacity, Forecast, Work};
pub use order::{LOWEST_RANK, Request};
pub use queue::{MAX_WAITING, Position, Queue, Reason, Refusal};
pub use returns::Returns;
pub use wake::{WAKE_INTERVAL, WAKE_SPACING, WakeUp};
