//! What the callers and the upstreams saw.

use std::collections;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Deserialize;

use crate::error::Error;
use crate::harness::Fleet;
use crate::quickstart::conversation::Turn;
use crate::quickstart::lodging::Lodging;

/// Width of the first column, in characters.
const NAME_WIDTH: usize = 46;

/// Longest time to first token that is told apart, in microseconds.
const MAX_FIRST_TOKEN_US: u64 = 60_000_000;

/// What the callers and the upstreams saw.
#[derive(Debug)]
pub struct Report {
    turns: Vec<Turn>,
    lodgings: Vec<Lodging>,
    runs: collections::BTreeMap<String, u64>,
    prefill_tokens: u64,
    cached_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct EngineStats {
    prefill_tokens: u64,
    cached_tokens: u64,
}

impl Report {
    /// Collects the counts of the upstreams.
    ///
    /// # Errors
    ///
    /// Returns which upstream does not answer.
    pub async fn new(
        fleet: &Fleet,
        turns: Vec<Turn>,
        lodgings: Vec<Lodging>,
    ) -> Result<Self, Error> {
        let mut report = Self {
            turns,
            lodgings,
            runs: collections::BTreeMap::new(),
            prefill_tokens: 0,
            cached_tokens: 0,
        };
        for engine in &fleet.engines {
            let stats: EngineStats = engine.stats().await?;
            report.prefill_tokens += stats.prefill_tokens;
            report.cached_tokens += stats.cached_tokens;
        }
        for service in &fleet.services {
            for (key, count) in service.runs().await? {
                *report.runs.entry(key).or_default() += count;
            }
        }
        Ok(report)
    }

    /// Returns what failed; none means that the quickstart is ok.
    pub fn failures(&self) -> Vec<String> {
        let mut failures = Vec::new();
        failures.extend(self.turns.iter().filter_map(|turn| turn.fault.clone()));
        for lodging in &self.lodgings {
            failures.extend(lodging.fault.clone());
            let runs = self.runs.get(&lodging.key).copied().unwrap_or_default();
            if runs > 1 {
                failures.push(format!("{} ran {runs} times", lodging.key));
            }
            if runs == 0 && lodging.answer.is_some() {
                failures.push(format!("{} was answered but did not run", lodging.key));
            }
        }
        failures
    }

    fn first_token(&self, is_returning: bool) -> String {
        let turns = self.turns.iter().filter(|turn| turn.is_returning == is_returning);
        let mut histogram = Histogram::<u64>::new_with_max(MAX_FIRST_TOKEN_US, 3)
            .expect("the bounds and digits are supported");
        for turn in turns {
            histogram.saturating_record(turn.first_token.as_micros() as u64);
        }
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        format!("{:.1} / {:.1} ms of {}", millis(0.5), millis(0.95), histogram.len())
    }

    fn recomputed(&self) -> String {
        let all = (self.prefill_tokens + self.cached_tokens).max(1) as f64;
        let new: u64 = self.turns.iter().map(|turn| turn.new_words).sum();
        let share = self.prefill_tokens as f64 / all;
        format!("{share:.3} of {all} (first seen: {:.3})", new as f64 / all)
    }

    fn runs_per_key(&self) -> String {
        let mut keys = collections::BTreeMap::<u64, usize>::new();
        for lodging in &self.lodgings {
            let runs = self.runs.get(&lodging.key).copied().unwrap_or_default();
            *keys.entry(runs).or_default() += 1;
        }
        let counts = keys.iter().map(|(runs, keys)| format!("{keys} keys ran {runs} times"));
        counts.collect::<Vec<_>>().join(", ")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum = |count: fn(&Turn) -> u64| self.turns.iter().map(count).sum::<u64>();
        let unknown = self.lodgings.iter().filter(|lodging| lodging.answer.is_none()).count();
        let replayed = self.lodgings.iter().filter(|lodging| lodging.is_replayed).count();
        let rows = [
            ("first token p50 / p95, new prompts", self.first_token(false)),
            ("first token p50 / p95, returning prompts", self.first_token(true)),
            ("share of prompt tokens recomputed", self.recomputed()),
            ("prompts refused and sent again", sum(|turn| turn.refusals).to_string()),
            ("answers resumed at another instance", sum(|turn| turn.resumes).to_string()),
            ("runs per key of calls that may not be repeated", self.runs_per_key()),
            ("repeats answered from the record", format!("{replayed} of {}", self.lodgings.len())),
            ("calls with an unknown outcome", unknown.to_string()),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:NAME_WIDTH$}  {value}")?;
        }
        Ok(())
    }
}
