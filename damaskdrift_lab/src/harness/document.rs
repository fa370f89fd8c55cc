//! Builder of fleet documents for tests.

use std::net;

use damaskdrift_core::fleet;
use damaskdrift_core::id;

/// Secret of every fleet document of the harness, in hexadecimal.
const SECRET: &str = "6c61622d736563726574";
/// Name of the template that every workspace uses.
const TEMPLATE: &str = "lab";

/// Builds a fleet document with one template, which all workspaces use.
#[derive(Clone, Debug)]
pub struct Builder {
    document: fleet::Document,
    template: fleet::Template,
}

impl Default for Builder {
    fn default() -> Self {
        Self::new()
    }
}

impl Builder {
    /// Creates a document without upstreams and workspaces.
    pub fn new() -> Self {
        let document = fleet::Document {
            change: fleet::Change {
                id: "lab".to_owned(),
                author: "harness".to_owned(),
                summary: "first document".to_owned(),
                ..fleet::Change::default()
            },
            secret: fleet::Secret::new(SECRET),
            ..fleet::Document::default()
        };
        Self { document, template: fleet::Template::default() }
    }

    /// Adds a failure domain that is in service.
    pub fn with_failure_domain(mut self, domain: &str) -> Self {
        let domain = id::FailureDomain::new(domain);
        self.document.failure_domains.insert(domain, fleet::FailureDomain::default());
        self
    }

    /// Adds a workspace with a bearer key.
    pub fn with_workspace(mut self, name: &str, key: &str) -> Self {
        let workspace = fleet::Workspace {
            key_hash: blake3::hash(key.as_bytes()).to_hex().to_string(),
            template: id::Template::new(TEMPLATE),
            parameters: Default::default(),
            share: 1,
            service_level: fleet::ServiceLevel::default(),
        };
        self.document.workspaces.insert(id::Workspace::new(name), workspace);
        self
    }

    /// Gives the workspaces access to a model version in the given failure domains.
    pub fn with_model(mut self, model: &str, version: &str, domains: &[String]) -> Self {
        let rule =
            fleet::ModelRule { version: version.to_owned(), failure_domains: domains.to_vec() };
        self.template.models.insert(id::Model::new(model), rule);
        self
    }

    /// Gives the workspaces access to a plain service in the given failure domains.
    ///
    /// `non_idempotent` lists routes such as `POST /lodge` that must run at most once.
    pub fn with_service(
        mut self,
        service: &str,
        domains: &[String],
        non_idempotent: &[&str],
    ) -> Self {
        let rule = fleet::ServiceRule {
            failure_domains: domains.to_vec(),
            non_idempotent: non_idempotent.iter().map(|route| (*route).to_owned()).collect(),
        };
        self.template.services.insert(id::Service::new(service), rule);
        self
    }

    /// Adds an upstream with fencing mode `Checked`.
    pub fn with_upstream(
        mut self,
        name: &str,
        address: net::SocketAddr,
        domain: &str,
        kind: fleet::Kind,
    ) -> Self {
        let upstream = fleet::Upstream {
            address: address.to_string(),
            failure_domain: id::FailureDomain::new(domain),
            fencing: fleet::Fencing::Checked,
            kind,
        };
        self.document.upstreams.insert(id::Upstream::new(name), upstream);
        self
    }

    /// Returns the finished document, with the template included.
    pub fn build(mut self) -> fleet::Document {
        self.document.templates.insert(id::Template::new(TEMPLATE), self.template);
        self.document
    }
}
