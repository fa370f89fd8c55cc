//! Splits traffic between the old and the new route of a move.

use xxhash_rust::xxh3;

use crate::fleet;
use crate::id;

/// Percentage of the traffic that the new route receives at each step.
pub const STEP_PERCENTS: [u8; 7] = [1, 2, 5, 10, 25, 50, 100];

/// Number of hash buckets, which sets the resolution of the split to 0.01%.
const HASH_BUCKETS: u64 = 10_000;

/// Route of a request, with the running move that it is part of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteChoice<'a> {
    /// Version and failure domains that serve the request.
    pub route: &'a fleet::Route,
    /// Running move of the workspace's model, if any, and whether the request takes its new route.
    pub running_move: Option<(&'a id::Move, bool)>,
}

/// Returns the percentage of traffic on the new route at a step; steps past the last one are
/// treated as the last one.
pub fn share_percent(step: usize) -> u8 {
    STEP_PERCENTS[step.min(STEP_PERCENTS.len() - 1)]
}

/// Returns whether prompts with this root hash take the new route at a share in percent.
///
/// A root that takes the new route at one share takes it at every higher share. The move's name
/// seeds the hash, so that different roots are shifted first in different moves.
pub fn takes_new_route(name: &id::Move, root_hash: u64, percent: u8) -> bool {
    let seed = xxh3::xxh3_64(name.as_str().as_bytes());
    let bucket = xxh3::xxh3_64_with_seed(&root_hash.to_le_bytes(), seed) % HASH_BUCKETS;
    bucket < u64::from(percent) * HASH_BUCKETS / 100
}

/// Returns the route that replaces a template's route once all finished moves are applied.
///
/// Moves are applied in the order in which they started; a move applies only if it starts from the
/// route that the earlier ones lead to.
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

/// Chooses the route of a request, given the route in its template.
///
/// A vetoed move sends all requests to its old route.
pub fn choose_route<'a>(
    document: &'a fleet::Document,
    workspace: &id::Workspace,
    model: &id::Model,
    template: &'a fleet::Route,
    root_hash: u64,
    is_vetoed: impl Fn(&id::Move) -> bool,
) -> RouteChoice<'a> {
    let route = template_route(document, workspace, model, template);
    let Some((name, m)) = document.running_move(workspace, model) else {
        return RouteChoice { route, running_move: None };
    };
    let is_new = !is_vetoed(name) && takes_new_route(name, root_hash, share_percent(m.step));
    let route = if is_new { &m.to } else { &m.from };
    RouteChoice { route, running_move: Some((name, is_new)) }
}
