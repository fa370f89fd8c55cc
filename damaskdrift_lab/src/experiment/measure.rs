//! Measured values and their output lines.

use std::fmt;

/// A measured value with its baseline and target; lower is better.
#[derive(Clone, Debug)]
pub struct Measure {
    /// Name of the measured quantity.
    pub name: String,
    /// Reference value for comparison.
    pub baseline: f64,
    /// The measured value.
    pub value: f64,
    /// Highest value that meets the target.
    pub target: f64,
    /// Unit of the three values.
    pub unit: &'static str,
}

impl Measure {
    /// Returns whether the target is met.
    pub fn is_met(&self) -> bool {
        self.value <= self.target
    }
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, baseline, value, target, unit } = self;
        let with_unit = |value: &f64| format!("{value:.2} {unit}");
        let (baseline, value, target) = (with_unit(baseline), with_unit(value), with_unit(target));
        f.write_str(&format_line(name, &baseline, &value, &target, self.is_met()))
    }
}

fn format_line(name: &str, baseline: &str, value: &str, target: &str, is_met: bool) -> String {
    let verdict = if is_met { "met" } else { "MISSED" };
    format!("{name}: baseline {baseline}, value {value}, target {target}, {verdict}")
}

/// Returns the median, the upper one of an even number of values, and the maximum; both are 0 for
/// an empty vector.
pub fn median_and_max(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let median = values.get(values.len() / 2).copied().unwrap_or(0.0);
    (median, values.last().copied().unwrap_or(0.0))
}
