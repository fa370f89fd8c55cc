//! Takes what each finished request showed, as evidence for moves and the burn report.

use damaskdrift_core::id;
use damaskdrift_core::time::Millis;

use crate::context;

/// What a finished request showed.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The workspace.
    pub workspace: id::Workspace,
    /// The model and version, absent for a plain service.
    pub version: Option<(id::Model, id::Version)>,
    /// The upstream that ran the request, if one did.
    pub upstream: Option<id::Upstream>,
    /// Whether the request succeeded; a caller's own mistake is no observation.
    pub succeeded: bool,
    /// Time to the first token or byte.
    pub first_token: Option<Millis>,
    /// Longest time between two tokens.
    pub between_tokens: Option<Millis>,
    /// Whether the upstream was in a cold start.
    pub cold: bool,
}

/// Records an observation.
pub fn record(_cx: &context::Context, _observation: &Observation) {}
