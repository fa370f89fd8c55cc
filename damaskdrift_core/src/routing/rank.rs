//! Ranks of requests by the priorities of their workspace and route.

use crate::routing::document;

/// Number of the least urgent rank that engines accept; 0 is the most urgent.
pub const LOWEST_RANK: u8 = 9;

/// The pairs of priorities that the configuration uses, the most urgent first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ranks {
    pairs: Vec<(u8, u8)>,
}

impl Ranks {
    /// Creates the ranks of the requests to these routes.
    pub fn new(routes: &[document::Route], workspaces: &[document::Workspace]) -> Self {
        let mut pairs = Vec::new();
        for route in routes {
            pairs.push((route.priority, route.priority));
            for workspace in workspaces {
                pairs.push(pair(workspace.priority, route.priority));
            }
        }
        pairs.sort_unstable();
        pairs.dedup();
        Self { pairs }
    }

    /// Returns the rank of a request. The priority of the workspace goes before that of the route,
    /// which orders the requests of workspaces with the same priority.
    pub fn rank(&self, workspace: Option<u8>, route: u8) -> u8 {
        let pair = pair(workspace, route);
        let before = self.pairs.partition_point(|known| *known < pair);
        let count = self.pairs.len().max(1);
        let rank = match count <= usize::from(LOWEST_RANK) + 1 {
            true => before,
            false => before * (usize::from(LOWEST_RANK) + 1) / count,
        };
        u8::try_from(rank).unwrap_or(LOWEST_RANK).min(LOWEST_RANK)
    }
}

fn pair(workspace: Option<u8>, route: u8) -> (u8, u8) {
    (workspace.unwrap_or(route), route)
}
