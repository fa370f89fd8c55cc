//! Decides when the owner of an upstream may send orders to it.

use derive_more::Display;

use crate::fleet;
use crate::time::Millis;

/// Time before the end of its lease at which an owner stops sending orders, and by which the next
/// owner delays its first order in addition to [`ORDER_TIMEOUT`].
pub const LEASE_MARGIN: Millis = Millis::from_secs(1);
/// Time within which an upstream must have executed an order.
pub const ORDER_TIMEOUT: Millis = Millis::from_secs(2);

/// Whether an order may be sent now.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Permission {
    /// The order may be sent.
    #[display("allowed")]
    Allowed,
    /// An upstream may still execute an order of the previous owner until then.
    #[display("orders of the previous owner may run until {until}")]
    Wait {
        /// Earliest time at which an order may be sent.
        until: Millis,
    },
    /// The lease expires too soon for the order to be executed within it.
    #[display("the lease ends too soon")]
    TooLate,
}

/// The owner's lease; its times are of the owner's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// When the lease was acquired.
    pub acquired_at: Millis,
    /// When the lease expires unless it is renewed.
    pub expires_at: Millis,
}

impl Lease {
    /// Returns whether the owner may send an order to an upstream now.
    ///
    /// An upstream that checks fencing tokens refuses orders of previous owners by itself. For an
    /// upstream that ignores them, the periods in which successive owners send orders must not
    /// overlap: an owner stops before its lease expires, and the next one waits until earlier
    /// orders have been executed.
    pub fn permission(&self, now: Millis, fencing: fleet::Fencing) -> Permission {
        let (stop, start) = match fencing {
            fleet::Fencing::Checked => (self.expires_at, self.acquired_at),
            fleet::Fencing::Ignored => {
                (self.expires_at - LEASE_MARGIN, self.acquired_at + LEASE_MARGIN + ORDER_TIMEOUT)
            }
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
