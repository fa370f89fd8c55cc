//! Limits on concurrent requests to an upstream, enforced across all instances.
//!
//! One instance owns the limits of a group of upstreams and divides each limit into allotments.
//! Every instance may also use a static share, which the owner never allots, so that the total
//! stays within the limit while an instance cannot reach the owner.

mod limit;
mod owner;
mod slot_pool;

use xxhash_rust::xxh3;

use crate::id;
use crate::time::Millis;

pub use limit::Limit;
pub use owner::{Grant, Load, Owner, Reason};
pub use slot_pool::{Demand, Refusal, Slot, SlotPool};

/// Number of groups that upstreams are divided into, each with one limit owner.
pub const GROUPS: u16 = 16;
/// Validity of an allotment, counted from the time at which it was requested.
pub const ALLOTMENT_TTL: Millis = Millis::from_secs(2);
/// Longest delay of an upstream's load report.
pub const MAX_REPORT_DELAY: Millis = Millis::from_secs(2);
/// Time after which a request that no instance reports no longer counts as in flight.
pub const REQUEST_TTL: Millis = Millis::from_secs(60);

/// Returns the group of an upstream, a hash of its name below [`GROUPS`].
pub fn group(upstream: &id::Upstream) -> u16 {
    let hash = xxh3::xxh3_64(upstream.as_str().as_bytes());
    u16::try_from(hash % u64::from(GROUPS)).expect("a remainder below GROUPS fits")
}

/// Returns the number of slots that each instance may use without an allotment.
///
/// It is zero when the cold limit is lower than the largest size of the fleet.
pub fn static_share(cold_limit: u32, fleet_max: u32) -> u32 {
    cold_limit.checked_div(fleet_max).unwrap_or(0)
}
