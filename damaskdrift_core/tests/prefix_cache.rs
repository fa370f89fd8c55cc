//! Tests of cached prompt segments: contents of cache stores, fetches, saves and salts.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::BTreeSet;
use std::net;
use std::sync::Arc;

use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use rstest::rstest;

const NOW: Millis = Millis(50_000);

fn store(index: u16, capacity_tokens: u64) -> routing::CacheStore {
    routing::CacheStore {
        id: id::Upstream::new(&format!("s{index}")),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        domain: id::FailureDomain::new("a"),
        capacity_tokens,
        is_managed: true,
        link_mbit_per_s: 0,
        first: Millis(0),
    }
}

fn page(epoch: u64, next: u64, events: Vec<prefix_cache::Event>) -> prefix_cache::Page {
    prefix_cache::Page { epoch, next, is_gap: false, is_snapshot: false, events, clock_ms: None }
}

fn stored(salt: &str, segment: u64, tokens: u64) -> prefix_cache::Event {
    prefix_cache::Event { is_stored: true, salt: salt.to_owned(), segment, tokens }
}

fn stores(records: &[routing::CacheStore]) -> prefix_cache::CacheStores {
    let mut stores = prefix_cache::CacheStores::default();
    stores.install(records);
    for record in records {
        stores.contents_mut(&record.id).unwrap().update(&page(1, 1, vec![]), NOW, NOW);
    }
    stores
}

fn prompt(segment: u64) -> [prefix_cache::Segment; 2] {
    [
        prefix_cache::Segment { id: segment, tokens: 12_800 },
        prefix_cache::Segment { id: 1, tokens: 4_260 },
    ]
}

/// Guards against a fetch of a segment while its save is in progress.
#[rstest]
fn segment_is_saved_once_and_fetched_only_when_complete() {
    let mut stores = stores(&[store(1, 100_000)]);
    let salt: Arc<str> = Arc::from("m|1|");
    let address = store(1, 0).address;
    let first = stores.plan(&salt, &prompt(7), |_, _, _| true, NOW);
    assert_eq!(first.steps, [prefix_cache::Step::Save(address), prefix_cache::Step::Prefill]);
    let second = stores.plan(&salt, &prompt(7), |_, _, _| true, NOW + Millis(50));
    assert_eq!(second.steps, [prefix_cache::Step::Prefill, prefix_cache::Step::Prefill]);
    let contents = stores.contents_mut(&id::Upstream::new("s1")).unwrap();
    contents.update(&page(1, 2, vec![stored("m|1|", 7, 6_400)]), NOW, NOW);
    assert!(!stores.plan(&salt, &prompt(7), |_, _, _| true, NOW).fetches(), "half of the segment");
    let contents = stores.contents_mut(&id::Upstream::new("s1")).unwrap();
    contents.update(&page(1, 3, vec![stored("m|1|", 7, 12_800)]), NOW, NOW);
    assert!(stores.plan(&salt, &prompt(7), |_, _, _| true, NOW).fetches());
    assert!(
        !stores.plan(&Arc::from("m|2|"), &prompt(7), |_, _, _| true, NOW).fetches(),
        "other weights"
    );
}

/// Guards against a fetch under an outdated entry of a restarted store while another instance saves
/// the segment again: contents must expire at every instance before any may save.
#[rstest]
fn no_save_after_restart_before_old_contents_expire() {
    let salt: Arc<str> = Arc::from("m|1|");
    let id = id::Upstream::new("s1");
    let mut unaware = stores(&[store(1, 100_000)]);
    let known = page(1, 2, vec![stored("m|1|", 7, 12_800)]);
    unaware.contents_mut(&id).unwrap().update(&known, NOW, NOW);
    let mut aware = stores(&[store(1, 100_000)]);
    aware.contents_mut(&id).unwrap().update(&page(2, 1, vec![]), NOW, NOW);
    for step in 0..50 {
        let now = NOW + Millis(step * 100);
        aware.contents_mut(&id).unwrap().update(&page(2, 1, vec![]), now, now);
        let fetches = unaware.plan(&salt, &prompt(7), |_, _, _| true, now).fetches();
        let saves = aware.plan(&salt, &prompt(7), |_, _, _| true, now).saves();
        assert!(!(fetches && saves), "at {now}");
        if saves {
            return;
        }
    }
    panic!("the segment is never saved");
}

/// Guards against segments that are not saved because their preferred store is full, although
/// others have room. Load pattern: more shared segments than the small stores hold.
#[rstest]
fn segments_overflow_to_the_next_store() {
    let records = [store(1, 20_000), store(2, 20_000), store(3, 400_000)];
    let mut stores = stores(&records);
    let salt: Arc<str> = Arc::from("m|1|");
    let mut used = BTreeSet::new();
    for segment in 0..20 {
        let plan = stores.plan(&salt, &prompt(segment), |_, _, _| true, NOW);
        let prefix_cache::Step::Save(address) = plan.steps[0] else {
            panic!("segment {segment} is not saved");
        };
        used.insert(address);
        let store = records.iter().find(|store| store.address == address).unwrap();
        let event = stored("m|1|", segment, 12_800);
        let next = page(1, segment + 2, vec![event]);
        stores.contents_mut(&store.id).unwrap().update(&next, NOW, NOW);
    }
    assert!(used.contains(&records[2].address));
}

/// Guards against instances that plan different stores for one segment, which would be saved twice.
#[rstest]
fn instances_agree_on_the_store_of_a_segment() {
    let records = [store(1, 200_000), store(2, 200_000), store(3, 1_000_000)];
    let (mut a, mut b) = (stores(&records), stores(&records));
    let salt: Arc<str> = Arc::from("m|1|");
    for segment in 0..50 {
        assert_eq!(
            a.plan(&salt, &prompt(segment), |_, _, _| true, NOW),
            b.plan(&salt, &prompt(segment), |_, _, _| true, NOW)
        );
    }
}

/// Guards against an instance that misses a relayed page and treats its contents as complete.
#[rstest]
fn missed_page_is_detected() {
    let mut contents = prefix_cache::Contents::default();
    let first = page(1, 5, vec![]);
    assert_eq!(
        contents.apply_relayed(&first, 0, NOW, NOW),
        prefix_cache::RelayOutcome::Gap,
        "no contents known yet"
    );
    let snapshot = prefix_cache::Page { is_snapshot: true, ..page(1, 5, vec![stored("s", 7, 10)]) };
    assert_eq!(contents.apply_relayed(&snapshot, 0, NOW, NOW), prefix_cache::RelayOutcome::Applied);
    assert_eq!(
        contents.apply_relayed(&page(1, 9, vec![]), 7, NOW, NOW),
        prefix_cache::RelayOutcome::Gap
    );
    assert_eq!(
        contents.apply_relayed(&page(1, 9, vec![]), 5, NOW, NOW),
        prefix_cache::RelayOutcome::Applied
    );
    assert_eq!(
        contents.apply_relayed(&page(1, 4, vec![]), 3, NOW, NOW),
        prefix_cache::RelayOutcome::Applied
    );
    assert_eq!(contents.next, 9, "an older page does not move the position back");
    assert_eq!(
        contents.apply_relayed(&page(2, 9, vec![]), 9, NOW, NOW),
        prefix_cache::RelayOutcome::Gap
    );
    assert!(contents.holds("s", 7, 10, NOW));
    assert!(!contents.holds("s", 7, 10, NOW + Millis(1_001)), "not confirmed for too long");
}

/// Guards against stalling a store because each instance of a large fleet lists it. Load pattern: a
/// fleet that restarts while the stores are full.
#[rstest]
fn relayed_snapshot_brings_an_instance_up_to_date() {
    let mut relay = prefix_cache::Contents::default();
    let snapshot = prefix_cache::Page { is_snapshot: true, ..page(1, 5, vec![stored("s", 7, 10)]) };
    relay.update(&snapshot, NOW, NOW);
    relay.update(&page(1, 6, vec![stored("s", 8, 20)]), NOW, NOW);
    let mut leaf = prefix_cache::Contents::default();
    assert!(leaf.needs_snapshot(), "no contents known yet");
    let (snapshot, requested_at) = relay.snapshot(NOW).unwrap();
    assert_eq!(
        leaf.apply_relayed(&snapshot, 0, requested_at, NOW),
        prefix_cache::RelayOutcome::Applied
    );
    assert!(!leaf.needs_snapshot());
    assert!(leaf.holds("s", 7, 10, NOW) && leaf.holds("s", 8, 20, NOW));
    assert_eq!(
        leaf.apply_relayed(&page(1, 9, vec![]), 7, NOW, NOW),
        prefix_cache::RelayOutcome::Gap
    );
    assert!(leaf.needs_snapshot(), "a page was missed");
    let old = NOW + prefix_cache::CONTENTS_TTL + Millis(1);
    assert!(
        relay.snapshot(old).is_none(),
        "a relay without recent contact to the store has no snapshot"
    );
}

/// Guards against freeing segments under salts that this system did not build.
#[rstest]
#[case("m|4|w", Some(4))]
#[case("m|4|", Some(4))]
#[case("m", None)]
#[case("other salt", None)]
fn version_is_parsed_from_salt(#[case] salt: &str, #[case] version: Option<u64>) {
    assert_eq!(prefix_cache::parse_salt(salt).map(|fields| fields.version), version);
}

fn scopes(isolated: &[&str]) -> prefix_cache::Scopes {
    let mut workspaces = Vec::new();
    for name in ["a", "b", "c", "d"] {
        workspaces.push(routing::Workspace {
            id: id::Workspace::new(name),
            priority: None,
            is_isolated: isolated.contains(&name),
            keys: Vec::new(),
        });
    }
    prefix_cache::Scopes::new(&workspaces)
}

fn salt(scopes: &prefix_cache::Scopes, workspace: Option<&str>) -> Arc<str> {
    let workspace = workspace.map(id::Workspace::new);
    prefix_cache::salt(&id::Model::new("m"), 1, scopes.scope(workspace.as_ref()))
}

/// Guards against an isolated workspace that shares cached segments with other workspaces.
#[rstest]
fn isolated_workspaces_share_no_salt() {
    let scopes = scopes(&["a", "b"]);
    let salts = [salt(&scopes, None), salt(&scopes, Some("a")), salt(&scopes, Some("b"))];
    assert_eq!(salts.iter().collect::<BTreeSet<_>>().len(), 3);
    assert_eq!(salt(&scopes, Some("c")), salt(&scopes, None));
    assert_eq!(salt(&scopes, Some("c")), salt(&scopes, Some("d")));
}

/// A segment that a workspace has computed.
struct Computed<'a> {
    salt: Arc<str>,
    maker: Option<&'a str>,
    /// The workspaces that were isolated then.
    isolated: Vec<&'a str>,
}

/// Guards against segments that others use although the workspace that computed them has become
/// isolated since, or that a workspace computed while it was isolated.
///
/// Each workspace computes a segment under each configuration of a series; later requests find those
/// under their own salt. A configuration is given by the names of the isolated workspaces, or `-`.
#[rstest]
#[case::becomes_isolated("- a")]
#[case::another_one_too("b a,b")]
#[case::another_one_instead("b a")]
#[case::is_no_longer_isolated("a -")]
#[case::becomes_isolated_again("a - a")]
#[case::many_changes("- a a,b b b,c a,c c - a")]
fn segments_are_not_shared_across_a_change_of_isolation(#[case] series: &str) {
    let workspaces = [None, Some("a"), Some("b"), Some("c"), Some("d")];
    let mut computed: Vec<Computed<'_>> = Vec::new();
    for names in series.split(' ') {
        let isolated: Vec<_> = names.split(',').collect();
        let scopes = scopes(&isolated);
        for user in workspaces {
            let found = salt(&scopes, user);
            for segment in &computed {
                let is_isolated = |workspace: Option<&str>| {
                    workspace
                        .is_some_and(|w| isolated.contains(&w) || segment.isolated.contains(&w))
                };
                let maker = segment.maker;
                let is_foreign = user != maker && (is_isolated(user) || is_isolated(maker));
                assert!(segment.salt != found || !is_foreign, "{user:?} uses one of {maker:?}");
            }
        }
        for maker in workspaces {
            let salt = salt(&scopes, maker);
            computed.push(Computed { salt, maker, isolated: isolated.clone() });
        }
    }
}

/// Guards against names of workspaces that look like another scope.
#[rstest]
#[case("")]
#[case("s|0000000000000000")]
#[case("w|a")]
#[case("|")]
fn names_of_workspaces_give_no_other_scope(#[case] name: &str) {
    let isolated = routing::Workspace {
        id: id::Workspace::new(name),
        priority: None,
        is_isolated: true,
        keys: Vec::new(),
    };
    let odd = salt(&prefix_cache::Scopes::new(&[isolated]), Some(name));
    for isolated in [&[][..], &["a"]] {
        let scopes = scopes(isolated);
        for workspace in [None, Some("a"), Some("b")] {
            assert_ne!(odd, salt(&scopes, workspace));
        }
    }
}

/// Guards against segments in cache stores that are freed while requests may use them, or kept
/// although no request can use them any longer.
#[rstest]
#[case::empty_set("s|0000000000000000", &[], true)]
#[case::another_set("s|0000000000000000", &["a"], false)]
#[case::isolated("w|a", &["a"], true)]
#[case::no_longer_isolated("w|a", &["b"], false)]
#[case::form_of_earlier_releases("a", &["b"], true)]
#[case::empty("", &["b"], true)]
fn scopes_are_used_by_the_configuration(
    #[case] scope: &str,
    #[case] isolated: &[&str],
    #[case] want: bool,
) {
    assert_eq!(scopes(isolated).is_used(scope), want);
}

/// Guards against a fetch of segments that a leader with an earlier configuration frees, after a
/// scope is used again.
#[rstest]
fn returned_scope_is_noticed_if_its_segments_are_held() {
    let (none, a) = (scopes(&[]), scopes(&["a"]));
    let mut stores = stores(&[store(1, 100_000)]);
    assert!(!stores.holds_returned_scope(&a, &none), "no segments are held");
    let held = page(1, 2, vec![stored(&salt(&none, None), 7, 12_800)]);
    stores.contents_mut(&store(1, 0).id).unwrap().update(&held, NOW, NOW);
    assert!(stores.holds_returned_scope(&a, &none));
    assert!(!stores.holds_returned_scope(&none, &none));
    assert!(!stores.holds_returned_scope(&none, &a));
    assert!(stores.plan(&salt(&none, None), &prompt(7), |_, _, _| true, NOW).fetches());
    assert!(!stores.plan(&salt(&none, None), &prompt(7), |_, _, _| false, NOW).fetches());
}
