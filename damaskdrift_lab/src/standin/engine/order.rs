//! Orders to load or unload versions or to change the role.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing token of the sender's lease; a later lease has a higher token.
    pub fencing: u64,
    /// Requested action.
    pub kind: Kind,
    /// Model to load; may be absent in other orders.
    #[serde(default)]
    pub model: String,
    /// Weight version to load; may be absent in other orders.
    #[serde(default)]
    pub version: String,
    /// Time after receipt within which the order may be started, in milliseconds.
    pub deadline_ms: u64,
}

/// Action requested by an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Loads a version and serves it instead of the current one.
    Load,
    /// Stops serving until the next load order.
    Unload,
    /// Changes the role, which has no effect in the stand-in.
    Role,
}

/// Log of accepted orders.
#[derive(Clone, Debug, Default)]
pub struct Log {
    highest_fencing: u64,
    accepted: Vec<Order>,
}

impl Log {
    /// Accepts an order, unless fencing is checked and an earlier order had a higher token.
    pub fn accept(&mut self, order: &Order, check_fencing: bool) -> bool {
        if check_fencing && order.fencing < self.highest_fencing {
            return false;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        self.accepted.push(order.clone());
        true
    }

    /// Returns the accepted orders, oldest first.
    pub fn accepted(&self) -> &[Order] {
        &self.accepted
    }

    /// Returns whether an order is the latest load or unload order.
    ///
    /// A load that finishes after a later order must not take effect.
    pub fn is_latest(&self, order: &Order) -> bool {
        let last = self.accepted.iter().rev().find(|accepted| accepted.kind != Kind::Role);
        last.is_some_and(|last| last.fencing == order.fencing && last.version == order.version)
    }
}
