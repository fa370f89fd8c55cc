//! Process tests of the limit on concurrent requests to a cold engine, enforced across instances.

use std::net;
use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use damaskdrift_lab::harness::fleet::{KEY, MODEL};
use damaskdrift_lab::harness::{Call, Client, Fleet};
use rstest::rstest;
use serde::Deserialize;
use serde_json::json;

const INSTANCES: usize = 8;
const COLD_LIMIT: u32 = 3;
/// Callers per instance; each sends its prompts back to back.
const CALLERS_PER_INSTANCE: usize = 3;
/// Timeout until requests are served again; a new owner needs 3 s until the old lease expires, 1 s
/// between attempts and 4 s of takeover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, Deserialize)]
struct Stats {
    peak_running_while_cold: u32,
    breaches: u64,
}

/// Fault injected under load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// No fault other than the initial cold start.
    InitialStart,
    /// The engine restarts without notice.
    EngineRestarts,
    /// Half of the instances are killed, limit owners among them.
    InstancesKilled,
    /// Half of the instances are frozen for longer than the TTL of a lease.
    InstancesFrozen,
    /// The key-value service has an outage while the engine restarts.
    OutageAndEngineRestarts,
}

/// Sends prompts to every instance until it is dropped, and counts the completed ones.
struct Load {
    completed: sync::Arc<AtomicU64>,
    tasks: tokio::task::JoinSet<()>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let completed = sync::Arc::new(AtomicU64::new(0));
        let mut tasks = tokio::task::JoinSet::new();
        for instance in &fleet.instances {
            for _ in 0..CALLERS_PER_INSTANCE {
                let (http, completed) = (fleet.http.clone(), completed.clone());
                tasks.spawn(send_prompts(http, instance.listen.callers, completed));
            }
        }
        Self { completed, tasks }
    }

    fn completed(&self) -> u64 {
        self.completed.load(Ordering::Relaxed)
    }

    /// Waits until `count` more prompts are completed.
    async fn wait_for(&self, count: u64) {
        let (start, goal) = (Instant::now(), self.completed() + count);
        while self.completed() < goal {
            let missing = goal - self.completed();
            assert!(
                start.elapsed() < RECOVERY_TIMEOUT,
                "{missing} of {count} prompts are not completed"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn send_prompts(http: Client, address: net::SocketAddr, completed: sync::Arc<AtomicU64>) {
    for number in 0_u64.. {
        let body = json!({"model": MODEL, "prompt": format!("prompt {number}"), "max_tokens": 4});
        let call = Call::post(address, "/v1/completions").with_bearer(KEY).with_json(&body);
        match http.send(call).await {
            Ok(response) if response.status == 200 => {
                completed.fetch_add(1, Ordering::Relaxed);
            }
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn check_limit(fleet: &Fleet, when: &str) {
    let stats: Stats = fleet.engines[0].stats().await.expect("the engine responds");
    let peak = stats.peak_running_while_cold;
    assert_eq!(stats.breaches, 0, "{when}: peak of {peak} at a limit of {COLD_LIMIT}");
    assert!(peak <= COLD_LIMIT, "{when}: peak of {peak} at a limit of {COLD_LIMIT}");
    assert!(peak > 0, "{when}: no request reached the cold engine");
}

// Guards against instances that together exceed the limit of a cold engine: at its start, after an
// unannounced restart, when limit owners are killed or frozen, and in an outage of the key-value
// service, without which no instance can own the limit.
#[rstest]
#[case::start(Fault::InitialStart)]
#[case::engine_restarts(Fault::EngineRestarts)]
#[case::instances_killed(Fault::InstancesKilled)]
#[case::instances_frozen(Fault::InstancesFrozen)]
#[case::outage(Fault::OutageAndEngineRestarts)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_limit_holds_across_instances(#[case] fault: Fault) {
    let engine_args = ["--cold-ms", "25000", "--cold-overload", "fail"];
    let mut fleet = Fleet::builder()
        .with_instances(INSTANCES)
        .with_engine_limits(COLD_LIMIT, 24)
        .with_engine_args(&engine_args)
        .start()
        .await
        .expect("the fleet starts");
    let load = Load::start(&fleet);
    load.wait_for(20).await;
    match fault {
        Fault::InitialStart => {}
        Fault::EngineRestarts => {
            check_limit(&fleet, "before the restart").await;
            fleet.engines[0].restart().await.expect("the engine restarts");
        }
        Fault::InstancesKilled => {
            for instance in &mut fleet.instances[..INSTANCES / 2] {
                instance.process.kill().expect("the instance can be killed");
            }
        }
        Fault::InstancesFrozen => freeze_half(&mut fleet).await,
        Fault::OutageAndEngineRestarts => {
            let outage = json!({"outage": true, "delay_ms": 0, "lose_answers": 0.0});
            fleet.key_value.set_fault(&outage).await.expect("the stand-in accepts the fault");
            fleet.engines[0].restart().await.expect("the engine restarts");
            tokio::time::sleep(Duration::from_secs(6)).await;
            let stats: Stats = fleet.engines[0].stats().await.expect("the engine responds");
            assert_eq!(stats.breaches, 0, "during the outage");
            let healthy = json!({"outage": false, "delay_ms": 0, "lose_answers": 0.0});
            fleet.key_value.set_fault(&healthy).await.expect("the stand-in accepts the fault");
        }
    }
    load.wait_for(20).await;
    check_limit(&fleet, "after the fault").await;
    drop(load.tasks);
}

async fn freeze_half(fleet: &mut Fleet) {
    for instance in &mut fleet.instances[..INSTANCES / 2] {
        instance.process.freeze().expect("the instance can be frozen");
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    for instance in &mut fleet.instances[..INSTANCES / 2] {
        instance.process.thaw().expect("the instance can be thawed");
    }
}
