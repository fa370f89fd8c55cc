//! Faults of the key-value service.

use serde::{Deserialize, Serialize};

/// Faults injected into the service; an absent field injects nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether every call is rejected with status 503.
    pub outage: bool,
    /// Delay between a call and its effect, in milliseconds.
    pub delay_ms: u64,
    /// Probability that a call takes effect but its connection is closed without a response.
    pub lose_answers: f64,
}

impl Fault {
    /// Returns the faults if all values are in range.
    ///
    /// # Errors
    ///
    /// Returns a message with the field and value that is out of range.
    pub fn checked(self) -> Result<Self, String> {
        if (0.0..=1.0).contains(&self.lose_answers) {
            return Ok(self);
        }
        Err(format!("lose_answers: {} is not in 0.0 to 1.0", self.lose_answers))
    }
}
