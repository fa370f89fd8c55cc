//! Exchange of clocks and counts of requests with other instances.

use std::collections::BTreeMap;

use damaskdrift_core::balance;
use damaskdrift_core::duty;
use damaskdrift_core::id;
use damaskdrift_core::time::{Millis, UnixMillis};

use crate::entry::clock;
use crate::entry::duties;
use crate::entry::peers;
use crate::entry::state;
use crate::peer::message;

/// Begins a round of reports, which includes counts if the last one that did is long enough ago.
pub fn begin_round(entry: &state::Entry) {
    let duties = &entry.duties;
    let now = clock::now();
    let is_due = now.since(duties.reported_at.get()) >= duties::REPORT_INTERVAL;
    duties.reports_counts.set(is_due);
    if is_due {
        duties.reported_at.set(now);
    }
}

/// Returns what a report of this scope says about the duties, if anything is due.
///
/// Leaves need no counts, because only instances that get those of all others become the leader. They
/// need the clocks.
pub fn encode(
    entry: &state::Entry,
    scope: &message::Scope,
    includes: impl Fn(&balance::Reporter) -> bool,
) -> Option<message::Usage> {
    let state = entry.duties.state.as_ref()?;
    let has_counts = *scope != message::Scope::Others;
    if has_counts && !entry.duties.reports_counts.get() {
        return None;
    }
    let (now, role) = (clock::now(), entry.layout().role);
    let is_included =
        |reporter: &balance::Reporter| includes(reporter) && peers::counts(reporter, role);
    // Leaves get many reports, and their own clocks may well count twice.
    let sample = match scope {
        message::Scope::Others => state.sample.borrow().clone(),
        _ => state.clocks.borrow().sample(is_included, now),
    };
    let first = sample.offsets.first().copied().unwrap_or_default();
    let mut report = message::Usage {
        clock_ms: now.0.saturating_add_signed(first),
        spread: sample.offsets.iter().skip(1).map(|offset| offset - first).collect(),
        instances: sample.instances,
        ..message::Usage::default()
    };
    if !has_counts {
        return Some(report);
    }
    let ledger = state.ledger.borrow();
    let true_now = state.true_time();
    report.boot = state.process.boot;
    report.first_window = ledger.first_window();
    report.waiting = state.waiting(entry, is_included);
    let counts = match scope {
        message::Scope::Domain(_) => {
            let own_domain = &entry.settings.domain;
            let registered = entry.registered_domains();
            let instances = registered.iter().filter(|(_, domain)| domain == own_domain);
            report.complete_until =
                ledger.domain_complete_until(instances.map(|(id, _)| id), true_now).0;
            ledger.domain_counts()
        }
        message::Scope::Own | message::Scope::Others => {
            report.complete_until = true_now.0;
            ledger.own_counts()
        }
    };
    for (window, by_workspace) in counts {
        let by_workspace = by_workspace.into_iter().map(|(id, count)| (id.to_string(), count));
        report.counts.push((window, by_workspace.collect()));
    }
    Some(report)
}

/// Applies what another instance reports about the duties.
pub fn apply(
    entry: &state::Entry,
    reporter: &balance::Reporter,
    failure_domain: &str,
    report: &message::Usage,
) {
    let Some(state) = &entry.duties.state else {
        return;
    };
    let now = clock::now();
    let first = offset(report.clock_ms, now);
    let mut offsets = vec![first];
    offsets.extend(report.spread.iter().map(|delta| first.saturating_add(*delta)));
    let sample = duty::Sample { instances: report.instances, offsets };
    state.clocks.borrow_mut().set_report(reporter.clone(), sample, now);
    let domain = id::FailureDomain::new(failure_domain);
    let complete_until = UnixMillis(report.complete_until).min(state.true_time());
    let mut ledger = state.ledger.borrow_mut();
    match reporter {
        balance::Reporter::Instance(instance) => {
            let process = duty::Process { instance: instance.clone(), boot: report.boot };
            let counts = decode_counts(&report.counts);
            ledger.set_process_report(domain, process, &counts, complete_until);
        }
        balance::Reporter::Domain(_) => {
            ledger.set_domain_report(domain, &decode_counts(&report.counts), complete_until);
        }
        balance::Reporter::Others => return,
    }
    ledger.record_first_window(report.first_window);
    state.waiting.borrow_mut().insert(reporter.clone(), (now, report.waiting));
}

/// Returns the offset of a wall clock that shows `wall_ms` from the boot-time clock.
fn offset(wall_ms: u64, now: Millis) -> i64 {
    let wall_ms = i64::try_from(wall_ms).unwrap_or(i64::MAX);
    wall_ms.saturating_sub(i64::try_from(now.0).unwrap_or(i64::MAX))
}

fn decode_counts(counts: &[(u64, Vec<(String, u64)>)]) -> duty::Counts {
    let mut decoded = BTreeMap::new();
    for (window, by_workspace) in counts {
        let by_workspace = by_workspace.iter();
        let by_workspace = by_workspace.map(|(id, count)| (id::Workspace::new(id), *count));
        decoded.insert(*window, by_workspace.collect());
    }
    decoded
}
