//! A validated fleet document with look-up tables derived from it.

use std::collections;
use std::fmt;

use crate::fleet;
use crate::id;
use crate::template;

/// BLAKE3 hash of a workspace's bearer key; only the hash is stored.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash([u8; 32]);

/// A valid document at its revision, with the data that requests look up.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision at which the document was written.
    pub revision: id::Revision,
    /// Document that the other fields are derived from.
    pub document: fleet::Document,
    /// Policies with all template parameters resolved, by workspace.
    pub policies: collections::BTreeMap<id::Workspace, template::Policy>,
    by_key: collections::HashMap<KeyHash, id::Workspace>,
}

impl KeyHash {
    /// Hashes a bearer key.
    pub fn new(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Parses 64 hexadecimal digits, or returns `None` for any other text.
    pub fn from_hex(hex: &str) -> Option<Self> {
        blake3::Hash::from_hex(hex).ok().map(|hash| Self(*hash.as_bytes()))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", blake3::Hash::from(self.0))
    }
}

impl Snapshot {
    /// Validates a document and resolves the policies of its workspaces.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document if it has any.
    pub fn new(
        revision: id::Revision,
        document: fleet::Document,
    ) -> Result<Self, Vec<fleet::Fault>> {
        let faults = fleet::check(&document);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut policies = collections::BTreeMap::new();
        let mut by_key = collections::HashMap::new();
        for (name, workspace) in &document.workspaces {
            policies.insert(name.clone(), template::resolve(&document, name)?);
            if let Some(hash) = KeyHash::from_hex(&workspace.key_hash) {
                by_key.insert(hash, name.clone());
            }
        }
        Ok(Self { revision, document, policies, by_key })
    }

    /// Returns the workspace of a bearer key, or `None` if no workspace has the key.
    ///
    /// The key is hashed before the look-up, so the time taken reveals nothing about stored keys.
    pub fn authenticate(&self, key: &str) -> Option<&id::Workspace> {
        self.by_key.get(&KeyHash::new(key))
    }

    /// Returns the engines that match a route and whose failure domains are in service.
    pub fn engines<'a>(
        &'a self,
        model: &'a id::Model,
        route: &'a fleet::Route,
    ) -> impl Iterator<Item = (&'a id::Upstream, &'a fleet::Upstream)> {
        self.document.upstreams.iter().filter(move |(_, upstream)| {
            let fleet::Kind::Engine { model: m, version, .. } = &upstream.kind else {
                return false;
            };
            m == model
                && *version == route.version
                && route.failure_domains.contains(&upstream.failure_domain)
                && self.document.is_domain_in_service(&upstream.failure_domain)
        })
    }

    /// Returns the upstreams of a plain service that a policy allows and whose failure domains are
    /// in service.
    pub fn services<'a>(
        &'a self,
        service: &'a id::Service,
        policy: &'a template::ServicePolicy,
    ) -> impl Iterator<Item = (&'a id::Upstream, &'a fleet::Upstream)> {
        self.document.upstreams.iter().filter(move |(_, upstream)| {
            matches!(&upstream.kind, fleet::Kind::Service { service: s, .. } if s == service)
                && policy.failure_domains.contains(&upstream.failure_domain)
                && self.document.is_domain_in_service(&upstream.failure_domain)
        })
    }
}
