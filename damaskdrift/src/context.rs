//! State shared by all tasks of an instance.

use std::collections;
use std::sync;
use std::time;
use std::time::Duration;

use arc_swap::ArcSwap;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::retry;
use damaskdrift_core::time::{Millis, UnixMillis};
use tokio::sync::watch;

use crate::control::{cache, driver, heartbeat, lifecycle, observe, slots, sync as config, tasks};
use crate::peer;
use crate::platform::{instance_list, key_value};
use crate::settings;
use crate::upstream;

/// State shared by all tasks of an instance.
pub struct Context {
    /// Settings that the instance started with.
    pub settings: settings::Settings,
    /// Current limits, replaced on SIGHUP. The upstream timeouts, the read timeout for request
    /// headers, the freshness limit and the fleet size keep the values from the start.
    pub limits: ArcSwap<settings::Limits>,
    /// Current drain settings, replaced on SIGHUP.
    pub drain: ArcSwap<settings::Drain>,
    /// Boot id, generated at each start of the process.
    pub boot: id::Boot,
    /// The installed fleet configuration; revision 0 means that none is installed.
    pub fleet: ArcSwap<fleet::Snapshot>,
    /// State of configuration sync: when the installed configuration was last confirmed.
    pub sync: config::Sync,
    /// Connections to other instances.
    pub peers: peer::Peers,
    /// Vetoed moves known to this instance.
    pub vetoes: heartbeat::Vetoes,
    /// Upstreams that the platform's instance list marks as draining.
    pub draining_upstreams: ArcSwap<collections::BTreeSet<id::Upstream>>,
    /// Number of detected pauses of the process; leases and allotments from before a pause are
    /// invalid.
    pub pauses: watch::Sender<u64>,
    /// Client of the key-value service.
    pub key_value: key_value::Client,
    /// Samples for running moves and counts for the burn report.
    pub observer: observe::Observer,
    /// This instance's state of the move driver.
    pub driver: driver::State,
    /// Slots for requests to upstreams, granted and waited for.
    pub slots: slots::Slots,
    /// Connections to upstreams, with idle ones kept for reuse.
    pub upstreams: upstream::Pool,
    /// Index of KV cache blocks that engines and cache stores hold.
    pub cache: cache::CacheIndex,
    /// The current lifecycle phase.
    pub lifecycle: lifecycle::Signal,
    /// Tasks that must finish before the instance stops, such as streams and writes of results.
    pub tasks: tasks::Tasks,
    /// Client of the instance list.
    pub instance_list: instance_list::Client,
    membership: sync::Mutex<membership::Membership>,
    retry_budgets: sync::Mutex<retry::Budgets>,
    started: time::Instant,
}

impl Context {
    /// Creates the context of a new instance.
    pub fn new(settings: settings::Settings) -> sync::Arc<Self> {
        let boot = id::Boot::new(&format!("{:016x}", rand::random::<u64>()));
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let instance = &settings.instance;
        let membership =
            membership::Membership::new(instance.id.clone(), instance.failure_domain.clone());
        sync::Arc::new(Self {
            key_value: key_value::Client::new(settings.platform.key_value, timeout),
            instance_list: instance_list::Client::new(settings.platform.instance_list, timeout),
            observer: observe::Observer::default(),
            driver: driver::State::default(),
            slots: slots::Slots::new(settings.limits.fleet_max),
            upstreams: upstream::Pool::new(&settings.limits),
            limits: ArcSwap::from_pointee(settings.limits.clone()),
            drain: ArcSwap::from_pointee(settings.drain.clone()),
            cache: cache::CacheIndex::default(),
            lifecycle: lifecycle::Signal::default(),
            tasks: tasks::Tasks::default(),
            settings,
            boot,
            fleet: ArcSwap::default(),
            sync: config::Sync::default(),
            peers: peer::Peers::default(),
            vetoes: heartbeat::Vetoes::default(),
            draining_upstreams: ArcSwap::default(),
            pauses: watch::Sender::new(0),
            membership: sync::Mutex::new(membership),
            retry_budgets: sync::Mutex::default(),
            started: time::Instant::now(),
        })
    }

    /// Returns the monotonic time since the start of the process.
    pub fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    /// Locks the membership state; the guard must not be held across an await.
    pub fn membership(&self) -> sync::MutexGuard<'_, membership::Membership> {
        self.membership.lock().expect("no thread panics while it holds the lock")
    }

    /// Locks the retry budgets of the workspaces; the guard must not be held across an await.
    pub fn retry_budgets(&self) -> sync::MutexGuard<'_, retry::Budgets> {
        self.retry_budgets.lock().expect("no thread panics while it holds the lock")
    }

    /// Returns the time without confirmation after which the configuration counts as stale.
    pub fn freshness_limit(&self) -> Millis {
        Millis(self.settings.limits.freshness_limit_ms)
    }

    /// Returns the wall-clock time, or zero if the clock is set before 1970.
    pub fn unix_now() -> UnixMillis {
        let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        UnixMillis(Millis::from(elapsed).0)
    }
}
