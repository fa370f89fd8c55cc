//! Experiment `domain-move`: measures service while a failure domain is taken out and returned.

use std::net;
use std::process;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::Method;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::error::Error;
use crate::experiment::measure::Measure;
use crate::harness::fleet::{KEY, MODEL, WORKSPACE};
use crate::harness::{Call, Client, Fleet};
use crate::standin::flag;

const HELP: &str = "\
Measure the service while a failure domain leaves and returns

Usage: damaskdrift_lab experiment domain-move [OPTIONS]

Eight instances and the mill's twelve engines in four failure domains take the same seeded load
as a baseline that sends straight to the engines with fixed weights, changed by hand 5 s after
the order, and without a cold limit. The engines of the domain restart while it is out.

Options:
  --rate N    Requests a second [250]
  --seed N    Seed of the load [1]
  -h, --help  Print help
";

const INSTANCES: usize = 8;
const ENGINES: usize = 12;
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Index of the failure domain that is taken out of service and returned.
const MOVED_DOMAIN: usize = 1;
const COLD_LIMIT: u32 = 2;
const WARM_LIMIT: u32 = 8;
/// Duration of an engine's cold start.
const COLD_MS: &str = "6000";
/// Time from the start of the measured load at which the domain is taken out of service.
const OUT_AT: Duration = Duration::from_secs(5);
/// Time from that start at which the engines of the domain restart.
const RESTART_AT: Duration = Duration::from_secs(11);
/// Time from that start at which the domain returns to service.
const IN_AT: Duration = Duration::from_secs(14);
/// Time from that start at which the load ends.
const END_AT: Duration = Duration::from_secs(28);
/// Duration of the load before the measured one.
const WARM_UP_DURATION: Duration = Duration::from_secs(8);
/// Time after which a domain that is out of service must get no new work.
const GRACE: Duration = Duration::from_secs(3);
/// Delay until an operator has changed the fixed weights of the baseline.
const MANUAL_REWEIGHT_DELAY: Duration = Duration::from_secs(5);
const START_TIMEOUT: Duration = Duration::from_secs(60);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of conversations, each with a prompt of its own.
const CONVERSATIONS: u32 = 60;
/// Number of words in each prompt.
const PROMPT_WORDS: usize = 120;
/// Largest allowed share of requests without a successful response.
const MAX_UNSERVED_PERCENT: f64 = 0.1;
/// Largest response time that the histogram distinguishes.
const MAX_RESPONSE_US: u64 = 60_000_000;

#[derive(Clone, Copy, Debug)]
struct Options {
    rate: u32,
    seed: u64,
}

/// How requests are assigned to engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// By the instances.
    Instances,
    /// By fixed weights, directly from the callers to the engines.
    FixedWeights,
}

/// Counts and response times of one run.
#[derive(Debug)]
struct Outcome {
    sent: u64,
    unserved: u64,
    /// Requests to the domain between [`GRACE`] after it was taken out and its return.
    late_work: u64,
    /// Requests above the cold limit of an engine.
    breaches: u64,
    /// Response times of successful requests, in microseconds.
    response_time: Histogram<u64>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Stats {
    requests: u64,
    breaches: u64,
}

/// Runs the experiment and prints its measures; the exit code is non-zero if a target is missed.
///
/// # Errors
///
/// Returns an error if an argument is malformed, or if a fleet does not start or fails.
pub async fn run(args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let Some(options) = parse_options(args)? else {
        print!("{HELP}");
        return Ok(process::ExitCode::SUCCESS);
    };
    let value = run_policy(Policy::Instances, options).await?;
    let baseline = run_policy(Policy::FixedWeights, options).await?;
    let measures = compare(&baseline, &value);
    for measure in &measures {
        println!("{measure}");
    }
    println!("requests sent: {} with the policy, {} in the baseline", value.sent, baseline.sent);
    let is_met = measures.iter().all(Measure::is_met);
    Ok(if is_met { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE })
}

fn parse_options(mut args: lexopt::Parser) -> Result<Option<Options>, Error> {
    let mut options = Options { rate: 250, seed: 1 };
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("rate") => options.rate = flag::value(&mut args)?,
            lexopt::Arg::Long("seed") => options.seed = flag::value(&mut args)?,
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.rate == 0 {
        return Err(Error::Usage("--rate must be at least 1".to_owned()));
    }
    Ok(Some(options))
}

fn compare(baseline: &Outcome, value: &Outcome) -> Vec<Measure> {
    let measure = |name: &str, baseline, value, target, unit| Measure {
        name: name.to_owned(),
        baseline,
        value,
        target,
        unit,
    };
    let p95 = |outcome: &Outcome| outcome.response_time.value_at_quantile(0.95) as f64 / 1_000.0;
    vec![
        measure(
            "unserved",
            baseline.unserved_percent(),
            value.unserved_percent(),
            MAX_UNSERVED_PERCENT,
            "%",
        ),
        measure(
            "new work in the domain after 3 s",
            baseline.late_work as f64,
            value.late_work as f64,
            0.0,
            "requests",
        ),
        measure(
            "breaches of a cold limit",
            baseline.breaches as f64,
            value.breaches as f64,
            0.0,
            "requests",
        ),
        // The baseline neither rejects nor queues requests, so the target is a fixed time rather than
        // the p95 of the baseline.
        measure("answer time p95", p95(baseline), p95(value), 850.0, "ms"),
    ]
}

async fn run_policy(policy: Policy, options: Options) -> Result<Outcome, Error> {
    let engine_args = ["--cold-ms", COLD_MS, "--cold-overload", "fail", "--load-lag-ms", "200"];
    let mut fleet = Fleet::builder()
        .with_instances(INSTANCES)
        .with_engines(ENGINES)
        .with_failure_domains(&DOMAINS)
        .with_engine_limits(COLD_LIMIT, WARM_LIMIT)
        .with_engine_args(&engine_args)
        .start()
        .await?;
    fleet.warm_up(START_TIMEOUT).await?;
    // The engines finish their cold start and the learned limits grow before the measurement.
    time::sleep(Duration::from_millis(6_500)).await;
    let targets = Targets::new(&fleet, policy);
    send_all(targets.clone(), options, WARM_UP_DURATION, Duration::MAX).await;
    let before = stats(&fleet).await?;
    let load = tokio::spawn(send_all(targets, options, END_AT, OUT_AT + MANUAL_REWEIGHT_DELAY));
    let start = Instant::now();
    let late_work = move_domain(&mut fleet, start, policy).await?;
    let mut outcome = load.await.map_err(|error| Error::Unexpected(error.to_string()))?;
    outcome.late_work = late_work;
    let breaches = |stats: &[Stats]| stats.iter().map(|stats| stats.breaches).sum::<u64>();
    let after = stats(&fleet).await?;
    outcome.breaches = breaches(&after).saturating_sub(breaches(&before));
    Ok(outcome)
}

/// Takes the domain out of service, restarts its engines and returns it to service.
///
/// Returns the number of requests that the domain got between the grace period and its return.
async fn move_domain(fleet: &mut Fleet, start: Instant, policy: Policy) -> Result<u64, Error> {
    time::sleep_until((start + OUT_AT).into()).await;
    if policy == Policy::Instances {
        set_domain(fleet, "out").await?;
    }
    time::sleep_until((start + OUT_AT + GRACE).into()).await;
    let at_grace = domain_requests(fleet).await?;
    time::sleep_until((start + RESTART_AT).into()).await;
    let before_restart = domain_requests(fleet).await? - at_grace;
    for i in moved_engines() {
        fleet.engines[i].restart().await?;
    }
    time::sleep_until((start + IN_AT).into()).await;
    let after_restart = domain_requests(fleet).await?;
    if policy == Policy::Instances {
        set_domain(fleet, "in").await?;
    }
    Ok(before_restart + after_restart)
}

/// Sets the state of the moved domain, `in` or `out`, through the first instance.
async fn set_domain(fleet: &Fleet, state: &str) -> Result<(), Error> {
    let (_, revision) = fleet.document().await?;
    let path = format!("/v1/domains/{}/{state}?expected={revision}", DOMAINS[MOVED_DOMAIN]);
    let instance = &fleet.instances[0];
    instance.send(instance.operator_call(Method::POST, &path)).await?.ok()?;
    Ok(())
}

/// Returns the indices of the engines in the moved domain.
fn moved_engines() -> impl Iterator<Item = usize> {
    (0..ENGINES).filter(|i| i % DOMAINS.len() == MOVED_DOMAIN)
}

async fn domain_requests(fleet: &Fleet) -> Result<u64, Error> {
    let all = stats(fleet).await?;
    Ok(moved_engines().map(|i| all[i].requests).sum())
}

async fn stats(fleet: &Fleet) -> Result<Vec<Stats>, Error> {
    let mut all = Vec::new();
    for engine in &fleet.engines {
        all.push(engine.stats().await?);
    }
    Ok(all)
}

/// Addresses that requests are sent to.
#[derive(Clone, Debug)]
struct Targets {
    http: Client,
    policy: Policy,
    all: Vec<net::SocketAddr>,
    /// Addresses outside the moved domain; all of them when they belong to instances.
    remaining: Vec<net::SocketAddr>,
}

impl Targets {
    fn new(fleet: &Fleet, policy: Policy) -> Self {
        let http = fleet.http.clone();
        if policy == Policy::Instances {
            let all: Vec<_> = fleet.instances.iter().map(|i| i.listen.callers).collect();
            return Self { http, policy, remaining: all.clone(), all };
        }
        let all: Vec<_> = fleet.engines.iter().map(|engine| engine.address).collect();
        let outside = all.iter().enumerate().filter(|(i, _)| i % DOMAINS.len() != MOVED_DOMAIN);
        let remaining = outside.map(|(_, address)| *address).collect();
        Self { http, policy, all, remaining }
    }

    fn call(&self, address: net::SocketAddr, conversation: u32, number: u64) -> Call {
        let words = vec![format!("c{conversation}"); PROMPT_WORDS].join(" ");
        let body = json!({"model": MODEL, "prompt": words, "max_tokens": 4});
        let call = Call::post(address, "/v1/completions").with_json(&body);
        match self.policy {
            Policy::Instances => call.with_bearer(KEY),
            Policy::FixedWeights => call
                .with_header("x-workspace", WORKSPACE)
                .with_header("x-request-id", &format!("direct-{number}")),
        }
    }
}

/// Sends requests at a fixed rate, without waiting for earlier responses.
///
/// From `excluded_from` until [`IN_AT`], the baseline sends none to the moved domain.
async fn send_all(
    targets: Targets,
    options: Options,
    duration: Duration,
    excluded_from: Duration,
) -> Outcome {
    let targets = Arc::new(targets);
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut in_flight = JoinSet::new();
    let mut ticks = time::interval(Duration::from_secs(1) / options.rate);
    let start = Instant::now();
    for number in 0.. {
        ticks.tick().await;
        let elapsed = start.elapsed();
        if elapsed >= duration {
            break;
        }
        let is_excluded = (excluded_from..IN_AT).contains(&elapsed);
        let choices = if is_excluded { &targets.remaining } else { &targets.all };
        let address = choices[rng.random_range(0..choices.len())];
        let conversation = rng.random_range(0..CONVERSATIONS);
        let targets = targets.clone();
        in_flight.spawn(async move { send(&targets, address, conversation, number).await });
    }
    let mut outcome = Outcome::new();
    while let Some(response_time) = in_flight.join_next().await {
        outcome.record(response_time.ok().flatten());
    }
    outcome
}

/// Sends one request and returns its response time, or `None` if it failed.
async fn send(
    targets: &Targets,
    address: net::SocketAddr,
    conversation: u32,
    number: u64,
) -> Option<Duration> {
    let start = Instant::now();
    let call = targets.call(address, conversation, number).with_timeout(RESPONSE_TIMEOUT);
    let response = targets.http.send(call).await.ok()?;
    (response.status == 200).then(|| start.elapsed())
}

impl Outcome {
    fn new() -> Self {
        let response_time = Histogram::new_with_bounds(1, MAX_RESPONSE_US, 3)
            .expect("the histogram bounds and digits are valid");
        Self { sent: 0, unserved: 0, late_work: 0, breaches: 0, response_time }
    }

    /// Records a request with its response time, or `None` if it failed.
    fn record(&mut self, response_time: Option<Duration>) {
        self.sent += 1;
        match response_time {
            Some(time) => {
                self.response_time
                    .saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_RESPONSE_US));
            }
            None => self.unserved += 1,
        }
    }

    fn unserved_percent(&self) -> f64 {
        100.0 * self.unserved as f64 / self.sent.max(1) as f64
    }
}
