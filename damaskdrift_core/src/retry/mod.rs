//! Decides whether a failed call is tried again, and when.

mod backoff;
mod budget;
mod share;

pub use backoff::backoff;
pub use budget::{Budget, Budgets};
pub use share::{Bound, Share};

use rand::Rng;

use crate::id;
use crate::time::Millis;

/// Most attempts of one call, the first included.
pub const MAX_ATTEMPTS: u32 = 4;

/// A failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failed {
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// Whether a byte of the request may have reached the upstream.
    pub sent: bool,
    /// Whether the call may be repeated.
    pub is_repeatable: bool,
    /// Whether the caller has received a byte of the answer.
    pub delivered: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Try another upstream after this time.
    Retry(Millis),
    /// Report the failure.
    Stop(Reason),
}

/// Why a failed call is not tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The call may have run and may not be repeated.
    MayHaveRun,
    /// The caller has a part of the answer.
    Delivered,
    /// All attempts are used up.
    Attempts,
    /// The workspace's retry budget is used up.
    Budget,
}

/// Decides what to do after a failed attempt; a retry takes from the workspace's budget.
pub fn decide(
    failed: Failed,
    budgets: &mut Budgets,
    workspace: &id::Workspace,
    rng: &mut impl Rng,
) -> Decision {
    if failed.delivered {
        return Decision::Stop(Reason::Delivered);
    }
    if failed.sent && !failed.is_repeatable {
        return Decision::Stop(Reason::MayHaveRun);
    }
    if failed.attempts >= MAX_ATTEMPTS {
        return Decision::Stop(Reason::Attempts);
    }
    if !budgets.take(workspace) {
        return Decision::Stop(Reason::Budget);
    }
    Decision::Retry(backoff(failed.attempts, rng))
}
