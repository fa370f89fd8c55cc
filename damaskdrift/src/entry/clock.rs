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

/// Returns the wall clock minus [`now`], in milliseconds. The wall clock may step at any time.
pub fn wall_offset() -> i64 {
    let wall = time::clock_gettime(time::ClockId::Realtime);
    let wall_ms = wall.tv_sec.saturating_mul(1_000).saturating_add(wall.tv_nsec / 1_000_000);
    wall_ms.saturating_sub(i64::try_from(now().0).unwrap_or(i64::MAX))
}
