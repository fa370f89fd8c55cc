//! Decides the next step of a move.

use derive_more::Display;

use crate::fleet;
use crate::rollout::plan;
use crate::rollout::{Judge, STEPS, Verdict, share};
use crate::time::{Millis, UnixMillis};

/// What the driver of a move does next, with the reason.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Decision {
    /// The share stays.
    #[display("hold: {reason}")]
    Hold {
        /// Why it may not grow yet.
        reason: String,
    },
    /// The share grows.
    #[display("grow to {}%: {reason}", share(*step))]
    Grow {
        /// The next step.
        step: usize,
        /// The evidence.
        reason: String,
    },
    /// The move is done.
    #[display("done: {reason}")]
    Finish {
        /// The evidence.
        reason: String,
    },
    /// All traffic goes back.
    #[display("roll back: {reason}")]
    RollBack {
        /// The evidence or the veto.
        reason: String,
    },
}

/// Decides the next step of a running move.
///
/// `now` is the instance's monotonic time, `unix` the wall-clock time of the move's deadline.
pub fn decide(
    m: &fleet::Move,
    judge: &Judge,
    now: Millis,
    unix: UnixMillis,
    veto: Option<&str>,
) -> Decision {
    if let Some(reason) = veto {
        return Decision::RollBack { reason: reason.to_owned() };
    }
    let plan = plan::plan(m, unix, judge.rate(now));
    let requests = match judge.verdict(now, plan.bounds) {
        Verdict::Bad { reason } => return Decision::RollBack { reason },
        missing @ Verdict::Missing { .. } => return Decision::Hold { reason: missing.to_string() },
        Verdict::Good { requests } => requests,
    };
    let spent = Millis(unix.0.saturating_sub(m.step_started.0));
    if spent < plan.dwell {
        let reason = format!("{spent} of {} at {}%", plan.dwell, share(m.step));
        return Decision::Hold { reason };
    }
    let reason = format!("{requests} requests at {}% show no fault", share(m.step));
    if m.step + 1 >= STEPS.len() {
        return Decision::Finish { reason };
    }
    Decision::Grow { step: m.step + 1, reason }
}
