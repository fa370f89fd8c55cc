//! Which configuration is installed, whether new work may use it, and what a writer may claim.

mod freshness;
mod propagation;
mod state;
mod trust;
mod watch;

pub use freshness::{Freshness, StopReason};
pub use propagation::{CLAIM_MARGIN, CLAIM_SLACK, Claim, ClaimReason, Propagation};
pub use state::{Offer, PeerReport, Reading, State};
pub use trust::{Trust, relayed, trust};
pub use watch::{WATCHERS_PER_DOMAIN, watchers};
