//! Process tests of version moves while drivers, engines or the key-value service fail.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use damaskdrift_core::{fleet, id};
use damaskdrift_lab::harness::fleet::{KEY, MODEL, WORKSPACE};
use damaskdrift_lab::harness::{Call, Client, Fleet, Standin};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};

/// Interval between prompts.
const PROMPT_INTERVAL: Duration = Duration::from_millis(6);
/// Time from the start of a move to its deadline.
const DEADLINE_MS: u64 = 60_000;
/// Time after a veto or a change of the driver within which it must have taken effect.
const GRACE: Duration = Duration::from_secs(2);

/// A fleet under a steady load, with one engine of the current and one of the new version.
struct Fixture {
    fleet: Fleet,
    new_engine: Standin,
    load: Load,
    _dir: tempfile::TempDir,
}

/// Steady prompts of many callers, sent until this is dropped.
struct Load {
    is_stopped: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
}

impl Fixture {
    async fn start() -> Self {
        let dir = tempfile::tempdir().expect("a directory can be created");
        let args = ["--model", MODEL, "--version", "v2", "--cold-limit", "64"];
        let args = args.map(str::to_owned);
        let engine = Standin::start("engine", "new", &args, dir.path(), &Client::new()).await;
        let new_engine = engine.expect("the engine starts");
        let upstream = fleet::Upstream {
            address: new_engine.address.to_string(),
            failure_domain: id::FailureDomain::new("a"),
            fencing: fleet::Fencing::Checked,
            kind: fleet::Kind::Engine {
                model: id::Model::new(MODEL),
                version: id::Version::new("v2"),
                cold_limit: 64,
                warm_limit: 64,
            },
        };
        let builder = Fleet::builder().with_instances(3).with_engines(1);
        let builder = builder.with_engine_limits(64, 64).with_document_edit(|document| {
            document.upstreams.insert(id::Upstream::new("new"), upstream);
        });
        let fleet = builder.start().await.expect("the fleet starts");
        let load = Load::start(&fleet);
        // The move compares latencies, so it needs samples of the old version first.
        tokio::time::sleep(Duration::from_secs(2)).await;
        Self { fleet, new_engine, load, _dir: dir }
    }

    async fn start_move(&self) {
        let (_, revision) = self.fleet.document().await.expect("the document can be read");
        let now = std::time::SystemTime::UNIX_EPOCH.elapsed().expect("the clock is set");
        let deadline = u64::try_from(now.as_millis()).expect("the time fits") + DEADLINE_MS;
        let body = json!({"id": "m", "workspace": WORKSPACE, "model": MODEL, "version": "v2",
            "deadline": deadline});
        let path = format!("/v1/moves?expected={revision}");
        let call = self.fleet.instances[0].operator_call(Method::POST, &path).with_json(&body);
        let response = self.fleet.http.send(call).await.expect("the instance responds");
        assert_eq!(response.status, 200, "{}", response.text());
    }

    /// Returns the status of the move according to an instance.
    async fn move_status(&self, instance: usize) -> Value {
        let call = self.fleet.instances[instance].operator_call(Method::GET, "/v1/moves");
        let response = self.fleet.http.send(call).await.expect("the instance responds");
        response.json::<Value>().expect("the response is JSON")["moves"][0].clone()
    }

    /// Waits until the status of the move meets a condition, and returns the status.
    async fn wait_for_status(
        &self,
        instance: usize,
        timeout: Duration,
        is_met: impl Fn(&Value) -> bool,
    ) -> Value {
        let start = Instant::now();
        loop {
            let status = self.move_status(instance).await;
            if is_met(&status) {
                return status;
            }
            assert!(
                start.elapsed() < timeout,
                "the move did not reach the status within {timeout:?}: {status}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the index of the instance that holds the lease of the move's driver.
    async fn driver(&self) -> Option<usize> {
        let lease = self.fleet.key_value.get_key("move-driver").await;
        let (holder, _) = lease.expect("the service responds")?;
        let holder = String::from_utf8_lossy(&holder).into_owned();
        let name = holder.split(' ').next();
        self.fleet.instances.iter().position(|instance| Some(instance.id.as_str()) == name)
    }

    /// Returns the number of requests that the engine of the new version has received.
    async fn new_engine_requests(&self) -> u64 {
        let stats: Value = self.new_engine.stats().await.expect("the engine responds");
        stats["requests"].as_u64().expect("the engine counts requests")
    }

    /// Asserts that the new version gets no prompts after the grace period.
    async fn assert_no_new_requests(&self) {
        tokio::time::sleep(GRACE).await;
        let before = self.new_engine_requests().await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(self.new_engine_requests().await, before, "the version still gets prompts");
    }
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let load =
            Self { is_stopped: Arc::default(), sent: Arc::default(), failed: Arc::default() };
        let calls: Vec<_> = fleet
            .instances
            .iter()
            .map(|instance| instance.call(Method::POST, "/v1/completions", KEY))
            .collect();
        let (is_stopped, sent, failed) =
            (load.is_stopped.clone(), load.sent.clone(), load.failed.clone());
        let http = fleet.http.clone();
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(PROMPT_INTERVAL);
            while !is_stopped.load(Ordering::Relaxed) {
                ticks.tick().await;
                let number = sent.fetch_add(1, Ordering::Relaxed);
                let body = json!({"model": MODEL, "prompt": format!("caller {}", number % 997),
                    "max_tokens": 2});
                let call: Call = calls[number as usize % calls.len()].clone().with_json(&body);
                let (http, failed) = (http.clone(), failed.clone());
                tokio::spawn(async move {
                    let is_ok = http.send(call).await.is_ok_and(|response| response.status == 200);
                    failed.fetch_add(u64::from(!is_ok), Ordering::Relaxed);
                });
            }
        });
        load
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

fn state(status: &Value) -> &str {
    status["state"]["state"].as_str().unwrap_or_default()
}

/// Guards against a move to a good version that does not complete when its driver is killed or
/// paused, a resumed driver that keeps acting after its lease expired, and a status that does not
/// report completion.
#[rstest]
#[case::killed(false)]
#[case::paused(true)]
#[tokio::test(flavor = "multi_thread")]
async fn move_to_a_good_version_completes_when_its_driver_fails(#[case] is_paused: bool) {
    let mut fixture = Fixture::start().await;
    fixture.start_move().await;
    let timeout = Duration::from_millis(DEADLINE_MS);
    fixture.wait_for_status(0, timeout, |m| m["step"].as_u64() >= Some(2)).await;
    let driver = fixture.driver().await.expect("an instance drives the move");
    let process = &mut fixture.fleet.instances[driver].process;
    if is_paused { process.freeze() } else { process.kill() }.expect("the driver is running");
    let other = (driver + 1) % 3;
    let start = Instant::now();
    while fixture.driver().await.is_none_or(|present| present == driver) {
        assert!(start.elapsed() < Duration::from_secs(20), "no successor took the lease");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let successor = fixture.driver().await;
    if is_paused {
        fixture.fleet.instances[driver].process.thaw().expect("the driver is frozen");
        tokio::time::sleep(GRACE).await;
        assert_eq!(fixture.driver().await, successor, "the resumed driver holds the lease");
    }
    let m = fixture.wait_for_status(other, timeout, |m| state(m) == "done").await;
    let sentence = m["sentence"].as_str().expect("the status has a sentence");
    assert!(sentence.starts_with("move m is done: all of kernel of notices goes to v2"), "{m}");
    assert!(m["fencing"].as_u64() > Some(0), "{m}");
    let before = fixture.fleet.engines[0].stats::<Value>().await.expect("the engine responds");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = fixture.fleet.engines[0].stats::<Value>().await.expect("the engine responds");
    assert_eq!(before["requests"], after["requests"], "the old version still gets prompts");
}

/// Guards against a bad version that is not rolled back, or that gets more than its share of the
/// prompts.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_rolled_back() {
    let fixture = Fixture::start().await;
    fixture.new_engine.set_fault(&json!({"fail_rate": 1.0})).await.expect("the engine responds");
    let before = fixture.load.sent.load(Ordering::Relaxed);
    fixture.start_move().await;
    let timeout = Duration::from_millis(DEADLINE_MS);
    let m = fixture.wait_for_status(0, timeout, |m| state(m) == "rolled-back").await;
    let sentence = m["sentence"].as_str().expect("the status has a sentence");
    assert!(sentence.starts_with("move m has been rolled back"), "{m}");
    assert!(sentence.contains("requests failed"), "{m}");
    let sent = fixture.load.sent.load(Ordering::Relaxed) - before;
    let bad = fixture.new_engine_requests().await;
    // With few prompts, the share of callers on the new version can exceed the mean.
    assert!(bad <= 10 + sent / 50, "{bad} of {sent} prompts went to the bad version");
    fixture.assert_no_new_requests().await;
}

/// Guards against a veto that takes effect only while the key-value service is reachable, and one
/// that is lost when the service recovers.
#[tokio::test(flavor = "multi_thread")]
async fn version_that_degrades_in_an_outage_is_rolled_back() {
    let fixture = Fixture::start().await;
    fixture.start_move().await;
    let timeout = Duration::from_millis(DEADLINE_MS);
    fixture.wait_for_status(0, timeout, |m| m["step"].as_u64() >= Some(3)).await;
    let key_value = &fixture.fleet.key_value;
    key_value.set_fault(&json!({"outage": true})).await.expect("the service responds");
    fixture.new_engine.set_fault(&json!({"slow_factor": 20.0})).await.expect("the engine responds");
    for instance in 0..3 {
        let is_vetoed = |m: &Value| m["why"].as_str().is_some_and(|why| why.contains("vetoed"));
        fixture.wait_for_status(instance, Duration::from_secs(20), is_vetoed).await;
    }
    fixture.assert_no_new_requests().await;
    assert_eq!(state(&fixture.move_status(0).await), "running");
    let failed = fixture.load.failed.load(Ordering::Relaxed);
    assert_eq!(failed, 0, "prompts failed in the outage");
    key_value.set_fault(&json!({"outage": false})).await.expect("the service responds");
    let m =
        fixture.wait_for_status(1, Duration::from_secs(20), |m| state(m) == "rolled-back").await;
    assert!(m["sentence"].as_str().is_some_and(|why| why.contains("token")), "{m}");
    fixture.assert_no_new_requests().await;
}
