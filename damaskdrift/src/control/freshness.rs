//! Decides whether the installed configuration may be used for new work.

use damaskdrift_core::code;

use crate::context;

/// Checks that new work may start.
///
/// # Errors
///
/// Returns the code of the refusal when there is no configuration or it cannot be confirmed.
pub fn check(cx: &context::Context) -> Result<(), code::Code> {
    if cx.fleet.load().revision.0 == 0 {
        return Err(code::Code::NotConfigured);
    }
    Ok(())
}
