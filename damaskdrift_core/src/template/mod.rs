//! Resolves a workspace's template and parameters into the models and services that it may reach.

use std::collections;

use crate::fleet;
use crate::id;

/// The models and services that a workspace may reach, with all parameters resolved.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Routes by model; other models are refused.
    pub models: collections::BTreeMap<id::Model, fleet::Route>,
    /// Policies by plain service; other services are refused.
    pub services: collections::BTreeMap<id::Service, ServicePolicy>,
}

/// Where calls to a plain service may be sent, and which of them must not be retried.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServicePolicy {
    /// Failure domains whose upstreams may be used.
    pub failure_domains: Vec<id::FailureDomain>,
    /// Routes whose calls must not be retried.
    pub non_idempotent: Vec<RoutePattern>,
}

/// Matches a method and a path; a trailing `*` matches any suffix of the path.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutePattern {
    method: String,
    path: String,
}

impl ServicePolicy {
    /// Returns whether a call must not be retried.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        self.non_idempotent.iter().any(|pattern| pattern.is_match(method, path))
    }
}

impl RoutePattern {
    /// Parses text such as `POST /lodge`, or returns `None` if it is not `METHOD /PATH`.
    pub fn new(text: &str) -> Option<Self> {
        let (method, path) = text.split_once(' ')?;
        let is_method = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        if !is_method || !path.starts_with('/') {
            return None;
        }
        Some(Self { method: method.to_owned(), path: path.to_owned() })
    }

    /// Returns whether the pattern matches a method and a path.
    pub fn is_match(&self, method: &str, path: &str) -> bool {
        if self.method != method {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        }
    }
}

/// Resolves the policy of one workspace.
///
/// # Errors
///
/// Returns all faults of the workspace's parameters and template.
pub fn resolve(
    document: &fleet::Document,
    name: &id::Workspace,
) -> Result<Policy, Vec<fleet::Fault>> {
    let key = format!("workspaces.{name}");
    let Some(workspace) = document.workspaces.get(name) else {
        return Err(vec![fleet::Fault::new(&key, "workspace is not declared")]);
    };
    let Some(template) = document.templates.get(&workspace.template) else {
        let message = format!("template {} is not declared", workspace.template);
        return Err(vec![fleet::Fault::new(&key, &message)]);
    };
    let mut resolver = Resolver { document, template, workspace, key: &key, faults: Vec::new() };
    let policy = resolver.policy();
    if resolver.faults.is_empty() { Ok(policy) } else { Err(resolver.faults) }
}

struct Resolver<'a> {
    document: &'a fleet::Document,
    template: &'a fleet::Template,
    workspace: &'a fleet::Workspace,
    key: &'a str,
    faults: Vec<fleet::Fault>,
}

impl Resolver<'_> {
    fn policy(&mut self) -> Policy {
        self.check_declared();
        let mut policy = Policy::default();
        for (model, rule) in &self.template.models {
            let version = self.single_value(&rule.version);
            let failure_domains = self.failure_domains(&rule.failure_domains);
            let route = fleet::Route { version: id::Version::new(&version), failure_domains };
            policy.models.insert(model.clone(), route);
        }
        for (service, rule) in &self.template.services {
            let failure_domains = self.failure_domains(&rule.failure_domains);
            let non_idempotent = self.route_patterns(&rule.non_idempotent);
            let resolved = ServicePolicy { failure_domains, non_idempotent };
            policy.services.insert(service.clone(), resolved);
        }
        policy
    }

    fn check_declared(&mut self) {
        for name in self.workspace.parameters.keys() {
            if !self.template.parameters.contains_key(name) {
                let template = &self.workspace.template;
                self.push_fault(&format!(
                    "parameter {name} is not declared in template {template}"
                ));
            }
        }
    }

    fn failure_domains(&mut self, values: &[String]) -> Vec<id::FailureDomain> {
        let mut domains = Vec::new();
        for value in values {
            for name in self.values_of(value) {
                let domain = id::FailureDomain::new(&name);
                if !self.document.failure_domains.contains_key(&domain) {
                    self.push_fault(&format!("failure domain {name} is not declared"));
                }
                domains.push(domain);
            }
        }
        domains
    }

    fn route_patterns(&mut self, values: &[String]) -> Vec<RoutePattern> {
        let mut patterns = Vec::new();
        for value in values {
            match RoutePattern::new(value) {
                Some(pattern) => patterns.push(pattern),
                None => self.push_fault(&format!("route {value:?} is not METHOD /PATH")),
            }
        }
        patterns
    }

    fn single_value(&mut self, value: &str) -> String {
        let mut values = self.values_of(value);
        if values.len() != 1 {
            self.push_fault(&format!("{value} must give exactly one value"));
        }
        values.pop().unwrap_or_default()
    }

    fn values_of(&mut self, value: &str) -> Vec<String> {
        let Some(name) = value.strip_prefix("${").and_then(|rest| rest.strip_suffix('}')) else {
            return vec![value.to_owned()];
        };
        let parameter =
            self.workspace.parameters.get(name).or_else(|| self.template.parameters.get(name));
        match parameter {
            Some(fleet::Parameter::One(value)) => vec![value.clone()],
            Some(fleet::Parameter::Many(values)) => values.clone(),
            None => {
                self.push_fault(&format!("parameter {name} has no value"));
                Vec::new()
            }
        }
    }

    fn push_fault(&mut self, message: &str) {
        self.faults.push(fleet::Fault::new(self.key, message));
    }
}
