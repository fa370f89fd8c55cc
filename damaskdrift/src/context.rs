//! State shared by all parts of a running instance.

use std::sync;
use std::time;

use arc_swap::ArcSwap;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::time::{Millis, UnixMillis};

use crate::platform::key_value;
use crate::settings;

/// State shared by all parts of a running instance.
pub struct Context {
    /// Settings the instance started with.
    pub settings: settings::Settings,
    /// Identifies this start of the instance.
    pub boot: id::Boot,
    /// The installed configuration; revision 0 means none.
    pub fleet: ArcSwap<fleet::Snapshot>,
    /// Client of the key-value service.
    pub key_value: key_value::Client,
    started: time::Instant,
}

impl Context {
    /// Creates the context of a new instance.
    pub fn new(settings: settings::Settings) -> sync::Arc<Self> {
        let boot = id::Boot::new(&format!("{:016x}", rand::random::<u64>()));
        let timeout = time::Duration::from_millis(settings.platform.timeout_ms);
        let key_value = key_value::Client::new(settings.platform.key_value, timeout);
        sync::Arc::new(Self {
            settings,
            boot,
            fleet: ArcSwap::default(),
            key_value,
            started: time::Instant::now(),
        })
    }

    /// Returns the monotonic time since the start of the process.
    pub fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    /// Returns the wall-clock time.
    pub fn unix_now() -> UnixMillis {
        let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        UnixMillis(Millis::from(elapsed).0)
    }
}
