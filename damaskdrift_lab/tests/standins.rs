//! Contract tests of the fault proxy and of the stand-ins for the key-value service, the instance
//! list and a plain service.

use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskdrift_lab::harness::http::Error;
use damaskdrift_lab::harness::{Call, Client, Proxy, Response, Standin};
use damaskdrift_lab::proxy::Mode;
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Timeout after which a call without a response counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a value in the key-value service.
const MAX_VALUE_BYTES: usize = 1 << 20;

struct Setup {
    standin: Standin,
    http: Client,
    dir: TempDir,
}

impl Setup {
    async fn start(kind: &str, args: &[&str]) -> Self {
        let dir = TempDir::new().expect("a temporary directory can be created");
        let http = Client::new();
        let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        let standin = Standin::start(kind, kind, &args, dir.path(), &http).await;
        Self { standin: standin.expect("the stand-in starts"), http, dir }
    }

    fn call(&self, method: Method, path: &str) -> Call {
        Call::new(method, self.standin.address, path)
    }

    async fn send(&self, method: Method, path: &str, body: &str) -> Response {
        let call = self.call(method, path).with_body(body.to_owned());
        self.http.send(call).await.expect("the stand-in responds")
    }

    async fn put(&self, path: &str, body: &str) -> Response {
        self.send(Method::PUT, path, body).await
    }

    async fn post(&self, path: &str) -> Response {
        self.send(Method::POST, path, "").await
    }

    async fn get(&self, path: &str) -> Response {
        self.send(Method::GET, path, "").await
    }

    async fn set_fault(&self, fault: Value) {
        self.standin.set_fault(&fault).await.expect("the fault is accepted");
    }

    async fn stats(&self) -> Value {
        self.standin.stats().await.expect("the stand-in responds")
    }

    /// Starts a proxy with two links to the stand-in.
    async fn proxy(&self) -> Proxy {
        let targets = [self.standin.address; 2];
        let proxy = Proxy::start("proxy", &targets, self.dir.path(), &self.http).await;
        proxy.expect("the proxy starts")
    }
}

fn revision(response: &Response) -> Option<u64> {
    response.header("x-revision")?.parse().ok()
}

/// Guards against writes that overwrite a value that the writer hasn't read. Claims, leases and
/// changes of the fleet document rely on this. The keys `a` and `b` have the revisions 1 and 2.
#[rstest]
#[case::creates(Method::PUT, "/v1/kv/new?expected=0", 200, Some(3), "")]
#[case::replaces(Method::PUT, "/v1/kv/a?expected=1", 200, Some(3), "")]
#[case::replaces_with_ttl(Method::PUT, "/v1/kv/a?expected=1&ttl_ms=60000", 200, Some(3), "")]
#[case::present_but_expected_absent(Method::PUT, "/v1/kv/a?expected=0", 409, Some(1), "value-a")]
#[case::newer_than_expected(Method::PUT, "/v1/kv/b?expected=1", 409, Some(2), "value-b")]
#[case::absent_but_expected(Method::PUT, "/v1/kv/new?expected=1", 409, Some(0), "")]
#[case::nested_key(Method::PUT, "/v1/kv/idem/notices/ab?expected=0", 200, Some(3), "")]
#[case::deletes(Method::DELETE, "/v1/kv/a?expected=1", 200, Some(1), "")]
#[case::deletes_other(Method::DELETE, "/v1/kv/a?expected=2", 409, Some(1), "value-a")]
#[case::deletes_absent(Method::DELETE, "/v1/kv/new?expected=1", 409, Some(0), "")]
#[case::renews(Method::POST, "/v1/renew/a?expected=1&ttl_ms=60000", 200, Some(1), "")]
#[case::renews_other(Method::POST, "/v1/renew/a?expected=2&ttl_ms=60000", 409, Some(1), "value-a")]
#[case::renews_absent(Method::POST, "/v1/renew/new?expected=1&ttl_ms=60000", 409, Some(0), "")]
#[case::reads(Method::GET, "/v1/kv/b", 200, Some(2), "value-b")]
#[case::reads_absent(Method::GET, "/v1/kv/new", 404, None, "")]
#[case::put_without_expected(Method::PUT, "/v1/kv/a", 400, None, "Invalid query string")]
#[case::renew_without_ttl(
    Method::POST,
    "/v1/renew/a?expected=1",
    400,
    None,
    "Invalid query string"
)]
#[tokio::test]
async fn key_value_swaps_only_the_expected_revision(
    #[case] method: Method,
    #[case] path: &str,
    #[case] status: u16,
    #[case] want_revision: Option<u64>,
    #[case] body: &str,
) {
    let setup = Setup::start("key-value", &[]).await;
    setup.put("/v1/kv/a?expected=0", "value-a").await;
    setup.put("/v1/kv/b?expected=0", "value-b").await;
    let response = setup.send(method, path, "next").await;
    assert_eq!((response.status, revision(&response)), (status, want_revision));
    assert_eq!(response.text(), body);
}

/// Guards against two successful concurrent writes to one key, which would give a lease two holders.
#[tokio::test]
async fn key_value_race_has_one_winner() {
    let setup = Setup::start("key-value", &[]).await;
    let mut writes = tokio::task::JoinSet::new();
    for writer in 0..32 {
        let call = setup.call(Method::PUT, "/v1/kv/lease?expected=0").with_body(writer.to_string());
        let http = setup.http.clone();
        writes.spawn(async move { http.send(call).await.expect("the stand-in responds").status });
    }
    let mut statuses = writes.join_all().await;
    statuses.sort_unstable();
    assert_eq!(statuses[0], 200);
    assert!(statuses[1..].iter().all(|status| *status == 409), "{statuses:?}");
}

/// Guards against a key that outlives its TTL, or expires although it is renewed.
#[tokio::test]
async fn key_value_ttl_restarts_on_write_and_renewal() {
    let setup = Setup::start("key-value", &[]).await;
    let created = setup.put("/v1/kv/lease?expected=0&ttl_ms=1000", "holder").await;
    assert_eq!(revision(&created), Some(1));
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let renewed = setup.post("/v1/renew/lease?expected=1&ttl_ms=1000").await;
        assert_eq!((renewed.status, revision(&renewed)), (200, Some(1)));
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(setup.get("/v1/kv/lease").await.status, 404);
    let late = setup.post("/v1/renew/lease?expected=1&ttl_ms=1000").await;
    assert_eq!((late.status, revision(&late)), (409, Some(0)));
    let successor = setup.put("/v1/kv/lease?expected=0&ttl_ms=1000", "successor").await;
    assert_eq!((successor.status, revision(&successor)), (200, Some(2)));
}

/// Guards against a watch that misses a write or returns an old revision. The key has revision 1.
#[rstest]
#[case::newer_is_there(0, 5_000, 200, false)]
#[case::nothing_newer(1, 200, 204, true)]
#[case::future_revision(9, 200, 204, true)]
#[tokio::test]
async fn key_value_watch_returns_only_newer_revisions(
    #[case] after: u64,
    #[case] wait_ms: u64,
    #[case] status: u16,
    #[case] waits: bool,
) {
    let setup = Setup::start("key-value", &[]).await;
    setup.put("/v1/kv/fleet?expected=0", "first").await;
    let response = setup.get(&format!("/v1/watch/fleet?after={after}&wait_ms={wait_ms}")).await;
    assert_eq!(response.status, status);
    assert_eq!(response.elapsed >= Duration::from_millis(wait_ms), waits, "{:?}", response.elapsed);
}

/// Guards against a watch that returns a write only when its wait elapses, and against a watch that
/// is counted as several calls.
#[tokio::test]
async fn key_value_watch_wakes_on_a_write() {
    let setup = Setup::start("key-value", &[]).await;
    let call = setup.call(Method::GET, "/v1/watch/fleet?after=0&wait_ms=20000");
    let watch = tokio::spawn({
        let http = setup.http.clone();
        async move { http.send(call).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    setup.put("/v1/kv/other?expected=0", "other").await;
    setup.put("/v1/kv/fleet?expected=0", "first").await;
    let response = watch.await.expect("the task ends").expect("the stand-in responds");
    assert_eq!((response.status, revision(&response)), (200, Some(2)));
    assert_eq!(response.text(), "first");
    assert!(response.elapsed < Duration::from_secs(10), "{:?}", response.elapsed);
    assert_eq!(setup.stats().await, json!({"reads": 0, "writes": 2, "watches": 1}));
}

/// Guards against calls that bypass the rate limits: a renewal must count as a write and a watch as
/// a read.
#[rstest]
#[case::reads(Method::GET, "/v1/kv/a", "--reads-per-s", json!({"reads": 4, "writes": 0, "watches": 0}))]
#[case::watches(Method::GET, "/v1/watch/a?after=0&wait_ms=0", "--reads-per-s", json!({"reads": 0, "writes": 0, "watches": 4}))]
#[case::writes(Method::PUT, "/v1/kv/a?expected=9", "--writes-per-s", json!({"reads": 0, "writes": 4, "watches": 0}))]
#[case::renewals(Method::POST, "/v1/renew/a?expected=9&ttl_ms=1", "--writes-per-s", json!({"reads": 0, "writes": 4, "watches": 0}))]
#[case::deletions(Method::DELETE, "/v1/kv/a?expected=9", "--writes-per-s", json!({"reads": 0, "writes": 4, "watches": 0}))]
#[tokio::test]
async fn key_value_limits_the_rate(
    #[case] method: Method,
    #[case] path: &str,
    #[case] flag: &str,
    #[case] stats: Value,
) {
    let setup = Setup::start("key-value", &[flag, "1"]).await;
    let first = setup.send(method.clone(), path, "").await;
    assert_ne!(first.status, 429);
    let mut rejected = 0;
    for _ in 0..3 {
        rejected += usize::from(setup.send(method.clone(), path, "").await.status == 429);
    }
    assert!(rejected >= 2, "{rejected} of 3 calls rejected");
    assert_eq!(setup.stats().await, stats);
}

/// Guards against an outage during which a call succeeds, or that loses data.
#[rstest]
#[case::read(Method::GET, "/v1/kv/a")]
#[case::write(Method::PUT, "/v1/kv/a?expected=1")]
#[case::renewal(Method::POST, "/v1/renew/a?expected=1&ttl_ms=1")]
#[case::deletion(Method::DELETE, "/v1/kv/a?expected=1")]
#[case::watch(Method::GET, "/v1/watch/a?after=0&wait_ms=0")]
#[tokio::test]
async fn key_value_outage_rejects_every_call(#[case] method: Method, #[case] path: &str) {
    let setup = Setup::start("key-value", &[]).await;
    setup.put("/v1/kv/a?expected=0", "value-a").await;
    setup.set_fault(json!({"outage": true})).await;
    assert_eq!(setup.send(method, path, "next").await.status, 503);
    setup.set_fault(json!({})).await;
    let stored = setup.get("/v1/kv/a").await;
    assert_eq!(
        (stored.status, revision(&stored), stored.text().as_str()),
        (200, Some(1), "value-a")
    );
}

/// Guards against a watch that reports an outage only when its wait elapses.
#[tokio::test]
async fn key_value_outage_ends_watches() {
    let setup = Setup::start("key-value", &[]).await;
    let call = setup.call(Method::GET, "/v1/watch/fleet?after=0&wait_ms=20000");
    let watch = tokio::spawn({
        let http = setup.http.clone();
        async move { http.send(call).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    setup.set_fault(json!({"outage": true})).await;
    let response = watch.await.expect("the task ends").expect("the stand-in responds");
    assert_eq!(response.status, 503);
    assert!(response.elapsed < Duration::from_secs(10), "{:?}", response.elapsed);
}

/// Guards against a dropped response whose call has no effect either, which would hide duplicate
/// writes.
#[rstest]
#[case::write(Method::PUT, "/v1/kv/a?expected=1", Some((2, "next")))]
#[case::deletion(Method::DELETE, "/v1/kv/a?expected=1", None)]
#[case::read(Method::GET, "/v1/kv/a", Some((1, "value-a")))]
#[case::watch(Method::GET, "/v1/watch/a?after=0&wait_ms=0", Some((1, "value-a")))]
#[tokio::test]
async fn key_value_dropped_response_keeps_the_effect(
    #[case] method: Method,
    #[case] path: &str,
    #[case] want: Option<(u64, &str)>,
) {
    let setup = Setup::start("key-value", &[]).await;
    setup.put("/v1/kv/a?expected=0", "value-a").await;
    setup.set_fault(json!({"lose_answers": 1.0})).await;
    let dropped = setup.http.send(setup.call(method, path).with_body("next")).await;
    assert!(matches!(dropped, Err(Error::Broken(_))), "{dropped:?}");
    setup.set_fault(json!({})).await;
    let entry = setup.standin.get_key("a").await.expect("the stand-in responds");
    let entry = entry.map(|(value, revision)| (revision, value));
    assert_eq!(
        entry,
        want.map(|(revision, value)| (revision, Bytes::copy_from_slice(value.as_bytes())))
    );
}

/// Guards against a slow write that is cancelled when its client times out.
#[tokio::test]
async fn key_value_write_takes_effect_after_client_timeout() {
    let setup = Setup::start("key-value", &["--delay-ms", "400"]).await;
    let call = setup.call(Method::PUT, "/v1/kv/a?expected=0").with_body("value-a");
    let timed_out = setup.http.send(call.with_timeout(Duration::from_millis(100))).await;
    assert!(matches!(timed_out, Err(Error::Timeout(_))), "{timed_out:?}");
    setup.set_fault(json!({})).await;
    assert_eq!(setup.get("/v1/kv/a").await.status, 404);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(setup.get("/v1/kv/a").await.status, 200);
}

/// Guards against a size limit that is off by one, or that stores a truncated value.
#[rstest]
#[case::largest(MAX_VALUE_BYTES, 200, 200)]
#[case::too_large(MAX_VALUE_BYTES + 1, 413, 404)]
#[tokio::test]
async fn key_value_limits_the_value_size(
    #[case] bytes: usize,
    #[case] put_status: u16,
    #[case] get_status: u16,
) {
    let setup = Setup::start("key-value", &[]).await;
    assert_eq!(setup.put("/v1/kv/a?expected=0", &"x".repeat(bytes)).await.status, put_status);
    assert_eq!(setup.get("/v1/kv/a").await.status, get_status);
}

/// Guards against misspelt or out-of-range faults, which would silently inject nothing into a test.
#[rstest]
#[case::key_value_unknown_field("key-value", json!({"outtage": true}))]
#[case::key_value_probability("key-value", json!({"lose_answers": 1.5}))]
#[case::service_probability("service", json!({"fail_rate": -0.1}))]
#[case::service_factor("service", json!({"slow_factor": -1.0}))]
#[tokio::test]
async fn invalid_faults_are_rejected(#[case] kind: &str, #[case] fault: Value) {
    let setup = Setup::start(kind, &[]).await;
    assert_eq!(setup.send(Method::POST, "/admin/fault", &fault.to_string()).await.status, 400);
}

/// Guards against a list that shows a change before its lag has elapsed, or never.
#[tokio::test]
async fn instance_list_shows_changes_after_the_lag() {
    let setup = Setup::start("instances", &["--lag-ms", "400"]).await;
    let list = |state: &str| {
        json!({"instances": [{"id": "entry-0", "role": "entry", "address": "127.0.0.1:7000",
            "failure_domain": "a", "state": state}]})
    };
    let shown =
        async || setup.get("/v1/instances").await.json::<Value>().expect("the list is JSON");
    for (before, after) in
        [(json!({"instances": []}), list("live")), (list("live"), list("leaving"))]
    {
        let set_at = Instant::now();
        assert_eq!(setup.put("/admin/instances", &after.to_string()).await.status, 200);
        let early = shown().await;
        if set_at.elapsed() < Duration::from_millis(400) {
            assert_eq!(early, before);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(shown().await, after);
    }
}

/// Guards against entries that readers of the list can't parse.
#[rstest]
#[case::no_address(json!({"instances": [{"id": "a", "role": "entry", "failure_domain": "a", "state": "live"}]}))]
#[case::host_name(json!({"instances": [{"id": "a", "role": "entry", "address": "host:1", "failure_domain": "a", "state": "live"}]}))]
#[case::unknown_role(json!({"instances": [{"id": "a", "role": "cache", "address": "127.0.0.1:1", "failure_domain": "a", "state": "live"}]}))]
#[case::unknown_state(json!({"instances": [{"id": "a", "role": "entry", "address": "127.0.0.1:1", "failure_domain": "a", "state": "gone"}]}))]
#[tokio::test]
async fn instance_list_rejects_malformed_entries(#[case] list: Value) {
    let setup = Setup::start("instances", &[]).await;
    assert_eq!(setup.put("/admin/instances", &list.to_string()).await.status, 400);
    assert_eq!(setup.get("/v1/instances").await.text(), r#"{"instances":[]}"#);
}

/// Guards against a run that isn't counted, which would hide duplicate runs.
#[rstest]
#[case::plain(json!({}), Some(200))]
#[case::failed(json!({"fail_rate": 1.0}), Some(500))]
#[case::response_dropped(json!({"lose_answers": 1.0}), None)]
#[tokio::test]
async fn service_counts_every_run(#[case] fault: Value, #[case] status: Option<u16>) {
    let setup = Setup::start("service", &[]).await;
    setup.set_fault(fault).await;
    for key in ["one", "two", "two"] {
        let call = setup.call(Method::POST, "/lodge?paper=1").with_header("idempotency-key", key);
        let response = setup.http.send(call.with_body("notice")).await;
        assert_eq!(response.ok().map(|response| response.status), status);
    }
    let unkeyed = setup.http.send(setup.call(Method::GET, "/stock")).await;
    assert_eq!(unkeyed.ok().map(|response| response.status), status);
    let runs = setup.standin.runs().await.expect("the stand-in responds");
    let want = [("", 1), ("one", 1), ("two", 2)].map(|(key, count)| (key.to_owned(), count));
    assert_eq!(runs, want.into());
}

/// Guards against equal responses to different runs, which would make a second run look like a
/// replayed response.
#[tokio::test]
async fn service_responses_differ_between_runs() {
    let setup = Setup::start("service", &["--answer-bytes", "300000"]).await;
    let first = setup.post("/lodge").await;
    let second = setup.post("/lodge").await;
    assert_ne!(first.body, second.body);
    assert!(first.body.len() > 300_000);
}

/// Guards against a service that responds before its delay has elapsed.
#[rstest]
#[case::delay(json!({}), 200)]
#[case::slow(json!({"slow_factor": 3.0}), 600)]
#[tokio::test]
async fn service_responds_after_its_delay(#[case] fault: Value, #[case] min_ms: u64) {
    let setup = Setup::start("service", &["--delay-ms", "200"]).await;
    setup.set_fault(fault).await;
    let response = setup.post("/lodge").await;
    assert!(response.elapsed >= Duration::from_millis(min_ms), "{:?}", response.elapsed);
}

/// Guards against an admin request that is counted as a run.
#[tokio::test]
async fn service_admin_requests_are_not_counted() {
    let setup = Setup::start("service", &[]).await;
    assert_eq!(setup.send(Method::POST, "/admin/fault", "{").await.status, 400);
    assert_eq!(setup.get("/admin/unknown").await.status, 404);
    assert!(setup.standin.runs().await.expect("the stand-in responds").is_empty());
}

/// Guards against a fault that the proxy doesn't inject, by checking both what the client receives
/// and whether the call ran at the service.
#[rstest]
#[case::pass(Mode::PASS, Ok(200), 1)]
#[case::delay(Mode::PASS.with_delay_ms(100), Ok(200), 1)]
#[case::cut(Mode::CUT, Err("connect"), 0)]
#[case::blackhole(Mode::BLACKHOLE, Err("timeout"), 0)]
#[case::drop_answers(Mode::DROP_ANSWERS, Err("broken"), 1)]
#[tokio::test]
async fn proxy_injects_faults(
    #[case] mode: Mode,
    #[case] want: Result<u16, &str>,
    #[case] runs: u64,
    #[values(false, true)] has_open_connection: bool,
) {
    let setup = Setup::start("service", &[]).await;
    let proxy = setup.proxy().await;
    let address = proxy.links[0].address;
    if has_open_connection {
        setup.http.send(Call::get(address, "/warm-up")).await.expect("the link passes the request");
    }
    proxy.links[0].set_mode(mode).await.expect("the mode is accepted");
    // Gives the client time to notice that its pooled connection is closed.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let call = Call::post(address, "/lodge").with_header("idempotency-key", "key");
    let response = setup.http.send(call.with_body("notice").with_timeout(HANG_TIMEOUT)).await;
    let got = match response {
        Ok(response) => Ok(response.status),
        Err(Error::Connect(_)) => Err("connect"),
        Err(Error::Timeout(_)) => Err("timeout"),
        Err(Error::Broken(_)) => Err("broken"),
        Err(Error::Malformed(_)) => Err("malformed"),
    };
    assert_eq!(got, want);
    let counted = setup.standin.runs().await.expect("the stand-in responds");
    assert_eq!(counted.get("key").copied().unwrap_or_default(), runs);
}

/// Guards against a fault that continues after its mode ends or affects another link.
#[rstest]
#[case::cut(Mode::CUT)]
#[case::blackhole(Mode::BLACKHOLE)]
#[case::drop_answers(Mode::DROP_ANSWERS)]
#[tokio::test]
async fn proxy_faults_end_and_affect_one_link(#[case] mode: Mode) {
    let setup = Setup::start("service", &[]).await;
    let proxy = setup.proxy().await;
    let status = async |link: usize| {
        let call = Call::get(proxy.links[link].address, "/stock").with_timeout(HANG_TIMEOUT);
        setup.http.send(call).await.map(|response| response.status).ok()
    };
    proxy.links[0].set_mode(mode).await.expect("the mode is accepted");
    assert_eq!((status(0).await, status(1).await), (None, Some(200)));
    proxy.links[0].set_mode(Mode::PASS).await.expect("the mode is accepted");
    assert_eq!((status(0).await, status(1).await), (Some(200), Some(200)));
    proxy.set_mode(mode).await.expect("the mode is accepted");
    assert_eq!((status(0).await, status(1).await), (None, None));
}

/// Guards against bytes that are lost or reordered when a black hole ends.
#[tokio::test]
async fn proxy_blackhole_preserves_bytes() {
    let setup = Setup::start("service", &[]).await;
    let proxy = setup.proxy().await;
    let link = &proxy.links[0];
    link.set_mode(Mode::BLACKHOLE).await.expect("the mode is accepted");
    let call = Call::post(link.address, "/lodge").with_body("x".repeat(200_000));
    let running = tokio::spawn({
        let http = setup.http.clone();
        async move { http.send(call).await }
    });
    tokio::time::sleep(HANG_TIMEOUT).await;
    link.set_mode(Mode::PASS).await.expect("the mode is accepted");
    let response = running.await.expect("the task ends").expect("the service responds");
    assert_eq!(response.json::<Value>().expect("the response is JSON")["body_bytes"], 200_000);
    assert!(response.elapsed >= HANG_TIMEOUT, "{:?}", response.elapsed);
}

/// Guards against a delay or a bandwidth limit that isn't applied. The response has 100,000 bytes.
#[rstest]
#[case::delay(Mode::PASS.with_delay_ms(150), 300, 2_000)]
#[case::bandwidth(Mode::PASS.with_bytes_per_s(200_000), 500, 3_000)]
#[tokio::test]
async fn proxy_applies_delay_and_bandwidth(
    #[case] mode: Mode,
    #[case] min_ms: u64,
    #[case] max_ms: u64,
) {
    let setup = Setup::start("service", &["--answer-bytes", "100000"]).await;
    let proxy = setup.proxy().await;
    proxy.links[0].set_mode(mode).await.expect("the mode is accepted");
    let response = setup.http.send(Call::get(proxy.links[0].address, "/stock")).await;
    let elapsed = response.expect("the service responds").elapsed;
    let range = Duration::from_millis(min_ms)..Duration::from_millis(max_ms);
    assert!(range.contains(&elapsed), "{elapsed:?}");
    let stats = proxy.stats().await.expect("the proxy responds");
    assert!(stats[0].answer_bytes > 100_000);
    assert_eq!(stats[1].answer_bytes, 0);
}
