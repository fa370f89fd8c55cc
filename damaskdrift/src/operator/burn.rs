//! Burn rates of the service levels over all instances.

use std::sync;

use damaskdrift_core::id;
use damaskdrift_core::slo;
use futures_util::future;

use crate::context;
use crate::control::{observe, roster};
use crate::operator::status;

/// Returns the burn rates over all instances that reply, and the ids of those that do not.
pub async fn report(cx: &sync::Arc<context::Context>) -> serde_json::Value {
    let own = &cx.settings.instance.id;
    let peers: Vec<_> =
        roster::alive(cx).into_iter().map(|(id, _)| id).filter(|id| id != own).collect();
    let statuses = peers.iter().map(|peer| status::from_peer(cx, peer));
    let statuses = future::join_all(statuses).await;
    let mut rows = observe::totals(cx);
    let mut missing: Vec<&id::Instance> = Vec::new();
    for (peer, status) in peers.iter().zip(statuses) {
        let peer_rows = status.and_then(|mut status| {
            serde_json::from_value::<Vec<slo::Row>>(status["service_level"].take()).ok()
        });
        match peer_rows {
            Some(peer_rows) => rows.extend(peer_rows),
            None => missing.push(peer),
        }
    }
    let fleet = cx.fleet.load();
    let mut json_rows = Vec::new();
    for row in slo::merge(rows) {
        let Some(workspace) = fleet.document.workspaces.get(&row.workspace) else {
            continue;
        };
        let objective = workspace.service_level.objective;
        json_rows.push(serde_json::json!({
            "workspace": row.workspace,
            "measure": row.measure,
            "objective": objective,
            "windows": row.windows,
            "burns": slo::burn_rates(&row, objective),
        }));
    }
    serde_json::json!({"rows": json_rows, "instances": peers.len() + 1 - missing.len(), "missing": missing})
}
