//! What an instance reports of itself.

use crate::context;
use crate::control::{freshness, sync};

/// Returns the instance's status.
pub fn value(cx: &context::Context) -> serde_json::Value {
    let snapshot = cx.fleet.load();
    let document = &snapshot.document;
    let ready = freshness::check(cx);
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
        "watches_service": sync::is_watcher(cx),
        "members": members(cx),
        "change": document.change,
        "failure_domains": document.failure_domains,
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

/// Returns the upstreams of the installed document.
pub fn upstreams(cx: &context::Context) -> serde_json::Value {
    let snapshot = cx.fleet.load();
    let document = &snapshot.document;
    let list = document.upstreams.iter().map(|(name, upstream)| {
        let mut value = serde_json::json!(upstream);
        value["id"] = serde_json::json!(name);
        value["takes_work"] = document.is_domain_in(&upstream.failure_domain).into();
        value
    });
    serde_json::json!({"revision": snapshot.revision, "upstreams": list.collect::<Vec<_>>()})
}
