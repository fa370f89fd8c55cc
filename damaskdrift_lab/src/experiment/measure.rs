//! A measured value with its baseline and target.

use std::fmt;

/// Width of the name's column, in characters.
const NAME_WIDTH: usize = 40;

/// A measured value with its baseline and target; lower is better.
#[derive(Clone, Debug)]
pub struct Measure {
    /// What is measured.
    pub name: String,
    /// The value that it is compared with.
    pub baseline: f64,
    /// The measured value.
    pub value: f64,
    /// The highest value that meets the target.
    pub target: f64,
    /// Unit of the three values.
    pub unit: &'static str,
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, baseline, value, target, unit } = self;
        let verdict = if value <= target { "met" } else { "not met" };
        write!(
            f,
            "{name:NAME_WIDTH$} baseline {baseline:.2} {unit}, value {value:.2} {unit}, \
             target {target:.2} {unit}: {verdict}"
        )
    }
}
