//! Progressive rollout of a model version, driven by evidence and bounded by a deadline.

mod analyzer;
mod collector;
mod decide;
mod evidence;
mod plan;
mod record;
mod share;

pub use analyzer::{Analyzer, Bounds, Verdict};
pub use collector::{COLD_REPORT_LAG, Collector, Sample};
pub use decide::{Decision, decide};
pub use evidence::{CellKey, Counts, Evidence, LatencySum, LoadBand, Side};
pub use plan::{Outlook, Plan, dwell, plan};
pub use record::{RecordError, record};
pub use share::{
    RouteChoice, STEP_PERCENTS, choose_route, share_percent, takes_new_route, template_route,
};
