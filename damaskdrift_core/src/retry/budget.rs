//! Retry budgets per workspace, so that retries cannot multiply the load of a failing fleet.

use std::collections;

use crate::id;

/// Deposit for each request, in thousandths of a retry; it allows retries of 10% of requests.
const DEPOSIT: u32 = 100;
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;
/// Initial balance, in thousandths of a retry; it allows some retries to a workspace with few
/// requests.
const INITIAL_BALANCE: u32 = 10 * RETRY_COST;
/// Maximum balance, in thousandths of a retry.
const MAX_BALANCE: u32 = 100 * RETRY_COST;

/// The retry budget of one workspace: a balance in thousandths of a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget(u32);

/// The retry budgets of all workspaces; a workspace's budget is created on first use.
#[derive(Clone, Debug, Default)]
pub struct Budgets(collections::HashMap<id::Workspace, Budget>);

impl Default for Budget {
    fn default() -> Self {
        Self(INITIAL_BALANCE)
    }
}

impl Budget {
    /// Adds the deposit for one request, up to the maximum balance.
    pub fn deposit(&mut self) {
        self.0 = (self.0 + DEPOSIT).min(MAX_BALANCE);
    }

    /// Withdraws one retry, or returns `false` if the balance is too low.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(balance) = self.0.checked_sub(RETRY_COST) else {
            return false;
        };
        self.0 = balance;
        true
    }
}

impl Budgets {
    /// Adds the deposit for one request of a workspace.
    pub fn deposit(&mut self, workspace: &id::Workspace) {
        self.budget_mut(workspace).deposit();
    }

    /// Withdraws one retry of a workspace, or returns `false` if its balance is too low.
    pub fn try_withdraw(&mut self, workspace: &id::Workspace) -> bool {
        self.budget_mut(workspace).try_withdraw()
    }

    fn budget_mut(&mut self, workspace: &id::Workspace) -> &mut Budget {
        self.0.entry(workspace.clone()).or_default()
    }
}
