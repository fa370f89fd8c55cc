//! Chooses the route of a prompt, also while a move is under way.

use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::rollout;

use crate::context;

/// Returns the route of a prompt, or nothing when the workspace may not use the model.
///
/// `root_hash` is a hash of the beginning that the prompts of one conversation share, so that a
/// caller does not flip between versions.
pub fn choose(
    cx: &context::Context,
    snapshot: &fleet::Snapshot,
    workspace: &id::Workspace,
    model: &id::Model,
    root_hash: u64,
) -> Option<fleet::Route> {
    let template = snapshot.policies.get(workspace)?.models.get(model)?;
    let is_vetoed = |name: &id::Move| cx.vetoes.contains(name) || is_undone(cx, name);
    let choice =
        rollout::choose_route(&snapshot.document, workspace, model, template, root_hash, is_vetoed);
    Some(choice.route.clone())
}

/// Returns whether a move that may still run in a request's snapshot is undone by now. The veto is
/// dropped as soon as that is recorded.
fn is_undone(cx: &context::Context, name: &id::Move) -> bool {
    let fleet = cx.fleet.load();
    let state = fleet.document.moves.get(name).map(|m| &m.state);
    matches!(state, Some(fleet::MoveState::RolledBack { .. } | fleet::MoveState::Cancelled))
}
