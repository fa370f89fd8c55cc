//! Tests of routing, trust in the configuration, shares of repeats and orders of weights.

use std::sync::Arc;

use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::retry;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use damaskdrift_core::weights;
use rstest::rstest;

fn route(prefix: &str, service: &str, is_open: bool) -> routing::Route {
    routing::Route {
        name: Arc::from(prefix),
        host: "h.example".to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![routing::Target { service: id::Service::new(service), weight: 1 }],
        repeat: routing::Repeat::Never,
        is_stream: false,
        timeout: None,
        target_latency: Millis(100),
        attempts: 1,
        priority: 0,
        is_open,
    }
}

fn table() -> routing::Table {
    let workspace = routing::Workspace {
        id: id::Workspace::new("w"),
        priority: None,
        is_isolated: false,
        keys: vec!["k1".to_owned(), "k2".to_owned()],
    };
    routing::Table::new(routing::Document {
        version: 1,
        routes: vec![
            route("/a/", "short", false),
            route("/a/b/", "long", false),
            route("/o/", "open", true),
        ],
        services: vec![],
        stores: vec![],
        workspaces: Some(vec![workspace]),
        limits: routing::Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Millis(1),
            idle_timeout: Millis(1),
        },
    })
}

#[rstest]
#[case("h.example", "/a/x", Some("k1"), "short w")]
#[case("h.example", "/a/b/x", Some("k2"), "long w")]
#[case("h.example", "/a/bx", Some("k2"), "short w")]
#[case("h.example", "/a", Some("k1"), "unknown route")]
#[case("other.example", "/a/x", Some("k1"), "unknown route")]
#[case("h.example", "/a/x", Some("k3"), "unknown key")]
#[case("h.example", "/a/x", None, "unknown key")]
#[case("h.example", "/o/x", None, "open -")]
#[case("h.example", "/o/x", Some("k3"), "open -")]
#[case("h.example", "/o/x", Some("k1"), "open w")]
fn host_prefix_and_key_select(
    #[case] host: &str,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: &str,
) {
    let table = table();
    let found = match table.resolve(host, path, key) {
        routing::Resolution::Found(route, workspace) => {
            let workspace = workspace.map_or("-", |workspace| workspace.id.as_str());
            format!("{} {workspace}", route.targets[0].service)
        }
        routing::Resolution::UnknownRoute => "unknown route".to_owned(),
        routing::Resolution::UnknownKey => "unknown key".to_owned(),
    };
    assert_eq!(found, expected);
}

#[rstest]
fn a_split_follows_its_weights() {
    let mut route = route("/a/", "x", false);
    route.targets = vec![
        routing::Target { service: id::Service::new("x"), weight: 90 },
        routing::Target { service: id::Service::new("y"), weight: 10 },
        routing::Target { service: id::Service::new("z"), weight: 0 },
    ];
    let mut counts = [0; 3];
    for hash in 0..1_000 {
        match route.target(hash).as_str() {
            "x" => counts[0] += 1,
            "y" => counts[1] += 1,
            _ => counts[2] += 1,
        }
    }
    assert_eq!(counts, [900, 100, 0]);
}

/// Guards against a keyed request after its key was taken away: an instance that has not heard
/// from the store stops before the bound, and gets no new connections before that.
#[rstest]
#[case(None, config_sync::Trust::Expired)]
#[case(Some(0), config_sync::Trust::Fresh)]
#[case(Some(2_999), config_sync::Trust::Fresh)]
#[case(Some(3_000), config_sync::Trust::Aging)]
#[case(Some(4_399), config_sync::Trust::Aging)]
#[case(Some(4_400), config_sync::Trust::Expired)]
fn trust_ends_before_the_revocation_bound(
    #[case] age: Option<u64>,
    #[case] expected: config_sync::Trust,
) {
    let now = Millis(60_000);
    let confirmed = age.map(|age| now - Millis(age));
    assert_eq!(config_sync::trust(confirmed, Millis(5_000), now), expected);
}

/// Guards against a confirmation that becomes younger on its way: a relay's answer that was
/// delayed, or given before the relay was paused.
#[rstest]
#[case(2_100, config_sync::Trust::Fresh)]
#[case(5_900, config_sync::Trust::Expired)]
fn a_relayed_confirmation_ages_on_its_way(
    #[case] heard: u64,
    #[case] expected: config_sync::Trust,
) {
    let confirmed = config_sync::relayed(Millis(2_000), Millis(500), Millis(heard));
    assert_eq!(confirmed, Millis(1_500));
    assert_eq!(config_sync::trust(Some(confirmed), Millis(5_000), Millis(heard)), expected);
}

/// Guards against repeats of all instances above the common bound. Load pattern: each request is
/// refused once and repeated, for a minute, with uneven shares of the callers.
#[rstest]
fn repeats_of_all_instances_stay_in_the_bound() {
    let bound = retry::Bound { ratio: 0.2, slack: 56.0, window: Millis(10_000) };
    let mut shares: Vec<_> = (0..8).map(|_| retry::Share::default()).collect();
    let mut sends: Vec<(u64, bool)> = Vec::new();
    for now in (0..60_000).step_by(10) {
        for (index, share) in shares.iter_mut().enumerate() {
            // The load stops for some seconds, so that a window with few requests follows.
            let is_pause = (20_000..35_000).contains(&now);
            if index % 2 == 1 && is_pause {
                continue;
            }
            share.first(&bound, Millis(now));
            sends.push((now, false));
            if share.repeat(&bound, 8, Millis(now)) {
                sends.push((now, true));
            }
        }
    }
    for start in (0..50_000).step_by(500) {
        let span = start..start + 10_000;
        let in_window = sends.iter().filter(|(at, _)| span.contains(at));
        let (mut firsts, mut repeats) = (0.0, 0.0);
        for (_, is_repeat) in in_window {
            if *is_repeat {
                repeats += 1.0;
            } else {
                firsts += 1.0;
            }
        }
        assert!(repeats <= 0.2 * firsts + 56.0, "{repeats} repeats, {firsts} requests at {start}");
    }
}

fn members(versions: &[u64]) -> Vec<weights::Member> {
    let member = |(index, version): (usize, &u64)| weights::Member {
        id: id::Upstream::new(&format!("u{index:02}")),
        version: *version,
        running: u32::try_from(versions.len() - index).expect("few upstreams"),
    };
    versions.iter().enumerate().map(member).collect()
}

/// Guards against loads on so many upstreams at once that the rest cannot bear the requests, and
/// against orders for upstreams that have one under way.
#[rstest]
fn orders_come_in_waves_the_emptiest_first() {
    let mut driver = weights::Driver::default();
    let mut versions = vec![1; 18];
    let first = driver.next(&members(&versions), 2, Millis(1_000));
    assert_eq!(first.len(), 5);
    assert_eq!(first[0], id::Upstream::new("u17"));
    assert!(driver.next(&members(&versions), 2, Millis(1_100)).is_empty());
    versions[17] = 2;
    assert_eq!(driver.next(&members(&versions), 2, Millis(1_200)).len(), 1);
    // An order whose answer was lost is given again after its life.
    let again = driver.next(&members(&versions), 2, Millis(4_000));
    assert!(again.contains(&id::Upstream::new("u16")), "{again:?}");
}

/// Guards against upstreams that stay behind when weights are named while the last load runs.
#[rstest]
fn a_second_naming_reaches_all() {
    let mut driver = weights::Driver::default();
    let mut versions = vec![1; 6];
    let mut target = 2;
    for step in 0..100 {
        if step == 2 {
            target = 3;
        }
        let now = Millis(1_000 + step * 500);
        for id in driver.next(&members(&versions), target, now) {
            let index: usize = id.as_str()[1..].parse().unwrap();
            versions[index] = target;
        }
    }
    assert_eq!(versions, [3; 6]);
}
