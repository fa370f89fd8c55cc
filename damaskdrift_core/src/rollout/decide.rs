//! Decides the next step of a move.

use derive_more::Display;

use crate::fleet;
use crate::rollout::plan;
use crate::rollout::{Analyzer, STEP_PERCENTS, Verdict, share_percent};
use crate::time::{Millis, UnixMillis};

/// Next action of a move's driver, with the reason.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Decision {
    /// The new route keeps its current share.
    #[display("hold: {reason}")]
    Hold {
        /// Why the share may not grow yet.
        reason: String,
    },
    /// The new route receives the share of a later step.
    #[display("grow to {}%: {reason}", share_percent(*step))]
    Grow {
        /// Index of the next step in [`STEP_PERCENTS`].
        step: usize,
        /// Evidence that supports the growth.
        reason: String,
    },
    /// The new route passed the last step and keeps all traffic.
    #[display("done: {reason}")]
    Finish {
        /// Evidence at the last step.
        reason: String,
    },
    /// All traffic returns to the old route.
    #[display("roll back: {reason}")]
    RollBack {
        /// Evidence against the new version, or the reason of the veto.
        reason: String,
    },
}

/// Decides the next step of a running move.
///
/// `now` is the instance's monotonic time, against which evidence is dated; `unix_now` is the
/// wall-clock time, against which the move's deadline is checked.
pub fn decide(
    m: &fleet::Move,
    analyzer: &Analyzer,
    now: Millis,
    unix_now: UnixMillis,
    veto: Option<&str>,
) -> Decision {
    if let Some(reason) = veto {
        return Decision::RollBack { reason: reason.to_owned() };
    }
    let plan = plan::plan(m, unix_now, analyzer.request_rate(now));
    let requests = match analyzer.verdict(now, plan.bounds) {
        Verdict::Bad { reason } => return Decision::RollBack { reason },
        verdict @ Verdict::Insufficient { .. } => {
            return Decision::Hold { reason: verdict.to_string() };
        }
        Verdict::Good { requests } => requests,
    };
    let elapsed = Millis(unix_now.0.saturating_sub(m.step_started.0));
    if elapsed < plan.dwell {
        let reason = format!("{elapsed} of {} at {}%", plan.dwell, share_percent(m.step));
        return Decision::Hold { reason };
    }
    let reason = format!("{requests} requests at {}% show no fault", share_percent(m.step));
    if m.step + 1 >= STEP_PERCENTS.len() {
        return Decision::Finish { reason };
    }
    Decision::Grow { step: m.step + 1, reason }
}
