//! What an instance reports of itself.

use std::sync;

use damaskdrift_core::id;

use crate::context;
use crate::control::{driver, freshness, lifecycle, observe, roster, sync as config};
use crate::operator::moves;
use crate::peer;
use crate::peer::message;

/// Returns the instance's status.
pub fn value(cx: &context::Context) -> serde_json::Value {
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

/// Returns the other instances as this one sees them.
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

/// Answers a peer's request for the status.
pub fn handle_status(
    cx: sync::Arc<context::Context>,
    _peer: id::Instance,
    _request: message::Request,
) -> peer::Replying {
    Box::pin(async move { message::Reply::Status(value(&cx).to_string()) })
}

/// Returns a peer's status, if it answers.
pub async fn of_peer(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
) -> Option<serde_json::Value> {
    match peer::call(cx, peer, message::Request::Status).await {
        Ok(message::Reply::Status(status)) => serde_json::from_str(&status).ok(),
        _ => None,
    }
}

/// Returns the upstreams of the installed document.
pub fn upstreams(cx: &context::Context) -> serde_json::Value {
    let snapshot = cx.fleet.load();
    let document = &snapshot.document;
    let list = document.upstreams.iter().map(|(name, upstream)| {
        let mut value = serde_json::json!(upstream);
        value["id"] = serde_json::json!(name);
        let is_leaving = roster::is_draining(cx, name);
        value["leaving"] = is_leaving.into();
        let is_in = document.is_domain_in_service(&upstream.failure_domain);
        value["takes_work"] = (is_in && !is_leaving).into();
        value
    });
    serde_json::json!({"revision": snapshot.revision, "upstreams": list.collect::<Vec<_>>()})
}
