//! Tests of routing, configuration staleness, fleet-wide retry limits and weight load scheduling.

use std::sync::Arc;

use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::retry;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use rstest::rstest;

fn route(prefix: &str, service: &str, allows_anonymous: bool) -> routing::Route {
    routing::Route {
        name: Arc::from(prefix),
        host: "h.example".to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![routing::Target { service: id::Service::new(service), weight: 1 }],
        retry_policy: routing::RetryPolicy::AtMostOnce,
        is_stream: false,
        timeout: None,
        target_latency: Millis(100),
        caller_patience: None,
        max_attempts: 1,
        priority: 0,
        allows_anonymous,
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
        cache_stores: vec![],
        workspaces: Some(vec![workspace]),
        scaling: Default::default(),
        limits: routing::Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Millis(1),
            idle_timeout: Millis(1),
        },
    })
}

// Guards against a request that is assigned to the route of a shorter prefix or another host, or to
// no workspace, and against an anonymous route that requires a key.
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
fn host_prefix_and_key_select_route_and_workspace(
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

// Guards against a traffic split that deviates from the configured weights, or that sends requests
// to a target of weight 0.
#[rstest]
fn a_traffic_split_follows_its_weights() {
    let mut route = route("/a/", "x", false);
    route.targets = vec![
        routing::Target { service: id::Service::new("x"), weight: 90 },
        routing::Target { service: id::Service::new("y"), weight: 10 },
        routing::Target { service: id::Service::new("z"), weight: 0 },
    ];
    let mut counts = [0; 3];
    for hash in 0..1_000 {
        match route.service_for(hash).as_str() {
            "x" => counts[0] += 1,
            "y" => counts[1] += 1,
            _ => counts[2] += 1,
        }
    }
    assert_eq!(counts, [900, 100, 0]);
}

// Guards against serving a keyed request after its key was revoked: an instance without contact to
// the platform store stops before the revocation limit, and reports that it is not ready earlier.
#[rstest]
#[case(None, config_sync::Staleness::Expired)]
#[case(Some(0), config_sync::Staleness::Fresh)]
#[case(Some(2_999), config_sync::Staleness::Fresh)]
#[case(Some(3_000), config_sync::Staleness::Aging)]
#[case(Some(4_399), config_sync::Staleness::Aging)]
#[case(Some(4_400), config_sync::Staleness::Expired)]
fn configuration_expires_before_the_revocation_limit(
    #[case] age: Option<u64>,
    #[case] expected: config_sync::Staleness,
) {
    let now = Millis(60_000);
    let confirmed_at = age.map(|age| now - Millis(age));
    assert_eq!(config_sync::staleness(confirmed_at, Millis(5_000), now), expected);
}

// Guards against counting a confirmation from the receipt of the relay's response, which makes it
// too recent if the response was delayed or was written before the relay was paused.
#[rstest]
#[case(2_100, config_sync::Staleness::Fresh)]
#[case(5_900, config_sync::Staleness::Expired)]
fn a_relayed_confirmation_ages_in_transit(
    #[case] received_at: u64,
    #[case] expected: config_sync::Staleness,
) {
    let confirmed_at =
        config_sync::relayed_confirmed_at(Millis(2_000), Millis(500), Millis(received_at));
    assert_eq!(confirmed_at, Millis(1_500));
    assert_eq!(
        config_sync::staleness(Some(confirmed_at), Millis(5_000), Millis(received_at)),
        expected
    );
}

// Guards against the retries of all instances together exceeding the limit. For a minute, each
// request is refused once and retried, with load distributed unevenly among the instances.
#[rstest]
fn retries_of_all_instances_stay_within_the_limit() {
    let limit = retry::Bound { ratio: 0.2, slack: 56.0, window: Millis(10_000) };
    let mut windows: Vec<_> = (0..8).map(|_| retry::AttemptWindow::new(Millis(0))).collect();
    let mut sends: Vec<(u64, bool)> = Vec::new();
    for now in (0..60_000).step_by(10) {
        for (index, window) in windows.iter_mut().enumerate() {
            // Half of the instances pause for 15 s, so that windows with few requests follow.
            let is_pause = (20_000..35_000).contains(&now);
            if index % 2 == 1 && is_pause {
                continue;
            }
            window.record_first_attempt(&limit, Millis(now));
            sends.push((now, false));
            if window.try_retry(&limit, 8, Millis(now)) {
                sends.push((now, true));
            }
        }
    }
    for start in (0..50_000).step_by(500) {
        let span = start..start + 10_000;
        let in_window = sends.iter().filter(|(at, _)| span.contains(at));
        let (mut first_attempts, mut retries) = (0.0, 0.0);
        for (_, is_retry) in in_window {
            if *is_retry {
                retries += 1.0;
            } else {
                first_attempts += 1.0;
            }
        }
        assert!(
            retries <= 0.2 * first_attempts + 56.0,
            "{retries} retries, {first_attempts} requests at {start}"
        );
    }
}
