//! Places of instances in the fleet.

use std::collections::{BTreeMap, BTreeSet};

use damaskdrift_core::id;
use damaskdrift_core::membership;
use rstest::rstest;

/// Callers that a store of kept KV cache answers at once.
const STORE_CALLERS: usize = 12;

struct Fleet {
    members: Vec<(id::Instance, id::FailureDomain, u32)>,
}

impl Fleet {
    /// Creates a fleet with the same number of instances in each domain, one in eight of them able.
    fn new(domains: usize, each: usize) -> Self {
        let mut members = Vec::new();
        for domain in 0..domains {
            for number in 0..each {
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

/// Guards against more callers than a store answers at once, which it refuses, and against
/// instances that hear of a store from nobody. Load pattern: 88 instances that all want to know
/// what five stores hold.
#[rstest]
#[case(4, 2)]
#[case(3, 4)]
#[case(3, 29)]
#[case(5, 15)]
#[case(5, 66)]
#[case(1, 40)]
#[case(9, 3)]
fn few_instances_ask_a_store_and_all_hear_of_it(#[case] domains: usize, #[case] each: usize) {
    let fleet = Fleet::new(domains, each);
    let layouts = fleet.layouts();
    let observers: BTreeSet<_> =
        layouts.iter().filter(|(_, layout)| layout.is_observer).map(|(id, _)| *id).collect();
    assert!(observers.len() <= STORE_CALLERS, "{}", observers.len());
    for (id, layout) in &layouts {
        if layout.place != membership::Place::Leaf {
            continue;
        }
        let heard = layout.links.keys().filter(|relay| observers.contains(relay)).count();
        assert!(heard >= 1, "{id} hears from no observer");
    }
}

/// Guards against reports that grow with the square of the fleet. Load pattern: 300 instances that
/// tell of their work several times a second.
#[rstest]
#[case(3, 10)]
#[case(5, 15)]
#[case(3, 100)]
fn links_grow_with_the_fleet_and_not_with_its_square(#[case] domains: usize, #[case] each: usize) {
    let fleet = Fleet::new(domains, each);
    let layouts = fleet.layouts();
    let links: usize = layouts.values().map(|layout| layout.links.len()).sum();
    let relays = layouts.values().filter(|l| l.place == membership::Place::Relay).count();
    assert_eq!(relays, 2 * domains);
    assert!(links <= 2 * fleet.members.len() + relays * relays, "{links}");
}

/// Guards against a failure domain that hears nothing after one instance of it has failed, and
/// against work that is counted twice or by nobody.
#[rstest]
fn relays_tell_of_their_domain_and_hear_of_all_others() {
    let fleet = Fleet::new(4, 12);
    let layouts = fleet.layouts();
    for (id, domain, _) in &fleet.members {
        let layout = &layouts[id];
        let domains_of = |scope| {
            let links = layout.links.iter().filter(move |(_, s)| **s == scope);
            links.map(|(peer, _)| &fleet.members.iter().find(|(id, ..)| id == peer).unwrap().1)
        };
        assert!(domains_of(membership::Scope::Own).all(|of| of == domain));
        assert!(domains_of(membership::Scope::Domain).all(|of| of != domain));
        let expected = match layout.place {
            membership::Place::Leaf => (2, 0),
            _ => (1, 6),
        };
        let counts = (
            domains_of(membership::Scope::Own).count(),
            domains_of(membership::Scope::Domain).count(),
        );
        assert_eq!(counts, expected, "{id}");
    }
}

/// Guards against a small instance as relay of a domain that has able ones.
#[rstest]
fn the_ablest_instances_are_relays() {
    let fleet = Fleet::new(3, 16);
    let layouts = fleet.layouts();
    for (id, _, capacity) in &fleet.members {
        assert_eq!(layouts[id].place == membership::Place::Relay, *capacity == 50, "{id}");
    }
}

/// Guards against a small fleet that needs relays, and against one that changes its places while
/// an instance is replaced and two of the same place are registered.
#[rstest]
#[case(8)]
#[case(10)]
fn a_small_fleet_is_a_mesh(#[case] count: usize) {
    let fleet = Fleet::new(1, count);
    for layout in fleet.layouts().values() {
        assert_eq!(layout.place, membership::Place::Mesh);
        assert_eq!(layout.links.len(), count - 1);
        assert_eq!(layout.watchers, count);
    }
}
