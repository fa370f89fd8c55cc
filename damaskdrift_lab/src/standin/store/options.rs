//! Command-line options of the store stand-in.

use std::net;
use std::time::Duration;

use crate::error::Error;
use crate::standin::flag;

/// Text that `--help` prints.
pub const HELP: &str = "\
Run a stand-in for a KV cache store

Usage: damaskdrift_lab standin store --listen IP:PORT

Options:
  --memory-bytes N      Size of the memory tier [67108864]
  --disk-bytes N        Size of the disk tier [268435456]
  --disk-delay-ms N     Delay of each read from the disk tier [5]
  --link-bytes-per-s F  Bandwidth that all transfers share; 0 is unlimited [100000000]
  --no-evict            Answer 507 when full instead of freeing the least recently used block
";

/// Command-line options of the store stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the listener.
    pub listen: net::SocketAddr,
    /// Capacity of the memory tier, in bytes.
    pub memory_bytes: usize,
    /// Capacity of the disk tier, in bytes.
    pub disk_bytes: usize,
    /// Delay of each read from the disk tier.
    pub disk_delay: Duration,
    /// Bandwidth shared by all transfers, in bytes per second; 0 is unlimited.
    pub link_bytes_per_s: f64,
    /// Whether a full store evicts the least recently used block instead of rejecting writes.
    pub evict: bool,
}

impl Options {
    /// Parses the flags; returns `None` when help is requested.
    ///
    /// # Errors
    ///
    /// Returns an error when a flag is missing, unknown or malformed.
    pub fn parse(mut args: lexopt::Parser) -> Result<Option<Self>, Error> {
        let mut listen = None;
        let mut cfg = Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            memory_bytes: 64 << 20,
            disk_bytes: 256 << 20,
            disk_delay: Duration::from_millis(5),
            link_bytes_per_s: 100e6,
            evict: true,
        };
        while let Some(arg) = args.next()? {
            match arg {
                lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => return Ok(None),
                lexopt::Arg::Long("listen") => listen = Some(flag::value(&mut args)?),
                lexopt::Arg::Long("memory-bytes") => cfg.memory_bytes = flag::value(&mut args)?,
                lexopt::Arg::Long("disk-bytes") => cfg.disk_bytes = flag::value(&mut args)?,
                lexopt::Arg::Long("disk-delay-ms") => cfg.disk_delay = flag::millis(&mut args)?,
                lexopt::Arg::Long("link-bytes-per-s") => {
                    cfg.link_bytes_per_s = flag::value(&mut args)?;
                }
                lexopt::Arg::Long("no-evict") => cfg.evict = false,
                other => return Err(other.unexpected().into()),
            }
        }
        cfg.listen =
            listen.ok_or_else(|| Error::Usage("store needs --listen IP:PORT".to_owned()))?;
        Ok(Some(cfg))
    }
}
