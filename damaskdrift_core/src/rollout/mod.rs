//! Progressive rollout of a version, driven by evidence and bounded by a deadline.
//!
//! A [`Trial`] moves the requests of a service between software versions of its upstreams. The
//! other items serve moves of a model between the routes of a fleet document.

mod analyzer;
mod collector;
mod decide;
mod delay;
mod evidence;
mod exposure;
mod ledger;
mod plan;
mod record;
mod share;
mod trial;

pub use analyzer::{Analyzer, Bounds, Verdict};
pub use collector::{COLD_REPORT_LAG, Collector, Sample};
pub use decide::{Decision, decide};
pub use delay::DelayComparison;
pub use evidence::{CellKey, Counts, Evidence, LatencySum, LoadBand, Side};
pub use exposure::{Exposure, ExposureLimit};
pub use ledger::Ledger;
pub use plan::{Outlook, Plan, dwell, plan};
pub use record::{RecordError, record};
pub use share::{
    RouteChoice, STEP_PERCENTS, choose_route, share_percent, takes_new_route, template_route,
};
pub use trial::{
    Order, Outcome, RAMP_PERCENTS, Selection, Status, Trial, TrialDecision, TrialState,
};
