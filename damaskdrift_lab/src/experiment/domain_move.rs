//! Service while a failure domain leaves and returns.

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
/// Index of the failure domain that leaves and returns.
const MOVED: usize = 1;
const COLD_LIMIT: u32 = 2;
const WARM_LIMIT: u32 = 8;
/// Length of a cold start, in milliseconds.
const COLD_MS: &str = "6000";
/// When the domain is taken out, its engines restart and it returns, after the start of the load.
const OUT_AT: Duration = Duration::from_secs(5);
const RESTART_AT: Duration = Duration::from_secs(11);
const IN_AT: Duration = Duration::from_secs(14);
const END_AT: Duration = Duration::from_secs(28);
/// Length of the load before the counted one.
const WARM_UP: Duration = Duration::from_secs(8);
/// Time after which a domain that is out must get no new work.
const GRACE: Duration = Duration::from_secs(3);
/// Time after which the weights of the baseline are changed by hand.
const BY_HAND: Duration = Duration::from_secs(5);
const START_LIMIT: Duration = Duration::from_secs(60);
const ANSWER_LIMIT: Duration = Duration::from_secs(15);
/// Conversations that return, and the words of their prompts.
const CONVERSATIONS: u32 = 60;
const PROMPT_WORDS: usize = 120;
/// Largest share of requests that may stay unserved, in percent.
const TARGET_UNSERVED: f64 = 0.1;
const MAX_US: u64 = 60_000_000;

#[derive(Clone, Copy, Debug)]
struct Options {
    rate: u32,
    seed: u64,
}

/// Where the load goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// Through the instances.
    Instances,
    /// Straight to the engines, with fixed weights.
    FixedWeights,
}

/// What one run showed.
#[derive(Debug)]
struct Outcome {
    sent: u64,
    unserved: u64,
    late_work: u64,
    breaches: u64,
    first_answer: Histogram<u64>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Stats {
    requests: u64,
    breaches: u64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns why it could not run.
pub async fn run(args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let Some(options) = parse(args)? else {
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

fn parse(mut args: lexopt::Parser) -> Result<Option<Options>, Error> {
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
    let p95 = |outcome: &Outcome| outcome.first_answer.value_at_quantile(0.95) as f64 / 1_000.0;
    vec![
        measure(
            "unserved",
            baseline.unserved_percent(),
            value.unserved_percent(),
            TARGET_UNSERVED,
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
        // The baseline refuses nothing and waits for nothing, so its figure is a bound of its own.
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
    fleet.warm_up(START_LIMIT).await?;
    // Every engine leaves its cold start, and the limits grow, before the load is counted.
    time::sleep(Duration::from_millis(6_500)).await;
    let targets = Targets::new(&fleet, policy);
    send_all(targets.clone(), options, WARM_UP, Duration::MAX).await;
    let before = stats(&fleet).await?;
    let load = tokio::spawn(send_all(targets, options, END_AT, OUT_AT + BY_HAND));
    let start = Instant::now();
    let late_work = move_domain(&mut fleet, start, policy).await?;
    let mut outcome = load.await.map_err(|error| Error::Unexpected(error.to_string()))?;
    outcome.late_work = late_work;
    let breaches = |stats: &[Stats]| stats.iter().map(|stats| stats.breaches).sum::<u64>();
    let after = stats(&fleet).await?;
    outcome.breaches = breaches(&after).saturating_sub(breaches(&before));
    Ok(outcome)
}

/// Takes the domain out and back in, and returns the new work that it got after the grace.
async fn move_domain(fleet: &mut Fleet, start: Instant, policy: Policy) -> Result<u64, Error> {
    time::sleep_until((start + OUT_AT).into()).await;
    if policy == Policy::Instances {
        set_domain(fleet, "out").await?;
    }
    time::sleep_until((start + OUT_AT + GRACE).into()).await;
    let graced = domain_requests(fleet).await?;
    time::sleep_until((start + RESTART_AT).into()).await;
    let late = domain_requests(fleet).await? - graced;
    for i in moved_engines() {
        fleet.engines[i].restart().await?;
    }
    time::sleep_until((start + IN_AT).into()).await;
    let after_restart = domain_requests(fleet).await?;
    if policy == Policy::Instances {
        set_domain(fleet, "in").await?;
    }
    Ok(late + after_restart)
}

async fn set_domain(fleet: &Fleet, state: &str) -> Result<(), Error> {
    let (_, revision) = fleet.document().await?;
    let path = format!("/v1/domains/{}/{state}?expected={revision}", DOMAINS[MOVED]);
    let instance = &fleet.instances[0];
    instance.send(instance.operator_call(Method::POST, &path)).await?.ok()?;
    Ok(())
}

fn moved_engines() -> impl Iterator<Item = usize> {
    (0..ENGINES).filter(|i| i % DOMAINS.len() == MOVED)
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

/// Addresses that the load is sent to.
#[derive(Clone, Debug)]
struct Targets {
    http: Client,
    policy: Policy,
    all: Vec<net::SocketAddr>,
    /// Without the engines of the domain that leaves.
    rest: Vec<net::SocketAddr>,
}

impl Targets {
    fn new(fleet: &Fleet, policy: Policy) -> Self {
        let http = fleet.http.clone();
        if policy == Policy::Instances {
            let all: Vec<_> = fleet.instances.iter().map(|i| i.listen.callers).collect();
            return Self { http, policy, rest: all.clone(), all };
        }
        let all: Vec<_> = fleet.engines.iter().map(|engine| engine.address).collect();
        let kept = all.iter().enumerate().filter(|(i, _)| i % DOMAINS.len() != MOVED);
        let rest = kept.map(|(_, address)| *address).collect();
        Self { http, policy, all, rest }
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

/// Sends the load at a fixed rate, whether or not earlier requests were answered.
async fn send_all(
    targets: Targets,
    options: Options,
    length: Duration,
    by_hand: Duration,
) -> Outcome {
    let targets = Arc::new(targets);
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut sending = JoinSet::new();
    let mut ticks = time::interval(Duration::from_secs(1) / options.rate);
    let start = Instant::now();
    for number in 0.. {
        ticks.tick().await;
        let elapsed = start.elapsed();
        if elapsed >= length {
            break;
        }
        let is_out = (by_hand..IN_AT).contains(&elapsed);
        let choices = if is_out { &targets.rest } else { &targets.all };
        let address = choices[rng.random_range(0..choices.len())];
        let conversation = rng.random_range(0..CONVERSATIONS);
        let targets = targets.clone();
        sending.spawn(async move { send(&targets, address, conversation, number).await });
    }
    let mut outcome = Outcome::new();
    while let Some(answer) = sending.join_next().await {
        outcome.add(answer.ok().flatten());
    }
    outcome
}

/// Sends one request and returns the time of its answer; a failure gives none.
async fn send(
    targets: &Targets,
    address: net::SocketAddr,
    conversation: u32,
    number: u64,
) -> Option<Duration> {
    let start = Instant::now();
    let call = targets.call(address, conversation, number).with_timeout(ANSWER_LIMIT);
    let answer = targets.http.send(call).await.ok()?;
    (answer.status == 200).then(|| start.elapsed())
}

impl Outcome {
    fn new() -> Self {
        let first_answer =
            Histogram::new_with_bounds(1, MAX_US, 3).expect("the bounds and digits are valid");
        Self { sent: 0, unserved: 0, late_work: 0, breaches: 0, first_answer }
    }

    fn add(&mut self, answer: Option<Duration>) {
        self.sent += 1;
        match answer {
            Some(time) => {
                self.first_answer
                    .saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_US));
            }
            None => self.unserved += 1,
        }
    }

    fn unserved_percent(&self) -> f64 {
        100.0 * self.unserved as f64 / self.sent.max(1) as f64
    }
}
