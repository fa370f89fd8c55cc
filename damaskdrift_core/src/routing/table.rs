//! The configuration indexed for lookups by request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::id;
use crate::routing::document;

/// What a request's host, path and key select.
#[derive(Debug)]
pub enum Resolution<'a> {
    /// A route, and the workspace that holds the key.
    Found(&'a Arc<document::Route>, Option<&'a Arc<document::Workspace>>),
    /// No route has this host and path.
    UnknownRoute,
    /// No workspace holds the key.
    UnknownKey,
}

/// The configuration indexed by host, key and service.
#[derive(Debug)]
pub struct Table {
    /// Version of the document.
    pub version: u64,
    /// Bounds on what callers may send.
    pub limits: document::Limits,
    /// Stores of kept KV cache.
    pub stores: Vec<document::Store>,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<document::Route>>>,
    services: HashMap<id::Service, document::Service>,
    keys: Option<HashMap<String, Arc<document::Workspace>>>,
}

impl Table {
    /// Indexes a document.
    pub fn new(document: document::Document) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<document::Route>>> = HashMap::new();
        for route in document.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
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
            stores: document.stores,
            hosts,
            services,
            keys,
        }
    }

    /// Selects the route and the workspace of a request; `path` has no query.
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
            None if route.is_open => Resolution::Found(route, None),
            None => Resolution::UnknownKey,
        }
    }

    /// Returns a service of the configuration.
    pub fn service(&self, id: &id::Service) -> Option<&document::Service> {
        self.services.get(id)
    }
}

impl document::Route {
    /// Returns the service that a request with this hash goes to.
    pub fn target(&self, hash: u64) -> &id::Service {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut rest = hash % total.max(1);
        for target in &self.targets {
            match rest.checked_sub(u64::from(target.weight)) {
                Some(left) => rest = left,
                None => return &target.service,
            }
        }
        &self.targets[0].service
    }
}
