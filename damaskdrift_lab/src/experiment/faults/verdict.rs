//! Checks of the guarantees and their results.

use std::collections;
use std::fmt;

use derive_more::Display;

use crate::experiment::faults::fault::{Drain, Fault};
use crate::experiment::faults::load::Records;

/// Most breaches that are printed.
const MAX_PRINTED: usize = 20;

/// A guarantee that is checked; the numbers are those of the invariants in `docs/design.md`.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Guarantee {
    /// Invariant 4.
    #[display("4 cold limit")]
    ColdLimit,
    /// Invariant 5.
    #[display("5 domain out")]
    DomainOut,
    /// Invariant 7.
    #[display("7 whole answers")]
    WholeAnswers,
    /// Invariant 8.
    #[display("8 not-run is true")]
    NotRun,
    /// Invariant 9, the runs.
    #[display("9 at most once")]
    AtMostOnce,
    /// Invariant 9, the recorded answers.
    #[display("9 same answer again")]
    Replay,
    /// Invariant 11.
    #[display("11 planned stop")]
    PlannedStop,
    /// All instances are ready after each fault.
    #[display("- ready again")]
    Recovery,
}

/// Checks and breaches so far.
#[derive(Debug, Default)]
pub struct Verdict {
    rounds: collections::BTreeMap<&'static str, u64>,
    checks: collections::BTreeMap<Guarantee, (u64, u64)>,
    breaches: Vec<String>,
    prompts: (usize, usize),
    calls: (usize, usize),
}

impl Verdict {
    /// Counts a round with its faults.
    pub fn note_round(&mut self, faults: &[Fault]) {
        for fault in faults {
            *self.rounds.entry(fault.kind()).or_default() += 1;
        }
    }

    /// Counts a check.
    pub fn check(&mut self, guarantee: Guarantee, is_kept: bool, breach: &str) {
        let (checks, breaches) = self.checks.entry(guarantee).or_default();
        *checks += 1;
        if !is_kept {
            *breaches += 1;
            self.breaches.push(format!("{guarantee}: {breach}"));
        }
    }

    /// Returns whether there was no breach.
    pub fn is_kept(&self) -> bool {
        self.breaches.is_empty()
    }

    /// Checks what callers and services saw.
    pub fn add_load(
        &mut self,
        records: &Records,
        runs: &collections::BTreeMap<String, u64>,
        drains: Vec<Drain>,
    ) {
        for prompt in &records.prompts {
            let fault = prompt.fault.as_deref().unwrap_or_default();
            self.check(Guarantee::WholeAnswers, prompt.fault.is_none(), fault);
        }
        for call in &records.calls {
            let runs = runs.get(&call.key).copied().unwrap_or(0);
            let key = &call.key;
            self.check(Guarantee::AtMostOnce, runs <= 1, &format!("{key} ran {runs} times"));
            if call.is_not_run {
                self.check(Guarantee::NotRun, runs == 0, &format!("{key} ran"));
            }
            if call.is_answered {
                let is_kept = !call.is_replay_wrong && runs == 1;
                let breach = format!("{key} ran {runs} times, or its repeat differs");
                self.check(Guarantee::Replay, is_kept, &breach);
            }
        }
        for drain in drains {
            let broken = records.prompts.iter().flat_map(|prompt| &prompt.broken);
            let broken = broken.chain(records.calls.iter().flat_map(|call| &call.broken));
            // An instance that has ended refuses connections; only what breaks before is cut off.
            let cut = broken.filter(|(address, at)| {
                *address == drain.address && (drain.begun..drain.ended).contains(at)
            });
            let cut = cut.count();
            let breach = format!("{cut} requests were cut off at {}", drain.address);
            self.check(Guarantee::PlannedStop, cut == 0, &breach);
        }
        let complete = records.prompts.iter().filter(|prompt| prompt.is_complete).count();
        let answered = records.calls.iter().filter(|call| call.is_answered).count();
        self.prompts = (complete, records.prompts.len());
        self.calls = (answered, records.calls.len());
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:34} rounds", "fault")?;
        for (fault, rounds) in &self.rounds {
            writeln!(f, "{fault:34} {rounds:6}")?;
        }
        writeln!(f, "{:34} checks breaches", "guarantee")?;
        for (guarantee, (checks, breaches)) in &self.checks {
            writeln!(f, "{:34} {checks:6} {breaches:8}", guarantee.to_string())?;
        }
        let ((complete, prompts), (answered, calls)) = (self.prompts, self.calls);
        writeln!(f, "prompts answered in full: {complete} of {prompts}")?;
        writeln!(f, "calls answered with a result: {answered} of {calls}")?;
        for breach in self.breaches.iter().take(MAX_PRINTED) {
            writeln!(f, "breach: {breach}")?;
        }
        Ok(())
    }
}
