//! Types of the fleet document, in the form stored in the key-value service.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::time;

/// Number of changes that [`Document::history`] retains.
pub const HISTORY_LEN: usize = 100;

/// The configuration of a fleet, written and replaced as a whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The change that produced this document.
    #[serde(default)]
    pub change: Change,
    /// Secret from which the keys of request ids and of KV cache block keys are derived.
    #[serde(default)]
    pub secret: Secret,
    /// Templates that workspaces refer to, by name.
    #[serde(default)]
    pub templates: collections::BTreeMap<id::Template, Template>,
    /// Tenants by name.
    #[serde(default)]
    pub workspaces: collections::BTreeMap<id::Workspace, Workspace>,
    /// Engines, plain services and cache stores, by name.
    #[serde(default)]
    pub upstreams: collections::BTreeMap<id::Upstream, Upstream>,
    /// Declared failure domains by name; upstreams and templates may refer to no others.
    #[serde(default)]
    pub failure_domains: collections::BTreeMap<id::FailureDomain, FailureDomain>,
    /// Moves of traffic by name, finished ones included.
    #[serde(default)]
    pub moves: collections::BTreeMap<id::Move, Move>,
    /// Changes before [`Document::change`], oldest first, at most [`HISTORY_LEN`].
    #[serde(default)]
    pub history: Vec<Change>,
}

/// An accepted change of the document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Unique id, by which the writer detects whether a write succeeded when its response was lost.
    pub id: String,
    /// Wall-clock time of the change.
    pub at: time::UnixMillis,
    /// Name of the author, as given by the operator's client.
    pub author: String,
    /// Description of the change, in one line.
    pub summary: String,
}

/// Key material shared by all instances, in hexadecimal; never logged.
#[derive(Clone, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Secret(String);

/// Models and services that the workspaces with this template may reach.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Default values by parameter; a workspace may override each of them.
    #[serde(default)]
    pub parameters: collections::BTreeMap<String, Parameter>,
    /// Rules by model; a model without one cannot be reached.
    #[serde(default)]
    pub models: collections::BTreeMap<id::Model, ModelRule>,
    /// Rules by plain service; a service without one cannot be reached.
    #[serde(default)]
    pub services: collections::BTreeMap<id::Service, ServiceRule>,
}

/// Value of a template parameter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Parameter {
    /// A single value.
    One(String),
    /// A list of values.
    Many(Vec<String>),
}

/// Where the prompts for a model may be sent; each value may be a reference `${parameter}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// Weight version that the engines must serve.
    pub version: String,
    /// Failure domains whose engines may be used.
    pub failure_domains: Vec<String>,
}

/// Where calls to a plain service may be sent; each value may be a reference `${parameter}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// Failure domains whose upstreams may be used.
    pub failure_domains: Vec<String>,
    /// Routes that must not be retried, such as `POST /lodge`; a trailing `*` matches any suffix.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// BLAKE3 hash of the bearer key, in hexadecimal.
    pub key_hash: String,
    /// Template that decides what the workspace may reach.
    pub template: id::Template,
    /// Values that override the template's defaults.
    #[serde(default)]
    pub parameters: collections::BTreeMap<String, Parameter>,
    /// Weight of the workspace when load is shed; a higher weight keeps more requests.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Objectives that the workspace's burn rates are computed against.
    #[serde(default)]
    pub service_level: ServiceLevel,
}

/// Service-level objectives of a workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLevel {
    /// Fraction of requests that must be good, from 0 to below 1.
    pub objective: f64,
    /// Longest time to the first token that counts as good, in milliseconds.
    pub first_token_ms: u64,
    /// Longest time between tokens that counts as good, in milliseconds.
    pub between_tokens_ms: u64,
}

/// An engine, plain service or cache store that instances send requests to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// IP address and port.
    pub address: String,
    /// Failure domain in which it runs.
    pub failure_domain: id::FailureDomain,
    /// Whether it refuses orders with an old fencing token.
    #[serde(default)]
    pub fencing: Fencing,
    /// What it serves, with its concurrency limits.
    pub kind: Kind,
}

/// Whether an upstream checks the fencing tokens of the orders that it receives.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Refuses orders with an old token.
    Checked,
    /// Ignores the token, so successive owners must keep a safety margin between their orders.
    #[default]
    Ignored,
}

/// What an upstream serves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Kind {
    /// Serves one version of one model.
    Engine {
        /// Model that it serves.
        model: id::Model,
        /// Weight version that it serves.
        version: id::Version,
        /// Limit of concurrent requests during a cold start, at least 1.
        cold_limit: u32,
        /// Limit of concurrent requests when warm, at least `cold_limit`.
        warm_limit: u32,
    },
    /// Serves a plain service.
    Service {
        /// Service that it serves.
        service: id::Service,
        /// Limit of concurrent requests, at least 1.
        limit: u32,
    },
    /// Stores KV cache blocks.
    Store,
}

/// The operator-set state of a failure domain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Whether upstreams in the domain receive new requests.
    #[serde(default)]
    pub state: DomainState,
}

/// Whether a failure domain is in service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// In service: upstreams in the domain receive new requests.
    #[default]
    In,
    /// Out of service: upstreams in the domain receive no new requests.
    Out,
}

/// The engines that serve a workspace's prompts for one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Weight version that the engines must serve.
    pub version: id::Version,
    /// Failure domains whose engines may be used.
    pub failure_domains: Vec<id::FailureDomain>,
}

/// Shifts a workspace's prompts for one model from one route to another by a deadline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Workspace whose traffic is shifted.
    pub workspace: id::Workspace,
    /// Model whose traffic is shifted.
    pub model: id::Model,
    /// Route that served the traffic before the move.
    pub from: Route,
    /// Route that serves all traffic once the move is done.
    pub to: Route,
    /// When an operator started the move.
    pub started: time::UnixMillis,
    /// When all traffic must use the new route; later than `started`.
    pub deadline: time::UnixMillis,
    /// Index of the current step in the steps of the rollout.
    pub step: usize,
    /// When the current step began.
    pub step_started: time::UnixMillis,
    /// Fencing token of the instance that wrote the step.
    pub fencing: id::FencingToken,
    /// Whether the move is running or how it ended.
    pub state: MoveState,
}

/// Progress of a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum MoveState {
    /// Traffic is being shifted in steps.
    Running,
    /// All traffic uses the new route.
    Done,
    /// All traffic uses the old route again.
    RolledBack {
        /// Cause in one sentence, shown to operators.
        reason: String,
    },
    /// An operator cancelled the move; all traffic uses the old route again.
    Cancelled,
}

impl Secret {
    /// Creates the secret from its hexadecimal form, without checking it.
    pub fn new(hex: &str) -> Self {
        Self(hex.to_owned())
    }

    /// Derives a 32-byte key; different purposes give independent keys.
    pub fn derive(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, self.0.as_bytes())
    }

    /// Returns whether no secret has been generated yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Default for ServiceLevel {
    fn default() -> Self {
        Self { objective: 0.995, first_token_ms: 850, between_tokens_ms: 63 }
    }
}

impl Document {
    /// Sets [`Document::change`] and appends the previous one to the history, dropping the oldest.
    pub fn with_change(mut self, next: Change) -> Self {
        let previous = std::mem::replace(&mut self.change, next);
        if !previous.id.is_empty() {
            self.history.push(previous);
        }
        let excess = self.history.len().saturating_sub(HISTORY_LEN);
        self.history.drain(..excess);
        self
    }

    /// Returns whether a failure domain is declared and in service.
    pub fn is_domain_in_service(&self, domain: &id::FailureDomain) -> bool {
        self.failure_domains.get(domain).is_some_and(|d| d.state == DomainState::In)
    }

    /// Returns the running move of a workspace's model; a valid document has at most one.
    pub fn running_move(
        &self,
        workspace: &id::Workspace,
        model: &id::Model,
    ) -> Option<(&id::Move, &Move)> {
        self.moves.iter().find(|(_, m)| {
            m.state == MoveState::Running && &m.workspace == workspace && &m.model == model
        })
    }
}

fn default_share() -> u32 {
    1
}
