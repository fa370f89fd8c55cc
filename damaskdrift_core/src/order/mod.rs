//! Times at which the owner of an upstream may send it orders.

use derive_more::Display;

use crate::fleet;
use crate::time::Millis;

/// Time before the end of its lease at which an owner stops sending orders.
pub const MARGIN: Millis = Millis::from_secs(1);
/// Time within which an upstream must have carried out an order.
pub const DEADLINE: Millis = Millis::from_secs(2);

/// Whether an order may be sent.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Permission {
    /// It may be sent.
    #[display("allowed")]
    Allowed,
    /// An order of the previous owner may still be carried out until then.
    #[display("orders of the previous owner may run until {until}")]
    Wait {
        /// First time at which an order may be sent.
        until: Millis,
    },
    /// The lease ends too soon.
    #[display("the lease ends too soon")]
    TooLate,
}

/// The owner's lease, by the owner's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tenure {
    /// When the lease was taken.
    pub taken: Millis,
    /// When it ends unless it is renewed.
    pub ends: Millis,
}

impl Tenure {
    /// Returns whether the owner may send an order to an upstream now.
    ///
    /// An upstream that checks fencing numbers refuses orders of earlier owners by itself. For one
    /// that ignores them the owners keep apart by time.
    pub fn permission(&self, now: Millis, fencing: fleet::Fencing) -> Permission {
        let (stop, start) = match fencing {
            fleet::Fencing::Checked => (self.ends, self.taken),
            fleet::Fencing::Ignored => (self.ends - MARGIN, self.taken + MARGIN + DEADLINE),
        };
        if now >= stop {
            return Permission::TooLate;
        }
        if now < start {
            return Permission::Wait { until: start };
        }
        Permission::Allowed
    }
}
