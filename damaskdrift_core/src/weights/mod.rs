//! Decides which upstream takes new weights next.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::time::Millis;

/// Share of a service's upstreams with an order under way: with a quarter of them away the rest
/// bear the load. An order counts until a report shows its end, which is late by about half the
/// time of a load, so about a sixth load at any moment.
const WAVE_DIVISOR: usize = 4;
/// How long an order may take until its upstream is seen to have carried it out; a late one may
/// be carried out up to 12 s after it was sent.
const ORDER_LIFE: Millis = Millis(2_500);

/// An upstream as the driver of weights sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The upstream.
    pub id: id::Upstream,
    /// Version of the weights that it runs.
    pub version: u64,
    /// Requests that run there, as far as is known.
    pub running: u32,
}

/// The driver's orders that are under way.
#[derive(Debug, Default)]
pub struct Driver {
    open: BTreeMap<id::Upstream, (u64, Millis)>,
}

impl Driver {
    /// Returns the upstreams to order now, the emptiest first, so that the fewest runs have to
    /// end before a load begins.
    pub fn next(&mut self, members: &[Member], target: u64, now: Millis) -> Vec<id::Upstream> {
        let ids: BTreeSet<_> = members.iter().map(|m| &m.id).collect();
        self.open.retain(|id, (_, since)| ids.contains(id) && now.since(*since) < ORDER_LIFE);
        for member in members {
            if self.open.get(&member.id).is_some_and(|(version, _)| member.version >= *version) {
                self.open.remove(&member.id);
            }
        }
        let at_once = members.len().div_ceil(WAVE_DIVISOR);
        let mut due: Vec<_> = members
            .iter()
            .filter(|m| m.version < target && !self.open.contains_key(&m.id))
            .collect();
        due.sort_by_key(|m| m.running);
        let orders: Vec<_> = due
            .into_iter()
            .take(at_once.saturating_sub(self.open.len()))
            .map(|m| m.id.clone())
            .collect();
        for id in &orders {
            self.open.insert(id.clone(), (target, now));
        }
        orders
    }

    /// Returns the upstreams with an order under way.
    pub fn open(&self) -> impl Iterator<Item = &id::Upstream> {
        self.open.keys()
    }

    /// Forgets an order that its upstream refused.
    pub fn refused(&mut self, id: &id::Upstream) {
        self.open.remove(id);
    }
}
