//! Moves traffic to a new version by evidence and a deadline.

mod collector;
mod decide;
mod evidence;
mod judge;
mod plan;
mod record;
mod share;

pub use collector::{COLD_REPORT_LAG, Collector, Sample};
pub use decide::{Decision, decide};
pub use evidence::{Band, Counts, Evidence, Key, Latency, Side};
pub use judge::{Bounds, Judge, Verdict};
pub use plan::{Outlook, Plan, dwell, plan};
pub use record::{Stale, record};
pub use share::{Choice, STEPS, choose, is_shifted, share, template_route};
