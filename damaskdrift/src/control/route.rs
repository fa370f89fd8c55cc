//! Chooses the route of a prompt, including the traffic split of a running move.

use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::rollout;

use crate::context;

/// Returns the route of a prompt, or `None` when the workspace may not use the model.
///
/// `root_hash` is a hash of the prefix that the prompts of one conversation share, so that a
/// conversation does not alternate between versions.
pub fn choose(
    cx: &context::Context,
    snapshot: &fleet::Snapshot,
    workspace: &id::Workspace,
    model: &id::Model,
    root_hash: u64,
) -> Option<fleet::Route> {
    let template = snapshot.policies.get(workspace)?.models.get(model)?;
    let is_vetoed = |name: &id::Move| cx.vetoes.contains(name) || is_reverted(cx, name);
    let choice =
        rollout::choose_route(&snapshot.document, workspace, model, template, root_hash, is_vetoed);
    Some(choice.route.clone())
}

/// Returns whether a move has been rolled back or cancelled in the installed document.
///
/// A request's older snapshot may still have the move running, and its veto is removed as soon as
/// the newer document is installed.
fn is_reverted(cx: &context::Context, name: &id::Move) -> bool {
    let fleet = cx.fleet.load();
    let state = fleet.document.moves.get(name).map(|m| &m.state);
    matches!(state, Some(fleet::MoveState::RolledBack { .. } | fleet::MoveState::Cancelled))
}
