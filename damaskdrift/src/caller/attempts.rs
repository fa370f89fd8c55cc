//! Selects an upstream for each attempt of a request.

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

/// State of the attempts of one request.
pub struct Attempts {
    cx: sync::Arc<context::Context>,
    workspace: id::Workspace,
    is_idempotent: bool,
    /// Upstreams not tried yet, best first.
    targets: Vec<upstream::Target>,
    attempt_count: u32,
    progress: Progress,
}

/// State shared between a request's task and the caller's handler that awaits its response.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Cancelled when the caller disconnects.
    disconnected: CancellationToken,
    /// Whether an attempt may have run the request.
    may_have_run: sync::Arc<AtomicBool>,
}

/// An upstream with a slot reserved for one attempt.
pub struct Reserved {
    /// The upstream to send the request to.
    pub target: upstream::Target,
    /// Permits one request to the upstream; released when dropped.
    pub slot: slots::Slot,
}

impl Attempts {
    /// Creates the attempts of an idempotent request over upstreams sorted best first.
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
            is_idempotent: true,
            targets,
            attempt_count: 0,
            progress: Progress::default(),
        }
    }

    /// Disables retries after an attempt that may have run the request.
    pub fn without_retry_after_send(mut self) -> Self {
        self.is_idempotent = false;
        self
    }

    /// Shares progress with the caller's handler; no attempt starts after the caller disconnects.
    pub fn with_progress(mut self, progress: Progress) -> Self {
        self.progress = progress;
        self
    }

    /// Reserves a slot at the best upstream with one available immediately, otherwise at the first
    /// to grant one within the queue timeout.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no upstream is left or none has a slot in time.
    pub async fn reserve(&mut self) -> Result<Reserved, Refusal> {
        let reserved = self.acquire_slot().await?;
        if self.progress.disconnected.is_cancelled() {
            return Err(Refusal::new(code::Code::Internal, "the caller has gone away"));
        }
        Ok(reserved)
    }

    async fn acquire_slot(&mut self) -> Result<Reserved, Refusal> {
        if self.targets.is_empty() {
            return Err(code::Code::NoUpstream.into());
        }
        let timeout = Duration::from_millis(self.cx.limits.load().queue_timeout_ms);
        let upstreams: Vec<_> = self.targets.iter().map(|target| &target.id).collect();
        let (i, slot) = slots::acquire(&self.cx, &upstreams, timeout).await?;
        self.attempt_count += 1;
        Ok(Reserved { target: self.targets.remove(i), slot })
    }

    /// Waits for the retry delay and returns `true`, or returns `false` if the request must not be
    /// retried.
    pub async fn may_retry(&mut self, outcome: code::Outcome) -> bool {
        if outcome != code::Outcome::NotRun {
            self.progress.may_have_run.store(true, Ordering::Relaxed);
        }
        if self.targets.is_empty() {
            return false;
        }
        let failed = retry::FailedAttempt {
            attempts: self.attempt_count,
            sent: outcome != code::Outcome::NotRun,
            is_idempotent: self.is_idempotent,
            delivered: false,
        };
        let decision = {
            let mut budgets = self.cx.retry_budgets();
            retry::decide(failed, &mut budgets, &self.workspace, &mut rand::rng())
        };
        match decision {
            retry::Decision::Retry(delay) => {
                tokio::time::sleep(delay.into()).await;
                true
            }
            retry::Decision::Stop(reason) => {
                log::debug!("request of workspace {} not retried: {reason:?}", self.workspace);
                false
            }
        }
    }
}

/// Runs a request in its own task. If the caller disconnects, the response to a request already
/// sent is still read to its end, because the engine continues to process it and the slot must stay
/// occupied until then.
///
/// # Errors
///
/// Returns the refusal of the request. Its outcome is `not-run` only if no attempt may have run it:
/// the last attempt may have failed to connect after an earlier one lost its response.
pub async fn detach<F>(
    cx: &context::Context,
    work: impl FnOnce(Progress) -> F,
) -> Result<Response, Refusal>
where
    F: Future<Output = Result<Response, Refusal>> + Send + 'static,
{
    let progress = Progress::default();
    let guard = progress.disconnected.clone().drop_guard();
    let joined = cx.tasks.spawn(work(progress.clone())).await;
    guard.disarm();
    let result = joined.unwrap_or_else(|_| {
        Err(Refusal::unknown(code::Code::Internal, "the task that ran the request ended early"))
    });
    result.map_err(|refusal| match refusal.outcome {
        code::Outcome::NotRun if progress.may_have_run.load(Ordering::Relaxed) => {
            refusal.with_outcome(code::Outcome::Unknown)
        }
        _ => refusal,
    })
}
