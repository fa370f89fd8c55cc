//! Fleets on loopback: stand-ins, entry instances and the fault proxy between them.

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

/// First workspace of every fleet.
pub const WORKSPACE: &str = "notices";
/// Bearer key of [`WORKSPACE`].
pub const KEY: &str = "notices-key";
/// Second workspace of every fleet, with the same template.
pub const OTHER_WORKSPACE: &str = "mill";
/// Bearer key of [`OTHER_WORKSPACE`].
pub const OTHER_KEY: &str = "mill-key";
/// Model that the engines serve.
pub const MODEL: &str = "kernel";
/// Weight version that the engines serve.
pub const VERSION: &str = "v1";
/// Name of the plain service, if the fleet has any.
pub const SERVICE: &str = "lodging";
/// Only route of [`SERVICE`] that is not idempotent and therefore runs at most once per key.
pub const NON_IDEMPOTENT_ROUTE: &str = "POST /lodge";
/// Key of the fleet document in the key-value service.
pub const FLEET_KEY: &str = "fleet";

type DocumentEdit = Box<dyn FnOnce(&mut Document) + Send>;

/// Describes a fleet before it is started.
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
    edits: Vec<DocumentEdit>,
    key_value_links: bool,
    upstream_links: bool,
    peer_links: bool,
}

/// A running fleet whose processes are killed on drop.
///
/// Instance `i` is named `entry-i`, engine `i` `engine-i` and service `i` `service-i`; each belongs
/// to failure domain `i` modulo the number of domains. If the test panics, the directory with the
/// logs is not deleted and its path is printed.
pub struct Fleet {
    /// Stand-in for the key-value service.
    pub key_value: Standin,
    /// Stand-in for the instance list, or one for each instance if there are links between peers.
    pub instance_lists: Vec<Standin>,
    /// Engine stand-ins, in the order of their numbers.
    pub engines: Vec<Standin>,
    /// Plain service stand-ins, in the order of their numbers.
    pub services: Vec<Standin>,
    /// Entry instances, in the order of their numbers.
    pub instances: Vec<Instance>,
    /// Fault proxy, present if the fleet has links.
    pub proxy: Option<Proxy>,
    /// HTTP client whose connection pool the whole fleet shares.
    pub http: Client,
    links: Links,
    entries: Vec<Entry>,
    dir: TempDir,
}

/// Links of the proxy, grouped by what they connect.
#[derive(Debug, Default)]
struct Links {
    /// Indexed by instance.
    key_value: Vec<LinkHandle>,
    /// Indexed by upstream: engines first, then services.
    upstream: Vec<LinkHandle>,
    /// Indexed by source, then by target; the link of an instance to itself is unused.
    peer: Vec<Vec<LinkHandle>>,
}

impl Default for Builder {
    fn default() -> Self {
        Self::new()
    }
}

impl Builder {
    /// Creates a description of one instance and one engine in failure domain `a`, without links.
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

    /// Sets the number of entry instances; 1 by default.
    pub fn with_instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    /// Sets the number of engines; 1 by default.
    pub fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the number of plain services; 0 by default.
    pub fn with_services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Sets the failure domains, over which instances and upstreams are distributed in turn.
    pub fn with_failure_domains(mut self, domains: &[&str]) -> Self {
        self.domains = domains.iter().map(|domain| (*domain).to_owned()).collect();
        self
    }

    /// Sets the concurrency limits of every engine; 8 cold and 64 warm requests by default.
    pub fn with_engine_limits(mut self, cold_limit: u32, warm_limit: u32) -> Self {
        self.cold_limit = cold_limit;
        self.warm_limit = warm_limit;
        self
    }

    /// Sets the concurrency limit of every plain service; 64 requests by default.
    pub fn with_service_limit(mut self, limit: u32) -> Self {
        self.service_limit = limit;
        self
    }

    /// Adds options to the command line of the key-value service.
    pub fn with_key_value_args(mut self, args: &[&str]) -> Self {
        self.key_value_args.extend(args.iter().map(|arg| (*arg).to_owned()));
        self
    }

    /// Adds options to the command line of every instance list.
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

    /// Sets a key in a section of every instance's settings file.
    pub fn with_setting(mut self, section: &str, key: &str, value: impl Into<toml::Value>) -> Self {
        self.settings.push((section.to_owned(), key.to_owned(), value.into()));
        self
    }

    /// Adds an edit that is applied to the fleet document before it is first written.
    pub fn with_document_edit(mut self, edit: impl FnOnce(&mut Document) + Send + 'static) -> Self {
        self.edits.push(Box::new(edit));
        self
    }

    /// Connects each instance to the key-value service through a proxy link of its own.
    pub fn with_key_value_links(mut self) -> Self {
        self.key_value_links = true;
        self
    }

    /// Connects the instances to each upstream through a proxy link.
    pub fn with_upstream_links(mut self) -> Self {
        self.upstream_links = true;
        self
    }

    /// Connects each pair of instances through two proxy links, one for each direction.
    pub fn with_peer_links(mut self) -> Self {
        self.peer_links = true;
        self
    }

    /// Starts the fleet and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or an instance is not ready within 15 s.
    pub async fn start(self) -> Result<Fleet, Error> {
        let mut fleet = self.start_unready().await?;
        fleet.wait_ready(instance::READY_TIMEOUT).await?;
        Ok(fleet)
    }

    /// Starts the fleet without waiting until its instances are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or the fleet document cannot be written.
    pub async fn start_unready(mut self) -> Result<Fleet, Error> {
        let dir = TempDir::with_prefix("damaskdrift-")
            .map_err(|error| Error::Io("cannot create a temporary directory".to_owned(), error))?;
        let http = Client::new();
        let path = dir.path();
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
            dir,
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
            let instance = Instance::start(&settings, fleet.dir.path(), &fleet.http)?;
            fleet.instances.push(instance);
        }
        Ok(fleet)
    }

    fn domain(&self, index: usize) -> &str {
        &self.domains[index % self.domains.len()]
    }

    fn engine_args(&self) -> Vec<String> {
        let cold_limit = self.cold_limit.to_string();
        let required = ["--model", MODEL, "--version", VERSION, "--cold-limit", &cold_limit];
        let required = required.into_iter().map(str::to_owned);
        required.chain(self.engine_args.iter().cloned()).collect()
    }

    fn entries(&self, listeners: &[Listeners]) -> Vec<Entry> {
        let to_entry = |(index, listen): (usize, &Listeners)| Entry {
            id: id::Instance::new(&format!("entry-{index}")),
            role: Role::Entry,
            address: listen.peers,
            failure_domain: id::FailureDomain::new(self.domain(index)),
            state: State::Live,
        };
        listeners.iter().enumerate().map(to_entry).collect()
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
            builder = builder.with_service(SERVICE, &self.domains, &[NON_IDEMPOTENT_ROUTE]);
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
    /// Returns a builder for one instance and one engine in one failure domain.
    pub fn builder() -> Builder {
        Builder::new()
    }

    /// Waits until every instance is ready, with `timeout` for each.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first instance that is not ready.
    pub async fn wait_ready(&mut self, timeout: Duration) -> Result<(), Error> {
        for instance in &mut self.instances {
            instance.wait_ready(timeout).await?;
        }
        Ok(())
    }

    /// Sends each instance one prompt if there are engines, and one read if there are plain services,
    /// and retries them while they are refused with the outcome `not-run`.
    ///
    /// An instance is ready before the limit owners have granted it slots; until then it refuses
    /// requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a request does not succeed within `timeout`.
    pub async fn warm_up(&self, timeout: Duration) -> Result<(), Error> {
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
                self.http.send_until_run(call, timeout).await?.ok()?;
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

    /// Returns the link in front of an engine.
    ///
    /// # Panics
    ///
    /// Panics if the fleet was built without these links.
    pub fn engine_link(&self, engine: usize) -> &LinkHandle {
        &self.links.upstream[engine]
    }

    /// Returns the link in front of a plain service.
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
    /// Returns an error if the proxy does not accept the mode.
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
    /// Returns an error if the proxy does not accept the mode.
    pub async fn set_isolation(&self, instance: usize, mode: Mode) -> Result<(), Error> {
        self.key_value_link(instance).set_mode(mode).await?;
        self.set_peer_mode(instance, mode).await
    }

    /// Sets the state of an instance on the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if an instance list does not accept the change.
    pub async fn set_listed_state(&mut self, instance: usize, state: State) -> Result<(), Error> {
        self.entries[instance].state = state;
        self.publish_entries().await
    }

    /// Returns the fleet document and its revision from the key-value service.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is absent or cannot be read.
    pub async fn document(&self) -> Result<(Document, u64), Error> {
        let entry = self.key_value.get_key(FLEET_KEY).await?;
        let (value, revision) = entry.ok_or_else(|| {
            Error::Unexpected("the key-value service has no fleet document".to_owned())
        })?;
        let document = serde_json::from_slice(&value).map_err(|error| {
            Error::Unexpected(format!("cannot parse the fleet document: {error}"))
        })?;
        Ok((document, revision))
    }

    /// Writes a changed fleet document directly to the key-value service and returns the new revision.
    ///
    /// No instance takes part in the write, so the instances learn of it only by watching or reading
    /// the key-value service.
    ///
    /// # Errors
    ///
    /// Returns an error if the document cannot be read or the write is refused.
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
            targets
                .extend(self.engines.iter().chain(&self.services).map(|upstream| upstream.address));
        }
        if builder.peer_links {
            for _ in listeners {
                targets.extend(listeners.iter().map(|listen| listen.peers));
            }
        }
        if targets.is_empty() {
            return Ok(());
        }
        let proxy = Proxy::start("proxy", &targets, self.dir.path(), &self.http).await?;
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

    /// Writes the entries to each instance list, with peer addresses replaced by the proxy links of the
    /// instance that reads the list.
    async fn publish_entries(&self) -> Result<(), Error> {
        for (reader, list) in self.instance_lists.iter().enumerate() {
            let mut entries = self.entries.clone();
            for (index, entry) in entries.iter_mut().enumerate() {
                if index == reader {
                    continue;
                }
                if let Some(link) = self.links.peer.get(reader).and_then(|links| links.get(index)) {
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
            self.dir.disable_cleanup(true);
            eprintln!("logs of the failed test are in {}", self.dir.path().display());
        }
    }
}

fn to_json(document: &Document) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(document)
        .map_err(|error| Error::Unexpected(format!("cannot encode the fleet document: {error}")))
}
