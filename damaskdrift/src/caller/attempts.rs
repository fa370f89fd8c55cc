//! Chooses upstreams for the attempts of one request.

use std::sync;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::id;
use damaskdrift_core::retry;
use tokio_util::sync::CancellationToken;
use warp::reply::Response;

use crate::caller::refusal::Refusal;
use crate::context;
use crate::control::slots;
use crate::upstream;

/// The attempts of one request.
pub struct Attempts {
    cx: sync::Arc<context::Context>,
    workspace: id::Workspace,
    is_repeatable: bool,
    /// Upstreams that are left to try, best first.
    targets: Vec<upstream::Target>,
    made: u32,
    progress: Progress,
}

/// What a request shares with the task that waits for its answer.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Cancelled when the caller goes away.
    gone: CancellationToken,
    /// Whether an attempt may have run the request.
    may_have_run: sync::Arc<AtomicBool>,
}

/// An upstream that takes one attempt.
pub struct Placed {
    /// The upstream.
    pub target: upstream::Target,
    /// The right to send it one request.
    pub slot: slots::Slot,
}

impl Attempts {
    /// Begins the attempts of a request that may be repeated, over upstreams sorted best first.
    pub fn new(
        cx: &sync::Arc<context::Context>,
        workspace: &id::Workspace,
        mut targets: Vec<upstream::Target>,
    ) -> Self {
        cx.upstreams.demote_failing(&mut targets);
        cx.retry_budgets().deposit(workspace);
        Self {
            cx: cx.clone(),
            workspace: workspace.clone(),
            is_repeatable: true,
            targets,
            made: 0,
            progress: Progress::default(),
        }
    }

    /// Forbids another attempt after one that may have run.
    pub fn with_single_run(mut self) -> Self {
        self.is_repeatable = false;
        self
    }

    /// Shares what becomes of the attempts, and begins none once the caller has gone away.
    pub fn with_progress(mut self, progress: Progress) -> Self {
        self.progress = progress;
        self
    }

    /// Returns the next upstream with a slot: the best one that has a slot at once, else the best
    /// one after a wait.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no upstream is left or none has a slot in time.
    pub async fn place(&mut self) -> Result<Placed, Refusal> {
        let placed = self.find().await?;
        if self.progress.gone.is_cancelled() {
            return Err(Refusal::new(code::Code::Internal, "the caller has gone away"));
        }
        Ok(placed)
    }

    async fn find(&mut self) -> Result<Placed, Refusal> {
        if self.targets.is_empty() {
            return Err(code::Code::NoUpstream.into());
        }
        let wait = Duration::from_millis(self.cx.limits.load().queue_timeout_ms);
        let upstreams: Vec<_> = self.targets.iter().map(|target| &target.id).collect();
        let (i, slot) = slots::acquire(&self.cx, &upstreams, wait).await?;
        self.made += 1;
        Ok(Placed { target: self.targets.remove(i), slot })
    }

    /// Waits before the next attempt, or returns that there must be none.
    pub async fn may_retry(&mut self, outcome: code::Outcome) -> bool {
        if outcome != code::Outcome::NotRun {
            self.progress.may_have_run.store(true, Ordering::Relaxed);
        }
        if self.targets.is_empty() {
            return false;
        }
        let failed = retry::FailedAttempt {
            attempts: self.made,
            sent: outcome != code::Outcome::NotRun,
            is_retryable: self.is_repeatable,
            delivered: false,
        };
        let decision = {
            let mut budgets = self.cx.retry_budgets();
            retry::decide(failed, &mut budgets, &self.workspace, &mut rand::rng())
        };
        match decision {
            retry::Decision::Retry(wait) => {
                tokio::time::sleep(wait.into()).await;
                true
            }
            retry::Decision::Stop(reason) => {
                log::debug!("request of {} is not tried again: {reason:?}", self.workspace);
                false
            }
        }
    }
}

/// Runs a request in a task of its own. If the caller goes away, what was sent is still read to its
/// end, because the engine goes on with it and the slot must cover it until then.
///
/// # Errors
///
/// Returns the refusal of the request. It says `not-run` only if no attempt may have run it: the last
/// attempt may have failed to connect after an earlier one lost its answer.
pub async fn detach<F>(
    cx: &context::Context,
    work: impl FnOnce(Progress) -> F,
) -> Result<Response, Refusal>
where
    F: Future<Output = Result<Response, Refusal>> + Send + 'static,
{
    let progress = Progress::default();
    let guard = progress.gone.clone().drop_guard();
    let answer = cx.tasks.spawn(work(progress.clone())).await;
    guard.disarm();
    let answer = answer.unwrap_or_else(|_| {
        Err(Refusal::unknown(code::Code::Internal, "the task that ran the request ended early"))
    });
    answer.map_err(|refusal| match refusal.outcome {
        code::Outcome::NotRun if progress.may_have_run.load(Ordering::Relaxed) => {
            refusal.with_outcome(code::Outcome::Unknown)
        }
        _ => refusal,
    })
}
