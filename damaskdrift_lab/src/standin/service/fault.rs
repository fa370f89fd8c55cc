//! Faults of the service stand-in.

use serde::{Deserialize, Serialize};

/// Faults injected into the service; an absent field injects nothing.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Fault {
    /// Probability that a run gets status 500.
    pub fail_rate: f64,
    /// Factor applied to the delay between a run and its response.
    pub slow_factor: f64,
    /// Probability that a call runs but its connection is closed without a response.
    pub lose_answers: f64,
}

impl Default for Fault {
    fn default() -> Self {
        Self { fail_rate: 0.0, slow_factor: 1.0, lose_answers: 0.0 }
    }
}

impl Fault {
    /// Returns the faults if all values are in range.
    ///
    /// # Errors
    ///
    /// Returns a message with the field and value that is out of range.
    pub fn checked(self) -> Result<Self, String> {
        for (name, value) in [("fail_rate", self.fail_rate), ("lose_answers", self.lose_answers)] {
            if !(0.0..=1.0).contains(&value) {
                return Err(format!("{name}: {value} is not in 0.0 to 1.0"));
            }
        }
        if !(0.0..=1e6).contains(&self.slow_factor) {
            return Err(format!("slow_factor: {} is not in 0.0 to 1e6", self.slow_factor));
        }
        Ok(self)
    }
}
