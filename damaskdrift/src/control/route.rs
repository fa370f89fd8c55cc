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
    let is_vetoed = |name: &id::Move| cx.vetoes.contains(name);
    let choice =
        rollout::choose(&snapshot.document, workspace, model, template, root_hash, is_vetoed);
    Some(choice.route.clone())
}
