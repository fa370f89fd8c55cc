//! Tracks which configuration is installed, whether new work may use it, and how far a change has
//! propagated.
//!
//! In this module, "the service" is the platform's key-value service, which holds the
//! configuration, and the roster is the set of instances that count as the fleet.

mod freshness;
mod propagation;
mod reachability;
mod staleness;
mod state;
mod watch;

pub use freshness::{Freshness, StopReason};
pub use propagation::{CLAIM_MARGIN, CLAIM_SLACK, Claim, ClaimReason, Propagation};
pub use reachability::Reachability;
pub use staleness::{Staleness, relayed_confirmed_at, staleness};
pub use state::{Offer, PeerReport, ReadOutcome, State};
pub use watch::{WATCHERS_PER_DOMAIN, watchers};
