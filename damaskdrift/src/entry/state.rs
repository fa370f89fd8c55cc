//! State shared by the tasks of an entry instance.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use damaskdrift_core::balance;
use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::limits;
use damaskdrift_core::membership;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::routing;
use damaskdrift_core::shutdown;
use damaskdrift_core::time::Millis;
use damaskdrift_core::weights;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, broadcast, mpsc};
use tokio_util::sync::CancellationToken;

use crate::entry::admission;
use crate::entry::client;
use crate::entry::clock;
use crate::entry::duties;
use crate::entry::follower;
use crate::entry::port;
use crate::entry::quarantine;
use crate::entry::quarantine_record;
use crate::entry::retry;
use crate::entry::rollouts;
use crate::entry::settings;
use crate::peer::message;

/// Instance count assumed until the platform store has been read.
const ASSUMED_INSTANCES: u32 = 16;
/// Time for which an instance still counts after its registration ended, since it may continue to
/// serve for some time without the platform store.
const DEREGISTERED_RETENTION: Millis = Millis(10_000);

/// How long before the settings' version limit requests are no longer sent to upstreams with
/// weights older than a target version.
const OLD_WEIGHTS_MARGIN: Millis = Millis(700);
/// Largest number of registrations in one batch that are logged one by one. A list of the platform
/// store holds those of the whole fleet.
const MAX_LOGGED_REGISTRATIONS: usize = 8;

/// An instance that is registered or was until recently.
#[derive(Clone, Debug)]
struct Member {
    registration: port::Registration,
    /// When the instance stops counting; set once its registration has ended.
    expires_at: Option<Millis>,
}

/// An observation at an upstream that is reported to other instances.
#[derive(Clone, Debug)]
pub struct Observed<T> {
    /// The observed value.
    pub value: T,
    /// Time until which it is reported.
    pub expires_at: Millis,
    /// Sender of the report it came from; `None` if this instance observed it.
    pub reporter: Option<balance::Reporter>,
}

/// Observations of the weights of upstreams.
#[derive(Debug, Default)]
pub struct ObservedWeights {
    /// Upstreams that are loading weights; requests avoid them until the observation expires.
    pub loading: BTreeMap<id::Upstream, Observed<()>>,
    /// Weights that upstreams reported as loaded.
    pub versions: BTreeMap<id::Upstream, Observed<balance::Weights>>,
}

impl ObservedWeights {
    /// Records that an upstream is loading weights and is to be avoided until the given time.
    pub fn record_loading(&mut self, upstream: &id::Upstream, until: Millis) {
        let observed = Observed { value: (), expires_at: until, reporter: None };
        self.loading.insert(upstream.clone(), observed);
    }

    /// Records the weights that an upstream has loaded; a newer version ends its loading state.
    pub fn record_version(
        &mut self,
        upstream: &id::Upstream,
        weights: balance::Weights,
        now: Millis,
    ) {
        let before = self.versions.get(upstream).map(|observed| observed.value.version);
        if before.is_some_and(|before| before < weights.version) {
            self.loading.remove(upstream);
        }
        let expires_at = now + OBSERVED_VERSION_TTL;
        let observed = Observed { value: weights, expires_at, reporter: None };
        self.versions.insert(upstream.clone(), observed);
    }

    /// Removes expired observations.
    pub fn expire(&mut self, now: Millis) {
        self.loading.retain(|_, observed| now < observed.expires_at);
        self.versions.retain(|_, observed| now < observed.expires_at);
    }
}

/// Time for which an observed version of weights is reported; the platform's list of upstreams
/// includes it by then.
const OBSERVED_VERSION_TTL: Millis = Millis(3_000);
/// Maximum number of frames queued for a peer. One that falls behind misses the oldest; it then
/// lists the platform store itself, and requests snapshots of the cache stores.
const RELAY_QUEUE_FRAMES: usize = 64;
/// Maximum number of queued changes of the platform store; after an overflow the store is listed
/// again.
const RELAYED_CHANGES_QUEUE: usize = 256;

/// State shared by the tasks of an entry instance.
///
/// No borrow is held across an await.
#[derive(Debug)]
pub struct Entry {
    /// Settings that the instance was started with.
    pub settings: settings::Settings,
    /// Protocols of the platform.
    pub port: Rc<dyn port::Port>,
    /// HTTP client for upstreams and stores.
    pub client: Rc<client::Client>,
    /// Installed configuration; `None` until the first one is read.
    pub table: RefCell<Option<Rc<routing::Table>>>,
    /// When the installed configuration was last confirmed as the newest.
    pub config_confirmed_at: Cell<Option<Millis>>,
    /// Known upstreams with their load and health.
    pub upstreams: RefCell<balance::Upstreams>,
    /// Failure domains that operators have taken out of service.
    pub out_of_service: RefCell<BTreeSet<id::FailureDomain>>,
    /// Target versions of each model's weights.
    pub target_versions: RefCell<HashMap<id::Model, weights::Targets>>,
    /// Time until which no segments are fetched from cache stores.
    pub fetches_allowed_from: Cell<Millis>,
    /// Cache stores and their known contents.
    pub cache_stores: RefCell<prefix_cache::CacheStores>,
    /// Offset of the upstreams' clock from [`clock::now`], if known.
    pub upstream_clock_offset_ms: Cell<Option<i64>>,
    /// Windows that count attempts per service to limit retries.
    pub retry_windows: RefCell<retry::RetryWindows>,
    /// Rollouts of software versions.
    pub rollouts: RefCell<rollouts::Rollouts>,
    /// Current leader and its fencing token, as far as this instance knows.
    pub leader: RefCell<Option<(id::Instance, id::FencingToken)>>,
    /// Cancelled once the instance stops.
    pub stopping: CancellationToken,
    /// The times of the stop, once the instance stops.
    pub shutdown: Cell<Option<shutdown::Plan>>,
    /// Number of requests that have no response yet.
    pub requests: Cell<u32>,
    /// Number of requests at upstreams whose responses are not complete.
    pub in_flight: Cell<u32>,
    /// Number of requests that wait for an upstream with room.
    pub waiting: Cell<u32>,
    /// Random number generator for jitter and the choice of upstreams.
    pub rng: RefCell<ChaCha8Rng>,
    /// Notified when a report to other instances is due before the regular interval ends: after a
    /// change of load or of observed weights, or when a snapshot of a cache store is needed.
    pub report_due: Notify,
    /// Frames that this instance relays to its leaves.
    pub relay_tx: broadcast::Sender<Rc<message::Frame>>,
    /// Observed weights of upstreams, which are reported to other instances.
    pub observed_weights: RefCell<ObservedWeights>,
    /// Segments on which engines crashed.
    pub quarantine: quarantine::Quarantine,
    /// Durable record of these segments.
    pub quarantine_record: quarantine_record::QuarantineRecord,
    /// State for following the platform store through relays.
    pub follower: follower::Follower,
    /// Changes received from relays, in order.
    pub relayed_changes: mpsc::Sender<message::Changes>,
    /// This instance's shares of the free places of busy engines.
    pub place_shares: RefCell<balance::PlaceShares>,
    /// Log lines on refused requests, by code.
    pub refusal_lines: RefCell<BTreeMap<code::Code, limits::Lines>>,
    /// Duties that the leader performs for the fleet.
    pub duties: duties::Duties,
    instances: RefCell<BTreeMap<id::Instance, Member>>,
    layout: RefCell<Rc<membership::Layout>>,
    registered_instances: RefCell<Rc<[id::Instance]>>,
    /// Prompts that wait for an upstream with room.
    pub admission: admission::Admission,
}

impl Entry {
    /// Creates the state of a new instance and returns it with the queue of relayed changes.
    pub fn new(
        settings: settings::Settings,
        port: Rc<dyn port::Port>,
        client: Rc<client::Client>,
    ) -> (Rc<Self>, mpsc::Receiver<message::Changes>) {
        let (relayed_changes, queue) = mpsc::channel(RELAYED_CHANGES_QUEUE);
        let entry = Rc::new(Self {
            retry_windows: RefCell::new(retry::RetryWindows::new(settings.repeats, clock::now())),
            duties: duties::Duties::new(&settings),
            settings,
            port,
            client,
            table: RefCell::default(),
            config_confirmed_at: Cell::default(),
            upstreams: RefCell::default(),
            out_of_service: RefCell::default(),
            target_versions: RefCell::default(),
            fetches_allowed_from: Cell::default(),
            cache_stores: RefCell::default(),
            upstream_clock_offset_ms: Cell::default(),
            rollouts: RefCell::default(),
            leader: RefCell::default(),
            stopping: CancellationToken::new(),
            shutdown: Cell::default(),
            requests: Cell::new(0),
            in_flight: Cell::new(0),
            waiting: Cell::new(0),
            place_shares: RefCell::default(),
            report_due: Notify::new(),
            relay_tx: broadcast::Sender::new(RELAY_QUEUE_FRAMES),
            observed_weights: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::from_rng(&mut rand::rng())),
            quarantine: quarantine::Quarantine::default(),
            quarantine_record: quarantine_record::QuarantineRecord::default(),
            follower: follower::Follower::default(),
            relayed_changes,
            refusal_lines: RefCell::default(),
            instances: RefCell::default(),
            layout: RefCell::default(),
            registered_instances: RefCell::new(Rc::from([])),
            admission: admission::Admission::default(),
        });
        (entry, queue)
    }

    /// Records that the installed configuration was the newest at the given time.
    pub fn record_confirmation(&self, at: Millis) {
        let before = self.config_confirmed_at.get();
        self.config_confirmed_at.set(Some(before.map_or(at, |before| before.max(at))));
    }

    /// Returns the staleness of the installed configuration.
    pub fn staleness(&self) -> config_sync::Staleness {
        let confirmed_at = self.config_confirmed_at.get();
        config_sync::staleness(confirmed_at, self.settings.revocation, clock::now())
    }

    /// Returns the time after a target version was set from which requests are no longer sent to
    /// upstreams with older weights.
    pub fn old_weights_limit(&self) -> Millis {
        self.settings.version_limit - OLD_WEIGHTS_MARGIN
    }

    /// Returns whether segments may be fetched from cache stores.
    ///
    /// The leader frees the segments of scopes that its configuration does not use. An instance with
    /// another configuration could fetch one of them meanwhile.
    pub fn may_fetch_segments(&self) -> bool {
        self.staleness() != config_sync::Staleness::Expired
            && clock::now() >= self.fetches_allowed_from.get()
    }

    /// Returns the newest target version of a model's weights.
    pub fn target_version(&self, model: &id::Model) -> Option<u64> {
        let targets = self.target_versions.borrow();
        targets.get(model)?.newest()
    }

    /// Returns whether the instance is ready for new connections.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.table.borrow().is_some()
            && self.staleness() == config_sync::Staleness::Fresh
    }

    /// Records which instances registered and whose registrations ended (`None`).
    pub fn update_instances(&self, changes: Vec<(id::Instance, Option<port::Registration>)>) {
        if changes.is_empty() {
            return;
        }
        let is_logged = changes.len() <= MAX_LOGGED_REGISTRATIONS;
        let (mut changed, total) = (0, changes.len());
        for (instance, registration) in changes {
            if self.registration(&instance) == registration {
                continue;
            }
            changed += 1;
            if is_logged {
                log::info!(instance:%, registration:?; "registration of an instance changed");
            }
            let mut instances = self.instances.borrow_mut();
            match registration {
                Some(registration) => {
                    instances.insert(instance, Member { registration, expires_at: None });
                }
                None => {
                    if let Some(member) = instances.get_mut(&instance) {
                        member.expires_at = Some(clock::now() + DEREGISTERED_RETENTION);
                    }
                }
            }
        }
        if !is_logged {
            log::info!(changed, total; "registrations of instances listed");
        }
        self.update_layout();
    }

    /// Records the registered instances; the registrations of all others have ended.
    pub fn set_instances(&self, registered: &BTreeSet<id::Instance>) {
        let now = clock::now();
        for (instance, member) in &mut *self.instances.borrow_mut() {
            if !registered.contains(instance) && member.expires_at.is_none() {
                member.expires_at = Some(now + DEREGISTERED_RETENTION);
            }
        }
        self.update_layout();
    }

    /// Returns the role and the links of this instance in the fleet.
    pub fn layout(&self) -> Rc<membership::Layout> {
        self.layout.borrow().clone()
    }

    /// Returns the registered instances.
    pub fn registered_instances(&self) -> Rc<[id::Instance]> {
        self.registered_instances.borrow().clone()
    }

    /// Returns the registered instances with their failure domains.
    pub fn registered_domains(&self) -> Vec<(id::Instance, id::FailureDomain)> {
        let instances = self.instances.borrow();
        let registered = instances.iter().filter(|(_, member)| member.expires_at.is_none());
        registered.map(|(id, member)| (id.clone(), member.registration.domain.clone())).collect()
    }

    /// Returns the registration of an instance, unless it has ended.
    pub fn registration(&self, instance: &id::Instance) -> Option<port::Registration> {
        let instances = self.instances.borrow();
        let member = instances.get(instance).filter(|member| member.expires_at.is_none())?;
        Some(member.registration.clone())
    }

    /// Recomputes the layout from the registered instances.
    ///
    /// A change to the mesh role is deferred while relay connections are active.
    pub fn update_layout(&self) {
        let settings = &self.settings;
        let instances = self.instances.borrow();
        let registered = instances.iter().filter(|(_, member)| member.expires_at.is_none());
        let members: Vec<_> = registered
            .map(|(id, Member { registration, .. })| membership::Member {
                id,
                domain: &registration.domain,
                capacity: registration.capacity,
            })
            .collect();
        let own = membership::Member {
            id: &settings.instance,
            domain: &settings.domain,
            capacity: settings.capacity,
        };
        self.registered_instances.replace(members.iter().map(|member| member.id.clone()).collect());
        let layout = membership::layout(&members, &own);
        let before = self.layout();
        let becomes_mesh =
            layout.role == membership::Role::Mesh && before.role != membership::Role::Mesh;
        if becomes_mesh && self.follower.is_relay_active(clock::now()) {
            return;
        }
        if before.role != layout.role {
            let instances = members.len();
            log::info!(
                before:? = before.role, now:? = layout.role, instances;
                "place in the fleet changed"
            );
        }
        self.layout.replace(Rc::new(layout));
    }

    /// Returns the number of instances that share the fleet-wide limits, at least 1.
    pub fn instance_count(&self) -> u32 {
        let now = clock::now();
        let mut instances = self.instances.borrow_mut();
        instances.retain(|_, member| member.expires_at.is_none_or(|expires_at| now < expires_at));
        if self.config_confirmed_at.get().is_none() {
            return ASSUMED_INSTANCES;
        }
        u32::try_from(instances.len()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the time on the upstreams' clock in milliseconds, if it is known.
    pub fn upstream_now(&self) -> Option<u64> {
        let now = i64::try_from(clock::now().0).ok()?;
        u64::try_from(now + self.upstream_clock_offset_ms.get()?).ok()
    }
}
