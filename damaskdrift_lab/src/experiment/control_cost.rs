//! Experiment `control-cost`: what an idle instance costs.

use std::fs;
use std::process;
use std::time::Duration;

use damaskdrift_core::membership;
use serde::Deserialize;
use tokio::time::{self, Instant};

use crate::error::Error;
use crate::experiment::fit::Fit;
use crate::experiment::idle_fleet;
use crate::experiment::measure::Measure;
use crate::harness::{Call, Fleet, Instance};

/// Time over which an idle fleet is observed.
const PERIOD: Duration = Duration::from_secs(15);
/// Time before the observation, in which connections settle.
const WARM_UP: Duration = Duration::from_secs(3);
/// Clock ticks a second in `/proc/PID/stat`; Linux fixes it for user space.
const TICKS_PER_S: f64 = 100.0;
/// Most processor time of an idle instance, in percent of a core.
const CPU_TARGET: f64 = 1.0;
/// Most resident memory of an instance, in MB.
const MEMORY_TARGET_MB: f64 = 256.0;
/// Most bytes a second that an idle instance sends to peers.
const BYTES_TARGET: f64 = 2_000.0;
/// Reads a second that the key-value service allows.
const CALLS_TARGET: f64 = 2_000.0;
/// Fleet size that the design is made for, in instances.
const FLEET: usize = 330;
/// Failure domains of that fleet.
const FLEET_DOMAINS: f64 = 5.0;
/// Largest measured fleet, in instances.
const LARGEST: usize = idle_fleet::SIZES[idle_fleet::SIZES.len() - 1];
/// Largest fleet in which every instance pings every other one, in instances.
const MESH: f64 = membership::MAX_FULL_PING_FLEET as f64;
/// Counter of bytes sent to peers, without the framing of WebSocket, TCP and IP.
const SENT_BYTES: &str = "damaskdrift_peer_sent_bytes_total";

const HELP: &str = "\
Measure the cost of an idle instance, for 2 to 32 instances

Usage: damaskdrift_lab experiment control-cost

Baselines: for key-value calls, every instance polls the service each 500 ms (computed); for CPU
and memory, the fleet of 2; for bytes, a full mesh of the same size (computed).
";

/// What an idle fleet costs.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Calls of the whole fleet to the key-value service a second.
    calls: f64,
    /// Percent of a core, mean of the instances.
    cpu: f64,
    /// Resident memory in MB, largest of the instances.
    memory_mb: f64,
    /// Bytes sent to peers a second, mean of the instances.
    bytes: f64,
}

/// Picks one value of a cost.
type Value = fn(&Cost) -> f64;

/// Counts of the key-value stand-in.
#[derive(Deserialize)]
struct Calls {
    reads: u64,
    writes: u64,
    watches: u64,
}

/// Counters at one moment.
struct Sample {
    at: Instant,
    calls: u64,
    ticks: u64,
    bytes: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns what could not be measured.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    if let Some(arg) = args.next()? {
        if matches!(arg, lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) {
            print!("{HELP}");
            return Ok(process::ExitCode::SUCCESS);
        }
        return Err(arg.unexpected().into());
    }
    println!("control-cost, idle fleet, {} s a size", PERIOD.as_secs());
    let mut costs = Vec::new();
    for instances in idle_fleet::SIZES {
        let cost = measure_size(instances).await?;
        costs.push((instances as f64, cost));
        for measure in measures(instances, cost, costs[0].1) {
            println!("{measure}");
        }
    }
    for line in slopes(&costs) {
        println!("{line}");
    }
    Ok(process::ExitCode::SUCCESS)
}

async fn measure_size(instances: usize) -> Result<Cost, Error> {
    let fleet = idle_fleet::start(instances).await?;
    time::sleep(WARM_UP).await;
    let before = sample(&fleet).await?;
    time::sleep(PERIOD).await;
    let after = sample(&fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    let count = instances as f64;
    let mut memory = 0;
    for instance in &fleet.instances {
        memory = memory.max(instance.process.resident_bytes()?);
    }
    Ok(Cost {
        calls: (after.calls - before.calls) as f64 / seconds,
        cpu: (after.ticks - before.ticks) as f64 / TICKS_PER_S / seconds / count * 100.0,
        memory_mb: memory as f64 / 1e6,
        bytes: (after.bytes - before.bytes) / seconds / count,
    })
}

/// Returns the measures of a fleet; `smallest` is the cost of the smallest one.
fn measures(instances: usize, cost: Cost, smallest: Cost) -> [Measure; 4] {
    let name = |what: &str| format!("{instances} instances, {what}");
    let full_mesh = (instances - 1) as f64 / membership::ping_fanout(instances) as f64;
    [
        Measure {
            name: name("key-value calls"),
            baseline: instances as f64 / idle_fleet::POLL_INTERVAL.as_secs_f64(),
            value: cost.calls,
            target: CALLS_TARGET,
            unit: "/s",
        },
        Measure {
            name: name("CPU"),
            baseline: smallest.cpu,
            value: cost.cpu,
            target: CPU_TARGET,
            unit: "% of a core",
        },
        Measure {
            name: name("memory"),
            baseline: smallest.memory_mb,
            value: cost.memory_mb,
            target: MEMORY_TARGET_MB,
            unit: "MB",
        },
        Measure {
            name: name("bytes sent to peers"),
            baseline: cost.bytes * full_mesh,
            value: cost.bytes,
            target: BYTES_TARGET,
            unit: "B/s",
        },
    ]
}

/// Returns what each further instance adds up to the full mesh, and the value at the size that the
/// design is made for.
///
/// Beyond the full mesh CPU and bytes grow with the number of peers that are pinged, and the calls
/// with the failure domains, so the value at 32 instances is scaled by these.
fn slopes(costs: &[(f64, Cost)]) -> Vec<String> {
    let mut lines = Vec::new();
    let degrees = membership::ping_fanout(FLEET) as f64 / membership::ping_fanout(LARGEST) as f64;
    let domains = FLEET_DOMAINS / idle_fleet::DOMAINS.len() as f64;
    let values: [(&str, &str, f64, Value); 3] = [
        ("key-value calls", "/s", domains, |cost| cost.calls),
        ("CPU", "% of a core", degrees, |cost| cost.cpu),
        ("bytes sent to peers", "B/s", degrees, |cost| cost.bytes),
    ];
    for (name, unit, factor, value) in values {
        let points: Vec<_> = costs.iter().map(|(n, cost)| (*n, value(cost))).collect();
        let mesh: Vec<_> = points.iter().copied().filter(|(n, _)| *n <= MESH).collect();
        let largest = points.last().map_or(0.0, |point| point.1);
        lines.push(format!(
            "slope of {name}: {:.3} {unit} per instance up to {MESH}; scaled to {FLEET}: {:.1}",
            Fit::new(&mesh).slope,
            largest * factor,
        ));
    }
    let memory: Vec<_> = costs.iter().map(|(n, cost)| (*n, cost.memory_mb)).collect();
    lines.push(format!("slope of memory: {:.3} MB per instance", Fit::new(&memory).slope));
    lines
}

async fn sample(fleet: &Fleet) -> Result<Sample, Error> {
    let calls: Calls = fleet.key_value.stats().await?;
    let mut ticks = 0;
    let mut bytes = 0.0;
    for instance in &fleet.instances {
        ticks += cpu_ticks(instance)?;
        bytes += sent_bytes(fleet, instance).await?;
    }
    let calls = calls.reads + calls.writes + calls.watches;
    Ok(Sample { at: Instant::now(), calls, ticks, bytes })
}

async fn sent_bytes(fleet: &Fleet, instance: &Instance) -> Result<f64, Error> {
    let page = fleet.http.send(Call::get(instance.listen.operators, "/metrics")).await?.ok()?;
    let page = page.text();
    let values = page.lines().filter(|line| line.starts_with(SENT_BYTES));
    Ok(values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
}

fn cpu_ticks(instance: &Instance) -> Result<u64, Error> {
    let path = format!("/proc/{}/stat", instance.process.id());
    let stat = fs::read_to_string(&path)
        .map_err(|error| Error::Io(format!("cannot read {path}"), error))?;
    // The name in parentheses may have spaces; user and system time are fields 14 and 15.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let times: Vec<u64> = fields.skip(11).take(2).filter_map(|text| text.parse().ok()).collect();
    match times.as_slice() {
        [user, system] => Ok(user + system),
        _ => Err(Error::Unexpected(format!("{path} has no processor times"))),
    }
}
