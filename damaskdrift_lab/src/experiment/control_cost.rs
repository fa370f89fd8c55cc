//! Experiment `control-cost`: CPU time, memory and traffic of an idle instance.

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

/// Time for which an idle fleet is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(15);
/// Time before the observation, in which connections are set up.
const WARM_UP: Duration = Duration::from_secs(3);
/// Clock ticks per second in `/proc/PID/stat`; Linux fixes it for user space.
const TICKS_PER_S: f64 = 100.0;
/// Largest CPU time of an idle instance, in percent of a core.
const CPU_TARGET_PERCENT: f64 = 1.0;
/// Largest resident memory of an instance.
const MEMORY_TARGET_MB: f64 = 256.0;
/// Largest rate at which an idle instance sends bytes to peers.
const SENT_TARGET_BYTES_PER_S: f64 = 2_000.0;
/// Largest rate of calls from the whole fleet: the rate of reads that the key-value service
/// accepts.
const CALLS_TARGET_PER_S: f64 = 2_000.0;
/// Number of instances in the largest fleet that the system is designed for.
const DESIGN_INSTANCES: usize = 330;
/// Number of failure domains in that fleet.
const DESIGN_DOMAINS: f64 = 5.0;
/// Number of instances in the largest measured fleet.
const LARGEST_MEASURED: usize = idle_fleet::SIZES[idle_fleet::SIZES.len() - 1];
/// Number of instances in the largest fleet in which every instance pings every other one.
const MAX_FULL_MESH: f64 = membership::MAX_FULL_PING_FLEET as f64;
/// Metric of the bytes sent to peers, without the framing of WebSocket, TCP and IP.
const SENT_BYTES_METRIC: &str = "damaskdrift_peer_sent_bytes_total";

const HELP: &str = "\
Measure the cost of an idle instance, for 2 to 32 instances

Usage: damaskdrift_lab experiment control-cost

Baselines: for key-value calls, every instance polls the service each 500 ms (computed); for CPU
and memory, the fleet of 2; for bytes, a full mesh of the same size (computed).
";

/// Resource use of an idle fleet.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Calls of the whole fleet to the key-value service per second.
    calls_per_s: f64,
    /// CPU time in percent of a core, mean of the instances.
    cpu_percent: f64,
    /// Resident memory, largest of the instances.
    memory_mb: f64,
    /// Bytes sent to peers per second, mean of the instances.
    sent_bytes_per_s: f64,
}

/// Selects one value of a cost.
type Selector = fn(&Cost) -> f64;

/// Call counts of the key-value stand-in since its start.
#[derive(Deserialize)]
struct CallCounts {
    reads: u64,
    writes: u64,
    watches: u64,
}

/// Cumulative counters of the whole fleet at one time.
struct Sample {
    taken_at: Instant,
    calls: u64,
    cpu_ticks: u64,
    sent_bytes: f64,
}

/// Runs the experiment and prints its measures and slopes; the exit code does not depend on the
/// targets.
///
/// # Errors
///
/// Returns an error if an argument is unknown, if a fleet does not start, or if a counter cannot be
/// read.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    if let Some(arg) = args.next()? {
        if matches!(arg, lexopt::Arg::Short('h') | lexopt::Arg::Long("help")) {
            print!("{HELP}");
            return Ok(process::ExitCode::SUCCESS);
        }
        return Err(arg.unexpected().into());
    }
    println!("control-cost, idle fleet, {} s a size", OBSERVATION_TIME.as_secs());
    let mut costs = Vec::new();
    for instances in idle_fleet::SIZES {
        let cost = measure_size(instances).await?;
        costs.push((instances as f64, cost));
        for measure in compare(instances, cost, costs[0].1) {
            println!("{measure}");
        }
    }
    for line in slope_lines(&costs) {
        println!("{line}");
    }
    Ok(process::ExitCode::SUCCESS)
}

async fn measure_size(instances: usize) -> Result<Cost, Error> {
    let fleet = idle_fleet::start(instances).await?;
    time::sleep(WARM_UP).await;
    let before = take_sample(&fleet).await?;
    time::sleep(OBSERVATION_TIME).await;
    let after = take_sample(&fleet).await?;
    let seconds = (after.taken_at - before.taken_at).as_secs_f64();
    let count = instances as f64;
    let mut max_resident_bytes = 0;
    for instance in &fleet.instances {
        max_resident_bytes = max_resident_bytes.max(instance.process.resident_bytes()?);
    }
    Ok(Cost {
        calls_per_s: (after.calls - before.calls) as f64 / seconds,
        cpu_percent: (after.cpu_ticks - before.cpu_ticks) as f64 / TICKS_PER_S / seconds / count
            * 100.0,
        memory_mb: max_resident_bytes as f64 / 1e6,
        sent_bytes_per_s: (after.sent_bytes - before.sent_bytes) / seconds / count,
    })
}

/// Returns the measures of a fleet; `smallest` is the cost of the smallest fleet.
fn compare(instances: usize, cost: Cost, smallest: Cost) -> [Measure; 4] {
    let name = |quantity: &str| format!("{instances} instances, {quantity}");
    let full_mesh_ratio = (instances - 1) as f64 / membership::ping_fanout(instances) as f64;
    [
        Measure {
            name: name("key-value calls"),
            baseline: instances as f64 / idle_fleet::POLL_INTERVAL.as_secs_f64(),
            value: cost.calls_per_s,
            target: CALLS_TARGET_PER_S,
            unit: "/s",
        },
        Measure {
            name: name("CPU"),
            baseline: smallest.cpu_percent,
            value: cost.cpu_percent,
            target: CPU_TARGET_PERCENT,
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
            baseline: cost.sent_bytes_per_s * full_mesh_ratio,
            value: cost.sent_bytes_per_s,
            target: SENT_TARGET_BYTES_PER_S,
            unit: "B/s",
        },
    ]
}

/// Returns lines with the cost of each further instance while the mesh is full, and with the cost
/// extrapolated to the fleet size that the system is designed for.
///
/// Beyond the full mesh, CPU and bytes grow with the number of pinged peers, and calls with the
/// number of failure domains, so the value at 32 instances is scaled by these.
fn slope_lines(costs: &[(f64, Cost)]) -> Vec<String> {
    let mut lines = Vec::new();
    let fanout_ratio = membership::ping_fanout(DESIGN_INSTANCES) as f64
        / membership::ping_fanout(LARGEST_MEASURED) as f64;
    let domain_ratio = DESIGN_DOMAINS / idle_fleet::DOMAINS.len() as f64;
    let values: [(&str, &str, f64, Selector); 3] = [
        ("key-value calls", "/s", domain_ratio, |cost| cost.calls_per_s),
        ("CPU", "% of a core", fanout_ratio, |cost| cost.cpu_percent),
        ("bytes sent to peers", "B/s", fanout_ratio, |cost| cost.sent_bytes_per_s),
    ];
    for (name, unit, scale, select) in values {
        let points: Vec<_> = costs.iter().map(|(n, cost)| (*n, select(cost))).collect();
        let full_mesh_points: Vec<_> =
            points.iter().copied().filter(|(n, _)| *n <= MAX_FULL_MESH).collect();
        let largest_value = points.last().map_or(0.0, |point| point.1);
        lines.push(format!(
            "slope of {name}: {:.3} {unit} per instance up to {MAX_FULL_MESH}; \
             scaled to {DESIGN_INSTANCES}: {:.1}",
            Fit::new(&full_mesh_points).slope,
            largest_value * scale,
        ));
    }
    let memory: Vec<_> = costs.iter().map(|(n, cost)| (*n, cost.memory_mb)).collect();
    lines.push(format!("slope of memory: {:.3} MB per instance", Fit::new(&memory).slope));
    lines
}

async fn take_sample(fleet: &Fleet) -> Result<Sample, Error> {
    let counts: CallCounts = fleet.key_value.stats().await?;
    let mut total_ticks = 0;
    let mut total_bytes = 0.0;
    for instance in &fleet.instances {
        total_ticks += cpu_ticks(instance)?;
        total_bytes += sent_bytes(fleet, instance).await?;
    }
    let calls = counts.reads + counts.writes + counts.watches;
    Ok(Sample { taken_at: Instant::now(), calls, cpu_ticks: total_ticks, sent_bytes: total_bytes })
}

async fn sent_bytes(fleet: &Fleet, instance: &Instance) -> Result<f64, Error> {
    let page = fleet.http.send(Call::get(instance.listen.operators, "/metrics")).await?.ok()?;
    let page = page.text();
    let values = page.lines().filter(|line| line.starts_with(SENT_BYTES_METRIC));
    Ok(values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
}

fn cpu_ticks(instance: &Instance) -> Result<u64, Error> {
    let path = format!("/proc/{}/stat", instance.process.id());
    let stat = fs::read_to_string(&path)
        .map_err(|error| Error::Io(format!("cannot read {path}"), error))?;
    // The process name in parentheses may contain spaces; user and system time are fields 14 and
    // 15.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let times: Vec<u64> = fields.skip(11).take(2).filter_map(|text| text.parse().ok()).collect();
    match times.as_slice() {
        [user, system] => Ok(user + system),
        _ => Err(Error::Unexpected(format!("{path} has no user and system time"))),
    }
}
