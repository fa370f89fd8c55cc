//! How far an instance may rely on its configuration by the age of its last confirmation.

use crate::time::Millis;

/// Part of the bound on revoked keys that is left for the way of a request to its upstream and
/// for the precision of timers.
const SEND_MARGIN: Millis = Millis(600);
/// Part of the bound after which an instance asks to get no new connections. It lies before the
/// point at which keyed requests are refused, so that callers go elsewhere in time.
const READY_SHARE: f64 = 0.6;

/// How far an instance may rely on its configuration.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Trust {
    /// Keys may have been revoked without this instance knowing; it sends no keyed request.
    Expired,
    /// Requests are served, and the instance reports that it is not ready.
    Aging,
    /// The configuration is confirmed.
    Fresh,
}

/// Returns how far a configuration may be relied on. `confirmed` and `now` are on a clock that
/// counts the time in which the machine was suspended.
pub fn trust(confirmed: Option<Millis>, revocation: Millis, now: Millis) -> Trust {
    let Some(confirmed) = confirmed else {
        return Trust::Expired;
    };
    let age = now.since(confirmed);
    if age >= revocation - SEND_MARGIN {
        Trust::Expired
    } else if age.0 as f64 >= revocation.0 as f64 * READY_SHARE {
        Trust::Aging
    } else {
        Trust::Fresh
    }
}

/// Returns as of when a relay's answer confirms the configuration of an instance. `sent` is when
/// the instance sent the report that the relay answers, and `age` how old the relay's own
/// confirmation was when it answered. Counting from the sending time, an answer that was delayed
/// on its way, or given before the relay was paused, does not count as recent.
pub fn relayed(sent: Millis, age: Millis, now: Millis) -> Millis {
    sent.min(now) - age
}
