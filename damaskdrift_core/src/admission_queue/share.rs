//! Shares of workspaces within a rank, and the share that is guaranteed to each rank.

use std::collections::HashMap;

use crate::admission_queue::order;
use crate::id;

/// Part of the engine time of more urgent requests that a waiting rank gets as well.
pub const GUARANTEED_SHARE: f64 = 0.05;
/// Largest engine time that a rank may save from its guaranteed share. It admits the largest prompts
/// of the service, and no crowd of small ones.
const MAX_CREDIT_MS: f64 = 2_000.0;

/// Engine time that workspaces got within a rank, by start-time fair queueing.
///
/// A workspace that did not wait gets no credit for that time, so the order is work-conserving.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    /// Virtual time of the latest admission.
    now: f64,
    /// Virtual time from which each workspace gets its next admission, if it is not in the past.
    next: HashMap<Option<id::Workspace>, f64>,
}

/// Engine time that the guaranteed share gives to each rank.
#[derive(Debug, Default)]
pub struct RankCredits {
    credits: [f64; order::LOWEST_RANK as usize + 1],
}

impl WorkspaceShares {
    /// Returns the virtual time of a workspace's next admission; the least one is first.
    pub fn next(&self, workspace: &Option<id::Workspace>) -> f64 {
        self.next.get(workspace).map_or(self.now, |next| next.max(self.now))
    }

    /// Records an admission that takes `engine_ms`.
    pub fn record(&mut self, workspace: &Option<id::Workspace>, engine_ms: f64) {
        let start = self.next(workspace);
        self.now = start;
        self.next.insert(workspace.clone(), start + engine_ms);
        self.next.retain(|_, next| *next > start);
    }
}

impl RankCredits {
    /// Records an admission of `rank`, for which the less urgent ranks in `waiting` get a credit.
    pub fn record(&mut self, rank: u8, engine_ms: f64, waiting: impl Fn(u8) -> bool) {
        let own = &mut self.credits[usize::from(rank)];
        *own = (*own - engine_ms).max(0.0);
        for other in rank + 1..=order::LOWEST_RANK {
            let credit = &mut self.credits[usize::from(other)];
            if !waiting(other) {
                *credit = 0.0;
                continue;
            }
            *credit = (*credit + engine_ms * GUARANTEED_SHARE).min(MAX_CREDIT_MS);
        }
    }

    /// Returns whether the rank's credit admits a request that takes `engine_ms`.
    pub fn admits(&self, rank: u8, engine_ms: f64) -> bool {
        self.credits[usize::from(rank)] >= engine_ms.clamp(1.0, MAX_CREDIT_MS)
    }
}
