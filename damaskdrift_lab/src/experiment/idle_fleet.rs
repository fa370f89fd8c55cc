//! Idle fleets, and the baseline in which every instance polls the key-value service.

use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::error::Error;
use crate::harness::instance::OPERATOR_TOKEN;
use crate::harness::{Call, Client, Fleet};

/// Fleet sizes that are measured, in instances.
pub const SIZES: [usize; 5] = [2, 4, 8, 16, 32];
/// Interval between two reads of a polling instance; it equals the wait of a watch call, so that
/// both confirm a revision equally often.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Failure domains of the fleets.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Limit on the start of the fleet, and on the time from then until all instances see each other.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(5);
const REVISION_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts instances in three failure domains with one engine per domain, and waits until each
/// instance sees all others alive.
///
/// # Errors
///
/// Returns an error if an instance does not start or does not see all others alive in time.
pub async fn start(instances: usize) -> Result<Fleet, Error> {
    let builder = Fleet::builder()
        .with_instances(instances)
        .with_failure_domains(&DOMAINS)
        .with_engines(DOMAINS.len());
    let mut fleet = builder.start_unready().await?;
    fleet.wait_ready(START_TIMEOUT).await?;
    let deadline = Instant::now() + START_TIMEOUT;
    for instance in &fleet.instances {
        let address = instance.listen.operators;
        while alive_members(&fetch_status(&fleet.http, address).await?) + 1 < instances {
            if Instant::now() >= deadline {
                let (others, timeout) = (instances - 1, START_TIMEOUT.as_secs());
                let what =
                    format!("does not see {others} other instances alive within {timeout} s");
                return Err(instance.process.error_with_log(&what));
            }
            time::sleep(STATUS_POLL_INTERVAL).await;
        }
    }
    Ok(fleet)
}

/// Waits until every instance has installed a revision and returns the time since `from`.
///
/// # Errors
///
/// Returns an error if an instance does not have the revision in time or does not respond.
pub async fn wait_for_revision(
    fleet: &Fleet,
    revision: u64,
    from: Instant,
) -> Result<Duration, Error> {
    let mut waits = JoinSet::new();
    for instance in &fleet.instances {
        let (http, address) = (fleet.http.clone(), instance.listen.operators);
        waits.spawn(async move {
            while fetch_status(&http, address).await?["revision"].as_u64() < Some(revision) {
                if from.elapsed() > REVISION_TIMEOUT {
                    let timeout = REVISION_TIMEOUT.as_secs();
                    let message =
                        format!("{address} has not reached revision {revision} within {timeout} s");
                    return Err(Error::Unexpected(message));
                }
                time::sleep(STATUS_POLL_INTERVAL).await;
            }
            Ok(from.elapsed())
        });
    }
    let mut longest = Duration::ZERO;
    while let Some(wait) = waits.join_next().await {
        let wait = wait.map_err(|error| Error::Unexpected(error.to_string()))?;
        longest = longest.max(wait?);
    }
    Ok(longest)
}

/// Polls the fleet document as instances without peers would, and returns the time since `from`
/// until the last poller has read `revision`.
///
/// # Errors
///
/// Returns an error if a read from the key-value service fails.
pub async fn poll_until(
    fleet: &Fleet,
    pollers: usize,
    revision: u64,
    from: Instant,
) -> Result<Duration, Error> {
    let mut tasks = JoinSet::new();
    for index in 0..pollers {
        let (http, address) = (fleet.http.clone(), fleet.key_value.address);
        // Pollers are distributed evenly over the interval.
        let phase = POLL_INTERVAL * index as u32 / pollers as u32;
        tasks.spawn(async move {
            time::sleep_until(from + phase).await;
            loop {
                let response = http.send(Call::get(address, "/v1/kv/fleet")).await?;
                let read = response.header("x-revision").and_then(|text| text.parse().ok());
                if read >= Some(revision) {
                    return Ok::<_, Error>(from.elapsed());
                }
                time::sleep(POLL_INTERVAL).await;
            }
        });
    }
    let mut longest = Duration::ZERO;
    while let Some(wait) = tasks.join_next().await {
        let wait = wait.map_err(|error| Error::Unexpected(error.to_string()))?;
        longest = longest.max(wait?);
    }
    Ok(longest)
}

async fn fetch_status(http: &Client, address: std::net::SocketAddr) -> Result<Value, Error> {
    let call = Call::get(address, "/v1/status").with_bearer(OPERATOR_TOKEN);
    Ok(http.send(call).await?.json()?)
}

fn alive_members(status: &Value) -> usize {
    let members = status["members"].as_array().map(Vec::as_slice).unwrap_or_default();
    members.iter().filter(|member| member["liveness"] == "alive").count()
}
