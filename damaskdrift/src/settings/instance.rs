//! Identity of the instance.

use damaskdrift_core::id;
use serde::Deserialize;

/// Section `instance`: who the instance is and where it runs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name, unique in the fleet.
    pub id: id::Instance,
    /// The failure domain that the instance runs in.
    pub failure_domain: id::FailureDomain,
}

impl Instance {
    pub(super) fn validate(&self, errors: &mut Vec<String>) {
        let rule = "must be 1 to 64 of a-z, 0-9, '-', '_' and '.'";
        if !self.id.is_valid() {
            errors.push(format!("instance.id: {rule}"));
        }
        if !self.failure_domain.is_valid() {
            errors.push(format!("instance.failure_domain: {rule}"));
        }
    }
}
