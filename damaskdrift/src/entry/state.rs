//! State that the tasks of an entry instance share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net;
use std::rc::Rc;

use damaskdrift_core::balance;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::kept;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, broadcast};
use tokio_util::sync::CancellationToken;

use crate::entry::client;
use crate::entry::clock;
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
#[derive(Clone, Copy, Debug)]
struct Member {
    address: Option<net::SocketAddr>,
    /// Until when an instance counts whose registration ended.
    until: Option<Millis>,
}

/// What the holder of the duty saw of weights.
#[derive(Debug, Default)]
pub struct SeenWeights {
    /// Upstreams that load weights, and until when this is told.
    pub loading: BTreeMap<id::Upstream, Millis>,
    /// Versions that upstreams showed, and when.
    pub shown: BTreeMap<id::Upstream, (balance::Weights, Millis)>,
}

/// Frames that wait to be passed on to a peer; one that falls behind misses the oldest and lists
/// the stores itself.
const RELAY_QUEUE: usize = 64;

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
    pub stores: RefCell<kept::Stores>,
    /// Difference of the upstreams' clock to [`clock::now`], if known, in milliseconds.
    pub upstream_clock: Cell<Option<i64>>,
    /// Shares of the bound on repeats.
    pub repeats: RefCell<retry::Shares>,
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
    /// Upstreams that load weights by order of this instance, and the weights that upstreams
    /// showed since; other instances are told.
    pub seen_weights: RefCell<SeenWeights>,
    instances: RefCell<BTreeMap<id::Instance, Member>>,
}

impl Entry {
    /// Creates the state of a new instance.
    pub fn new(
        settings: settings::Settings,
        port: Rc<dyn port::Port>,
        client: Rc<client::Client>,
    ) -> Rc<Self> {
        Rc::new(Self {
            repeats: RefCell::new(retry::Shares::new(settings.repeats)),
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
            instances: RefCell::default(),
        })
    }

    /// Returns how far the configuration may be relied on.
    pub fn trust(&self) -> config_sync::Trust {
        config_sync::trust(self.confirmed.get(), self.settings.revocation, clock::now())
    }

    /// Returns whether the instance wants new connections.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.table.borrow().is_some()
            && self.trust() == config_sync::Trust::Fresh
    }

    /// Notes that an instance registered or that its registration ended.
    pub fn set_instance(&self, instance: id::Instance, address: Option<net::SocketAddr>) {
        let until = address.is_none().then(|| clock::now() + INSTANCE_LINGER);
        self.instances.borrow_mut().insert(instance, Member { address, until });
    }

    /// Returns what this instance does to know what a store holds.
    pub fn role(&self, store: &id::Upstream) -> kept::Role {
        let instances = self.instances.borrow();
        let live = instances.iter().filter(|(_, member)| member.until.is_none());
        kept::role(store, &self.settings.instance, live.map(|(id, _)| id))
    }

    /// Returns the other registered instances with their addresses.
    pub fn peers(&self) -> Vec<(id::Instance, net::SocketAddr)> {
        let instances = self.instances.borrow();
        let others = instances.iter().filter(|(id, _)| **id != self.settings.instance);
        others.filter_map(|(id, member)| Some((id.clone(), member.address?))).collect()
    }

    /// Notes which instances are registered; others end.
    pub fn set_instances(&self, registered: &BTreeSet<id::Instance>) {
        let now = clock::now();
        for (instance, member) in &mut *self.instances.borrow_mut() {
            if !registered.contains(instance) && member.until.is_none() {
                *member = Member { address: None, until: Some(now + INSTANCE_LINGER) };
            }
        }
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
