//! Lines that state a measured value with its baseline and target.

use std::fmt;

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

impl Measure {
    /// Returns whether the target is met.
    pub fn is_met(&self) -> bool {
        self.value <= self.target
    }
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, baseline, value, target, unit } = self;
        let text = |value: &f64| format!("{value:.2} {unit}");
        let line = line(name, &text(baseline), &text(value), &text(target), self.is_met());
        f.write_str(&line)
    }
}

/// Returns the line of a measure: name, baseline, value, target, met or missed.
pub fn line(name: &str, baseline: &str, value: &str, target: &str, is_met: bool) -> String {
    let met = if is_met { "met" } else { "MISSED" };
    format!("{name}: baseline {baseline}, value {value}, target {target}, {met}")
}

/// Returns the median and the largest of some values; both are 0 when there are none.
pub fn median_and_max(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let median = values.get(values.len() / 2).copied().unwrap_or(0.0);
    (median, values.last().copied().unwrap_or(0.0))
}
