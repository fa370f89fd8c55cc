//! Experiment `control-cost`: what an idle instance costs.

use std::fs;
use std::process;
use std::time::Duration;

use serde::Deserialize;
use tokio::time::{self, Instant};

use crate::error::Error;
use crate::experiment::fit::Fit;
use crate::experiment::idle_fleet;
use crate::experiment::measure;
use crate::harness::{Call, Fleet, Instance};

/// Time over which an idle fleet is observed.
const PERIOD: Duration = Duration::from_secs(15);
/// Time before the observation, in which connections settle.
const WARM_UP: Duration = Duration::from_secs(3);
/// Clock ticks a second in `/proc/PID/stat`; Linux fixes it for user space.
const TICKS_PER_S: f64 = 100.0;
/// Most processor time of an idle instance, as a share of a core.
const CPU_TARGET: f64 = 0.01;
/// Most resident memory of an instance, in MB.
const MEMORY_TARGET_MB: f64 = 256.0;
/// Most bytes a second that an idle instance sends to peers.
const BYTES_TARGET: f64 = 2_000.0;
/// Reads a second that the key-value service allows.
const CALLS_TARGET: f64 = 2_000.0;
/// Fleet size that the design is made for, in instances.
const FLEET: f64 = 330.0;
/// Counter of bytes sent to peers, without the framing of WebSocket, TCP and IP.
const SENT_BYTES: &str = "damaskdrift_peer_sent_bytes_total";

const HELP: &str = "\
Measure the cost of an idle instance, for 2 to 32 instances

Usage: damaskdrift_lab experiment control-cost

Baseline of the key-value calls: every instance polls the service each 500 ms.
";

/// What an idle fleet costs.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// Calls of the whole fleet to the key-value service a second.
    calls: f64,
    /// Share of a core, mean of the instances.
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
        for line in lines(instances, cost) {
            println!("{line}");
        }
        costs.push((instances as f64, cost));
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
        cpu: (after.ticks - before.ticks) as f64 / TICKS_PER_S / seconds / count,
        memory_mb: memory as f64 / 1e6,
        bytes: (after.bytes - before.bytes) / seconds / count,
    })
}

fn lines(instances: usize, cost: Cost) -> Vec<String> {
    let line = |what: &str, baseline: &str, value: String, target: &str, is_met: bool| {
        measure::line(&format!("{what}, {instances} instances"), baseline, &value, target, is_met)
    };
    let polls = instances as f64 / idle_fleet::POLL_INTERVAL.as_secs_f64();
    let cpu = cost.cpu * 100.0;
    vec![
        line(
            "key-value calls of the fleet",
            &format!("{polls:.1}/s (computed)"),
            format!("{:.1}/s", cost.calls),
            "2000/s",
            cost.calls <= CALLS_TARGET,
        ),
        line("CPU", "none", format!("{cpu:.2}% of a core"), "1%", cost.cpu <= CPU_TARGET),
        line(
            "memory",
            "none",
            format!("{:.1} MB", cost.memory_mb),
            "256 MB",
            cost.memory_mb <= MEMORY_TARGET_MB,
        ),
        line(
            "bytes sent to peers",
            "none",
            format!("{:.0} B/s", cost.bytes),
            "2000 B/s",
            cost.bytes <= BYTES_TARGET,
        ),
    ]
}

/// Returns the slopes up to the full mesh and beyond it, where the heartbeat degree is bounded.
fn slopes(costs: &[(f64, Cost)]) -> Vec<String> {
    let mut lines = Vec::new();
    let measures: [(&str, &str, Value); 4] = [
        ("key-value calls of the fleet", "/s", |cost| cost.calls),
        ("CPU", "% of a core", |cost| cost.cpu * 100.0),
        ("memory", "MB", |cost| cost.memory_mb),
        ("bytes sent to peers", "B/s", |cost| cost.bytes),
    ];
    for (name, unit, value) in measures {
        let points: Vec<_> = costs.iter().map(|(n, cost)| (*n, value(cost))).collect();
        let (mesh, beyond) = (&points[..4], &points[3..]);
        let slope = Fit::new(beyond).slope;
        let last = points[points.len() - 1];
        lines.push(format!(
            "slope of {name}: {:.3} {unit} per instance up to 16, {slope:.3} from 16 to 32; \
             extrapolated to 330: {:.1} {unit}",
            Fit::new(mesh).slope,
            last.1 + slope * (FLEET - last.0),
        ));
    }
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
