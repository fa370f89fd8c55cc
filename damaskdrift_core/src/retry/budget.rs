//! Retry budgets, so that retries cannot multiply the load of a failing fleet.

use std::collections;

use crate::id;

/// Thousandths of a retry that each request adds, which makes 10% of requests.
const PER_REQUEST: u32 = 100;
/// Thousandths of a retry that one retry takes.
const PER_RETRY: u32 = 1_000;
/// Thousandths of a retry in a new budget; a workspace with few requests can retry some as well.
const INITIAL: u32 = 10 * PER_RETRY;
/// Most thousandths of a retry saved up.
const MOST: u32 = 100 * PER_RETRY;

/// Retries that one workspace may still make.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget(u32);

/// Budgets of all workspaces.
#[derive(Clone, Debug, Default)]
pub struct Budgets(collections::HashMap<id::Workspace, Budget>);

impl Default for Budget {
    fn default() -> Self {
        Self(INITIAL)
    }
}

impl Budget {
    /// Adds the share of one request.
    pub fn add(&mut self) {
        self.0 = (self.0 + PER_REQUEST).min(MOST);
    }

    /// Takes one retry, or returns that none is left.
    pub fn take(&mut self) -> bool {
        let Some(rest) = self.0.checked_sub(PER_RETRY) else {
            return false;
        };
        self.0 = rest;
        true
    }
}

impl Budgets {
    /// Adds the share of one request of a workspace.
    pub fn add(&mut self, workspace: &id::Workspace) {
        self.of(workspace).add();
    }

    /// Takes one retry of a workspace, or returns that none is left.
    pub fn take(&mut self, workspace: &id::Workspace) -> bool {
        self.of(workspace).take()
    }

    fn of(&mut self, workspace: &id::Workspace) -> &mut Budget {
        self.0.entry(workspace.clone()).or_default()
    }
}
