//! True time as the median of the wall clocks of many instances.
//!
//! A wall clock is stated as its offset from the boot-time clock of this instance, so that a step of
//! a minority of the clocks changes nothing.

use std::collections::BTreeMap;

use crate::balance::Reporter;
use crate::time::Millis;

/// Time for which a report of clocks counts. Clocks drift by far less within it.
const REPORT_TTL: Millis = Millis(5_000);
/// Largest number of offsets in a sample. With nine, the median of a fleet is found to within a
/// ninth of its clocks.
const MAX_OFFSETS: usize = 9;

/// Offsets of wall clocks from the boot-time clock of this instance, in milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// Number of instances whose clocks the sample represents.
    pub instances: u32,
    /// At most nine evenly spaced quantiles of the offsets, in ascending order.
    pub offsets: Vec<i64>,
}

/// The wall clocks that one instance knows of.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    own: i64,
    reports: BTreeMap<Reporter, (Millis, Sample)>,
}

impl Clocks {
    /// Sets the offset of this instance's own wall clock.
    pub fn set_own(&mut self, offset: i64) {
        self.own = offset;
    }

    /// Replaces the sample of a reporter.
    pub fn set_report(&mut self, reporter: Reporter, sample: Sample, now: Millis) {
        self.reports.insert(reporter, (now, sample));
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
    }

    /// Returns the offset of true time by the median of this instance's clock and those of the
    /// selected reporters.
    pub fn offset(&self, includes: impl Fn(&Reporter) -> bool, now: Millis) -> i64 {
        let points = self.points(includes, now);
        at_share(&points, 0.5).unwrap_or(self.own)
    }

    /// Returns a sample of this instance's clock and those of the selected reporters.
    pub fn sample(&self, includes: impl Fn(&Reporter) -> bool, now: Millis) -> Sample {
        let points = self.points(includes, now);
        let instances: f64 = points.iter().map(|(_, weight)| weight).sum();
        let quantiles = points.len().min(MAX_OFFSETS);
        let mut offsets = Vec::with_capacity(quantiles);
        for quantile in 0..quantiles {
            let share = (quantile as f64 + 0.5) / quantiles as f64;
            offsets.extend(at_share(&points, share));
        }
        Sample { instances: instances.round() as u32, offsets }
    }

    /// Returns the known offsets with the number of instances that each represents, in ascending
    /// order.
    fn points(&self, includes: impl Fn(&Reporter) -> bool, now: Millis) -> Vec<(i64, f64)> {
        let mut points = vec![(self.own, 1.0)];
        for (reporter, (at, sample)) in &self.reports {
            if !includes(reporter) || now.since(*at) >= REPORT_TTL {
                continue;
            }
            let weight = f64::from(sample.instances) / sample.offsets.len().max(1) as f64;
            points.extend(sample.offsets.iter().map(|offset| (*offset, weight)));
        }
        points.sort_by_key(|(offset, _)| *offset);
        points
    }
}

/// Returns the offset below which this share of the instances lies.
fn at_share(points: &[(i64, f64)], share: f64) -> Option<i64> {
    let total: f64 = points.iter().map(|(_, weight)| weight).sum();
    let mut sum = 0.0;
    for (offset, weight) in points {
        sum += weight;
        if sum >= total * share {
            return Some(*offset);
        }
    }
    points.last().map(|(offset, _)| *offset)
}
