//! Assigns relays, so that the number of messages does not grow with the square of the fleet.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::id;

/// Largest fleet, in instances, without relays: every instance reports to every other one and
/// watches the platform store and the cache stores itself.
///
/// The limit keeps the callers of a store below the dozen that a store serves at once.
pub const MAX_MESH_FLEET: usize = 10;
/// Maximum number of relays per failure domain. With two, a failure domain keeps receiving reports
/// after one of them has failed.
const RELAYS_PER_DOMAIN: usize = 2;
/// Maximum number of relays that poll the cache stores. Cache stores serve a dozen callers at once;
/// the limit is lower because instances may disagree for some time after a change on which of them
/// are relays.
const MAX_OBSERVERS: usize = 10;

/// A registered instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member<'a> {
    /// Name of the instance; equal capacities are ordered by its hash.
    pub id: &'a id::Instance,
    /// Failure domain of the instance, which gets relays of its own.
    pub domain: &'a id::FailureDomain,
    /// Relative capacity; the highest-capacity instances of a domain become its relays.
    pub capacity: u32,
}

/// How an instance exchanges reports with the rest of the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Reports to all other instances, in a fleet of at most [`MAX_MESH_FLEET`].
    #[default]
    Mesh,
    /// Forwards reports of its failure domain to the other domains' relays, and reports and changes
    /// that it receives to its failure domain.
    Relay,
    /// Exchanges reports and receives changes only through the relays of its failure domain.
    Leaf,
}

/// What an instance reports to another one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Scope {
    /// Only its own load.
    Own,
    /// The load of its whole failure domain.
    Domain,
}

/// Role and links of one instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Layout {
    /// How the instance exchanges reports; logged when it changes.
    pub role: Role,
    /// Whether it polls the cache stores for their events.
    pub is_observer: bool,
    /// Number of instances in the fleet that watch the platform store directly.
    pub watchers: usize,
    /// Instances that it reports to, with the scope of the reports.
    pub links: BTreeMap<id::Instance, Scope>,
}

impl Layout {
    /// Returns whether the relay `own` is the first of its failure domain's relays for a leaf, by
    /// rendezvous hashing: each leaf gets frequent reports from one relay only.
    pub fn is_first_relay(&self, own: &id::Instance, leaf: &id::Instance) -> bool {
        let seed = tie_break(leaf);
        let score = |relay: &id::Instance| xxh3::xxh3_64_with_seed(relay.as_str().as_bytes(), seed);
        let own_score = score(own);
        let same_domain = self.links.iter().filter(|(_, scope)| **scope == Scope::Own);
        let mut others = same_domain.map(|(relay, _)| score(relay));
        others.all(|other_score| other_score <= own_score)
    }
}

/// Returns the role and links of `own` among the registered instances.
///
/// The result depends only on the arguments, so instances with the same list of members agree
/// without exchanging messages.
pub fn layout(members: &[Member<'_>], own: &Member<'_>) -> Layout {
    let others = members.iter().filter(|member| member.id != own.id);
    let links: BTreeMap<_, _> = others.map(|m| (m.id.clone(), Scope::Own)).collect();
    if links.len() < MAX_MESH_FLEET {
        let watchers = links.len() + 1;
        return Layout { role: Role::Mesh, is_observer: true, watchers, links };
    }
    let mut by_domain: BTreeMap<&id::FailureDomain, Vec<&Member<'_>>> = BTreeMap::new();
    for member in members {
        by_domain.entry(member.domain).or_default().push(member);
    }
    let relays_per_domain = (MAX_OBSERVERS / by_domain.len().max(1)).clamp(1, RELAYS_PER_DOMAIN);
    let mut relays: Vec<&Member<'_>> = Vec::new();
    for candidates in by_domain.values_mut() {
        candidates.sort_by_key(|m| (std::cmp::Reverse(m.capacity), tie_break(m.id)));
        relays.extend(candidates.iter().take(relays_per_domain).copied());
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
        role: if position.is_some() { Role::Relay } else { Role::Leaf },
        is_observer: position.is_some_and(|position| position < MAX_OBSERVERS),
        watchers: relays.len(),
        links,
    }
}

/// Returns a hash that orders instances of equal capacity independently of naming schemes.
fn tie_break(instance: &id::Instance) -> u64 {
    xxh3::xxh3_64(instance.as_str().as_bytes())
}
