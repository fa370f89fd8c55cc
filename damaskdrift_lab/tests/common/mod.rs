//! Fleets, fault injection, load and sampling for tests of configuration and membership.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::net;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use damaskdrift_lab::harness::fleet::{self, MODEL};
use damaskdrift_lab::harness::instance::OPERATOR_TOKEN;
use damaskdrift_lab::harness::{Builder, Call, Client, Fleet, Response};
use damaskdrift_lab::proxy::Mode;
use damaskdrift_lab::standin::key_value::Fault;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

/// Failure domains of every fleet; each has one engine.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Pause between a response and the next prompt to the same instance.
const PROMPT_PAUSE: Duration = Duration::from_millis(20);
/// Number of concurrent prompts of a burst.
const BURST_PROMPTS: u64 = 60;
/// Pause between two status requests to an instance.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for the response to a prompt.
const PROMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Fault that is injected into the victim, which is the last instance, or into the whole fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// No fault.
    None,
    /// The victim cannot reach the key-value service.
    NoKeyValue,
    /// The victim and its peers cannot reach each other.
    NoPeers,
    /// The victim reaches neither the key-value service nor its peers; connections are closed.
    Isolated,
    /// The victim reaches neither the key-value service nor its peers; connections hang.
    Blackhole,
    /// The victim is suspended with SIGSTOP.
    Frozen,
    /// The victim is suspended with SIGSTOP and all its connections hang.
    FrozenIsolated,
    /// The key-value service delays every call by 400 ms, for all instances.
    SlowKeyValue,
}

/// Result of one prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Index of the instance that it was sent to.
    pub instance: usize,
    /// Time at which it was sent.
    pub sent_at: Instant,
    /// Time at which the response was complete or the attempt failed.
    pub answered_at: Instant,
    /// HTTP status; 0 if there was no complete response.
    pub status: u16,
    /// Name of the upstream that ran it; empty if the response names none.
    pub upstream: String,
    /// Response body, or the error if there is no complete response.
    pub text: String,
}

/// Revision that an instance reported in one status response.
#[derive(Clone, Debug)]
pub struct RevisionSample {
    /// Index of the instance.
    pub instance: usize,
    /// Time at which the response arrived.
    pub at: Instant,
    /// Revision of the fleet document that the instance has installed.
    pub revision: u64,
}

/// Background tasks that send requests and record the results until they are stopped.
pub struct Recorder<T> {
    tasks: JoinSet<()>,
    log: Arc<Mutex<Vec<T>>>,
}

/// Returns a builder with an engine in each failure domain and with links for fault injection.
pub fn builder(instances: usize) -> Builder {
    Fleet::builder()
        .with_instances(instances)
        .with_failure_domains(&DOMAINS)
        .with_engines(DOMAINS.len())
        .with_engine_args(&["--model", MODEL, "--version", fleet::VERSION, "--cold-limit", "64"])
        .with_engine_args(&["--load-ms", "0", "--default-tokens", "1"])
        .with_engine_limits(64, 64)
        .with_key_value_links()
        .with_peer_links()
}

/// Starts a fleet and waits until every instance is ready and sees all others alive.
pub async fn start(instances: usize) -> Fleet {
    let mut fleet = builder(instances).start().await.expect("the fleet starts");
    wait_for_all_alive(&mut fleet).await;
    fleet
}

/// Waits until every instance reports all others as alive.
pub async fn wait_for_all_alive(fleet: &mut Fleet) {
    let deadline = Instant::now() + Duration::from_secs(10);
    for i in 0..fleet.instances.len() {
        loop {
            let members = status(fleet, i).await.map(|status| liveness(&status));
            let all_alive = |members: Vec<(String, String)>| {
                members.len() + 1 == fleet.instances.len()
                    && members.iter().all(|(_, liveness)| liveness == "alive")
            };
            if members.is_some_and(all_alive) {
                break;
            }
            assert!(Instant::now() < deadline, "instance {i} does not report all others as alive");
            time::sleep(SAMPLE_INTERVAL).await;
        }
    }
}

/// Injects a fault into the last instance or into the whole fleet.
pub async fn inject_fault(fleet: &mut Fleet, fault: FaultKind) {
    let victim = fleet.instances.len() - 1;
    let result = match fault {
        FaultKind::None => Ok(()),
        FaultKind::NoKeyValue => fleet.key_value_link(victim).set_mode(Mode::CUT).await,
        FaultKind::NoPeers => fleet.set_peer_mode(victim, Mode::CUT).await,
        FaultKind::Isolated => fleet.set_isolation(victim, Mode::CUT).await,
        FaultKind::Blackhole => fleet.set_isolation(victim, Mode::BLACKHOLE).await,
        FaultKind::Frozen => fleet.instances[victim].process.freeze(),
        FaultKind::FrozenIsolated => {
            fleet.set_isolation(victim, Mode::BLACKHOLE).await.expect("the mode is accepted");
            fleet.instances[victim].process.freeze()
        }
        FaultKind::SlowKeyValue => {
            let fault = Fault { delay_ms: 400, ..Fault::default() };
            fleet.key_value.set_fault(&fault).await
        }
    };
    result.expect("the fault is set");
}

/// Removes a fault that [`inject_fault`] injected.
pub async fn clear_fault(fleet: &mut Fleet, fault: FaultKind) {
    let victim = fleet.instances.len() - 1;
    if fault.is_frozen() {
        fleet.instances[victim].process.thaw().expect("the process is resumed");
    }
    fleet.set_isolation(victim, Mode::PASS).await.expect("the links are restored");
    fleet.key_value.set_fault(&Fault::default()).await.expect("the fault is removed");
}

/// Starts or ends an outage of the key-value service.
pub async fn set_outage(fleet: &Fleet, outage: bool) {
    let fault = Fault { outage, ..Fault::default() };
    fleet.key_value.set_fault(&fault).await.expect("the fault is set");
}

/// Asks an instance's operators' listener to take a failure domain `out` of service or back `in`.
///
/// The change is made only if the fleet document still has the revision `expected`.
pub async fn set_domain(
    fleet: &Fleet,
    instance: usize,
    domain: &str,
    state: &str,
    expected: u64,
) -> Response {
    let path = format!("/v1/domains/{domain}/{state}?expected={expected}");
    let instance = &fleet.instances[instance];
    let call = instance.operator_call(hyper::Method::POST, &path);
    instance.send(call).await.expect("the operators' listener responds")
}

/// Takes a failure domain out of service and returns the response to the accepted change.
pub async fn take_out(fleet: &Fleet, instance: usize, domain: &str) -> Value {
    let (_, revision) = fleet.document().await.expect("the document can be read");
    let response = set_domain(fleet, instance, domain, "out", revision).await;
    let response = response.ok().expect("the change is accepted");
    response.json().expect("the response is JSON")
}

/// Returns the instance names in a field of a response to an operator.
pub fn instance_names(response: &Value, key: &str) -> Vec<String> {
    let list = response[key].as_array().expect("a list");
    list.iter().filter_map(|name| name.as_str().map(str::to_owned)).collect()
}

/// Returns an instance's status, or `None` if it does not respond within 1 s.
pub async fn status(fleet: &Fleet, instance: usize) -> Option<Value> {
    status_at(&fleet.http, fleet.instances[instance].listen.operators).await
}

/// Returns the name and liveness of each member in a status.
pub fn liveness(status: &Value) -> Vec<(String, String)> {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let members = status["members"].as_array().expect("a list of members");
    members.iter().map(|m| (text(&m["instance"]), text(&m["liveness"]))).collect()
}

/// Returns the number of requests that an engine has received.
pub async fn engine_requests(fleet: &Fleet, engine: usize) -> u64 {
    let stats: Value = fleet.engines[engine].stats().await.expect("the engine responds");
    stats["requests"].as_u64().expect("a number")
}

/// Sends prompts to every instance, one after another, until the recorder is stopped.
pub fn send_prompts(fleet: &Fleet) -> Recorder<Prompt> {
    let mut recorder = Recorder::new();
    for (instance, process) in fleet.instances.iter().enumerate() {
        let (http, address) = (fleet.http.clone(), process.listen.callers);
        let log = recorder.log.clone();
        recorder.tasks.spawn(async move {
            for number in 0_u64.. {
                let prompt = send_prompt(&http, instance, address, number).await;
                log.lock().expect("no panic under the lock").push(prompt);
                time::sleep(PROMPT_PAUSE).await;
            }
        });
    }
    recorder
}

/// Sends concurrent prompts to one instance.
pub fn send_burst(fleet: &Fleet, instance: usize) -> JoinSet<Prompt> {
    let address = fleet.instances[instance].listen.callers;
    let mut calls = JoinSet::new();
    for number in 0..BURST_PROMPTS {
        let http = fleet.http.clone();
        calls.spawn(async move { send_prompt(&http, instance, address, number).await });
    }
    calls
}

/// Samples every instance's revision until the recorder is stopped.
pub fn sample_revisions(fleet: &Fleet) -> Recorder<RevisionSample> {
    let mut recorder = Recorder::new();
    for (instance, process) in fleet.instances.iter().enumerate() {
        let (http, address) = (fleet.http.clone(), process.listen.operators);
        let log = recorder.log.clone();
        recorder.tasks.spawn(async move {
            loop {
                if let Some(status) = status_at(&http, address).await {
                    let revision = status["revision"].as_u64().expect("a number");
                    let sample = RevisionSample { instance, at: Instant::now(), revision };
                    log.lock().expect("no panic under the lock").push(sample);
                }
                time::sleep(SAMPLE_INTERVAL).await;
            }
        });
    }
    recorder
}

/// Asserts that no instance ever reverted to a lower revision.
pub fn assert_no_reversion(samples: &[RevisionSample]) {
    let mut latest = std::collections::BTreeMap::new();
    for sample in samples {
        let previous = latest.insert(sample.instance, sample.revision).unwrap_or(0);
        assert!(
            sample.revision >= previous,
            "instance {} reverted from revision {previous} to {}",
            sample.instance,
            sample.revision
        );
    }
}

/// Sends one prompt and waits for its response.
pub async fn send_prompt(
    http: &Client,
    instance: usize,
    address: net::SocketAddr,
    number: u64,
) -> Prompt {
    let body = serde_json::json!({
        "model": MODEL, "prompt": format!("prompt {instance} {number}"), "max_tokens": 1
    });
    let call = Call::post(address, "/v1/completions")
        .with_bearer(fleet::KEY)
        .with_timeout(PROMPT_TIMEOUT)
        .with_json(&body);
    let sent_at = Instant::now();
    let response = http.send(call).await;
    let answered_at = Instant::now();
    let (status, upstream, text) = match response {
        Ok(response) => {
            let request_id = response.header("x-request-id").unwrap_or_default().to_owned();
            let upstream = request_id.split('.').next().unwrap_or_default().to_owned();
            (response.status, upstream, response.text())
        }
        Err(error) => (0, String::new(), error.to_string()),
    };
    Prompt { instance, sent_at, answered_at, status, upstream, text }
}

async fn status_at(http: &Client, address: net::SocketAddr) -> Option<Value> {
    let call = Call::get(address, "/v1/status")
        .with_bearer(OPERATOR_TOKEN)
        .with_timeout(Duration::from_secs(1));
    http.send(call).await.ok()?.json().ok()
}

impl FaultKind {
    /// Returns whether the fault suspends the victim with SIGSTOP.
    pub fn is_frozen(self) -> bool {
        matches!(self, Self::Frozen | Self::FrozenIsolated)
    }
}

impl<T: Clone> Recorder<T> {
    fn new() -> Self {
        Self { tasks: JoinSet::new(), log: Arc::default() }
    }

    /// Stops the tasks and returns what they recorded.
    pub async fn stop(mut self) -> Vec<T> {
        self.tasks.shutdown().await;
        self.log.lock().expect("no panic under the lock").clone()
    }
}
