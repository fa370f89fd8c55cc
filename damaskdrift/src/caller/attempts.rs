//! Chooses upstreams for the attempts of one request.

use std::sync;
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::id;
use damaskdrift_core::retry;

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
}

/// An upstream that takes one attempt.
pub struct Placed {
    /// The upstream.
    pub target: upstream::Target,
    /// The right to send it one request.
    pub slot: slots::Slot,
}

impl Attempts {
    /// Begins the attempts of a request, over upstreams that are sorted best first.
    pub fn new(
        cx: &sync::Arc<context::Context>,
        workspace: &id::Workspace,
        is_repeatable: bool,
        mut targets: Vec<upstream::Target>,
    ) -> Self {
        let leaving = cx.leaving_upstreams.load();
        targets.retain(|target| !leaving.contains(&target.id));
        cx.upstreams.demote_unreachable(&mut targets);
        cx.retry_budgets().add(workspace);
        Self { cx: cx.clone(), workspace: workspace.clone(), is_repeatable, targets, made: 0 }
    }

    /// Returns the next upstream with a slot: the best one that has a slot at once, else the best
    /// one after a wait.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no upstream is left or none has a slot in time.
    pub async fn place(&mut self) -> Result<Placed, Refusal> {
        for i in 0..self.targets.len() {
            if let Ok(slot) = self.acquire(i, Duration::ZERO).await {
                return Ok(self.take(i, slot));
            }
        }
        if self.targets.is_empty() {
            return Err(code::Code::NoUpstream.into());
        }
        let wait = Duration::from_millis(self.cx.settings.limits.queue_timeout_ms);
        let slot = self.acquire(0, wait).await?;
        Ok(self.take(0, slot))
    }

    /// Waits before the next attempt, or returns that there must be none.
    pub async fn may_retry(&mut self, outcome: code::Outcome) -> bool {
        if self.targets.is_empty() {
            return false;
        }
        let failed = retry::Failed {
            attempts: self.made,
            sent: outcome != code::Outcome::NotRun,
            is_repeatable: self.is_repeatable,
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

    async fn acquire(&self, i: usize, wait: Duration) -> Result<slots::Slot, code::Code> {
        slots::acquire(&self.cx, &self.targets[i].id, wait).await
    }

    fn take(&mut self, i: usize, slot: slots::Slot) -> Placed {
        self.made += 1;
        Placed { target: self.targets.remove(i), slot }
    }
}
