//! Monotonic clock of an entry instance.

use damaskdrift_core::time::Millis;
use rustix::time;

/// Returns the time since the machine booted.
///
/// It includes time in which the machine was suspended, since leases and confirmations of the
/// configuration also expire during it.
pub fn now() -> Millis {
    let now = time::clock_gettime(time::ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    Millis(secs * 1_000 + nanos / 1_000_000)
}
