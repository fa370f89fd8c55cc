//! Experiment `overhead`: time and memory that an instance adds to a direct call to an engine.

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

/// Largest time that an instance may add to the median time to first token.
const TARGET_P50_MS: f64 = 1.0;
/// Largest time that an instance may add to the 99th percentile of the time to first token.
const TARGET_P99_MS: f64 = 5.0;
/// Largest resident memory of an instance.
const TARGET_MB: f64 = 64.0;
/// Concurrent requests allowed at the engine, high because the experiment does not measure
/// admission.
const MAX_ENGINE_REQUESTS: u32 = 4_096;
/// Duration of one turn of calls to the engine or the instance.
const TURN_DURATION: Duration = Duration::from_secs(1);
/// Length of a response while the time to first token is measured.
const SHORT_RESPONSE_TOKENS: usize = 4;
/// Decode rate of each stream in tokens per second while the memory is measured.
const SLOW_DECODE_RATE: &str = "5";
/// Length of a response while the memory is measured, enough for streams to outlast the
/// measurement.
const LONG_RESPONSE_TOKENS: usize = 1_000;
/// Interval between the starts of two streams.
const STREAM_START_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which the memory is sampled.
const SAMPLING_DURATION: Duration = Duration::from_secs(5);
/// Interval between two samples of the memory.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on the time until an instance responds after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Upper bound of the histograms; longer times are recorded as this value.
const MAX_RECORDED_US: u64 = 60_000_000;

/// Options of the command line.
#[derive(Clone, Copy, Debug)]
struct Options {
    rate: u32,
    seconds: u32,
    streams: usize,
}

/// Destination of calls: the engine or the instance.
#[derive(Clone, Debug)]
struct Target {
    http: Client,
    address: net::SocketAddr,
    is_engine: bool,
}

/// Results of the calls to one target; times are in microseconds.
#[derive(Debug)]
struct CallStats {
    first_token: Histogram<u64>,
    /// Delay of each call after its scheduled time.
    send_delay: Histogram<u64>,
    failures: u64,
    last_failure: Option<String>,
}

/// Runs the experiment and prints its measures; the exit code does not depend on the targets.
///
/// # Errors
///
/// Returns an error if an argument is malformed, if a fleet does not start, or if a call or stream
/// fails.
pub async fn run(args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let Some(options) = parse_options(args)? else {
        print!("{HELP}");
        return Ok(process::ExitCode::SUCCESS);
    };
    if cfg!(debug_assertions) {
        println!("note: debug build");
    }
    print_load_average("start");
    let mut measures = measure_first_token(options).await?;
    measures.push(measure_memory(options).await?);
    print_load_average("end");
    for measure in measures {
        println!("{measure}");
    }
    Ok(process::ExitCode::SUCCESS)
}

fn parse_options(mut args: lexopt::Parser) -> Result<Option<Options>, Error> {
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

/// Prints the machine's load average: other processes add to the measured times, mainly to p99.
fn print_load_average(when: &str) {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default();
    let cores = thread::available_parallelism().map_or(0, usize::from);
    println!("machine at the {when}: load average {load} on {cores} cores");
}

async fn measure_first_token(options: Options) -> Result<Vec<Measure>, Error> {
    let fast = ["--prefill-rate", "0", "--decode-rate", "0", "--decode-rate-each", "0"];
    let fleet = start(&fast).await?;
    let engine = Target::engine(&fleet);
    let instance = Target::instance(&fleet);
    let (mut direct, mut via_instance) = (CallStats::new(), CallStats::new());
    // The first turns open the pooled connections and are not measured.
    for target in [&engine, &instance] {
        run_turn(target, options, &mut CallStats::new()).await;
    }
    for _ in 0..options.seconds {
        run_turn(&engine, options, &mut direct).await;
        run_turn(&instance, options, &mut via_instance).await;
    }
    for (name, stats) in [("engine", &direct), ("instance", &via_instance)] {
        println!("{name}: {stats}");
        if let Some(failure) = &stats.last_failure {
            let message =
                format!("{name}: {} calls failed, the last with: {failure}", stats.failures);
            return Err(Error::Unexpected(message));
        }
    }
    let measure = |name: &str, quantile: f64, target: f64| {
        let baseline = direct.first_token_ms(quantile);
        let value = via_instance.first_token_ms(quantile) - baseline;
        Measure { name: name.to_owned(), baseline, value, target, unit: "ms" }
    };
    Ok(vec![
        measure("added first token p50", 0.50, TARGET_P50_MS),
        measure("added first token p99", 0.99, TARGET_P99_MS),
    ])
}

/// Sends calls at a fixed rate for one turn, without waiting for the responses to earlier calls.
async fn run_turn(target: &Target, options: Options, stats: &mut CallStats) {
    let interval = TURN_DURATION / options.rate;
    let started = Instant::now();
    let mut calls = JoinSet::new();
    for index in 0..options.rate {
        let scheduled_at = started + interval * index;
        time::sleep_until(scheduled_at.into()).await;
        stats.send_delay.saturating_record(scheduled_at.elapsed().as_micros() as u64);
        let target = target.clone();
        calls.spawn(async move { target.first_token(index).await });
    }
    for result in calls.join_all().await {
        stats.record(result);
    }
}

async fn measure_memory(options: Options) -> Result<Measure, Error> {
    let slow =
        ["--prefill-rate", "0", "--decode-rate", "0", "--decode-rate-each", SLOW_DECODE_RATE];
    let fleet = start(&slow).await?;
    let process = &fleet.instances[0].process;
    let idle_bytes = process.resident_bytes()?;
    let target = Target::instance(&fleet);
    let mut streams = JoinSet::new();
    let (tx, mut opened_rx) = tokio::sync::mpsc::unbounded_channel();
    for index in 0..options.streams {
        let (target, tx) = (target.clone(), tx.clone());
        streams.spawn(async move { target.hold_stream(index, tx).await });
        time::sleep(STREAM_START_INTERVAL).await;
    }
    for _ in 0..options.streams {
        tokio::select! {
            _ = opened_rx.recv() => {}
            Some(ended) = streams.join_next() => return Err(early_end_error(ended)),
        }
    }
    let mut peak_bytes = 0;
    let started = Instant::now();
    while started.elapsed() < SAMPLING_DURATION {
        peak_bytes = peak_bytes.max(process.resident_bytes()?);
        if let Some(ended) = streams.try_join_next() {
            return Err(early_end_error(ended));
        }
        time::sleep(SAMPLING_INTERVAL).await;
    }
    let megabytes = |bytes: u64| bytes as f64 / 1e6;
    Ok(Measure {
        name: format!("resident memory at {} open streams", options.streams),
        baseline: megabytes(idle_bytes),
        value: megabytes(peak_bytes),
        target: TARGET_MB,
        unit: "MB",
    })
}

fn early_end_error(ended: Result<Result<(), http::Error>, tokio::task::JoinError>) -> Error {
    Error::Unexpected(format!("a stream ended before the memory was measured: {ended:?}"))
}

async fn start(engine_args: &[&str]) -> Result<Fleet, Error> {
    let limit = MAX_ENGINE_REQUESTS.to_string();
    let fleet = Fleet::builder()
        .with_engine_limits(MAX_ENGINE_REQUESTS, MAX_ENGINE_REQUESTS)
        // With a maximum fleet size of 1 the instance's static share is the whole limit.
        .with_setting("limits", "fleet_max", 1)
        .with_engine_args(&["--max-running", &limit])
        .with_engine_args(engine_args)
        .start()
        .await?;
    fleet.warm_up(START_TIMEOUT).await?;
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
        let mut stream = self.open(&format!("prompt {index}"), SHORT_RESPONSE_TOKENS).await?;
        // The stream is read to its end so that the connection returns to the pool.
        while stream.next_chunk().await?.is_some() {}
        let first_byte = stream.first_byte();
        first_byte.ok_or_else(|| http::Error::Malformed("the response is empty".to_owned()))
    }

    /// Opens a stream, sends a message to `tx` at its first chunk and reads it to its end.
    async fn hold_stream(
        &self,
        index: usize,
        tx: tokio::sync::mpsc::UnboundedSender<()>,
    ) -> Result<(), http::Error> {
        let mut stream = self.open(&format!("stream {index}"), LONG_RESPONSE_TOKENS).await?;
        if stream.next_chunk().await?.is_some() {
            // The receiver is dropped when the experiment has failed.
            let _ = tx.send(());
        }
        while stream.next_chunk().await?.is_some() {}
        Ok(())
    }

    async fn open(&self, prompt: &str, tokens: usize) -> Result<Stream, http::Error> {
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let call = Call::new(Method::POST, self.address, "/v1/completions");
        let call = call.with_json(&body).with_timeout(RESPONSE_TIMEOUT);
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

impl CallStats {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_RECORDED_US, 3)
                .expect("the bounds and digits are supported")
        };
        Self { first_token: histogram(), send_delay: histogram(), failures: 0, last_failure: None }
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

impl std::fmt::Display for CallStats {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} calls, {} failed, first token p50 {:.2} ms, p99 {:.2} ms, sent late p99 {:.2} ms",
            self.first_token.len() + self.failures,
            self.failures,
            self.first_token_ms(0.50),
            self.first_token_ms(0.99),
            self.send_delay.value_at_quantile(0.99) as f64 / 1e3,
        )
    }
}
