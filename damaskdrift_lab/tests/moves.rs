//! Tests of moves between versions with real processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use damaskdrift_core::{fleet, id};
use damaskdrift_lab::harness::fleet::{KEY, MODEL, WORKSPACE};
use damaskdrift_lab::harness::{Call, Client, Fleet, Standin};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};

/// Mean time between two prompts.
const PROMPT_INTERVAL: Duration = Duration::from_millis(6);
/// Time given to a move.
const WITHIN_MS: u64 = 60_000;
/// Time after a veto from which the version gets no prompt.
const GRACE: Duration = Duration::from_secs(2);

/// A fleet with an engine of another version and a steady load.
struct Setting {
    fleet: Fleet,
    new: Standin,
    load: Load,
    _folder: tempfile::TempDir,
}

/// Prompts of many callers, sent until dropped.
struct Load {
    is_over: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
}

impl Setting {
    async fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let args = ["--model", MODEL, "--version", "v2", "--cold-limit", "64"];
        let args = args.map(str::to_owned);
        let new = Standin::start("engine", "new", &args, folder.path(), &Client::new()).await;
        let new = new.expect("the engine starts");
        let upstream = fleet::Upstream {
            address: new.address.to_string(),
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
        // The old version must have shown its usual latency before it is compared.
        tokio::time::sleep(Duration::from_secs(2)).await;
        Self { fleet, new, load, _folder: folder }
    }

    async fn start_move(&self) {
        let (_, revision) = self.fleet.document().await.expect("the document can be read");
        let now = std::time::SystemTime::UNIX_EPOCH.elapsed().expect("the clock is set");
        let deadline = u64::try_from(now.as_millis()).expect("the time fits") + WITHIN_MS;
        let body = json!({"id": "m", "workspace": WORKSPACE, "model": MODEL, "version": "v2",
            "deadline": deadline});
        let path = format!("/v1/moves?expected={revision}");
        let call = self.fleet.instances[0].operator_call(Method::POST, &path).with_json(&body);
        let answer = self.fleet.http.send(call).await.expect("the instance answers");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    /// Returns the move as one instance describes it.
    async fn described(&self, instance: usize) -> Value {
        let call = self.fleet.instances[instance].operator_call(Method::GET, "/v1/moves");
        let answer = self.fleet.http.send(call).await.expect("the instance answers");
        answer.json::<Value>().expect("the answer is JSON")["moves"][0].clone()
    }

    /// Waits until an instance's description of the move fits, and returns it.
    async fn wait(
        &self,
        instance: usize,
        limit: Duration,
        is_met: impl Fn(&Value) -> bool,
    ) -> Value {
        let start = Instant::now();
        loop {
            let described = self.described(instance).await;
            if is_met(&described) {
                return described;
            }
            assert!(start.elapsed() < limit, "not met within {limit:?}: {described}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the instance that holds the driver's lease.
    async fn driver(&self) -> Option<usize> {
        let lease = self.fleet.key_value.get_key("move-driver").await;
        let (holder, _) = lease.expect("the service answers")?;
        let holder = String::from_utf8_lossy(&holder).into_owned();
        let name = holder.split(' ').next();
        self.fleet.instances.iter().position(|instance| Some(instance.id.as_str()) == name)
    }

    async fn requests(&self) -> u64 {
        let stats: Value = self.new.stats().await.expect("the engine answers");
        stats["requests"].as_u64().expect("the engine counts requests")
    }

    /// Checks that the new version gets no prompt later than the grace time.
    async fn assert_unused(&self) {
        tokio::time::sleep(GRACE).await;
        let before = self.requests().await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(self.requests().await, before, "the version still gets prompts");
    }
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let load = Self { is_over: Arc::default(), sent: Arc::default(), failed: Arc::default() };
        let calls: Vec<_> = fleet
            .instances
            .iter()
            .map(|instance| instance.call(Method::POST, "/v1/completions", KEY))
            .collect();
        let (is_over, sent, failed) =
            (load.is_over.clone(), load.sent.clone(), load.failed.clone());
        let http = fleet.http.clone();
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(PROMPT_INTERVAL);
            while !is_over.load(Ordering::Relaxed) {
                ticks.tick().await;
                let number = sent.fetch_add(1, Ordering::Relaxed);
                let body = json!({"model": MODEL, "prompt": format!("caller {}", number % 997),
                    "max_tokens": 2});
                let call: Call = calls[number as usize % calls.len()].clone().with_json(&body);
                let (http, failed) = (http.clone(), failed.clone());
                tokio::spawn(async move {
                    let is_good = http.send(call).await.is_ok_and(|answer| answer.status == 200);
                    failed.fetch_add(u64::from(!is_good), Ordering::Relaxed);
                });
            }
        });
        load
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

fn state(described: &Value) -> &str {
    described["state"]["state"].as_str().unwrap_or_default()
}

/// Guards against a good version that is not done when its driver is killed or paused on the way,
/// a paused driver that goes on with its lost lease, and a status that does not say so.
#[rstest]
#[case::killed(false)]
#[case::paused(true)]
#[tokio::test(flavor = "multi_thread")]
async fn good_version_is_done_although_its_driver_fails(#[case] is_paused: bool) {
    let mut setting = Setting::start().await;
    setting.start_move().await;
    let limit = Duration::from_millis(WITHIN_MS);
    setting.wait(0, limit, |m| m["step"].as_u64() >= Some(2)).await;
    let driver = setting.driver().await.expect("an instance drives");
    let process = &mut setting.fleet.instances[driver].process;
    if is_paused { process.freeze() } else { process.kill() }.expect("the driver runs");
    let other = (driver + 1) % 3;
    let start = Instant::now();
    while setting.driver().await.is_none_or(|present| present == driver) {
        assert!(start.elapsed() < Duration::from_secs(20), "there is no successor");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let successor = setting.driver().await;
    if is_paused {
        setting.fleet.instances[driver].process.thaw().expect("the driver is frozen");
        tokio::time::sleep(GRACE).await;
        assert_eq!(setting.driver().await, successor, "the paused driver holds the lease");
    }
    let m = setting.wait(other, limit, |m| state(m) == "done").await;
    let sentence = m["sentence"].as_str().expect("there is a sentence");
    assert!(sentence.starts_with("move m is done: all of kernel of notices goes to v2"), "{m}");
    assert!(m["fencing"].as_u64() > Some(0), "{m}");
    let before = setting.fleet.engines[0].stats::<Value>().await.expect("the engine answers");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = setting.fleet.engines[0].stats::<Value>().await.expect("the engine answers");
    assert_eq!(before["requests"], after["requests"], "the old version still gets prompts");
}

/// Guards against a bad version that is not rolled back or gets more than its share.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_rolled_back() {
    let setting = Setting::start().await;
    setting.new.set_fault(&json!({"fail_rate": 1.0})).await.expect("the engine answers");
    let before = setting.load.sent.load(Ordering::Relaxed);
    setting.start_move().await;
    let limit = Duration::from_millis(WITHIN_MS);
    let m = setting.wait(0, limit, |m| state(m) == "rolled-back").await;
    let sentence = m["sentence"].as_str().expect("there is a sentence");
    assert!(sentence.starts_with("move m has been rolled back"), "{m}");
    assert!(sentence.contains("requests failed"), "{m}");
    let sent = setting.load.sent.load(Ordering::Relaxed) - before;
    let bad = setting.requests().await;
    // With few prompts, the share of the callers that come first may exceed the mean.
    assert!(bad <= 10 + sent / 50, "{bad} of {sent} prompts went to the bad version");
    setting.assert_unused().await;
}

/// Guards against a veto that needs the key-value service, and one that is forgotten when the
/// service comes back.
#[tokio::test(flavor = "multi_thread")]
async fn version_that_turns_bad_in_an_outage_is_rolled_back() {
    let setting = Setting::start().await;
    setting.start_move().await;
    let limit = Duration::from_millis(WITHIN_MS);
    setting.wait(0, limit, |m| m["step"].as_u64() >= Some(3)).await;
    let key_value = &setting.fleet.key_value;
    key_value.set_fault(&json!({"outage": true})).await.expect("the service answers");
    setting.new.set_fault(&json!({"slow_factor": 20.0})).await.expect("the engine answers");
    for instance in 0..3 {
        let is_vetoed = |m: &Value| m["why"].as_str().is_some_and(|why| why.contains("vetoed"));
        setting.wait(instance, Duration::from_secs(20), is_vetoed).await;
    }
    setting.assert_unused().await;
    assert_eq!(state(&setting.described(0).await), "running");
    let failed = setting.load.failed.load(Ordering::Relaxed);
    assert_eq!(failed, 0, "prompts failed in the outage");
    key_value.set_fault(&json!({"outage": false})).await.expect("the service answers");
    let m = setting.wait(1, Duration::from_secs(20), |m| state(m) == "rolled-back").await;
    assert!(m["sentence"].as_str().is_some_and(|why| why.contains("token")), "{m}");
    setting.assert_unused().await;
}
