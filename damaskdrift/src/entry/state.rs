//! State that the tasks of an entry instance share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use damaskdrift_core::balance;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, broadcast, mpsc};
use tokio_util::sync::CancellationToken;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::follower;
use crate::entry::port;
use crate::entry::retry;
use crate::entry::settings;
use crate::peer::message;

/// Instances assumed before the platform's store listed any.
const ASSUMED_INSTANCES: u32 = 16;
/// Time for which an instance whose registration ended still counts, since it may go on for some
/// time without the store.
const INSTANCE_LINGER: Millis = Millis(10_000);

/// A registered instance, or one that was until lately.
#[derive(Clone, Debug)]
struct Member {
    registration: port::Registration,
    /// Until when an instance counts whose registration ended.
    until: Option<Millis>,
}

/// Something that was seen at an upstream and is told to other instances.
#[derive(Clone, Debug)]
pub struct Seen<T> {
    /// What was seen.
    pub what: T,
    /// Until when it is told.
    pub until: Millis,
    /// Who reported it; `None` for what this instance saw.
    pub reporter: Option<balance::Reporter>,
}

/// What was seen of the weights of upstreams.
#[derive(Debug, Default)]
pub struct SeenWeights {
    /// Upstreams that load weights; requests avoid them for as long as this is told.
    pub loading: BTreeMap<id::Upstream, Seen<()>>,
    /// Weights that upstreams showed.
    pub shown: BTreeMap<id::Upstream, Seen<balance::Weights>>,
}

impl SeenWeights {
    /// Notes that an upstream loads weights until some time.
    pub fn note_loading(&mut self, upstream: &id::Upstream, until: Millis) {
        self.loading.insert(upstream.clone(), Seen { what: (), until, reporter: None });
    }

    /// Notes the weights that an upstream showed to this instance.
    pub fn note_shown(&mut self, upstream: &id::Upstream, weights: balance::Weights, now: Millis) {
        let before = self.shown.get(upstream).map(|seen| seen.what.version);
        if before.is_some_and(|before| before < weights.version) {
            self.loading.remove(upstream);
        }
        let seen = Seen { what: weights, until: now + SHOWN_LIFE, reporter: None };
        self.shown.insert(upstream.clone(), seen);
    }

    /// Forgets what is no longer told.
    pub fn expire(&mut self, now: Millis) {
        self.loading.retain(|_, seen| now < seen.until);
        self.shown.retain(|_, seen| now < seen.until);
    }
}

/// Time for which weights that an upstream showed are told; the platform's list has them by then.
const SHOWN_LIFE: Millis = Millis(3_000);
/// Frames that wait to be passed on to a peer; one that falls behind misses the oldest and lists
/// the stores itself.
const RELAY_QUEUE: usize = 64;
/// Changes of the platform's store that wait to be applied; when they overflow, the store is read
/// again.
const CHANGES_QUEUE: usize = 256;

/// State that the tasks of an entry instance share. No borrow is held across an await.
#[derive(Debug)]
pub struct Entry {
    /// Settings the instance started with.
    pub settings: settings::Settings,
    /// The platform.
    pub port: Rc<dyn port::Port>,
    /// Connections to upstreams and stores.
    pub client: Rc<client::Client>,
    /// The installed configuration.
    pub table: RefCell<Option<Rc<routing::Table>>>,
    /// When the configuration was last known to be current.
    pub confirmed: Cell<Option<Millis>>,
    /// The upstreams.
    pub upstreams: RefCell<balance::Upstreams>,
    /// Failure domains that operators have taken out.
    pub out: RefCell<BTreeSet<id::FailureDomain>>,
    /// The newest version named of each model's weights, and when this instance learned of it.
    pub named: RefCell<HashMap<id::Model, (u64, Millis)>>,
    /// Stores of kept KV cache.
    pub stores: RefCell<prefix_cache::CacheStores>,
    /// Difference of the upstreams' clock to [`clock::now`], if known, in milliseconds.
    pub upstream_clock: Cell<Option<i64>>,
    /// Shares of the bound on repeats.
    pub repeats: RefCell<retry::RetryWindows>,
    /// Who holds the duty, as far as this instance knows.
    pub duty: RefCell<Option<(id::Instance, id::FencingToken)>>,
    /// Set once the instance stops.
    pub stopping: CancellationToken,
    /// Requests that are being served.
    pub requests: Cell<u32>,
    /// Source of random choices.
    pub rng: RefCell<ChaCha8Rng>,
    /// Set when this instance's work at upstreams has changed much.
    pub load_changed: Notify,
    /// What this instance passes on to all others.
    pub relayed: broadcast::Sender<Rc<message::Frame>>,
    /// Upstreams that load weights, and the weights that upstreams showed; other instances are
    /// told.
    pub seen_weights: RefCell<SeenWeights>,
    /// What follows the platform's store through relays.
    pub follower: follower::Follower,
    /// Changes that relays passed on, in order.
    pub changes: mpsc::Sender<message::Changes>,
    instances: RefCell<BTreeMap<id::Instance, Member>>,
    layout: RefCell<Rc<membership::Layout>>,
    registered: RefCell<Rc<[id::Instance]>>,
}

impl Entry {
    /// Creates the state of a new instance, and the queue of changes that relays pass on.
    pub fn new(
        settings: settings::Settings,
        port: Rc<dyn port::Port>,
        client: Rc<client::Client>,
    ) -> (Rc<Self>, mpsc::Receiver<message::Changes>) {
        let (changes, queue) = mpsc::channel(CHANGES_QUEUE);
        let entry = Rc::new(Self {
            repeats: RefCell::new(retry::RetryWindows::new(settings.repeats)),
            settings,
            port,
            client,
            table: RefCell::default(),
            confirmed: Cell::default(),
            upstreams: RefCell::default(),
            out: RefCell::default(),
            named: RefCell::default(),
            stores: RefCell::default(),
            upstream_clock: Cell::default(),
            duty: RefCell::default(),
            stopping: CancellationToken::new(),
            requests: Cell::new(0),
            load_changed: Notify::new(),
            relayed: broadcast::Sender::new(RELAY_QUEUE),
            seen_weights: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::from_rng(&mut rand::rng())),
            follower: follower::Follower::default(),
            changes,
            instances: RefCell::default(),
            layout: RefCell::default(),
            registered: RefCell::new(Rc::from([])),
        });
        (entry, queue)
    }

    /// Notes that the installed configuration was the newest at some time.
    pub fn confirm(&self, at: Millis) {
        self.confirmed.set(Some(self.confirmed.get().map_or(at, |before| before.max(at))));
    }

    /// Returns how far the configuration may be relied on.
    pub fn trust(&self) -> config_sync::Staleness {
        config_sync::staleness(self.confirmed.get(), self.settings.revocation, clock::now())
    }

    /// Returns whether the instance wants new connections.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.table.borrow().is_some()
            && self.trust() == config_sync::Staleness::Fresh
    }

    /// Notes that an instance registered or that its registration ended.
    pub fn set_instance(&self, instance: id::Instance, registration: Option<port::Registration>) {
        {
            let mut instances = self.instances.borrow_mut();
            match registration {
                Some(registration) => {
                    instances.insert(instance, Member { registration, until: None });
                }
                None => {
                    if let Some(member) = instances.get_mut(&instance) {
                        member.until = Some(clock::now() + INSTANCE_LINGER);
                    }
                }
            }
        }
        self.lay_out();
    }

    /// Notes which instances are registered; others end.
    pub fn set_instances(&self, registered: &BTreeSet<id::Instance>) {
        let now = clock::now();
        for (instance, member) in &mut *self.instances.borrow_mut() {
            if !registered.contains(instance) && member.until.is_none() {
                member.until = Some(now + INSTANCE_LINGER);
            }
        }
        self.lay_out();
    }

    /// Returns the place of this instance in the fleet.
    pub fn layout(&self) -> Rc<membership::Layout> {
        self.layout.borrow().clone()
    }

    /// Returns the registered instances.
    pub fn registered(&self) -> Rc<[id::Instance]> {
        self.registered.borrow().clone()
    }

    /// Returns the address and the failure domain of a registered instance.
    pub fn registration(&self, instance: &id::Instance) -> Option<port::Registration> {
        let instances = self.instances.borrow();
        let member = instances.get(instance).filter(|member| member.until.is_none())?;
        Some(member.registration.clone())
    }

    /// Determines the place of this instance anew.
    pub fn lay_out(&self) {
        let settings = &self.settings;
        let instances = self.instances.borrow();
        let live = instances.iter().filter(|(_, member)| member.until.is_none());
        let members: Vec<_> = live
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
        self.registered.replace(members.iter().map(|member| member.id.clone()).collect());
        let layout = membership::layout(&members, &own);
        let before = self.layout();
        let has_shrunk =
            layout.role == membership::Role::Mesh && before.role != membership::Role::Mesh;
        if has_shrunk && self.follower.is_in_use(clock::now()) {
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

    /// Returns how many instances share the bounds that hold for all together.
    pub fn instance_count(&self) -> u32 {
        let now = clock::now();
        let mut instances = self.instances.borrow_mut();
        instances.retain(|_, member| member.until.is_none_or(|until| now < until));
        if self.confirmed.get().is_none() {
            return ASSUMED_INSTANCES;
        }
        u32::try_from(instances.len()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the time on the upstreams' clock.
    pub fn upstream_now(&self) -> Option<u64> {
        let now = i64::try_from(clock::now().0).ok()?;
        u64::try_from(now + self.upstream_clock.get()?).ok()
    }
}
