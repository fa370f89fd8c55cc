//! Decides whether the installed configuration is fresh enough for new work.

use damaskdrift_core::code;
use damaskdrift_core::config_sync::{Freshness, StopReason};
use damaskdrift_core::id;

use crate::context;
use crate::control::roster;

/// Checks that the configuration is fresh enough to start new work.
///
/// # Errors
///
/// Returns the code of the refusal when there is no configuration or it cannot be confirmed.
pub fn check(cx: &context::Context) -> Result<(), code::Code> {
    match decide(cx) {
        Freshness::Fresh { .. } | Freshness::MajorityConfirmed { .. } => Ok(()),
        Freshness::Stopped(StopReason::NotConfigured) => Err(code::Code::NotConfigured),
        Freshness::Stopped(_) => Err(code::Code::ConfigurationStale),
    }
}

/// Checks that new work may be sent to an upstream now.
///
/// Called directly before the first byte of a request is sent, because the configuration may have
/// changed in the seconds that the request waited for a slot or a connection.
///
/// # Errors
///
/// Returns the code of the refusal when the configuration is not confirmed, or when the upstream
/// has been removed, is draining, or is in a failure domain that is out of service.
pub fn check_upstream(cx: &context::Context, upstream: &id::Upstream) -> Result<(), code::Code> {
    check(cx)?;
    let fleet = cx.fleet.load();
    let document = &fleet.document;
    let configured = document.upstreams.get(upstream);
    if !configured.is_some_and(|upstream| document.is_domain_in_service(&upstream.failure_domain)) {
        return Err(code::Code::NoUpstream);
    }
    if roster::is_draining(cx, upstream) {
        return Err(code::Code::NoUpstream);
    }
    Ok(())
}

/// Returns the freshness of the configuration, with the reason if no new work may start.
pub fn decide(cx: &context::Context) -> Freshness {
    let limit = cx.freshness_limit();
    let own = &cx.settings.instance.id;
    let now = cx.now();
    let decision = cx.sync.state().freshness(own, None, now, limit);
    if decision != Freshness::Stopped(StopReason::RosterUnknown) {
        return decision;
    }
    // Only an unconfirmed instance needs the roster; building it for every request would be costly.
    let roster = cx.membership().roster(now);
    cx.sync.state().freshness(own, roster.as_ref(), now, limit)
}
