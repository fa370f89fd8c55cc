//! Limits on concurrent requests to an upstream, held over all instances.
//!
//! One instance owns the limits of a group of upstreams and divides each limit into allotments.
//! Every instance may also use a static share, which the owner never hands out, so that the sum
//! holds while an instance cannot reach the owner.

mod holder;
mod limit;
mod owner;

use xxhash_rust::xxh3;

use crate::id;
use crate::time::Millis;

pub use holder::{Demand, Holder, Refusal, Slot};
pub use limit::Limit;
pub use owner::{Grant, Load, Owner, Reason};

/// Number of groups that upstreams are divided into, each with one limit owner.
pub const GROUPS: u16 = 16;
/// Life of an allotment, counted from the time it was asked for.
pub const ALLOTMENT_LIFE: Millis = Millis::from_secs(2);
/// Longest delay of an upstream's load report.
pub const REPORT_LAG: Millis = Millis::from_secs(2);
/// Time after which a request that nobody reports no longer counts as in flight.
pub const REQUEST_LIFE: Millis = Millis::from_secs(60);

/// Returns the group of an upstream.
pub fn group(upstream: &id::Upstream) -> u16 {
    let hash = xxh3::xxh3_64(upstream.as_str().as_bytes());
    u16::try_from(hash % u64::from(GROUPS)).expect("a remainder below GROUPS fits")
}

/// Returns the slots that every instance may use without an allotment.
pub fn static_share(cold_limit: u32, fleet_max: u32) -> u32 {
    cold_limit.checked_div(fleet_max).unwrap_or(0)
}
