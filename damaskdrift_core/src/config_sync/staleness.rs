//! Grades how stale an instance's configuration is by the age of its last confirmation.

use crate::time::Millis;

/// Time before the end of the revocation limit at which keyed requests stop; it covers the transit
/// of a request to its upstream and the precision of timers.
const SEND_MARGIN: Millis = Millis(600);
/// Fraction of the revocation limit after which an instance reports that it is not ready. Keyed
/// requests are refused only later, so that callers can move to other instances first.
const READY_FRACTION: f64 = 0.6;

/// How stale an instance's configuration is, from the stalest to the freshest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Staleness {
    /// Keys may have been revoked without this instance knowing; it sends no keyed request.
    Expired,
    /// The instance serves requests, but reports that it is not ready.
    Aging,
    /// The configuration was confirmed recently.
    Fresh,
}

/// Returns how stale a configuration is that was last confirmed at `confirmed_at`.
///
/// `revocation_limit` is the time within which a revoked key must stop working. `confirmed_at` and
/// `now` are of a clock that includes the time in which the machine was suspended.
pub fn staleness(confirmed_at: Option<Millis>, revocation_limit: Millis, now: Millis) -> Staleness {
    let Some(confirmed_at) = confirmed_at else {
        return Staleness::Expired;
    };
    let age = now.since(confirmed_at);
    if age >= revocation_limit - SEND_MARGIN {
        Staleness::Expired
    } else if age.0 as f64 >= revocation_limit.0 as f64 * READY_FRACTION {
        Staleness::Aging
    } else {
        Staleness::Fresh
    }
}

/// Returns the time as of which a relay's response confirms the configuration of an instance.
///
/// `report_sent_at` is when the instance sent the report that the relay responds to, and
/// `relay_age` is the age of the relay's own confirmation when it responded. The age counts back
/// from the sending time, so that a response that was delayed in transit, or was written before the
/// relay was paused, does not count as recent.
pub fn relayed_confirmed_at(report_sent_at: Millis, relay_age: Millis, now: Millis) -> Millis {
    report_sent_at.min(now) - relay_age
}
