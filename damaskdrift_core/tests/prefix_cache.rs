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
    let first = stores.plan(&salt, &prompt(7), NOW);
    assert_eq!(first.steps, [prefix_cache::Step::Save(address), prefix_cache::Step::Prefill]);
    let second = stores.plan(&salt, &prompt(7), NOW + Millis(50));
    assert_eq!(second.steps, [prefix_cache::Step::Prefill, prefix_cache::Step::Prefill]);
    let contents = stores.contents_mut(&id::Upstream::new("s1")).unwrap();
    contents.update(&page(1, 2, vec![stored("m|1|", 7, 6_400)]), NOW, NOW);
    assert!(!stores.plan(&salt, &prompt(7), NOW).fetches(), "half of the segment");
    let contents = stores.contents_mut(&id::Upstream::new("s1")).unwrap();
    contents.update(&page(1, 3, vec![stored("m|1|", 7, 12_800)]), NOW, NOW);
    assert!(stores.plan(&salt, &prompt(7), NOW).fetches());
    assert!(!stores.plan(&Arc::from("m|2|"), &prompt(7), NOW).fetches(), "other weights");
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
        let fetches = unaware.plan(&salt, &prompt(7), now).fetches();
        let saves = aware.plan(&salt, &prompt(7), now).saves();
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
        let plan = stores.plan(&salt, &prompt(segment), NOW);
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
        assert_eq!(a.plan(&salt, &prompt(segment), NOW), b.plan(&salt, &prompt(segment), NOW));
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
    assert_eq!(prefix_cache::parse_salt(salt).map(|(_, version)| version), version);
}

/// Guards against an isolated workspace that shares cached segments with other workspaces.
#[rstest]
fn isolated_workspaces_share_no_salt() {
    let model = id::Model::new("m");
    let (a, b) = (id::Workspace::new("a"), id::Workspace::new("b"));
    let salts = [
        prefix_cache::salt(&model, 1, None),
        prefix_cache::salt(&model, 1, Some(&a)),
        prefix_cache::salt(&model, 1, Some(&b)),
    ];
    assert_eq!(salts.iter().collect::<BTreeSet<_>>().len(), 3);
}
