//! A fleet on loopback: stand-ins, instances and the proxy between them.

use std::net;
use std::thread;
use std::time::Duration;

use damaskdrift_core::fleet::{Document, Kind};
use damaskdrift_core::id;
use hyper::Method;
use serde_json::json;
use tempfile::TempDir;

use crate::error::Error;
use crate::harness::document;
use crate::harness::http::{Call, Client};
use crate::harness::instance::{self, Instance, Listeners};
use crate::harness::proxy::{LinkHandle, Proxy};
use crate::harness::standin::Standin;
use crate::proxy::Mode;
use crate::standin::instances::{Entry, List, Role, State};

/// The workspace of every fleet.
pub const WORKSPACE: &str = "notices";
/// Bearer key of [`WORKSPACE`].
pub const KEY: &str = "notices-key";
/// A second workspace with the same template.
pub const OTHER_WORKSPACE: &str = "mill";
/// Bearer key of [`OTHER_WORKSPACE`].
pub const OTHER_KEY: &str = "mill-key";
/// The model that the engines serve.
pub const MODEL: &str = "kernel";
/// The weight version that the engines serve.
pub const VERSION: &str = "v1";
/// The plain service.
pub const SERVICE: &str = "lodging";
/// The only route of [`SERVICE`] that may not be repeated.
pub const NON_IDEMPOTENT: &str = "POST /lodge";
/// Key under which the fleet document is stored.
pub const FLEET_KEY: &str = "fleet";

type Edit = Box<dyn FnOnce(&mut Document) + Send>;

/// Describes a fleet to be started.
pub struct Builder {
    instances: usize,
    engines: usize,
    services: usize,
    domains: Vec<String>,
    cold_limit: u32,
    warm_limit: u32,
    service_limit: u32,
    key_value_args: Vec<String>,
    list_args: Vec<String>,
    engine_args: Vec<String>,
    service_args: Vec<String>,
    settings: Vec<(String, String, toml::Value)>,
    edits: Vec<Edit>,
    key_value_links: bool,
    upstream_links: bool,
    peer_links: bool,
}

/// A running fleet; all processes end when this is dropped.
///
/// Instance `i` is `entry-i`, engine `i` is `engine-i` and service `i` is `service-i`; each stands
/// in failure domain `i` modulo the number of domains. When a test panics, the folder with the
/// logs is kept and its path printed.
pub struct Fleet {
    /// The key-value service.
    pub key_value: Standin,
    /// The instance list, or one for each instance if there are links between peers.
    pub instance_lists: Vec<Standin>,
    /// The engines.
    pub engines: Vec<Standin>,
    /// The plain services.
    pub services: Vec<Standin>,
    /// The entry instances.
    pub instances: Vec<Instance>,
    /// The proxy, if there are links.
    pub proxy: Option<Proxy>,
    /// Client of the fleet.
    pub http: Client,
    links: Links,
    entries: Vec<Entry>,
    folder: TempDir,
}

/// Links of the proxy by what they connect.
#[derive(Debug, Default)]
struct Links {
    /// By instance.
    key_value: Vec<LinkHandle>,
    /// Engines first, then services.
    upstream: Vec<LinkHandle>,
    /// By source, then by target; the link of an instance to itself is unused.
    peer: Vec<Vec<LinkHandle>>,
}

impl Default for Builder {
    fn default() -> Self {
        Self::new()
    }
}

impl Builder {
    /// Creates a fleet of one instance and one engine in one failure domain.
    pub fn new() -> Self {
        Self {
            instances: 1,
            engines: 1,
            services: 0,
            domains: vec!["a".to_owned()],
            cold_limit: 8,
            warm_limit: 64,
            service_limit: 64,
            key_value_args: Vec::new(),
            list_args: Vec::new(),
            engine_args: Vec::new(),
            service_args: Vec::new(),
            settings: Vec::new(),
            edits: Vec::new(),
            key_value_links: false,
            upstream_links: false,
            peer_links: false,
        }
    }

    /// Sets the number of instances.
    pub fn with_instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    /// Sets the number of engines.
    pub fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the number of plain services.
    pub fn with_services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Sets the failure domains.
    pub fn with_failure_domains(mut self, domains: &[&str]) -> Self {
        self.domains = domains.iter().map(|domain| (*domain).to_owned()).collect();
        self
    }

    /// Sets the limits of every engine.
    pub fn with_engine_limits(mut self, cold_limit: u32, warm_limit: u32) -> Self {
        self.cold_limit = cold_limit;
        self.warm_limit = warm_limit;
        self
    }

    /// Sets the limit of every plain service.
    pub fn with_service_limit(mut self, limit: u32) -> Self {
        self.service_limit = limit;
        self
    }

    /// Adds options to the command line of the key-value service.
    pub fn with_key_value_args(mut self, args: &[&str]) -> Self {
        self.key_value_args.extend(args.iter().map(|arg| (*arg).to_owned()));
        self
    }

    /// Adds options to the command line of the instance list.
    pub fn with_instance_list_args(mut self, args: &[&str]) -> Self {
        self.list_args.extend(args.iter().map(|arg| (*arg).to_owned()));
        self
    }

    /// Adds options to the command line of every engine.
    pub fn with_engine_args(mut self, args: &[&str]) -> Self {
        self.engine_args.extend(args.iter().map(|arg| (*arg).to_owned()));
        self
    }

    /// Adds options to the command line of every plain service.
    pub fn with_service_args(mut self, args: &[&str]) -> Self {
        self.service_args.extend(args.iter().map(|arg| (*arg).to_owned()));
        self
    }

    /// Adds a value to every instance's settings file.
    pub fn with_setting(mut self, section: &str, key: &str, value: impl Into<toml::Value>) -> Self {
        self.settings.push((section.to_owned(), key.to_owned(), value.into()));
        self
    }

    /// Edits the fleet document before it is written.
    pub fn with_document(mut self, edit: impl FnOnce(&mut Document) + Send + 'static) -> Self {
        self.edits.push(Box::new(edit));
        self
    }

    /// Puts a link of the proxy between each instance and the key-value service.
    pub fn with_key_value_links(mut self) -> Self {
        self.key_value_links = true;
        self
    }

    /// Puts a link of the proxy before each upstream.
    pub fn with_upstream_links(mut self) -> Self {
        self.upstream_links = true;
        self
    }

    /// Puts a link of the proxy between each two instances, one in each direction.
    pub fn with_peer_links(mut self) -> Self {
        self.peer_links = true;
        self
    }

    /// Starts the fleet and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub async fn start(self) -> Result<Fleet, Error> {
        let mut fleet = self.start_unready().await?;
        fleet.wait_ready(instance::READY_LIMIT).await?;
        Ok(fleet)
    }

    /// Starts the fleet without waiting until its instances are ready.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub async fn start_unready(mut self) -> Result<Fleet, Error> {
        let folder = TempDir::with_prefix("damaskdrift-")
            .map_err(|error| Error::Io("cannot create a folder".to_owned(), error))?;
        let http = Client::new();
        let path = folder.path();
        let key_value =
            Standin::start("key-value", "key-value", &self.key_value_args, path, &http).await?;
        let lists = if self.peer_links { self.instances } else { 1 };
        let mut instance_lists = Vec::new();
        for index in 0..lists {
            let name = format!("instances-{index}");
            instance_lists
                .push(Standin::start("instances", &name, &self.list_args, path, &http).await?);
        }
        let mut engines = Vec::new();
        for index in 0..self.engines {
            let name = format!("engine-{index}");
            engines.push(Standin::start("engine", &name, &self.engine_args(), path, &http).await?);
        }
        let mut services = Vec::new();
        for index in 0..self.services {
            let name = format!("service-{index}");
            services.push(Standin::start("service", &name, &self.service_args, path, &http).await?);
        }
        let mut listeners = Vec::new();
        for _ in 0..self.instances {
            listeners.push(Listeners::choose()?);
        }
        let mut fleet = Fleet {
            key_value,
            instance_lists,
            engines,
            services,
            instances: Vec::new(),
            proxy: None,
            http,
            links: Links::default(),
            entries: self.entries(&listeners),
            folder,
        };
        fleet.start_proxy(&self, &listeners).await?;
        let mut document = self.document(&fleet);
        for edit in self.edits.drain(..) {
            edit(&mut document);
        }
        fleet.key_value.put_key(FLEET_KEY, to_json(&document)?, 0).await?;
        fleet.publish_entries().await?;
        for (index, listen) in listeners.into_iter().enumerate() {
            let settings = self.settings(&fleet, index, listen);
            let instance = Instance::start(&settings, fleet.folder.path(), &fleet.http)?;
            fleet.instances.push(instance);
        }
        Ok(fleet)
    }

    fn domain(&self, index: usize) -> &str {
        &self.domains[index % self.domains.len()]
    }

    fn engine_args(&self) -> Vec<String> {
        let cold_limit = self.cold_limit.to_string();
        let fixed = ["--model", MODEL, "--version", VERSION, "--cold-limit", &cold_limit];
        let fixed = fixed.into_iter().map(str::to_owned);
        fixed.chain(self.engine_args.iter().cloned()).collect()
    }

    fn entries(&self, listeners: &[Listeners]) -> Vec<Entry> {
        let entry = |(index, listen): (usize, &Listeners)| Entry {
            id: id::Instance::new(&format!("entry-{index}")),
            role: Role::Entry,
            address: listen.peers,
            failure_domain: id::FailureDomain::new(self.domain(index)),
            state: State::Live,
        };
        listeners.iter().enumerate().map(entry).collect()
    }

    fn settings(&self, fleet: &Fleet, index: usize, listen: Listeners) -> instance::Settings {
        let key_value = fleet.links.key_value.get(index);
        let lists = &fleet.instance_lists;
        instance::Settings {
            id: format!("entry-{index}"),
            failure_domain: self.domain(index).to_owned(),
            listen,
            key_value: key_value.map_or(fleet.key_value.address, |link| link.address),
            instance_list: lists.get(index).unwrap_or(&lists[0]).address,
            extra: self.settings.clone(),
        }
    }

    fn document(&self, fleet: &Fleet) -> Document {
        let mut builder = document::Builder::new()
            .with_workspace(WORKSPACE, KEY)
            .with_workspace(OTHER_WORKSPACE, OTHER_KEY)
            .with_model(MODEL, VERSION, &self.domains);
        if self.services > 0 {
            builder = builder.with_service(SERVICE, &self.domains, &[NON_IDEMPOTENT]);
        }
        for domain in &self.domains {
            builder = builder.with_failure_domain(domain);
        }
        for (index, engine) in fleet.engines.iter().enumerate() {
            let kind = Kind::Engine {
                model: id::Model::new(MODEL),
                version: id::Version::new(VERSION),
                cold_limit: self.cold_limit,
                warm_limit: self.warm_limit,
            };
            let address = fleet.upstream_address(index, engine);
            let name = format!("engine-{index}");
            builder = builder.with_upstream(&name, address, self.domain(index), kind);
        }
        for (index, service) in fleet.services.iter().enumerate() {
            let kind =
                Kind::Service { service: id::Service::new(SERVICE), limit: self.service_limit };
            let address = fleet.upstream_address(self.engines + index, service);
            let name = format!("service-{index}");
            builder = builder.with_upstream(&name, address, self.domain(index), kind);
        }
        builder.build()
    }
}

impl Fleet {
    /// Returns a builder.
    pub fn builder() -> Builder {
        Builder::new()
    }

    /// Waits until every running instance is ready.
    ///
    /// # Errors
    ///
    /// Returns which one is not.
    pub async fn wait_ready(&mut self, limit: Duration) -> Result<(), Error> {
        for instance in &mut self.instances {
            instance.wait_ready(limit).await?;
        }
        Ok(())
    }

    /// Sends each instance one prompt, and one read to the plain service if there is one, until
    /// they are answered.
    ///
    /// An instance is ready before the limit owners have granted it slots; until then it refuses
    /// with the outcome `not-run`.
    ///
    /// # Errors
    ///
    /// Returns which instance does not answer.
    pub async fn warm_up(&self, limit: Duration) -> Result<(), Error> {
        let prompt = json!({"model": MODEL, "prompt": "warm-up", "max_tokens": 1});
        for instance in &self.instances {
            let mut calls = Vec::new();
            if !self.engines.is_empty() {
                let call = instance.call(Method::POST, "/v1/completions", KEY);
                calls.push(call.with_json(&prompt));
            }
            if !self.services.is_empty() {
                let path = format!("/v1/services/{SERVICE}/warm-up");
                calls.push(instance.call(Method::GET, &path, KEY));
            }
            for call in calls {
                self.http.send_until_run(call, limit).await?.ok()?;
            }
        }
        Ok(())
    }

    /// Returns the link between an instance and the key-value service.
    ///
    /// # Panics
    ///
    /// Panics if the fleet was built without these links.
    pub fn key_value_link(&self, instance: usize) -> &LinkHandle {
        &self.links.key_value[instance]
    }

    /// Returns the link before an engine.
    ///
    /// # Panics
    ///
    /// Panics if the fleet was built without these links.
    pub fn engine_link(&self, engine: usize) -> &LinkHandle {
        &self.links.upstream[engine]
    }

    /// Returns the link before a plain service.
    ///
    /// # Panics
    ///
    /// Panics if the fleet was built without these links.
    pub fn service_link(&self, service: usize) -> &LinkHandle {
        &self.links.upstream[self.engines.len() + service]
    }

    /// Returns the link over which an instance opens connections to another.
    ///
    /// # Panics
    ///
    /// Panics if the fleet was built without these links.
    pub fn peer_link(&self, from: usize, to: usize) -> &LinkHandle {
        &self.links.peer[from][to]
    }

    /// Sets the mode of all links of one instance to its peers, in both directions.
    ///
    /// # Errors
    ///
    /// Returns why it is not set.
    pub async fn set_peer_mode(&self, instance: usize, mode: Mode) -> Result<(), Error> {
        for other in 0..self.links.peer.len() {
            if other == instance {
                continue;
            }
            self.peer_link(instance, other).set_mode(mode).await?;
            self.peer_link(other, instance).set_mode(mode).await?;
        }
        Ok(())
    }

    /// Sets the mode of all links of one instance to its peers and the key-value service.
    ///
    /// # Errors
    ///
    /// Returns why it is not set.
    pub async fn set_isolation(&self, instance: usize, mode: Mode) -> Result<(), Error> {
        self.key_value_link(instance).set_mode(mode).await?;
        self.set_peer_mode(instance, mode).await
    }

    /// Sets the state of an instance on the instance list.
    ///
    /// # Errors
    ///
    /// Returns why the list is not changed.
    pub async fn set_listed_state(&mut self, instance: usize, state: State) -> Result<(), Error> {
        self.entries[instance].state = state;
        self.publish_entries().await
    }

    /// Reads the fleet document with its revision from the key-value service.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be read.
    pub async fn document(&self) -> Result<(Document, u64), Error> {
        let entry = self.key_value.get_key(FLEET_KEY).await?;
        let (value, revision) =
            entry.ok_or_else(|| Error::Unexpected("no fleet document".to_owned()))?;
        let document = serde_json::from_slice(&value)
            .map_err(|error| Error::Unexpected(format!("fleet document: {error}")))?;
        Ok((document, revision))
    }

    /// Changes the fleet document in the key-value service, past the operators' listener.
    ///
    /// # Errors
    ///
    /// Returns why it is not changed.
    pub async fn edit_document(&self, edit: impl FnOnce(&mut Document)) -> Result<u64, Error> {
        let (mut document, revision) = self.document().await?;
        edit(&mut document);
        self.key_value.put_key(FLEET_KEY, to_json(&document)?, revision).await
    }

    async fn start_proxy(
        &mut self,
        builder: &Builder,
        listeners: &[Listeners],
    ) -> Result<(), Error> {
        let mut targets: Vec<net::SocketAddr> = Vec::new();
        if builder.key_value_links {
            targets.extend(listeners.iter().map(|_| self.key_value.address));
        }
        if builder.upstream_links {
            targets.extend(self.engines.iter().chain(&self.services).map(|up| up.address));
        }
        if builder.peer_links {
            for _ in listeners {
                targets.extend(listeners.iter().map(|listen| listen.peers));
            }
        }
        if targets.is_empty() {
            return Ok(());
        }
        let proxy = Proxy::start("proxy", &targets, self.folder.path(), &self.http).await?;
        let mut links = proxy.links.iter().cloned();
        if builder.key_value_links {
            self.links.key_value = links.by_ref().take(listeners.len()).collect();
        }
        if builder.upstream_links {
            let upstreams = self.engines.len() + self.services.len();
            self.links.upstream = links.by_ref().take(upstreams).collect();
        }
        if builder.peer_links {
            for _ in listeners {
                self.links.peer.push(links.by_ref().take(listeners.len()).collect());
            }
        }
        self.proxy = Some(proxy);
        Ok(())
    }

    /// Writes the entries to each instance list, with the addresses that its reader can use.
    async fn publish_entries(&self) -> Result<(), Error> {
        for (viewer, list) in self.instance_lists.iter().enumerate() {
            let mut entries = self.entries.clone();
            for (index, entry) in entries.iter_mut().enumerate() {
                if index == viewer {
                    continue;
                }
                if let Some(link) = self.links.peer.get(viewer).and_then(|links| links.get(index)) {
                    entry.address = link.address;
                }
            }
            let body = List { instances: entries };
            let call = Call::put(list.address, "/admin/instances").with_json(&body);
            list.send(call).await?.ok()?;
        }
        Ok(())
    }

    fn upstream_address(&self, index: usize, upstream: &Standin) -> net::SocketAddr {
        self.links.upstream.get(index).map_or(upstream.address, |link| link.address)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("logs are kept in {}", self.folder.path().display());
        }
    }
}

fn to_json(document: &Document) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(document).map_err(|error| Error::Unexpected(error.to_string()))
}
