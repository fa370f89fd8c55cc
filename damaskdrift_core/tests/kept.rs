//! Tests of kept parts of prompts: what is fetched, saved and freed.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::BTreeSet;
use std::net;
use std::sync::Arc;

use damaskdrift_core::id;
use damaskdrift_core::kept;
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

fn page(epoch: u64, next: u64, events: Vec<kept::Event>) -> kept::Page {
    kept::Page { epoch, next, is_gap: false, is_list: false, events, clock_ms: None }
}

fn stored(salt: &str, part: u64, tokens: u64) -> kept::Event {
    kept::Event { is_stored: true, salt: salt.to_owned(), part, tokens }
}

fn stores(records: &[routing::CacheStore]) -> kept::Stores {
    let mut stores = kept::Stores::default();
    stores.install(records);
    for record in records {
        stores.contents_mut(&record.id).unwrap().update(&page(1, 1, vec![]), NOW, NOW);
    }
    stores
}

fn prompt(part: u64) -> [kept::Part; 2] {
    [kept::Part { id: part, tokens: 12_800 }, kept::Part { id: 1, tokens: 4_260 }]
}

/// Guards against a fetch of a part that is still being written.
#[rstest]
fn a_part_is_saved_once_and_fetched_only_when_whole() {
    let mut stores = stores(&[store(1, 100_000)]);
    let salt: Arc<str> = Arc::from("m|1|");
    let address = store(1, 0).address;
    let first = stores.plan(&salt, &prompt(7), NOW);
    assert_eq!(first.steps, [kept::Step::Save(address), kept::Step::Read]);
    let second = stores.plan(&salt, &prompt(7), NOW + Millis(50));
    assert_eq!(second.steps, [kept::Step::Read, kept::Step::Read]);
    let contents = stores.contents_mut(&id::Upstream::new("s1")).unwrap();
    contents.update(&page(1, 2, vec![stored("m|1|", 7, 6_400)]), NOW, NOW);
    assert!(!stores.plan(&salt, &prompt(7), NOW).fetches(), "half of the part");
    let contents = stores.contents_mut(&id::Upstream::new("s1")).unwrap();
    contents.update(&page(1, 3, vec![stored("m|1|", 7, 12_800)]), NOW, NOW);
    assert!(stores.plan(&salt, &prompt(7), NOW).fetches());
    assert!(!stores.plan(&Arc::from("m|2|"), &prompt(7), NOW).fetches(), "other weights");
}

/// Guards against a fetch under an old entry of a store that restarted, while another instance
/// saves the part anew: knowledge expires before anyone may save.
#[rstest]
fn after_a_restart_no_save_begins_before_old_knowledge_has_expired() {
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
    panic!("the part is never saved");
}

/// Guards against parts that find no room at a full store although others have some. Load
/// pattern: more shared parts than the small stores hold.
#[rstest]
fn parts_overflow_to_the_next_store() {
    let records = [store(1, 20_000), store(2, 20_000), store(3, 400_000)];
    let mut stores = stores(&records);
    let salt: Arc<str> = Arc::from("m|1|");
    let mut used = BTreeSet::new();
    for part in 0..20 {
        let plan = stores.plan(&salt, &prompt(part), NOW);
        let kept::Step::Save(address) = plan.steps[0] else {
            panic!("part {part} is not saved");
        };
        used.insert(address);
        let store = records.iter().find(|store| store.address == address).unwrap();
        let event = stored("m|1|", part, 12_800);
        let next = page(1, part + 2, vec![event]);
        stores.contents_mut(&store.id).unwrap().update(&next, NOW, NOW);
    }
    assert!(used.contains(&records[2].address));
}

#[rstest]
fn instances_agree_on_the_store_of_a_part() {
    let records = [store(1, 200_000), store(2, 200_000), store(3, 1_000_000)];
    let (mut a, mut b) = (stores(&records), stores(&records));
    let salt: Arc<str> = Arc::from("m|1|");
    for part in 0..50 {
        assert_eq!(a.plan(&salt, &prompt(part), NOW), b.plan(&salt, &prompt(part), NOW));
    }
}

/// Guards against a listener that misses a page and goes on as if it knew all.
#[rstest]
fn a_missed_page_is_noticed() {
    let mut contents = kept::Contents::default();
    let first = page(1, 5, vec![]);
    assert_eq!(contents.relay(&first, 0, NOW, NOW), kept::Relayed::Gap, "nothing known yet");
    let list = kept::Page { is_list: true, ..page(1, 5, vec![stored("s", 7, 10)]) };
    assert_eq!(contents.relay(&list, 0, NOW, NOW), kept::Relayed::Applied);
    assert_eq!(contents.relay(&page(1, 9, vec![]), 7, NOW, NOW), kept::Relayed::Gap);
    assert_eq!(contents.relay(&page(1, 9, vec![]), 5, NOW, NOW), kept::Relayed::Applied);
    assert_eq!(contents.relay(&page(1, 4, vec![]), 3, NOW, NOW), kept::Relayed::Applied);
    assert_eq!(contents.next, 9, "an older page moves nothing back");
    assert_eq!(contents.relay(&page(2, 9, vec![]), 9, NOW, NOW), kept::Relayed::Gap);
    assert!(contents.holds("s", 7, 10, NOW));
    assert!(!contents.holds("s", 7, 10, NOW + Millis(1_001)), "not confirmed for too long");
}

/// Guards against a store that each instance of a large fleet lists itself, which stalls the store.
/// Load pattern: a fleet that starts again while the stores are full.
#[rstest]
fn a_relays_list_brings_an_instance_up_to_date() {
    let mut relay = kept::Contents::default();
    let list = kept::Page { is_list: true, ..page(1, 5, vec![stored("s", 7, 10)]) };
    relay.update(&list, NOW, NOW);
    relay.update(&page(1, 6, vec![stored("s", 8, 20)]), NOW, NOW);
    let mut leaf = kept::Contents::default();
    assert!(leaf.is_lacking(), "nothing known yet");
    let (page_of_all, asked) = relay.list(NOW).unwrap();
    assert_eq!(leaf.relay(&page_of_all, 0, asked, NOW), kept::Relayed::Applied);
    assert!(!leaf.is_lacking());
    assert!(leaf.holds("s", 7, 10, NOW) && leaf.holds("s", 8, 20, NOW));
    assert_eq!(leaf.relay(&page(1, 9, vec![]), 7, NOW, NOW), kept::Relayed::Gap);
    assert!(leaf.is_lacking(), "a page was missed");
    let old = NOW + kept::TRUST + Millis(1);
    assert!(relay.list(old).is_none(), "a relay that has lost the store has no list to pass on");
}

#[rstest]
#[case("m|4|w", Some(4))]
#[case("m|4|", Some(4))]
#[case("m", None)]
#[case("other salt", None)]
fn salts_name_their_version(#[case] salt: &str, #[case] version: Option<u64>) {
    assert_eq!(kept::version(salt).map(|(_, version)| version), version);
}

#[rstest]
fn isolated_workspaces_share_no_salt() {
    let model = id::Model::new("m");
    let (a, b) = (id::Workspace::new("a"), id::Workspace::new("b"));
    let salts = [
        kept::salt(&model, 1, None),
        kept::salt(&model, 1, Some(&a)),
        kept::salt(&model, 1, Some(&b)),
    ];
    assert_eq!(salts.iter().collect::<BTreeSet<_>>().len(), 3);
}
