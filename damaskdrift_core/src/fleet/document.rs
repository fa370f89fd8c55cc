//! Types of the fleet document, as stored in the key-value service.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::time;

/// Most changes kept in [`Document::history`].
pub const HISTORY_LEN: usize = 100;

/// The whole configuration of a fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The change that produced this document.
    #[serde(default)]
    pub change: Change,
    /// Key of request ids and KV cache block keys.
    #[serde(default)]
    pub secret: Secret,
    /// Templates by name.
    #[serde(default)]
    pub templates: collections::BTreeMap<id::Template, Template>,
    /// Workspaces by name.
    #[serde(default)]
    pub workspaces: collections::BTreeMap<id::Workspace, Workspace>,
    /// Upstreams by name.
    #[serde(default)]
    pub upstreams: collections::BTreeMap<id::Upstream, Upstream>,
    /// Failure domains by name.
    #[serde(default)]
    pub failure_domains: collections::BTreeMap<id::FailureDomain, FailureDomain>,
    /// Moves by name, finished ones included.
    #[serde(default)]
    pub moves: collections::BTreeMap<id::Move, Move>,
    /// Earlier changes, the latest last.
    #[serde(default)]
    pub history: Vec<Change>,
}

/// Describes one accepted change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Unique id, which settles a write whose answer was lost.
    pub id: String,
    /// Time of the change.
    pub at: time::UnixMillis,
    /// Who made the change.
    pub author: String,
    /// What the change did, in one line.
    pub summary: String,
}

/// Key material shared by all instances, in hexadecimal; never logged.
#[derive(Clone, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Secret(String);

/// Describes which models and services the workspaces of a kind may reach.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Parameters with their default values; a workspace may set each.
    #[serde(default)]
    pub parameters: collections::BTreeMap<String, Parameter>,
    /// Rules by model.
    #[serde(default)]
    pub models: collections::BTreeMap<id::Model, ModelRule>,
    /// Rules by plain service.
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

/// Describes where the prompts for a model may go; values may be `${parameter}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// The weight version.
    pub version: String,
    /// The allowed failure domains.
    pub failure_domains: Vec<String>,
}

/// Describes where calls to a plain service may go; values may be `${parameter}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// The allowed failure domains.
    pub failure_domains: Vec<String>,
    /// Routes that may not be repeated, such as `POST /lodge`; a trailing `*` matches any rest.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
}

/// Describes a tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// BLAKE3 hash of the bearer key, in hexadecimal.
    pub key_hash: String,
    /// The template that applies.
    pub template: id::Template,
    /// Values of the template's parameters.
    #[serde(default)]
    pub parameters: collections::BTreeMap<String, Parameter>,
    /// Weight when load is shed; workspaces of a higher weight keep more.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Service-level objectives.
    #[serde(default)]
    pub service_level: ServiceLevel,
}

/// Service-level objectives of a workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLevel {
    /// Share of requests that must be good, below 1.
    pub objective: f64,
    /// Longest good time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Longest good time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
}

/// Describes an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// IP address and port.
    pub address: String,
    /// The failure domain it stands in.
    pub failure_domain: id::FailureDomain,
    /// Whether orders with an old fencing number are refused.
    #[serde(default)]
    pub fencing: Fencing,
    /// What the upstream does.
    pub kind: Kind,
}

/// Tells whether an upstream checks fencing numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Orders with an old number are refused.
    Checked,
    /// The number is ignored.
    #[default]
    Ignored,
}

/// Describes what an upstream does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Kind {
    /// Serves one version of one model.
    Engine {
        /// The model.
        model: id::Model,
        /// The weight version.
        version: id::Version,
        /// Concurrent requests it bears in a cold start.
        cold_limit: u32,
        /// Concurrent requests it bears when warm.
        warm_limit: u32,
    },
    /// Serves a plain service.
    Service {
        /// The service.
        service: id::Service,
        /// Concurrent requests it bears.
        limit: u32,
    },
    /// Keeps KV cache blocks.
    Store,
}

/// Describes a failure domain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Whether the domain takes new work.
    #[serde(default)]
    pub state: DomainState,
}

/// Tells whether a failure domain takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// New work is allowed.
    #[default]
    In,
    /// No new work is allowed.
    Out,
}

/// A target of a workspace's prompts for one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The weight version.
    pub version: id::Version,
    /// The allowed failure domains.
    pub failure_domains: Vec<id::FailureDomain>,
}

/// Shifts a workspace's prompts for one model from one route to another by a deadline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// The workspace whose traffic moves.
    pub workspace: id::Workspace,
    /// The model whose traffic moves.
    pub model: id::Model,
    /// The route that traffic leaves.
    pub from: Route,
    /// The route that traffic goes to.
    pub to: Route,
    /// When the move started.
    pub started: time::UnixMillis,
    /// When all traffic must have moved.
    pub deadline: time::UnixMillis,
    /// Index into the steps of the rollout.
    pub step: usize,
    /// When the present step began.
    pub step_started: time::UnixMillis,
    /// Fencing number of the driver that wrote the step.
    pub fencing: id::FencingToken,
    /// How far the move has come.
    pub state: MoveState,
}

/// Tells how far a move has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum MoveState {
    /// Traffic is being shifted.
    Running,
    /// All traffic goes to the new route.
    Done,
    /// All traffic is back on the old route.
    RolledBack {
        /// Why the move was rolled back.
        reason: String,
    },
    /// An operator cancelled the move; all traffic is back on the old route.
    Cancelled,
}

impl Secret {
    /// Creates the secret from its hexadecimal form.
    pub fn new(hex: &str) -> Self {
        Self(hex.to_owned())
    }

    /// Derives a 32-byte key for one purpose.
    pub fn derive(&self, purpose: &str) -> [u8; 32] {
        blake3::derive_key(purpose, self.0.as_bytes())
    }

    /// Returns whether no secret is set.
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
    /// Replaces the change with `next` and moves the present one into the history.
    pub fn with_change(mut self, next: Change) -> Self {
        let last = std::mem::replace(&mut self.change, next);
        if !last.id.is_empty() {
            self.history.push(last);
        }
        let excess = self.history.len().saturating_sub(HISTORY_LEN);
        self.history.drain(..excess);
        self
    }

    /// Returns whether a failure domain takes new work; an undeclared one does not.
    pub fn is_domain_in(&self, domain: &id::FailureDomain) -> bool {
        self.failure_domains.get(domain).is_some_and(|d| d.state == DomainState::In)
    }

    /// Returns the running move of a workspace's model, if there is one.
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
