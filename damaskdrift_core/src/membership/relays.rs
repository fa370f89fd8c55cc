//! Which instances pass reports and changes on, so that their number does not grow with the square
//! of the fleet.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::id;

/// Largest fleet in which every instance reports to every other one and follows the platform's
/// store and the stores of kept KV cache itself. Those stores answer a dozen callers at once.
pub const MESH_LIMIT: usize = 10;
/// Relays of a failure domain: one can fail without its domain noticing.
const RELAYS_PER_DOMAIN: usize = 2;
/// Most relays that ask the stores of kept KV cache. They answer a dozen callers at once, and the
/// views of who is a relay differ for some time after a change.
const MOST_OBSERVERS: usize = 10;

/// A registered instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member<'a> {
    /// The instance.
    pub id: &'a id::Instance,
    /// Its failure domain.
    pub domain: &'a id::FailureDomain,
    /// What it can bear relative to others; the ablest of a domain relay.
    pub capacity: u32,
}

/// What an instance does for others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Place {
    /// The fleet is small: it reports to all others.
    #[default]
    Mesh,
    /// It passes on what its failure domain reports, and to its failure domain what it learns.
    Relay,
    /// It hears from the relays of its failure domain.
    Leaf,
}

/// What an instance reports to another one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Scope {
    /// Its own work.
    Own,
    /// The work of its whole failure domain.
    Domain,
}

/// The place of one instance in the fleet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Layout {
    /// What it does for others.
    pub place: Place,
    /// Whether it asks the stores of kept KV cache for their events.
    pub is_observer: bool,
    /// Instances that follow the platform's store themselves.
    pub watchers: usize,
    /// Instances that it reports to, and what.
    pub links: BTreeMap<id::Instance, Scope>,
}

/// Returns the place of `own` among the registered instances. All instances with the same view
/// agree without a message.
pub fn layout(members: &[Member<'_>], own: &Member<'_>) -> Layout {
    let others = members.iter().filter(|member| member.id != own.id);
    let links: BTreeMap<_, _> = others.map(|m| (m.id.clone(), Scope::Own)).collect();
    if links.len() < MESH_LIMIT {
        let watchers = links.len() + 1;
        return Layout { place: Place::Mesh, is_observer: true, watchers, links };
    }
    let mut domains: BTreeMap<&id::FailureDomain, Vec<&Member<'_>>> = BTreeMap::new();
    for member in members {
        domains.entry(member.domain).or_default().push(member);
    }
    let each = (MOST_OBSERVERS / domains.len().max(1)).clamp(1, RELAYS_PER_DOMAIN);
    let mut relays: Vec<&Member<'_>> = Vec::new();
    for domain in domains.values_mut() {
        domain.sort_by_key(|m| (std::cmp::Reverse(m.capacity), rank(m.id)));
        relays.extend(domain.iter().take(each).copied());
    }
    let position = relays.iter().position(|relay| relay.id == own.id);
    let mut links = BTreeMap::new();
    for relay in &relays {
        if relay.id == own.id {
            continue;
        }
        if relay.domain == own.domain {
            links.insert(relay.id.clone(), Scope::Own);
        } else if position.is_some() {
            links.insert(relay.id.clone(), Scope::Domain);
        }
    }
    Layout {
        place: if position.is_some() { Place::Relay } else { Place::Leaf },
        is_observer: position.is_some_and(|position| position < MOST_OBSERVERS),
        watchers: relays.len(),
        links,
    }
}

/// Orders instances that can bear the same, evenly over the names.
fn rank(instance: &id::Instance) -> u64 {
    xxh3::xxh3_64(instance.as_str().as_bytes())
}
