//! An index of the configuration for lookups by request.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::duty;
use crate::id;
use crate::prefix_cache;
use crate::routing::{document, rank};

/// The result of looking up a request by host, path and key.
#[derive(Debug)]
pub enum Resolution<'a> {
    /// The matching route, and the workspace that the key belongs to; `None` if the route requires
    /// no key and the request has no known one.
    Found(&'a Arc<document::Route>, Option<&'a Arc<document::Workspace>>),
    /// No route matches the host and path.
    UnknownRoute,
    /// The route requires a key, and the key is absent or belongs to no workspace.
    UnknownKey,
}

/// An index of the configuration by host, key and service.
#[derive(Debug)]
pub struct Table {
    /// Version of the indexed document.
    pub version: u64,
    /// Limits on the requests and connections of callers.
    pub limits: document::Limits,
    /// Cache stores in the order of the document.
    pub cache_stores: Vec<document::CacheStore>,
    /// Scopes within which workspaces share cached segments.
    pub cache_scopes: prefix_cache::Scopes,
    /// Ranks of requests by priority.
    pub ranks: rank::Ranks,
    /// The most urgent streaming route of each service.
    most_urgent: HashMap<id::Service, Arc<document::Route>>,
    /// Services whose number of upstreams the leader orders, if that is its duty.
    pub scaling: BTreeMap<id::Service, duty::ScalingLimits>,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<document::Route>>>,
    services: HashMap<id::Service, document::Service>,
    /// Workspace of each key; `None` if no route requires a key.
    keys: Option<HashMap<String, Arc<document::Workspace>>>,
}

impl Table {
    /// Creates an index of a document.
    pub fn new(document: document::Document) -> Self {
        let workspaces = document.workspaces.as_deref().unwrap_or_default();
        let ranks = rank::Ranks::new(&document.routes, workspaces);
        let cache_scopes = prefix_cache::Scopes::new(workspaces);
        let mut hosts: HashMap<String, Vec<Arc<document::Route>>> = HashMap::new();
        let mut most_urgent: HashMap<id::Service, Arc<document::Route>> = HashMap::new();
        for route in document.routes {
            let route = Arc::new(route);
            hosts.entry(route.host.clone()).or_default().push(route.clone());
            for target in route.targets.iter().filter(|_| route.is_stream) {
                let known = most_urgent.entry(target.service.clone()).or_insert(route.clone());
                let urgency = |route: &document::Route| (route.priority, route.target_latency);
                if urgency(&route) < urgency(known) {
                    *known = route.clone();
                }
            }
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys = document.workspaces.map(|workspaces| {
            let mut keys = HashMap::new();
            for workspace in workspaces {
                let workspace = Arc::new(workspace);
                for key in &workspace.keys {
                    keys.insert(key.clone(), workspace.clone());
                }
            }
            keys
        });
        let services = document.services.into_iter().map(|s| (s.id.clone(), s)).collect();
        Self {
            version: document.version,
            limits: document.limits,
            cache_stores: document.cache_stores,
            cache_scopes,
            ranks,
            most_urgent,
            scaling: document.scaling,
            hosts,
            services,
            keys,
        }
    }

    /// Selects the route with the longest matching prefix and the workspace of a request; `path`
    /// excludes the query.
    pub fn resolve(&self, host: &str, path: &str, key: Option<&str>) -> Resolution<'_> {
        let routes = self.hosts.get(host).map_or(&[][..], Vec::as_slice);
        let Some(route) = routes.iter().find(|route| path.starts_with(&route.prefix)) else {
            return Resolution::UnknownRoute;
        };
        let Some(keys) = &self.keys else {
            return Resolution::Found(route, None);
        };
        match key.and_then(|key| keys.get(key)) {
            Some(workspace) => Resolution::Found(route, Some(workspace)),
            None if route.allows_anonymous => Resolution::Found(route, None),
            None => Resolution::UnknownKey,
        }
    }

    /// Returns the streaming route with the most urgent priority of those to a service.
    pub fn most_urgent(&self, service: &id::Service) -> Option<&Arc<document::Route>> {
        self.most_urgent.get(service)
    }

    /// Returns the service with this id, or `None` if it is not configured.
    pub fn service(&self, id: &id::Service) -> Option<&document::Service> {
        self.services.get(id)
    }
}

impl document::Route {
    /// Returns the service that receives the request with this hash, according to the weights of
    /// the targets.
    pub fn service_for(&self, hash: u64) -> &id::Service {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut point = hash % total.max(1);
        for target in &self.targets {
            match point.checked_sub(u64::from(target.weight)) {
                Some(rest) => point = rest,
                None => return &target.service,
            }
        }
        &self.targets[0].service
    }
}
