//! Duties that exactly one instance of the fleet performs at a time: usage reports and scaling.

mod clock;
mod holder;
mod ledger;
mod rate;
mod scaling;
mod settlement;

pub use clock::{Clocks, Sample};
pub use holder::{Candidate, Fenced, Holder, Holding, Lease, Suspended};
pub use ledger::{Counts, Ledger, Process, WindowCounts};
pub use rate::CallRate;
pub use scaling::{DomainState, ScaleOrder, Scaler, ScalingLimits, ServiceLoad};
pub use settlement::{Record, Settled, UsageRules};
