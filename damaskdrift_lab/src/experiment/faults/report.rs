//! Counts and breaches of the checked guarantees.

use std::collections;
use std::fmt;

use derive_more::Display;

use crate::experiment::faults::fault::{Drain, Fault};
use crate::experiment::faults::load::Records;

/// Largest number of breaches that are printed.
const MAX_PRINTED_BREACHES: usize = 20;

/// A checked guarantee; the numbers are those of the invariants in `docs/design.md`.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Guarantee {
    /// Engines get no more requests in a cold start than their cold limit (invariant 4).
    #[display("4 cold limit")]
    ColdLimit,
    /// A failure domain that is out of service gets no new work (invariant 5).
    #[display("5 domain out")]
    DomainOut,
    /// Streamed responses have no missing or altered bytes (invariant 7).
    #[display("7 whole answers")]
    IntactResponses,
    /// A call that was refused as `not-run` did not run (invariant 8).
    #[display("8 not-run is true")]
    NotRun,
    /// A non-idempotent call runs at most once (invariant 9).
    #[display("9 at most once")]
    AtMostOnce,
    /// A duplicate of a call gets the recorded response (invariant 9).
    #[display("9 same answer again")]
    Replay,
    /// A planned stop cuts off no request and exits with 0 (invariant 11).
    #[display("11 planned stop")]
    PlannedStop,
    /// All instances become ready after each fault.
    #[display("- ready again")]
    Recovery,
}

/// Rounds, checks and breaches of a run; its `Display` is the printed result.
#[derive(Debug, Default)]
pub struct Report {
    rounds: collections::BTreeMap<&'static str, u64>,
    /// Numbers of checks and breaches by guarantee.
    checks: collections::BTreeMap<Guarantee, (u64, u64)>,
    breaches: Vec<String>,
    /// Numbers of complete prompts and of all prompts.
    prompts: (usize, usize),
    /// Numbers of calls with a response of status 200 and of all calls.
    calls: (usize, usize),
}

impl Report {
    /// Counts a round of each fault.
    pub fn record_round(&mut self, faults: &[Fault]) {
        for fault in faults {
            *self.rounds.entry(fault.kind()).or_default() += 1;
        }
    }

    /// Records a check; `breach` describes the failure if the guarantee does not hold.
    pub fn check(&mut self, guarantee: Guarantee, holds: bool, breach: &str) {
        let (checks, breaches) = self.checks.entry(guarantee).or_default();
        *checks += 1;
        if !holds {
            *breaches += 1;
            self.breaches.push(format!("{guarantee}: {breach}"));
        }
    }

    /// Returns whether no breach was recorded.
    pub fn is_ok(&self) -> bool {
        self.breaches.is_empty()
    }

    /// Checks the records of the callers against the run counts of the services and the planned
    /// stops.
    pub fn check_load(
        &mut self,
        records: &Records,
        run_counts: &collections::BTreeMap<String, u64>,
        drains: Vec<Drain>,
    ) {
        for prompt in &records.prompts {
            let corruption = prompt.corruption.as_deref().unwrap_or_default();
            self.check(Guarantee::IntactResponses, prompt.corruption.is_none(), corruption);
        }
        for call in &records.calls {
            let runs = run_counts.get(&call.key).copied().unwrap_or(0);
            let key = &call.key;
            self.check(Guarantee::AtMostOnce, runs <= 1, &format!("{key} ran {runs} times"));
            if call.is_not_run {
                self.check(Guarantee::NotRun, runs == 0, &format!("{key} ran"));
            }
            if call.has_response {
                let holds = !call.is_replay_different && runs == 1;
                let breach = format!("{key} ran {runs} times, or its repeat differs");
                self.check(Guarantee::Replay, holds, &breach);
            }
        }
        for drain in drains {
            let broken = records.prompts.iter().flat_map(|prompt| &prompt.broken_attempts);
            let broken = broken.chain(records.calls.iter().flat_map(|call| &call.broken_attempts));
            // An instance that has exited refuses connections, so only attempts that broke before
            // its exit were cut off.
            let cut = broken.filter(|(address, at)| {
                *address == drain.address && (drain.started_at..drain.ended_at).contains(at)
            });
            let cut = cut.count();
            let breach = format!("{cut} requests were cut off at {}", drain.address);
            self.check(Guarantee::PlannedStop, cut == 0, &breach);
        }
        let complete = records.prompts.iter().filter(|prompt| prompt.is_complete).count();
        let with_response = records.calls.iter().filter(|call| call.has_response).count();
        self.prompts = (complete, records.prompts.len());
        self.calls = (with_response, records.calls.len());
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:34} rounds", "fault")?;
        for (fault, rounds) in &self.rounds {
            writeln!(f, "{fault:34} {rounds:6}")?;
        }
        writeln!(f, "{:34} checks breaches", "guarantee")?;
        for (guarantee, (checks, breaches)) in &self.checks {
            writeln!(f, "{:34} {checks:6} {breaches:8}", guarantee.to_string())?;
        }
        let ((complete, prompts), (with_response, calls)) = (self.prompts, self.calls);
        writeln!(f, "prompts answered in full: {complete} of {prompts}")?;
        writeln!(f, "calls answered with a result: {with_response} of {calls}")?;
        for breach in self.breaches.iter().take(MAX_PRINTED_BREACHES) {
            writeln!(f, "breach: {breach}")?;
        }
        Ok(())
    }
}
