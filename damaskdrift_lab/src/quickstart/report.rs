//! Report on the responses to the callers and the counters of the upstreams.

use std::collections;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Deserialize;

use crate::error::Error;
use crate::harness::Fleet;
use crate::quickstart::at_most_once::CallResult;
use crate::quickstart::conversation::Turn;

/// Width of the first column in characters.
const NAME_WIDTH: usize = 46;

/// Highest time to first token that the histogram distinguishes, in microseconds.
const MAX_FIRST_TOKEN_US: u64 = 60_000_000;

/// Results of all callers, with the counters of all upstreams added up.
#[derive(Debug)]
pub struct Report {
    turns: Vec<Turn>,
    calls: Vec<CallResult>,
    /// Number of runs by idempotency key.
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
    /// Creates a report and reads the counters of the upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream does not respond with its counters.
    pub async fn new(
        fleet: &Fleet,
        turns: Vec<Turn>,
        calls: Vec<CallResult>,
    ) -> Result<Self, Error> {
        let mut report = Self {
            turns,
            calls,
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

    /// Returns a line for each failed check; the quickstart is ok if there is none.
    pub fn failures(&self) -> Vec<String> {
        let mut failures = Vec::new();
        failures.extend(self.turns.iter().filter_map(|turn| turn.failure.clone()));
        for call in &self.calls {
            failures.extend(call.failure.clone());
            let runs = self.runs.get(&call.key).copied().unwrap_or_default();
            if runs > 1 {
                failures.push(format!("{} ran {runs} times", call.key));
            }
            if runs == 0 && call.response.is_some() {
                failures.push(format!("{} was answered but did not run", call.key));
            }
        }
        failures
    }

    fn first_token_quantiles(&self, is_returning: bool) -> String {
        let turns = self.turns.iter().filter(|turn| turn.is_returning == is_returning);
        let mut histogram = Histogram::<u64>::new_with_max(MAX_FIRST_TOKEN_US, 3)
            .expect("the bounds and digits are supported");
        for turn in turns {
            histogram.saturating_record(turn.first_token.as_micros() as u64);
        }
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        format!("{:.1} / {:.1} ms of {}", ms(0.5), ms(0.95), histogram.len())
    }

    fn recomputed_share(&self) -> String {
        let total = (self.prefill_tokens + self.cached_tokens).max(1) as f64;
        let new: u64 = self.turns.iter().map(|turn| turn.new_words).sum();
        let share = self.prefill_tokens as f64 / total;
        format!("{share:.3} of {total} (first seen: {:.3})", new as f64 / total)
    }

    fn runs_per_key(&self) -> String {
        let mut keys_by_runs = collections::BTreeMap::<u64, usize>::new();
        for call in &self.calls {
            let runs = self.runs.get(&call.key).copied().unwrap_or_default();
            *keys_by_runs.entry(runs).or_default() += 1;
        }
        let counts =
            keys_by_runs.iter().map(|(runs, keys)| format!("{keys} keys ran {runs} times"));
        counts.collect::<Vec<_>>().join(", ")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum = |count: fn(&Turn) -> u64| self.turns.iter().map(count).sum::<u64>();
        let unknown = self.calls.iter().filter(|call| call.response.is_none()).count();
        let replayed = self.calls.iter().filter(|call| call.is_replayed).count();
        let rows = [
            ("first token p50 / p95, new prompts", self.first_token_quantiles(false)),
            ("first token p50 / p95, returning prompts", self.first_token_quantiles(true)),
            ("share of prompt tokens recomputed", self.recomputed_share()),
            ("prompts refused and sent again", sum(|turn| turn.refusals).to_string()),
            ("answers resumed at another instance", sum(|turn| turn.resumes).to_string()),
            ("runs per key of calls that may not be repeated", self.runs_per_key()),
            ("repeats answered from the record", format!("{replayed} of {}", self.calls.len())),
            ("calls with an unknown outcome", unknown.to_string()),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:NAME_WIDTH$}  {value}")?;
        }
        Ok(())
    }
}
