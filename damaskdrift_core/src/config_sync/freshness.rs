//! The result of checking whether new work may start under the installed revision.

use derive_more::Display;

use crate::id;
use crate::time::Millis;

/// Whether new work may start, with the reason.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Freshness {
    /// The key-value service held the installed revision as the current one within the limit.
    #[display("confirmed {age} ago")]
    Fresh {
        /// Time since the installed revision was last known to be current.
        age: Millis,
    },
    /// The key-value service has confirmed nothing within the limit, but more than half of the
    /// roster knows no higher revision.
    #[display("service out; {reachable} of {roster} instances know no higher revision")]
    MajorityConfirmed {
        /// Members with evidence within the limit, including this instance.
        reachable: usize,
        /// Number of instances in the roster.
        roster: usize,
    },
    /// No new work may start.
    #[display("stopped: {_0}")]
    Stopped(StopReason),
}

/// Why no new work may start.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StopReason {
    /// No revision is installed.
    #[display("no configuration is installed")]
    NotConfigured,
    /// A peer or the key-value service reported a higher revision that is not installed yet.
    #[display("revision {known} is known but not installed")]
    Superseded {
        /// The highest known revision.
        known: id::Revision,
    },
    /// The instance list has never been read, so the size of the fleet is unknown.
    #[display("the instance list was never read")]
    RosterUnknown,
    /// There is evidence within the limit from half of the roster or less.
    #[display("only {reachable} of {roster} instances were heard")]
    Minority {
        /// Members with evidence within the limit, including this instance.
        reachable: usize,
        /// Number of instances in the roster.
        roster: usize,
    },
}

impl Freshness {
    /// Returns whether new work may start.
    pub fn allows_new_work(self) -> bool {
        !matches!(self, Self::Stopped(_))
    }
}
