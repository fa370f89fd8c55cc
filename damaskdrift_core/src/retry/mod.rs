//! Decides whether and when a failed call is retried.

mod backoff;
mod budget;
mod window;

pub use backoff::backoff;
pub use budget::{Budget, Budgets};
pub use window::{AttemptWindow, Bound};

use rand::Rng;

use crate::id;
use crate::time::Millis;

/// Maximum number of attempts per call, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

/// The facts about a failed attempt that decide whether it is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Attempts made so far, including this one.
    pub attempts: u32,
    /// Whether a byte of the request may have reached the upstream.
    pub sent: bool,
    /// Whether the call may safely run more than once.
    pub is_idempotent: bool,
    /// Whether the caller has received a byte of the response.
    pub delivered: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Retry on another upstream after this wait.
    Retry(Millis),
    /// Return the failure to the caller.
    Stop(Reason),
}

/// Why a failed call is not retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The call may have run and is not idempotent.
    MayHaveRun,
    /// The caller has received part of the response.
    Delivered,
    /// The call has used [`MAX_ATTEMPTS`].
    Attempts,
    /// The workspace's retry budget is exhausted.
    Budget,
}

/// Decides what to do after a failed attempt; a retry is withdrawn from the workspace's budget.
pub fn decide(
    failed: FailedAttempt,
    budgets: &mut Budgets,
    workspace: &id::Workspace,
    rng: &mut impl Rng,
) -> Decision {
    if failed.delivered {
        return Decision::Stop(Reason::Delivered);
    }
    if failed.sent && !failed.is_idempotent {
        return Decision::Stop(Reason::MayHaveRun);
    }
    if failed.attempts >= MAX_ATTEMPTS {
        return Decision::Stop(Reason::Attempts);
    }
    if !budgets.try_withdraw(workspace) {
        return Decision::Stop(Reason::Budget);
    }
    Decision::Retry(backoff(failed.attempts, rng))
}
