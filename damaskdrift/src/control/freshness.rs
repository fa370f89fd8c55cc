//! Decides whether the installed configuration may be used for new work.

use damaskdrift_core::code;
use damaskdrift_core::config_sync::{Freshness, StopReason};

use crate::context;

/// Checks that new work may start.
///
/// # Errors
///
/// Returns the code of the refusal when there is no configuration or it cannot be confirmed.
pub fn check(cx: &context::Context) -> Result<(), code::Code> {
    match decide(cx) {
        Freshness::Fresh { .. } | Freshness::Covered { .. } => Ok(()),
        Freshness::Stopped(StopReason::NotConfigured) => Err(code::Code::NotConfigured),
        Freshness::Stopped(_) => Err(code::Code::ConfigurationStale),
    }
}

/// Returns the decision with its reason.
pub fn decide(cx: &context::Context) -> Freshness {
    let limit = cx.freshness_limit();
    let own = &cx.settings.instance.id;
    let now = cx.now();
    let decision = cx.sync.state().freshness(own, None, now, limit);
    if decision != Freshness::Stopped(StopReason::RosterUnknown) {
        return decision;
    }
    // Only an unconfirmed instance needs the roster, so that requests do not build it normally.
    let roster = cx.membership().roster(now);
    cx.sync.state().freshness(own, roster.as_ref(), now, limit)
}
