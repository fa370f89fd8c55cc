//! Compares the delays of two versions by their recent geometric means.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::Display;

use crate::rollout::{Evidence, LatencySum, Side};

/// Number of samples over which the recent mean of the new version is taken. Fewer would need a
/// higher limit, more would hide a version that becomes slow only after some time.
const NEW_SAMPLES: f64 = 40.0;
/// [`NEW_SAMPLES`] of the old version, which gets about ten times as many requests.
const OLD_SAMPLES: f64 = 400.0;
/// Samples of the new version that suffice for the limits below; with fewer, the limit is higher by
/// as much as the standard error is.
const FULL_SAMPLES: f64 = 20.0;
/// Minimum samples of each version.
const MIN_SAMPLES: f64 = 8.0;
/// Ratio of the mean times between chunks above which a version is slow. They vary by about a third
/// between responses, so that chance reaches the limit less often than once in 10^6 comparisons.
const GAP_LIMIT: f64 = 1.5;
/// [`GAP_LIMIT`] of the first chunk, whose delay also depends on what an engine has cached.
const FIRST_CHUNK_LIMIT: f64 = 2.0;

/// What a delay is measured of.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
enum Metric {
    #[display("time to the first chunk")]
    FirstChunk,
    #[display("time between chunks")]
    Gap,
}

/// Mean of the logarithms of the latest delays.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    samples: f64,
    sum_ln: f64,
}

/// Recent delays of both versions by route.
#[derive(Clone, Debug, Default)]
pub struct DelayComparison {
    cells: BTreeMap<(Arc<str>, Metric), (Recent, Recent)>,
}

impl Recent {
    fn add(&mut self, sum: LatencySum, max_samples: f64) {
        self.samples += f64::from(sum.samples);
        self.sum_ln += sum.sum_ln;
        if self.samples > max_samples {
            self.sum_ln *= max_samples / self.samples;
            self.samples = max_samples;
        }
    }

    fn mean_ln(&self) -> f64 {
        self.sum_ln / self.samples.max(1.0)
    }
}

impl DelayComparison {
    /// Adds delays.
    pub fn add(&mut self, evidence: &Evidence) {
        for (key, counts) in &evidence.cells {
            let sums =
                [(Metric::FirstChunk, counts.first_token), (Metric::Gap, counts.between_tokens)];
            for (metric, sum) in sums {
                let cell = self.cells.entry((key.route.clone(), metric)).or_default();
                match key.side {
                    Side::Old => cell.0.add(sum, OLD_SAMPLES),
                    Side::New => cell.1.add(sum, NEW_SAMPLES),
                }
            }
        }
    }

    /// Returns why the new version counts as slow.
    pub fn slow_reason(&self) -> Option<String> {
        for ((route, metric), (old, new)) in &self.cells {
            if old.samples < MIN_SAMPLES || new.samples < MIN_SAMPLES {
                continue;
            }
            let limit = match metric {
                Metric::FirstChunk => FIRST_CHUNK_LIMIT,
                Metric::Gap => GAP_LIMIT,
            };
            let scale = (FULL_SAMPLES / new.samples).sqrt().max(1.0);
            let ln_ratio = new.mean_ln() - old.mean_ln();
            if ln_ratio > limit.ln() * scale {
                let (ratio, samples) = (ln_ratio.exp(), new.samples.round());
                return Some(format!(
                    "{metric} is {ratio:.1} times that of the old version in {samples} responses \
                     (route {route})"
                ));
            }
        }
        None
    }

    /// Returns the ratios of the mean delays, for the log.
    pub fn summary(&self) -> String {
        let mut ratios = Vec::new();
        for ((route, metric), (old, new)) in &self.cells {
            if old.samples >= MIN_SAMPLES && new.samples >= 1.0 {
                let ratio = (new.mean_ln() - old.mean_ln()).exp();
                ratios.push(format!("{route}: {metric} x {ratio:.2}"));
            }
        }
        ratios.join("; ")
    }
}
