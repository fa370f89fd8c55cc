//! Fleets with faults, load and observers for tests of configuration and membership.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use damaskdrift_lab::harness::fleet::{self, MODEL};
use damaskdrift_lab::harness::instance::OPERATOR_TOKEN;
use damaskdrift_lab::harness::{Answer, Builder, Call, Client, Fleet};
use damaskdrift_lab::proxy::Mode;
use damaskdrift_lab::standin::key_value::Fault;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

/// Failure domains of every fleet.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Pause between two prompts to one instance.
const PROMPT_PAUSE: Duration = Duration::from_millis(20);
/// Prompts of a burst.
const BURST: u64 = 60;
/// Pause between two looks at an instance.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for an answer to a prompt or a look.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// What happens to the victim, the last instance, or to the whole fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// The victim cannot reach the key-value service.
    NoService,
    /// The victim and its peers cannot reach each other.
    NoPeers,
    /// The victim reaches neither; connections break.
    Isolated,
    /// The victim reaches neither; connections hang.
    Blackhole,
    /// The victim is stopped by SIGSTOP.
    Frozen,
    /// The victim is stopped by SIGSTOP and is cut off from all others.
    FrozenIsolated,
    /// The key-value service is slow for all.
    SlowService,
}

/// The result of one prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The instance it was sent to.
    pub instance: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it was answered.
    pub answered: Instant,
    /// The status; 0 when there was no complete answer.
    pub status: u16,
    /// The upstream that ran it.
    pub upstream: String,
    /// The answer's body, or why there is none.
    pub text: String,
}

/// What an observer saw of an instance.
#[derive(Clone, Debug)]
pub struct Look {
    /// The instance.
    pub instance: usize,
    /// When it answered.
    pub at: Instant,
    /// The installed revision.
    pub revision: u64,
}

/// Tasks that send calls until they are stopped.
pub struct Recorder<T> {
    tasks: JoinSet<()>,
    log: Arc<Mutex<Vec<T>>>,
}

/// Returns a fleet with an engine in each failure domain and links for faults.
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

/// Starts a fleet and waits until every instance is ready.
pub async fn start(instances: usize) -> Fleet {
    let mut fleet = builder(instances).start().await.expect("the fleet starts");
    settle(&mut fleet).await;
    fleet
}

/// Waits until every instance knows that all others are alive.
pub async fn settle(fleet: &mut Fleet) {
    let end = Instant::now() + Duration::from_secs(10);
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
            assert!(Instant::now() < end, "instance {i} does not see all others");
            time::sleep(LOOK_PAUSE).await;
        }
    }
}

/// Brings trouble over the last instance or over the whole fleet.
pub async fn trouble(fleet: &mut Fleet, trouble: Trouble) {
    let victim = fleet.instances.len() - 1;
    let done = match trouble {
        Trouble::None => Ok(()),
        Trouble::NoService => fleet.key_value_link(victim).set_mode(Mode::CUT).await,
        Trouble::NoPeers => fleet.set_peer_mode(victim, Mode::CUT).await,
        Trouble::Isolated => fleet.set_isolation(victim, Mode::CUT).await,
        Trouble::Blackhole => fleet.set_isolation(victim, Mode::BLACKHOLE).await,
        Trouble::Frozen => fleet.instances[victim].process.freeze(),
        Trouble::FrozenIsolated => {
            fleet.set_isolation(victim, Mode::BLACKHOLE).await.expect("the links are cut");
            fleet.instances[victim].process.freeze()
        }
        Trouble::SlowService => {
            let fault = Fault { delay_ms: 400, ..Fault::default() };
            fleet.key_value.set_fault(&fault).await
        }
    };
    done.expect("the fault is set");
}

/// Ends the trouble.
pub async fn heal(fleet: &mut Fleet, trouble: Trouble) {
    let victim = fleet.instances.len() - 1;
    if trouble.freezes() {
        fleet.instances[victim].process.thaw().expect("the process is thawed");
    }
    fleet.set_isolation(victim, Mode::PASS).await.expect("the links are restored");
    fleet.key_value.set_fault(&Fault::default()).await.expect("the fault is removed");
}

/// Puts the key-value service out, or back in.
pub async fn set_outage(fleet: &Fleet, outage: bool) {
    let fault = Fault { outage, ..Fault::default() };
    fleet.key_value.set_fault(&fault).await.expect("the fault is set");
}

/// Takes a failure domain out or in through an instance's operators' listener.
pub async fn set_domain(
    fleet: &Fleet,
    instance: usize,
    domain: &str,
    state: &str,
    expected: u64,
) -> Answer {
    let path = format!("/v1/domains/{domain}/{state}?expected={expected}");
    let instance = &fleet.instances[instance];
    let call = instance.operator_call(hyper::Method::POST, &path);
    instance.send(call).await.expect("the operators' listener answers")
}

/// Takes a failure domain out and returns the accepted change.
pub async fn take_out(fleet: &Fleet, instance: usize, domain: &str) -> Value {
    let (_, revision) = fleet.document().await.expect("the document can be read");
    let answer = set_domain(fleet, instance, domain, "out", revision).await;
    let answer = answer.ok().expect("the change is accepted");
    answer.json().expect("the answer is JSON")
}

/// Returns a list of instances in an operator's answer.
pub fn names(answer: &Value, key: &str) -> Vec<String> {
    let list = answer[key].as_array().expect("a list");
    list.iter().filter_map(|name| name.as_str().map(str::to_owned)).collect()
}

/// Returns an instance's status, or `None` when it does not answer.
pub async fn status(fleet: &Fleet, instance: usize) -> Option<Value> {
    status_at(&fleet.http, fleet.instances[instance].listen.operators).await
}

/// Returns the liveness of each member in a status.
pub fn liveness(status: &Value) -> Vec<(String, String)> {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let members = status["members"].as_array().expect("a list of members");
    members.iter().map(|m| (text(&m["instance"]), text(&m["liveness"]))).collect()
}

/// Returns the number of requests that an engine has received.
pub async fn engine_requests(fleet: &Fleet, engine: usize) -> u64 {
    let stats: Value = fleet.engines[engine].stats().await.expect("the engine answers");
    stats["requests"].as_u64().expect("a number")
}

/// Sends prompts to every instance until it is stopped.
pub fn prompts(fleet: &Fleet) -> Recorder<Prompt> {
    let mut recorder = Recorder::new();
    for (instance, process) in fleet.instances.iter().enumerate() {
        let (http, address) = (fleet.http.clone(), process.listen.callers);
        let log = recorder.log.clone();
        recorder.tasks.spawn(async move {
            for number in 0_u64.. {
                let prompt = prompt(&http, instance, address, number).await;
                log.lock().expect("no panic under the lock").push(prompt);
                time::sleep(PROMPT_PAUSE).await;
            }
        });
    }
    recorder
}

/// Sends prompts to one instance at once.
pub fn burst(fleet: &Fleet, instance: usize) -> JoinSet<Prompt> {
    let address = fleet.instances[instance].listen.callers;
    let mut calls = JoinSet::new();
    for number in 0..BURST {
        let http = fleet.http.clone();
        calls.spawn(async move { prompt(&http, instance, address, number).await });
    }
    calls
}

/// Looks at every instance's revision until it is stopped.
pub fn looks(fleet: &Fleet) -> Recorder<Look> {
    let mut recorder = Recorder::new();
    for (instance, process) in fleet.instances.iter().enumerate() {
        let (http, address) = (fleet.http.clone(), process.listen.operators);
        let log = recorder.log.clone();
        recorder.tasks.spawn(async move {
            loop {
                if let Some(status) = status_at(&http, address).await {
                    let revision = status["revision"].as_u64().expect("a number");
                    let look = Look { instance, at: Instant::now(), revision };
                    log.lock().expect("no panic under the lock").push(look);
                }
                time::sleep(LOOK_PAUSE).await;
            }
        });
    }
    recorder
}

/// Asserts that no instance ever went back to a lower revision.
pub fn assert_no_reversion(looks: &[Look]) {
    let mut highest = std::collections::BTreeMap::new();
    for look in looks {
        let before = highest.insert(look.instance, look.revision).unwrap_or(0);
        assert!(
            look.revision >= before,
            "instance {} reverted to {}",
            look.instance,
            look.revision
        );
    }
}

/// Sends one prompt and waits for its answer.
pub async fn prompt(
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
        .with_timeout(ANSWER_LIMIT)
        .with_json(&body);
    let sent = Instant::now();
    let answer = http.send(call).await;
    let answered = Instant::now();
    let (status, upstream, text) = match answer {
        Ok(answer) => {
            let request = answer.header("x-request-id").unwrap_or_default().to_owned();
            let upstream = request.split('.').next().unwrap_or_default().to_owned();
            (answer.status, upstream, answer.text())
        }
        Err(error) => (0, String::new(), error.to_string()),
    };
    Prompt { instance, sent, answered, status, upstream, text }
}

async fn status_at(http: &Client, address: net::SocketAddr) -> Option<Value> {
    let call = Call::get(address, "/v1/status")
        .with_bearer(OPERATOR_TOKEN)
        .with_timeout(Duration::from_secs(1));
    http.send(call).await.ok()?.json().ok()
}

impl Trouble {
    /// Returns whether the victim is stopped by SIGSTOP.
    pub fn freezes(self) -> bool {
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
