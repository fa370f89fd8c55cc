//! Experiment `slopes`: cost of the core's decisions as a function of the size of the fleet.

use std::collections;
use std::hint;
use std::net;
use std::process;
use std::time::{Duration, Instant};

use damaskdrift_core::time::Millis;
use damaskdrift_core::{admission, config_sync, fleet, id, membership};

use crate::error::Error;
use crate::experiment::fit::Fit;
use crate::harness::document;

const HELP: &str = "\
Measure the cost of decisions as a function of the fleet's size

Usage: damaskdrift_lab experiment slopes

Each line is a least-squares fit of cost = a + b x over the sizes shown: the slope b with its
standard error, the intercept a, and the share of the variance explained. Times are the median of
many runs. Build with --release.

Options:
  -h, --help  Print help
";

/// Minimum time for which one size is measured, unless the maximum number of runs is reached.
const MIN_MEASURE_TIME: Duration = Duration::from_millis(150);
/// Minimum number of runs of one size, however long they take.
const MIN_RUNS: usize = 5;
/// Maximum number of runs of one size.
const MAX_RUNS: usize = 2_000;
const FLEET_SIZES: [u32; 6] = [8, 32, 64, 128, 256, 330];
const WORKSPACE_SIZES: [u32; 6] = [10, 50, 100, 200, 300, 370];
const UPSTREAM_SIZES: [u32; 6] = [18, 100, 200, 300, 450, 600];

/// Runs the experiment and prints a line per fit.
///
/// # Errors
///
/// Returns an error if an argument is unknown.
pub fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    if let Some(arg) = args.next()? {
        return match arg {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                print!("{HELP}");
                Ok(process::ExitCode::SUCCESS)
            }
            other => Err(other.unexpected().into()),
        };
    }
    if cfg!(debug_assertions) {
        println!("note: debug build");
    }
    print_fit("document bytes per workspace", "B", &WORKSPACE_SIZES, |n| document_bytes(n, 18));
    print_fit("document bytes per upstream", "B", &UPSTREAM_SIZES, |n| document_bytes(10, n));
    print_fit("install time per workspace", "us", &WORKSPACE_SIZES, |n| install_time_us(n, 18));
    print_fit("install time per upstream", "us", &UPSTREAM_SIZES, |n| install_time_us(10, n));
    print_fit("freshness decision per instance", "us", &FLEET_SIZES, freshness_time_us);
    print_fit("roster per instance", "us", &FLEET_SIZES, roster_time_us);
    print_fit("grant per member of a group", "us", &FLEET_SIZES, grant_time_us);
    Ok(process::ExitCode::SUCCESS)
}

fn print_fit(name: &str, unit: &str, sizes: &[u32], cost: impl Fn(u32) -> f64) {
    let points: Vec<_> = sizes.iter().map(|n| (f64::from(*n), cost(*n))).collect();
    let (first, last) = (sizes[0], sizes[sizes.len() - 1]);
    println!("{name:34} x = {first} to {last}: {}", Fit::new(&points).describe(unit));
}

/// Runs `operation` repeatedly and returns the median time of a run in microseconds.
fn median_us<T>(mut operation: impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    let mut times = Vec::new();
    while times.len() < MAX_RUNS && (start.elapsed() < MIN_MEASURE_TIME || times.len() < MIN_RUNS) {
        let run_start = Instant::now();
        hint::black_box(operation());
        times.push(run_start.elapsed());
    }
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64() * 1e6
}

fn fleet_document(workspaces: u32, upstreams: u32) -> fleet::Document {
    let domains: Vec<_> = ["a", "b", "c", "d", "e"].map(str::to_owned).to_vec();
    let mut builder = document::Builder::new().with_model("kernel", "v1", &domains);
    for domain in &domains {
        builder = builder.with_failure_domain(domain);
    }
    for n in 0..workspaces {
        builder = builder.with_workspace(&format!("workspace-{n}"), &format!("key-{n}"));
    }
    for n in 0..upstreams {
        let address = net::SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 8_000));
        let kind = fleet::Kind::Engine {
            model: id::Model::new("kernel"),
            version: id::Version::new("v1"),
            cold_limit: 4,
            warm_limit: 32,
        };
        let domain = &domains[n as usize % domains.len()];
        builder = builder.with_upstream(&format!("engine-{n}"), address, domain, kind);
    }
    builder.build()
}

fn document_bytes(workspaces: u32, upstreams: u32) -> f64 {
    let document = fleet_document(workspaces, upstreams);
    serde_json::to_vec(&document).map_or(0.0, |json| json.len() as f64)
}

fn install_time_us(workspaces: u32, upstreams: u32) -> f64 {
    let json = serde_json::to_string(&fleet_document(workspaces, upstreams)).unwrap_or_default();
    median_us(|| {
        let document: fleet::Document = serde_json::from_str(&json).unwrap_or_default();
        fleet::Snapshot::new(id::Revision(1), document)
    })
}

fn instance_id(n: u32) -> id::Instance {
    id::Instance::new(&format!("entry-{n}"))
}

fn freshness_time_us(instances: u32) -> f64 {
    let mut state = config_sync::State::new();
    state.offer(id::Revision(1));
    let roster: collections::BTreeSet<_> = (0..instances).map(instance_id).collect();
    let report = config_sync::PeerReport { revision: id::Revision(1), ..Default::default() };
    for peer in &roster {
        state.confirm_from_peer(peer, &report, Millis(1_000));
    }
    let own = instance_id(0);
    let max_age = Millis::from_secs(2);
    median_us(|| state.freshness(&own, Some(&roster), Millis(1_500), max_age))
}

fn roster_time_us(instances: u32) -> f64 {
    let domain = id::FailureDomain::new("a");
    let mut members = membership::Membership::new(instance_id(0), domain.clone());
    let listed: Vec<_> = (0..instances)
        .map(|n| membership::Listed {
            instance: instance_id(n),
            address: net::SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 8_000)),
            failure_domain: domain.clone(),
            leaving: false,
        })
        .collect();
    members.apply_list(&listed, Millis(1));
    median_us(|| members.roster(Millis(2)))
}

fn grant_time_us(members: u32) -> f64 {
    let upstream = id::Upstream::new("engine-0");
    let unreported = collections::BTreeSet::new();
    let mut owner = admission::Owner::new(id::FencingToken(1), members, unreported, Millis(0));
    owner.configure(&upstream, 4, 4_096);
    let boot = id::Boot::new("boot");
    let load =
        admission::Load { boot: boot.clone(), is_cold: false, requests: 0, received_at: Millis(1) };
    owner.record_load(&upstream, &load);
    let demand = admission::Demand {
        upstream,
        boot: Some(boot),
        in_flight: 1,
        holding: 2,
        wanted: 3,
        completed: 4,
    };
    for n in 0..members {
        owner.grant(&instance_id(n), &demand, Millis(2));
    }
    let mut next = 0;
    median_us(|| {
        next = (next + 1) % members;
        owner.grant(&instance_id(next), &demand, Millis(3))
    })
}
