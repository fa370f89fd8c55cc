//! Fleets without load, and the baseline of instances that poll the service.

use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::error::Error;
use crate::harness::instance::OPERATOR_TOKEN;
use crate::harness::{Call, Client, Fleet};

/// Fleet sizes that are measured, in instances.
pub const SIZES: [usize; 5] = [2, 4, 8, 16, 32];
/// Time between two reads of a polling instance; with it a revision is confirmed as often as by a
/// watch.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Failure domains of the fleets.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
const START_LIMIT: Duration = Duration::from_secs(30);
const LOOK_PAUSE: Duration = Duration::from_millis(5);
const LOOK_LIMIT: Duration = Duration::from_secs(10);

/// Starts instances in three failure domains with an engine each, and waits until all know all.
///
/// # Errors
///
/// Returns what did not start.
pub async fn start(instances: usize) -> Result<Fleet, Error> {
    let builder = Fleet::builder()
        .with_instances(instances)
        .with_failure_domains(&DOMAINS)
        .with_engines(DOMAINS.len());
    let mut fleet = builder.start_unready().await?;
    fleet.wait_ready(START_LIMIT).await?;
    let end = Instant::now() + START_LIMIT;
    for instance in &fleet.instances {
        let address = instance.listen.operators;
        while alive(&status(&fleet.http, address).await?) + 1 < instances {
            if Instant::now() >= end {
                return Err(instance.process.error_with_log("does not see all others"));
            }
            time::sleep(LOOK_PAUSE).await;
        }
    }
    Ok(fleet)
}

/// Waits until every instance has a revision and returns the time since `from`.
///
/// # Errors
///
/// Returns which instance does not have it in time.
pub async fn wait_for_revision(
    fleet: &Fleet,
    revision: u64,
    from: Instant,
) -> Result<Duration, Error> {
    let mut waits = JoinSet::new();
    for instance in &fleet.instances {
        let (http, address) = (fleet.http.clone(), instance.listen.operators);
        waits.spawn(async move {
            while status(&http, address).await?["revision"].as_u64() < Some(revision) {
                if from.elapsed() > LOOK_LIMIT {
                    let message = format!("{address} does not learn revision {revision}");
                    return Err(Error::Unexpected(message));
                }
                time::sleep(LOOK_PAUSE).await;
            }
            Ok(from.elapsed())
        });
    }
    let mut last = Duration::ZERO;
    while let Some(wait) = waits.join_next().await {
        let wait = wait.map_err(|error| Error::Unexpected(error.to_string()))?;
        last = last.max(wait?);
    }
    Ok(last)
}

/// Runs pollers that read the fleet document as instances without peers would; each runs until a
/// read shows `until` and returns the time since `from`.
///
/// # Errors
///
/// Returns why the service does not answer.
pub async fn poll_until(
    fleet: &Fleet,
    pollers: usize,
    until: u64,
    from: Instant,
) -> Result<Duration, Error> {
    let mut tasks = JoinSet::new();
    for index in 0..pollers {
        let (http, address) = (fleet.http.clone(), fleet.key_value.address);
        // The phases are spread evenly over the interval.
        let phase = POLL_INTERVAL * index as u32 / pollers as u32;
        tasks.spawn(async move {
            time::sleep_until(from + phase).await;
            loop {
                let answer = http.send(Call::get(address, "/v1/kv/fleet")).await?;
                let revision = answer.header("x-revision").and_then(|text| text.parse().ok());
                if revision >= Some(until) {
                    return Ok::<_, Error>(from.elapsed());
                }
                time::sleep(POLL_INTERVAL).await;
            }
        });
    }
    let mut last = Duration::ZERO;
    while let Some(wait) = tasks.join_next().await {
        let wait = wait.map_err(|error| Error::Unexpected(error.to_string()))?;
        last = last.max(wait?);
    }
    Ok(last)
}

async fn status(http: &Client, address: std::net::SocketAddr) -> Result<Value, Error> {
    let call = Call::get(address, "/v1/status").with_bearer(OPERATOR_TOKEN);
    Ok(http.send(call).await?.json()?)
}

fn alive(status: &Value) -> usize {
    let members = status["members"].as_array().map(Vec::as_slice).unwrap_or_default();
    members.iter().filter(|member| member["liveness"] == "alive").count()
}
