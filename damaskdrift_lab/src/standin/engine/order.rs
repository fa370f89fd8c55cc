//! Orders to load or unload versions or to change role.

use serde::{Deserialize, Serialize};

/// An order as `POST /v1/orders` carries it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// What to do.
    pub kind: Kind,
    /// The model.
    #[serde(default)]
    pub model: String,
    /// The weight version.
    #[serde(default)]
    pub version: String,
    /// Time after receipt until which the order may be begun, in milliseconds.
    pub deadline_ms: u64,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Loads a version and serves it instead of the present one.
    Load,
    /// Stops serving until the next load.
    Unload,
    /// Changes the role, which has no effect here.
    Role,
}

/// Orders that were taken.
#[derive(Clone, Debug, Default)]
pub struct Log {
    highest: u64,
    taken: Vec<Order>,
}

impl Log {
    /// Takes an order, unless its fencing number is checked and old.
    pub fn take(&mut self, order: &Order, check_fencing: bool) -> bool {
        if check_fencing && order.fencing < self.highest {
            return false;
        }
        self.highest = self.highest.max(order.fencing);
        self.taken.push(order.clone());
        true
    }

    /// Returns the orders that were taken, the latest last.
    pub fn taken(&self) -> &[Order] {
        &self.taken
    }

    /// Returns whether an order is the latest of its kind, so that a slow load can be overtaken.
    pub fn is_latest(&self, order: &Order) -> bool {
        let last = self.taken.iter().rev().find(|taken| taken.kind != Kind::Role);
        last.is_some_and(|last| last.fencing == order.fencing && last.version == order.version)
    }
}
