//! Tests of the roles and links of instances in fleets of different sizes.

use std::collections::{BTreeMap, BTreeSet};

use damaskdrift_core::id;
use damaskdrift_core::membership;
use rstest::rstest;

// Callers that a cache store serves at once.
const MAX_STORE_CALLERS: usize = 12;

struct Fleet {
    members: Vec<(id::Instance, id::FailureDomain, u32)>,
}

impl Fleet {
    // One in eight instances of each domain has a high capacity.
    fn new(domains: usize, per_domain: usize) -> Self {
        let mut members = Vec::new();
        for domain in 0..domains {
            for number in 0..per_domain {
                let id = id::Instance::new(&format!("i{domain}-{number}"));
                let capacity = if number % 8 == 3 { 50 } else { 12 };
                members.push((id, id::FailureDomain::new(&format!("z{domain}")), capacity));
            }
        }
        Self { members }
    }

    fn layouts(&self) -> BTreeMap<&id::Instance, membership::Layout> {
        let members: Vec<_> = self
            .members
            .iter()
            .map(|(id, domain, capacity)| membership::Member { id, domain, capacity: *capacity })
            .collect();
        members.iter().map(|own| (own.id, membership::layout(&members, own))).collect()
    }
}

// Guards against more observers than a cache store serves at once, since it refuses the others, and
// against leaves that receive events of the stores from no relay. The load is that of 88 instances
// that all poll five stores.
#[rstest]
#[case(4, 2)]
#[case(3, 4)]
#[case(3, 29)]
#[case(5, 15)]
#[case(5, 66)]
#[case(1, 40)]
#[case(9, 3)]
fn observers_are_few_and_reach_all_leaves(#[case] domains: usize, #[case] per_domain: usize) {
    let fleet = Fleet::new(domains, per_domain);
    let layouts = fleet.layouts();
    let observers: BTreeSet<_> =
        layouts.iter().filter(|(_, layout)| layout.is_observer).map(|(id, _)| *id).collect();
    assert!(observers.len() <= MAX_STORE_CALLERS, "{}", observers.len());
    for (id, layout) in &layouts {
        if layout.role != membership::Role::Leaf {
            continue;
        }
        let observing_relays =
            layout.links.keys().filter(|relay| observers.contains(relay)).count();
        assert!(observing_relays >= 1, "{id} has no link to an observer");
    }
}

// Guards against reports whose number grows with the square of the fleet. The load is that of 300
// instances that each report several times per second.
#[rstest]
#[case(3, 10)]
#[case(5, 15)]
#[case(3, 100)]
fn links_grow_linearly_with_the_fleet(#[case] domains: usize, #[case] per_domain: usize) {
    let fleet = Fleet::new(domains, per_domain);
    let layouts = fleet.layouts();
    let links: usize = layouts.values().map(|layout| layout.links.len()).sum();
    let relays = layouts.values().filter(|l| l.role == membership::Role::Relay).count();
    assert_eq!(relays, 2 * domains);
    assert!(links <= 2 * fleet.members.len() + relays * relays, "{links}");
}

// Guards against a failure domain that receives no reports after one of its instances has failed,
// and against load that is counted twice or not at all because a link has the wrong scope.
#[rstest]
fn relays_link_to_all_relays_and_leaves_to_those_of_their_domain() {
    let fleet = Fleet::new(4, 12);
    let layouts = fleet.layouts();
    for (id, domain, _) in &fleet.members {
        let layout = &layouts[id];
        let domains_of = |scope| {
            let links = layout.links.iter().filter(move |(_, s)| **s == scope);
            links.map(|(peer, _)| &fleet.members.iter().find(|(id, ..)| id == peer).unwrap().1)
        };
        assert!(domains_of(membership::Scope::Own).all(|linked| linked == domain));
        assert!(domains_of(membership::Scope::Domain).all(|linked| linked != domain));
        let expected = match layout.role {
            membership::Role::Leaf => (2, 0),
            _ => (1, 6),
        };
        let counts = (
            domains_of(membership::Scope::Own).count(),
            domains_of(membership::Scope::Domain).count(),
        );
        assert_eq!(counts, expected, "{id}");
    }
}

// Guards against a low-capacity relay in a domain that has high-capacity instances.
#[rstest]
fn highest_capacity_instances_are_relays() {
    let fleet = Fleet::new(3, 16);
    let layouts = fleet.layouts();
    for (id, _, capacity) in &fleet.members {
        assert_eq!(layouts[id].role == membership::Role::Relay, *capacity == 50, "{id}");
    }
}

// Guards against relays in a fleet that is small enough for a mesh, also while an instance is being
// replaced and both the old and the new one are registered.
#[rstest]
#[case(8)]
#[case(10)]
fn small_fleet_is_a_mesh(#[case] count: usize) {
    let fleet = Fleet::new(1, count);
    for layout in fleet.layouts().values() {
        assert_eq!(layout.role, membership::Role::Mesh);
        assert_eq!(layout.links.len(), count - 1);
        assert_eq!(layout.watchers, count);
    }
}

// Guards against leaves that get frequent reports from all relays of their domain, which costs twice
// what they need, or from none.
#[rstest]
#[case(3, 29)]
#[case(5, 59)]
fn each_leaf_has_one_first_relay(#[case] domains: usize, #[case] per_domain: usize) {
    let fleet = Fleet::new(domains, per_domain);
    let layouts = fleet.layouts();
    let mut leaves_of: BTreeMap<&id::Instance, usize> = BTreeMap::new();
    for (leaf, layout) in &layouts {
        if layout.role != membership::Role::Leaf {
            continue;
        }
        let relays =
            layout.links.keys().filter(|relay| layouts[*relay].is_first_relay(relay, leaf));
        let relays: Vec<_> = relays.collect();
        assert_eq!(relays.len(), 1, "{leaf}");
        *leaves_of.entry(relays[0]).or_default() += 1;
    }
    assert_eq!(leaves_of.len(), domains * 2, "every relay is the first one of some leaves");
}
