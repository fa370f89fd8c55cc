//! Command-line options of the engine stand-in.

use std::net;
use std::time::Duration;

use lexopt::ValueExt as _;

use crate::error::Error;
use crate::standin::flag;

/// Text that `--help` prints.
pub const HELP: &str = "\
Run a stand-in for a model engine

Usage: damaskdrift_lab standin engine --listen IP:PORT --model M --version V --cold-limit N

Options:
  --prefill-rate F     Prompt tokens a second, shared by the batch; 0 is unlimited [20000]
  --decode-rate F      Answer tokens a second, shared by the batch; 0 is unlimited [4000]
  --decode-rate-each F Most answer tokens a second of one request; 0 is unlimited [200]
  --max-running N      Most requests in the batch [64]
  --default-tokens N   Answer length when the request sets no max_tokens [16]
  --block-bytes N      Size of the KV cache of a block in bytes [16384]
  --load-ms N          Time to load a version without a weight store [100]
  --weights IP:PORT    Weight store that versions are loaded from
  --cache-blocks N     Prefix cache size in blocks of 16 tokens [4096]
  --event-delay-ms N   Age at which cache events become visible [200]
  --event-gap-rate P   Share of cache events that are lost [0.05]
  --load-lag-ms N      Age of the load report [200]
  --stream-keep-ms N   How long a finished stream can be read [60000]
  --cold-ms N          Length of a cold start [0]
  --cold-overload M    What happens above the cold limit: fail or slow [fail]
  --cold-factor F      Slowdown during a cold start within the limit [1]
  --check-fencing      Refuse orders with an old fencing number
  --seed N             Seed of faults and event gaps [1]
";

/// Behavior when requests exceed the concurrency limit during a cold start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdOverload {
    /// Requests above the limit are rejected with status 503.
    Fail,
    /// All requests are accepted, but the whole batch slows down.
    Slow,
}

/// Command-line options of the engine stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the listener.
    pub listen: net::SocketAddr,
    /// Name of the served model.
    pub model: String,
    /// Weight version loaded at the start.
    pub version: String,
    /// Maximum number of concurrent requests during a cold start.
    pub cold_limit: usize,
    /// Prompt tokens per second, shared by the batch; 0 is unlimited.
    pub prefill_rate: f64,
    /// Output tokens per second, shared by the batch; 0 is unlimited.
    pub decode_rate: f64,
    /// Maximum output tokens per second of one request; 0 is unlimited.
    pub decode_rate_each: f64,
    /// Maximum number of requests in the batch; others wait in the queue.
    pub max_running: usize,
    /// Length of the completion, in tokens, when the request sets no `max_tokens`.
    pub default_tokens: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Size of a block's KV cache, in bytes.
    pub block_bytes: usize,
    /// Time to load a version when no weight store is set.
    pub load_time: Duration,
    /// Address of the weight store that versions are loaded from.
    pub weight_store: Option<net::SocketAddr>,
    /// Delay before cache events become visible.
    pub event_delay: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_gap_rate: f64,
    /// Age of the state that a load report describes.
    pub load_lag: Duration,
    /// Time for which a finished stream can still be read.
    pub stream_retention: Duration,
    /// Duration of a cold start.
    pub cold_start: Duration,
    /// Behavior when requests exceed the concurrency limit during a cold start.
    pub cold_overload: ColdOverload,
    /// Factor by which a cold start within the limit slows the batch down.
    pub cold_factor: f64,
    /// Whether orders with an outdated fencing token are rejected.
    pub check_fencing: bool,
    /// Seed of the random choice of failures and lost events.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            model: String::new(),
            version: String::new(),
            cold_limit: 0,
            prefill_rate: 20_000.0,
            decode_rate: 4_000.0,
            decode_rate_each: 200.0,
            max_running: 64,
            default_tokens: 16,
            cache_blocks: 4_096,
            block_bytes: 16 << 10,
            load_time: Duration::from_millis(100),
            weight_store: None,
            event_delay: Duration::from_millis(200),
            event_gap_rate: 0.05,
            load_lag: Duration::from_millis(200),
            stream_retention: Duration::from_secs(60),
            cold_start: Duration::ZERO,
            cold_overload: ColdOverload::Fail,
            cold_factor: 1.0,
            check_fencing: false,
            seed: 1,
        }
    }
}

impl Options {
    /// Parses the flags; returns `None` when help is requested.
    ///
    /// # Errors
    ///
    /// Returns an error when a flag is missing, unknown or malformed.
    pub fn parse(mut args: lexopt::Parser) -> Result<Option<Self>, Error> {
        let mut cfg = Self::default();
        let mut has_listen = false;
        while let Some(arg) = args.next()? {
            let name = match arg {
                lexopt::Arg::Short('h') => return Ok(None),
                lexopt::Arg::Long(name) => name.to_owned(),
                other => return Err(other.unexpected().into()),
            };
            match name.as_str() {
                "help" => return Ok(None),
                "listen" => {
                    cfg.listen = flag::value(&mut args)?;
                    has_listen = true;
                }
                "model" => cfg.model = args.value()?.string()?,
                "version" => cfg.version = args.value()?.string()?,
                "cold-limit" => cfg.cold_limit = flag::value(&mut args)?,
                "prefill-rate" => cfg.prefill_rate = flag::value(&mut args)?,
                "decode-rate" => cfg.decode_rate = flag::value(&mut args)?,
                "decode-rate-each" => cfg.decode_rate_each = flag::value(&mut args)?,
                "max-running" => cfg.max_running = flag::value(&mut args)?,
                "default-tokens" => cfg.default_tokens = flag::value(&mut args)?,
                "cache-blocks" => cfg.cache_blocks = flag::value(&mut args)?,
                "block-bytes" => cfg.block_bytes = flag::value(&mut args)?,
                "load-ms" => cfg.load_time = flag::millis(&mut args)?,
                "weights" => cfg.weight_store = Some(flag::value(&mut args)?),
                "event-delay-ms" => cfg.event_delay = flag::millis(&mut args)?,
                "event-gap-rate" => cfg.event_gap_rate = flag::value(&mut args)?,
                "load-lag-ms" => cfg.load_lag = flag::millis(&mut args)?,
                "stream-keep-ms" => cfg.stream_retention = flag::millis(&mut args)?,
                "cold-ms" => cfg.cold_start = flag::millis(&mut args)?,
                "cold-overload" => cfg.cold_overload = parse_cold_overload(&mut args)?,
                "cold-factor" => cfg.cold_factor = flag::value(&mut args)?,
                "check-fencing" => cfg.check_fencing = true,
                "seed" => cfg.seed = flag::value(&mut args)?,
                other => return Err(Error::Usage(format!("unknown option --{other}; see --help"))),
            }
        }
        let is_complete = has_listen
            && !cfg.model.is_empty()
            && !cfg.version.is_empty()
            && cfg.cold_limit > 0
            && (0.0..=1.0).contains(&cfg.event_gap_rate);
        if !is_complete {
            let message = "needs --listen, --model, --version, --cold-limit of at least 1 and an \
                           --event-gap-rate in 0 to 1";
            return Err(Error::Usage(message.to_owned()));
        }
        Ok(Some(cfg))
    }
}

fn parse_cold_overload(args: &mut lexopt::Parser) -> Result<ColdOverload, Error> {
    match args.value()?.string()?.as_str() {
        "fail" => Ok(ColdOverload::Fail),
        "slow" => Ok(ColdOverload::Slow),
        other => Err(Error::Usage(format!("--cold-overload {other:?} is not fail or slow"))),
    }
}
