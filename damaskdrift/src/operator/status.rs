//! Status of an instance, as reported to operators and peers.

use std::sync;

use damaskdrift_core::id;

use crate::context;
use crate::control::{driver, freshness, lifecycle, observe, roster, sync as config};
use crate::operator::moves;
use crate::peer;
use crate::peer::message;

/// Returns this instance's status as JSON.
pub fn local(cx: &context::Context) -> serde_json::Value {
    let snapshot = cx.fleet.load();
    let document = &snapshot.document;
    let ready = lifecycle::readiness(cx);
    serde_json::json!({
        "instance": cx.settings.instance.id,
        "failure_domain": cx.settings.instance.failure_domain,
        "boot": cx.boot,
        "program": env!("CARGO_PKG_VERSION"),
        "uptime_ms": cx.now(),
        "ready": ready.is_ok(),
        "not_ready_because": ready.err().map(|code| code.name()),
        "freshness": freshness::decide(cx).to_string(),
        "revision": snapshot.revision,
        "known_revision": cx.sync.state().known(),
        "watches_service": config::is_watcher(cx),
        "members": members(cx),
        "change": document.change,
        "failure_domains": document.failure_domains,
        "driver": driver::last_known(cx),
        "moves": moves::describe_all(cx),
        "service_level": observe::totals(cx),
    })
}

/// Returns the other instances with their liveness as observed by this one.
fn members(cx: &context::Context) -> Vec<serde_json::Value> {
    let membership = cx.membership();
    let members = membership.members(cx.now()).map(|(instance, domain, liveness)| {
        serde_json::json!({
            "instance": instance,
            "failure_domain": domain,
            "liveness": liveness.to_string(),
        })
    });
    members.collect()
}

/// Handles a peer's request for this instance's status.
pub fn handle_status(
    cx: sync::Arc<context::Context>,
    _peer: id::Instance,
    _request: message::Request,
) -> peer::ReplyFuture {
    Box::pin(async move { message::Reply::Status(local(&cx).to_string()) })
}

/// Requests a peer's status; `None` if the peer does not reply or sends invalid JSON.
pub async fn from_peer(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
) -> Option<serde_json::Value> {
    match peer::call(cx, peer, message::Request::Status).await {
        Ok(message::Reply::Status(status)) => serde_json::from_str(&status).ok(),
        _ => None,
    }
}

/// Returns the upstreams of the installed document, and whether each takes new work.
pub fn upstreams(cx: &context::Context) -> serde_json::Value {
    let snapshot = cx.fleet.load();
    let document = &snapshot.document;
    let list = document.upstreams.iter().map(|(name, upstream)| {
        let mut value = serde_json::json!(upstream);
        value["id"] = serde_json::json!(name);
        let is_draining = roster::is_draining(cx, name);
        value["leaving"] = is_draining.into();
        let is_in_service = document.is_domain_in_service(&upstream.failure_domain);
        value["takes_work"] = (is_in_service && !is_draining).into();
        value
    });
    serde_json::json!({"revision": snapshot.revision, "upstreams": list.collect::<Vec<_>>()})
}
