//! Service-level burn over all instances.

use std::sync;

use damaskdrift_core::id;
use damaskdrift_core::slo;
use futures_util::future;

use crate::context;
use crate::control::{observe, roster};
use crate::operator::status;

/// Returns the burn rates over all instances that answer, and names those that do not.
pub async fn report(cx: &sync::Arc<context::Context>) -> serde_json::Value {
    let own = &cx.settings.instance.id;
    let peers: Vec<_> =
        roster::alive(cx).into_iter().map(|(id, _)| id).filter(|id| id != own).collect();
    let answers = peers.iter().map(|peer| status::of_peer(cx, peer));
    let answers = future::join_all(answers).await;
    let mut rows = observe::totals(cx);
    let mut missing: Vec<&id::Instance> = Vec::new();
    for (peer, answer) in peers.iter().zip(answers) {
        let counted = answer.and_then(|mut status| {
            serde_json::from_value::<Vec<slo::Row>>(status["service_level"].take()).ok()
        });
        match counted {
            Some(counted) => rows.extend(counted),
            None => missing.push(peer),
        }
    }
    let fleet = cx.fleet.load();
    let mut lines = Vec::new();
    for row in slo::merge(rows) {
        let Some(workspace) = fleet.document.workspaces.get(&row.workspace) else {
            continue;
        };
        let objective = workspace.service_level.objective;
        lines.push(serde_json::json!({
            "workspace": row.workspace,
            "measure": row.measure,
            "objective": objective,
            "windows": row.windows,
            "burns": slo::burn_rates(&row, objective),
        }));
    }
    serde_json::json!({"rows": lines, "instances": peers.len() + 1 - missing.len(), "missing": missing})
}
