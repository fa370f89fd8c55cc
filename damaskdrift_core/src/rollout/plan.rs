//! Schedules the steps of a move backwards from its deadline.

use derive_more::Display;

use crate::fleet;
use crate::rollout::{Bounds, STEP_PERCENTS, share_percent};
use crate::time::{Millis, UnixMillis};

/// Time reserved before the deadline to record the end of a move or to fail over to another driver.
const DEADLINE_RESERVE: Millis = Millis::from_secs(5);
/// Minimum time at a step, even when the deadline is near.
const MIN_DWELL: Millis = Millis::from_secs(2);
/// Maximum time that a step must last once its evidence is sufficient.
const MAX_DWELL: Millis = Millis::from_secs(600);
/// Divides a move's duration into the dwell of one step. The steps take less than half of the
/// duration in total; the remainder is reserve.
const DWELL_DIVISOR: u64 = 16;
/// Log likelihood ratio required to grow from each step. The first is low, because the next step
/// still receives only 2% of the traffic.
const GROWTH_LLR: [f64; STEP_PERCENTS.len()] = [0.5, 1.2, 1.8, 2.3, 3.0, 4.6, 4.6];
/// Factor applied to the required ratio when the deadline is at risk.
const AT_RISK_LLR_FACTOR: f64 = 0.5;
/// Log likelihood ratio contributed by one success at the usual error rate.
const LLR_PER_SUCCESS: f64 = 0.05;

/// Whether a move is expected to finish before its deadline.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Outlook {
    /// The remaining steps fit before the deadline.
    #[display("on time")]
    OnTime,
    /// The remaining steps do not fit before the deadline.
    #[display("at risk: {reason}")]
    AtRisk {
        /// Remaining time, current share and request rate.
        reason: String,
    },
    /// The deadline has passed and the move is still running.
    #[display("overdue: the deadline has passed")]
    Overdue,
}

/// Schedule of a move and the evidence that its current step requires.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Latest start of each step with which the move still meets its deadline.
    pub latest_starts: [UnixMillis; STEP_PERCENTS.len()],
    /// Whether the deadline is expected to be met.
    pub outlook: Outlook,
    /// Minimum time at the current step.
    pub dwell: Millis,
    /// Thresholds of evidence at the current step.
    pub bounds: Bounds,
}

/// Returns the log likelihood ratio required to grow from a step.
fn growth_llr(step: usize) -> f64 {
    GROWTH_LLR[step.min(GROWTH_LLR.len() - 1)]
}

/// Returns the minimum time at a step of a move whose deadline is not close.
pub fn dwell(m: &fleet::Move) -> Millis {
    let total = m.deadline.0.saturating_sub(m.started.0);
    Millis((total / DWELL_DIVISOR).clamp(MIN_DWELL.0, MAX_DWELL.0))
}

/// Plans the steps of a move, given the rate of requests per second on both routes together.
pub fn plan(m: &fleet::Move, now: UnixMillis, rate: f64) -> Plan {
    let end = UnixMillis(m.deadline.0.saturating_sub(DEADLINE_RESERVE.0));
    let mut latest_starts = [end; STEP_PERCENTS.len()];
    let mut latest = end.0;
    for step in (0..STEP_PERCENTS.len()).rev() {
        latest = latest.saturating_sub(min_duration(step, rate).0);
        latest_starts[step] = UnixMillis(latest);
    }
    let next = latest_starts.get(m.step + 1).copied().unwrap_or(end);
    let is_at_risk = now > next;
    let left = next.0.saturating_sub(m.step_started.0);
    let dwell = dwell(m).min(Millis(left)).max(MIN_DWELL);
    let growth = growth_llr(m.step) * if is_at_risk { AT_RISK_LLR_FACTOR } else { 1.0 };
    let bounds = Bounds::new(growth, is_at_risk);
    Plan { latest_starts, outlook: outlook(m, now, rate, is_at_risk), dwell, bounds }
}

fn outlook(m: &fleet::Move, now: UnixMillis, rate: f64, is_at_risk: bool) -> Outlook {
    if now > m.deadline {
        return Outlook::Overdue;
    }
    if !is_at_risk {
        return Outlook::OnTime;
    }
    let percent = share_percent(m.step);
    let left = Millis(m.deadline.0.saturating_sub(now.0));
    let reason = format!(
        "{left} are left at {percent}%, and the steps that remain need evidence that {rate:.1} \
         requests/s do not give in that time"
    );
    Outlook::AtRisk { reason }
}

/// Returns the minimum time that a step takes to collect its evidence.
fn min_duration(step: usize, rate: f64) -> Millis {
    let requests = growth_llr(step) / LLR_PER_SUCCESS;
    let rate_at_step = rate * f64::from(share_percent(step)) / 100.0;
    let millis = if rate_at_step > 0.0 { requests * 1_000.0 / rate_at_step } else { 0.0 };
    // The cast saturates, so a duration longer than any deadline does not wrap around.
    Millis(millis as u64).max(MIN_DWELL)
}
