//! Faults of the key-value service.

use serde::{Deserialize, Serialize};

/// Faults in force; a missing field means no such fault.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether every call is refused with 503.
    pub outage: bool,
    /// Time between a call and its effect, in milliseconds.
    pub delay_ms: u64,
    /// Probability that the connection is closed instead of answered, after the effect.
    pub lose_answers: f64,
}

impl Fault {
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// Returns which value is out of range.
    pub fn checked(self) -> Result<Self, String> {
        if (0.0..=1.0).contains(&self.lose_answers) {
            return Ok(self);
        }
        Err(format!("lose_answers: {} is not in 0.0 to 1.0", self.lose_answers))
    }
}
