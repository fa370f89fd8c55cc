//! Process tests of the limit on requests to a cold engine, summed over all instances.

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
/// Callers that send to each instance without a pause.
const CALLERS: usize = 3;
/// Longest wait until requests are answered again; a new owner needs 3 s until the old lease
/// ends, 1 s between tries and 4 s of takeover.
const RECOVERY: Duration = Duration::from_secs(20);

#[derive(Debug, Deserialize)]
struct Stats {
    peak_running_while_cold: u32,
    breaches: u64,
}

/// Faults during the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// None but the first cold start.
    Start,
    /// The engine restarts without notice.
    EngineRestarts,
    /// Half of the instances are killed, limit owners among them.
    InstancesKilled,
    /// Half of the instances pause for longer than a lease lasts.
    InstancesPaused,
    /// The key-value service is out while the engine restarts.
    ServiceOutAndEngineRestarts,
}

/// Sends prompts to every instance until dropped, and counts the answers.
struct Load {
    answered: sync::Arc<AtomicU64>,
    tasks: tokio::task::JoinSet<()>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let answered = sync::Arc::new(AtomicU64::new(0));
        let mut tasks = tokio::task::JoinSet::new();
        for instance in &fleet.instances {
            for _ in 0..CALLERS {
                let (http, answered) = (fleet.http.clone(), answered.clone());
                tasks.spawn(send_prompts(http, instance.listen.callers, answered));
            }
        }
        Self { answered, tasks }
    }

    fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Waits until `more` further prompts were answered.
    async fn wait_for(&self, more: u64) {
        let (start, goal) = (Instant::now(), self.answered() + more);
        while self.answered() < goal {
            let missing = goal - self.answered();
            assert!(start.elapsed() < RECOVERY, "{missing} answers missing");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn send_prompts(http: Client, address: net::SocketAddr, answered: sync::Arc<AtomicU64>) {
    for number in 0_u64.. {
        let body = json!({"model": MODEL, "prompt": format!("prompt {number}"), "max_tokens": 4});
        let call = Call::post(address, "/v1/completions").with_bearer(KEY).with_json(&body);
        match http.send(call).await {
            Ok(answer) if answer.status == 200 => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn check_limit(fleet: &Fleet, when: &str) {
    let stats: Stats = fleet.engines[0].stats().await.expect("the engine answers");
    let peak = stats.peak_running_while_cold;
    assert_eq!(stats.breaches, 0, "{when}: peak of {peak} at a limit of {COLD_LIMIT}");
    assert!(peak <= COLD_LIMIT, "{when}: peak of {peak} at a limit of {COLD_LIMIT}");
    assert!(peak > 0, "{when}: no request reached the cold engine");
}

// Guards against instances that together send a cold engine more than it bears: at its start, when
// it restarts without notice, when limit owners die or pause, and while there can be no owner.
#[rstest]
#[case::start(Fault::Start)]
#[case::engine_restarts(Fault::EngineRestarts)]
#[case::instances_killed(Fault::InstancesKilled)]
#[case::instances_paused(Fault::InstancesPaused)]
#[case::service_out(Fault::ServiceOutAndEngineRestarts)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_limit_holds_over_all_instances(#[case] fault: Fault) {
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
        Fault::Start => {}
        Fault::EngineRestarts => {
            check_limit(&fleet, "before the restart").await;
            fleet.engines[0].restart().await.expect("the engine restarts");
        }
        Fault::InstancesKilled => {
            for instance in &mut fleet.instances[..INSTANCES / 2] {
                instance.process.kill().expect("the instance can be killed");
            }
        }
        Fault::InstancesPaused => pause_half(&mut fleet).await,
        Fault::ServiceOutAndEngineRestarts => {
            let outage = json!({"outage": true, "delay_ms": 0, "lose_answers": 0.0});
            fleet.key_value.set_fault(&outage).await.expect("the stand-in takes faults");
            fleet.engines[0].restart().await.expect("the engine restarts");
            tokio::time::sleep(Duration::from_secs(6)).await;
            let stats: Stats = fleet.engines[0].stats().await.expect("the engine answers");
            assert_eq!(stats.breaches, 0, "during the outage");
            let healthy = json!({"outage": false, "delay_ms": 0, "lose_answers": 0.0});
            fleet.key_value.set_fault(&healthy).await.expect("the stand-in takes faults");
        }
    }
    load.wait_for(20).await;
    check_limit(&fleet, "after the fault").await;
    drop(load.tasks);
}

async fn pause_half(fleet: &mut Fleet) {
    for instance in &mut fleet.instances[..INSTANCES / 2] {
        instance.process.freeze().expect("the instance can be paused");
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    for instance in &mut fleet.instances[..INSTANCES / 2] {
        instance.process.thaw().expect("the instance can go on");
    }
}
