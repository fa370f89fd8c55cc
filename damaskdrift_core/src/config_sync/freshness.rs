//! The decision whether new work may start under the installed revision.

use derive_more::Display;

use crate::id;
use crate::time::Millis;

/// Whether new work may start, with the reason.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Freshness {
    /// The installed revision was current at the service within the limit.
    #[display("confirmed {age} ago")]
    Fresh {
        /// Time since that moment.
        age: Millis,
    },
    /// The service is out, and more than half of the roster knows no higher revision.
    #[display("service out; {heard} of {roster} instances know no higher revision")]
    Covered {
        /// Instances heard within the limit, this one included.
        heard: usize,
        /// Size of the roster.
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
    /// A peer or the service has a higher revision that is not installed yet.
    #[display("revision {known} is known but not installed")]
    Superseded {
        /// The highest known revision.
        known: id::Revision,
    },
    /// The instance list was never read, so the size of the fleet is unknown.
    #[display("the instance list was never read")]
    RosterUnknown,
    /// Half of the roster or less was heard within the limit.
    #[display("only {heard} of {roster} instances were heard")]
    Minority {
        /// Instances heard within the limit, this one included.
        heard: usize,
        /// Size of the roster.
        roster: usize,
    },
}

impl Freshness {
    /// Returns whether new work may start.
    pub fn allows_new_work(self) -> bool {
        !matches!(self, Self::Stopped(_))
    }
}
