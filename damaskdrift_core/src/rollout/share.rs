//! Splits traffic between the two routes of a move.

use xxhash_rust::xxh3;

use crate::fleet;
use crate::id;

/// Percent of the traffic that the new route gets at each step.
pub const STEPS: [u8; 7] = [1, 2, 5, 10, 25, 50, 100];

/// Resolution of the split.
const BUCKETS: u64 = 10_000;

/// The route of a request and the move it belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice<'a> {
    /// The route.
    pub route: &'a fleet::Route,
    /// The running move and whether the request takes its new route.
    pub running: Option<(&'a id::Move, bool)>,
}

/// Returns the percent of a step; a step past the last one has the last one's.
pub fn share(step: usize) -> u8 {
    STEPS[step.min(STEPS.len() - 1)]
}

/// Returns whether the prompts under a root take the new route at a share in percent.
///
/// A root that takes it at one share takes it at every higher one. The move's name is hashed in,
/// so that the same roots are not first in every move.
pub fn is_shifted(name: &id::Move, root_hash: u64, percent: u8) -> bool {
    let seed = xxh3::xxh3_64(name.as_str().as_bytes());
    let bucket = xxh3::xxh3_64_with_seed(&root_hash.to_le_bytes(), seed) % BUCKETS;
    bucket < u64::from(percent) * BUCKETS / 100
}

/// Returns the route of a template after the finished moves that start from it.
pub fn template_route<'a>(
    document: &'a fleet::Document,
    workspace: &id::Workspace,
    model: &id::Model,
    route: &'a fleet::Route,
) -> &'a fleet::Route {
    let is_done = |m: &&fleet::Move| {
        m.state == fleet::MoveState::Done && &m.workspace == workspace && &m.model == model
    };
    let mut done: Vec<_> = document.moves.values().filter(is_done).collect();
    done.sort_by_key(|m| m.started);
    let mut route = route;
    for m in done {
        if m.from == *route {
            route = &m.to;
        }
    }
    route
}

/// Chooses the route of a request, given the route of its template.
pub fn choose<'a>(
    document: &'a fleet::Document,
    workspace: &id::Workspace,
    model: &id::Model,
    template: &'a fleet::Route,
    root_hash: u64,
    is_vetoed: impl Fn(&id::Move) -> bool,
) -> Choice<'a> {
    let route = template_route(document, workspace, model, template);
    let Some((name, m)) = document.running_move(workspace, model) else {
        return Choice { route, running: None };
    };
    let is_new = !is_vetoed(name) && is_shifted(name, root_hash, share(m.step));
    Choice { route: if is_new { &m.to } else { &m.from }, running: Some((name, is_new)) }
}
