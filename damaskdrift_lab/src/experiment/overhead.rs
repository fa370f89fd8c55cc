//! Time and memory that an instance adds to a direct call to an engine.

use std::fs;
use std::net;
use std::process;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::error::Error;
use crate::experiment::measure::Measure;
use crate::harness::fleet::{KEY, MODEL, WORKSPACE};
use crate::harness::http;
use crate::harness::{Call, Client, Fleet, Stream};
use crate::standin::flag;

const HELP: &str = "\
Measure the time and memory that an instance adds to a direct call to an engine

Usage: damaskdrift_lab experiment overhead [OPTIONS]

Calls go to the engine and to the instance in turns of one second each, so that both see the same
machine. Build with --release; a debug build does not show the targets' figures.

Options:
  --rate N     Requests a second [1000]
  --seconds N  Seconds of calls to each of the engine and the instance [10]
  --streams N  Open streams while the memory is measured [1000]
  -h, --help   Print help
";

/// Most that an instance may add to the median time to first token.
const TARGET_P50_MS: f64 = 1.0;
/// Most that an instance may add to the 99th percentile of the time to first token.
const TARGET_P99_MS: f64 = 5.0;
/// Most resident memory of an instance.
const TARGET_MB: f64 = 64.0;
/// Concurrent requests that the engine bears; the experiment does not measure admission.
const ENGINE_LIMIT: u32 = 4_096;
/// Length of one turn of calls to the engine or the instance.
const TURN: Duration = Duration::from_secs(1);
/// Length of an answer while the time is measured, in tokens.
const SHORT_ANSWER: usize = 4;
/// Tokens a second of each stream while the memory is measured.
const SLOW_RATE: &str = "5";
/// Length of an answer while the memory is measured, in tokens; it outlasts the measurement.
const LONG_ANSWER: usize = 1_000;
/// Pause between the starts of two streams.
const STREAM_PAUSE: Duration = Duration::from_millis(2);
/// Time over which the memory is sampled.
const SAMPLE_TIME: Duration = Duration::from_secs(5);
/// Pause between two samples of the memory.
const SAMPLE_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait until an instance answers.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Longest time to first token that is told apart, in microseconds.
const MAX_FIRST_TOKEN_US: u64 = 60_000_000;

/// What the experiment is asked for.
#[derive(Clone, Copy, Debug)]
struct Options {
    rate: u32,
    seconds: u32,
    streams: usize,
}

/// Where a call goes.
#[derive(Clone, Debug)]
struct Target {
    http: Client,
    address: net::SocketAddr,
    is_engine: bool,
}

/// Times to first token and failures of the calls to one target.
#[derive(Debug)]
struct Sample {
    first_token: Histogram<u64>,
    late: Histogram<u64>,
    failures: u64,
    last_failure: Option<String>,
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
    if cfg!(debug_assertions) {
        println!("note: debug build");
    }
    print_machine("start");
    let mut measures = first_token(options).await?;
    measures.push(memory(options).await?);
    print_machine("end");
    for measure in measures {
        println!("{measure}");
    }
    Ok(process::ExitCode::SUCCESS)
}

fn parse(mut args: lexopt::Parser) -> Result<Option<Options>, Error> {
    let mut options = Options { rate: 1_000, seconds: 10, streams: 1_000 };
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("rate") => options.rate = flag::value(&mut args)?,
            lexopt::Arg::Long("seconds") => options.seconds = flag::value(&mut args)?,
            lexopt::Arg::Long("streams") => options.streams = flag::value(&mut args)?,
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    if options.rate == 0 || options.seconds == 0 || options.streams == 0 {
        return Err(Error::Usage("--rate, --seconds and --streams must be at least 1".to_owned()));
    }
    Ok(Some(options))
}

/// Prints how busy the machine is; other processes on it add to the times, above all to p99.
fn print_machine(when: &str) {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default();
    let cores = thread::available_parallelism().map_or(0, usize::from);
    println!("machine at the {when}: load average {load} on {cores} cores");
}

async fn first_token(options: Options) -> Result<Vec<Measure>, Error> {
    let fast = ["--prefill-rate", "0", "--decode-rate", "0", "--decode-rate-each", "0"];
    let fleet = start(&fast).await?;
    let engine = Target::engine(&fleet);
    let instance = Target::instance(&fleet);
    let (mut direct, mut through) = (Sample::new(), Sample::new());
    // The first turns open the pooled connections and are not measured.
    for target in [&engine, &instance] {
        turn(target, options, &mut Sample::new()).await;
    }
    for _ in 0..options.seconds {
        turn(&engine, options, &mut direct).await;
        turn(&instance, options, &mut through).await;
    }
    for (name, sample) in [("engine", &direct), ("instance", &through)] {
        println!("{name}: {sample}");
        if let Some(failure) = &sample.last_failure {
            return Err(Error::Unexpected(format!("{name}: calls failed, last: {failure}")));
        }
    }
    let measure = |name: &str, quantile: f64, target: f64| {
        let baseline = direct.first_token_ms(quantile);
        let value = through.first_token_ms(quantile) - baseline;
        Measure { name: name.to_owned(), baseline, value, target, unit: "ms" }
    };
    Ok(vec![
        measure("added first token p50", 0.50, TARGET_P50_MS),
        measure("added first token p99", 0.99, TARGET_P99_MS),
    ])
}

/// Sends calls at the rate for one turn, whether or not earlier ones are answered.
async fn turn(target: &Target, options: Options, sample: &mut Sample) {
    let interval = TURN / options.rate;
    let started = Instant::now();
    let mut calls = JoinSet::new();
    for index in 0..options.rate {
        let due = started + interval * index;
        time::sleep_until(due.into()).await;
        sample.late.saturating_record(due.elapsed().as_micros() as u64);
        let target = target.clone();
        calls.spawn(async move { target.first_token(index).await });
    }
    for result in calls.join_all().await {
        sample.record(result);
    }
}

async fn memory(options: Options) -> Result<Measure, Error> {
    let slow = ["--prefill-rate", "0", "--decode-rate", "0", "--decode-rate-each", SLOW_RATE];
    let fleet = start(&slow).await?;
    let process = &fleet.instances[0].process;
    let idle = process.resident_bytes()?;
    let target = Target::instance(&fleet);
    let mut streams = JoinSet::new();
    let (tx, mut opened) = tokio::sync::mpsc::unbounded_channel();
    for index in 0..options.streams {
        let (target, tx) = (target.clone(), tx.clone());
        streams.spawn(async move { target.hold(index, tx).await });
        time::sleep(STREAM_PAUSE).await;
    }
    for _ in 0..options.streams {
        tokio::select! {
            _ = opened.recv() => {}
            Some(ended) = streams.join_next() => return Err(early_end(ended)),
        }
    }
    let mut peak = 0;
    let started = Instant::now();
    while started.elapsed() < SAMPLE_TIME {
        peak = peak.max(process.resident_bytes()?);
        if let Some(ended) = streams.try_join_next() {
            return Err(early_end(ended));
        }
        time::sleep(SAMPLE_PAUSE).await;
    }
    let megabytes = |bytes: u64| bytes as f64 / 1e6;
    Ok(Measure {
        name: format!("resident memory at {} open streams", options.streams),
        baseline: megabytes(idle),
        value: megabytes(peak),
        target: TARGET_MB,
        unit: "MB",
    })
}

fn early_end(ended: Result<Result<(), http::Error>, tokio::task::JoinError>) -> Error {
    Error::Unexpected(format!("a stream ended before the memory was measured: {ended:?}"))
}

async fn start(engine_args: &[&str]) -> Result<Fleet, Error> {
    let limit = ENGINE_LIMIT.to_string();
    let fleet = Fleet::builder()
        .with_engine_limits(ENGINE_LIMIT, ENGINE_LIMIT)
        // In a fleet of one the instance's static share is the whole limit.
        .with_setting("limits", "fleet_max", 1)
        .with_engine_args(&["--max-running", &limit])
        .with_engine_args(engine_args)
        .start()
        .await?;
    fleet.warm_up(START_LIMIT).await?;
    Ok(fleet)
}

impl Target {
    fn engine(fleet: &Fleet) -> Self {
        Self { http: Client::new(), address: fleet.engines[0].address, is_engine: true }
    }

    fn instance(fleet: &Fleet) -> Self {
        let address = fleet.instances[0].listen.callers;
        Self { http: Client::new(), address, is_engine: false }
    }

    async fn first_token(&self, index: u32) -> Result<Duration, http::Error> {
        let mut stream = self.open(&format!("prompt {index}"), SHORT_ANSWER).await?;
        // The rest is read so that the connection can be used again.
        while stream.next_chunk().await?.is_some() {}
        let first_byte = stream.first_byte();
        first_byte.ok_or_else(|| http::Error::Malformed("the answer is empty".to_owned()))
    }

    /// Opens a stream, reports it as open and reads it to its end.
    async fn hold(
        &self,
        index: usize,
        opened: tokio::sync::mpsc::UnboundedSender<()>,
    ) -> Result<(), http::Error> {
        let mut stream = self.open(&format!("stream {index}"), LONG_ANSWER).await?;
        if stream.next_chunk().await?.is_some() {
            // The receiver is gone once the experiment has failed.
            let _ = opened.send(());
        }
        while stream.next_chunk().await?.is_some() {}
        Ok(())
    }

    async fn open(&self, prompt: &str, tokens: usize) -> Result<Stream, http::Error> {
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let call = Call::new(Method::POST, self.address, "/v1/completions");
        let call = call.with_json(&body).with_timeout(ANSWER_LIMIT);
        let call = if self.is_engine {
            let id = format!("direct-{:032x}", rand::random::<u128>());
            call.with_header("x-request-id", &id).with_header("x-workspace", WORKSPACE)
        } else {
            call.with_bearer(KEY)
        };
        let mut stream = self.http.stream(call).await?;
        if stream.status != 200 {
            let text = String::from_utf8_lossy(&stream.read_to_end().await?).into_owned();
            return Err(http::Error::Malformed(format!("status {}: {text}", stream.status)));
        }
        Ok(stream)
    }
}

impl Sample {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_FIRST_TOKEN_US, 3)
                .expect("the bounds and digits are supported")
        };
        Self { first_token: histogram(), late: histogram(), failures: 0, last_failure: None }
    }

    fn record(&mut self, result: Result<Duration, http::Error>) {
        match result {
            Ok(first_token) => self.first_token.saturating_record(first_token.as_micros() as u64),
            Err(error) => {
                self.failures += 1;
                self.last_failure = Some(error.to_string());
            }
        }
    }

    fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1e3
    }
}

impl std::fmt::Display for Sample {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} calls, {} failed, first token p50 {:.2} ms, p99 {:.2} ms, sent late p99 {:.2} ms",
            self.first_token.len() + self.failures,
            self.failures,
            self.first_token_ms(0.50),
            self.first_token_ms(0.99),
            self.late.value_at_quantile(0.99) as f64 / 1e3,
        )
    }
}
