//! Plans the steps of a move back from its deadline.

use derive_more::Display;

use crate::fleet;
use crate::rollout::{Bounds, STEPS, share};
use crate::time::{Millis, UnixMillis};

/// Time kept before the deadline for writing the end of a move, or for a successor of the driver.
const RESERVE: Millis = Millis::from_secs(5);
/// Shortest time at a step, also when the deadline is near.
const MIN_DWELL: Millis = Millis::from_secs(2);
/// Longest time that a step lasts when evidence is at hand.
const MAX_DWELL: Millis = Millis::from_secs(600);
/// Steps plus as many again as reserve: a step lasts this part of the move's time.
const DWELL_PARTS: u64 = 16;
/// Log likelihood ratio that growth from each step needs. The first is low, because the step after
/// it still has no more than 2% of the traffic.
const NEEDED: [f64; STEPS.len()] = [0.5, 1.2, 1.8, 2.3, 3.0, 4.6, 4.6];
/// Part of it that suffices when the deadline is at risk.
const LATE_PART: f64 = 0.5;
/// Log likelihood ratio that one success gives at the usual error rate.
const PER_SUCCESS: f64 = 0.05;

/// Whether a move will be done in time.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Outlook {
    /// The steps that remain fit before the deadline.
    #[display("on time")]
    OnTime,
    /// They do not fit.
    #[display("at risk: {reason}")]
    AtRisk {
        /// What is missing.
        reason: String,
    },
    /// The deadline has passed.
    #[display("overdue: the deadline has passed")]
    Overdue,
}

/// Latest safe starts of the steps.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Latest start of each step that meets the deadline.
    pub latest_starts: [UnixMillis; STEPS.len()],
    /// Whether the deadline will be met.
    pub outlook: Outlook,
    /// Shortest time at the present step.
    pub dwell: Millis,
    /// Evidence that the present step needs.
    pub bounds: Bounds,
}

/// Returns the log likelihood ratio that growth from a step needs.
fn needed(step: usize) -> f64 {
    NEEDED[step.min(NEEDED.len() - 1)]
}

/// Returns the time that a step lasts when there is no hurry.
pub fn dwell(m: &fleet::Move) -> Millis {
    let total = m.deadline.0.saturating_sub(m.started.0);
    Millis((total / DWELL_PARTS).clamp(MIN_DWELL.0, MAX_DWELL.0))
}

/// Plans the steps of a move, given the requests a second on both routes.
pub fn plan(m: &fleet::Move, now: UnixMillis, rate: f64) -> Plan {
    let end = UnixMillis(m.deadline.0.saturating_sub(RESERVE.0));
    let mut latest_starts = [end; STEPS.len()];
    let mut latest = end.0;
    for step in (0..STEPS.len()).rev() {
        latest = latest.saturating_sub(shortest(step, rate).0);
        latest_starts[step] = UnixMillis(latest);
    }
    let next = latest_starts.get(m.step + 1).copied().unwrap_or(end);
    let is_late = now > next;
    let left = next.0.saturating_sub(m.step_started.0);
    let dwell = dwell(m).min(Millis(left)).max(MIN_DWELL);
    let growth = needed(m.step) * if is_late { LATE_PART } else { 1.0 };
    let bounds = Bounds::new(growth, is_late);
    Plan { latest_starts, outlook: outlook(m, now, rate, is_late), dwell, bounds }
}

fn outlook(m: &fleet::Move, now: UnixMillis, rate: f64, is_late: bool) -> Outlook {
    if now > m.deadline {
        return Outlook::Overdue;
    }
    if !is_late {
        return Outlook::OnTime;
    }
    let percent = share(m.step);
    let left = Millis(m.deadline.0.saturating_sub(now.0));
    let reason = format!(
        "{left} are left at {percent}%, and the steps that remain need evidence that {rate:.1} \
         requests/s do not give in that time"
    );
    Outlook::AtRisk { reason }
}

/// Returns the shortest time in which a step can give its evidence.
fn shortest(step: usize, rate: f64) -> Millis {
    let requests = needed(step) / PER_SUCCESS;
    let a_second = rate * f64::from(share(step)) / 100.0;
    let millis = if a_second > 0.0 { requests * 1_000.0 / a_second } else { 0.0 };
    // The cast saturates, which is what a span longer than any deadline needs.
    Millis(millis as u64).max(MIN_DWELL)
}
