//! Rollouts of software versions of services, as this instance follows them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damaskdrift_core::balance;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::rollout;
use damaskdrift_core::time::Millis;
use rand::RngExt as _;

use crate::entry::clock;
use crate::entry::leadership;
use crate::entry::peers;
use crate::entry::state;
use crate::peer::message;

/// How often the evidence of all instances is examined.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between reports of new evidence.
const REPORT_INTERVAL: Millis = Millis(200);
/// Pause after a status that could not be written.
const WRITE_RETRY_PAUSE: Millis = Millis(300);

/// Trials by service, and statuses whose orders are not known yet.
#[derive(Debug, Default)]
pub struct Rollouts {
    trials: BTreeMap<id::Service, rollout::Trial>,
    statuses: BTreeMap<id::Service, rollout::Status>,
}

/// A request whose end is evidence on a rollout; it counts as abandoned if it is dropped earlier.
#[derive(Debug)]
pub struct Ticket {
    entry: Rc<state::Entry>,
    service: id::Service,
    serial: Option<u64>,
}

impl Rollouts {
    /// Applies an order of operators, or its removal (`None`).
    pub fn set_order(
        &mut self,
        service: id::Service,
        order: Option<rollout::Order>,
        now: Millis,
        rng: &mut impl rand::Rng,
    ) {
        let Some(order) = order else {
            self.retain_orders(|listed| *listed != service);
            return;
        };
        let known = self.trials.get(&service).map(|trial| trial.order.revision);
        if known.is_some_and(|known| known >= order.revision) {
            return;
        }
        log::info!(
            service:%, target:% = order.target, duration_ms = order.duration.0,
            revision = order.revision;
            "rollout ordered"
        );
        let mut trial = rollout::Trial::new(order, now, rng);
        if let Some(previous) = self.trials.get(&service) {
            trial = trial.with_previous(previous);
        }
        if let Some(status) = self.statuses.get(&service) {
            trial.set_status(status.clone(), now);
        }
        self.trials.insert(service, trial);
    }

    /// Applies the status of a rollout, or its removal (`None`).
    pub fn set_status(
        &mut self,
        service: id::Service,
        status: Option<rollout::Status>,
        now: Millis,
    ) {
        let Some(status) = status else {
            self.statuses.remove(&service);
            return;
        };
        if let Some(trial) = self.trials.get_mut(&service) {
            trial.set_status(status.clone(), now);
        }
        if self.statuses.get(&service) != Some(&status) {
            log::info!(
                service:%, target:% = status.target, state:? = status.state, step = status.step;
                "rollout status changed"
            );
            self.statuses.insert(service, status);
        }
    }

    /// Removes the orders of services that a list of the platform store no longer contains.
    ///
    /// A version whose rollout was not completed still gets no requests: its upstreams may run on.
    pub fn retain_orders(&mut self, listed: impl Fn(&id::Service) -> bool) {
        self.trials.retain(|service, trial| {
            listed(service) || trial.state() != rollout::TrialState::Completed
        });
        for (service, trial) in &mut self.trials {
            if !listed(service) && trial.veto().is_none() {
                log::warn!(service:%, target:% = trial.order.target; "rollout order removed");
                trial.set_veto("the order was removed");
            }
        }
    }

    /// Returns the trial of a service.
    pub fn trial(&self, service: &id::Service) -> Option<&rollout::Trial> {
        self.trials.get(service)
    }

    /// Returns whether any rollout is running.
    fn is_running(&self) -> bool {
        self.trials.values().any(|trial| trial.state() == rollout::TrialState::Running)
    }
}

impl Ticket {
    /// Counts a request that is sent to an upstream, if a rollout of its service is running.
    pub fn new(
        entry: &Rc<state::Entry>,
        upstream: &id::Upstream,
        route: &Arc<str>,
        expected: Option<Millis>,
    ) -> Option<Self> {
        let now = clock::now();
        let mut rollouts = entry.rollouts.borrow_mut();
        if rollouts.trials.is_empty() {
            return None;
        }
        let upstreams = entry.upstreams.borrow();
        let upstream = upstreams.get(upstream)?;
        let service = &upstream.record.service;
        let trial = rollouts.trials.get_mut(service)?;
        if trial.state() != rollout::TrialState::Running {
            return None;
        }
        let side = trial.side(&upstream.record.software);
        let serial = trial.begin(side, route, expected, upstream.is_cold(now), now);
        Some(Self { entry: entry.clone(), service: service.clone(), serial: Some(serial) })
    }

    /// Records the arrival of a chunk of the response.
    pub fn record_chunk(&self) {
        let mut rollouts = self.entry.rollouts.borrow_mut();
        if let (Some(serial), Some(trial)) = (self.serial, rollouts.trials.get_mut(&self.service)) {
            trial.record_chunk(serial, clock::now());
        }
    }

    /// Records the end of the request.
    pub fn end(&mut self, outcome: rollout::Outcome) {
        let mut rollouts = self.entry.rollouts.borrow_mut();
        if let (Some(serial), Some(trial)) =
            (self.serial.take(), rollouts.trials.get_mut(&self.service))
        {
            trial.end(serial, outcome, clock::now());
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.end(rollout::Outcome::Abandoned);
    }
}

/// Returns whether this instance knows what the leader has written about rollouts.
fn is_current(entry: &state::Entry) -> bool {
    entry.staleness() == config_sync::Staleness::Fresh
}

/// Chooses an upstream by `choose`, which is given the software versions that may serve the next
/// request to a service.
///
/// A request that the new version has no room for goes to the old one.
///
/// # Errors
///
/// Returns why no upstream can take the request.
pub fn choose<T>(
    entry: &state::Entry,
    service: &id::Service,
    choose: impl Fn(rollout::Selection<'_>) -> Result<T, balance::Unavailable>,
) -> Result<T, balance::Unavailable> {
    let rollouts = entry.rollouts.borrow();
    let Some(trial) = rollouts.trial(service) else {
        return choose(rollout::Selection::Any);
    };
    let draw = entry.rng.borrow_mut().random_range(0.0..1.0);
    let limit = &entry.settings.exposure;
    let selection = trial.selection(limit, is_current(entry), draw);
    match choose(selection) {
        Err(_) if selection != trial.proven() => choose(trial.proven()),
        result => result,
    }
}

/// Returns whether a request may be sent to an upstream now.
///
/// Checked when the request is sent, because the version may have been taken back, and the share of
/// this instance may have been used, since the upstream was chosen.
pub fn may_send(entry: &state::Entry, upstream: &id::Upstream) -> bool {
    let rollouts = entry.rollouts.borrow();
    let upstreams = entry.upstreams.borrow();
    let Some(record) = upstreams.get(upstream).map(|upstream| &upstream.record) else {
        return false;
    };
    let Some(trial) = rollouts.trial(&record.service) else {
        return true;
    };
    trial.may_send(&record.software, &entry.settings.exposure, is_current(entry))
}

/// Examines the evidence of all instances until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    let mut reported_at = Millis(0);
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        if !entry.rollouts.borrow().is_running() {
            continue;
        }
        let now = clock::now();
        let role = entry.layout().role;
        let mut rollouts = entry.rollouts.borrow_mut();
        for (service, trial) in &mut rollouts.trials {
            if !trial.update(|reporter| peers::counts(reporter, role), now) {
                continue;
            }
            let (sent, sent_to_new) = trial.exposure();
            metrics::counter!("rollout_vetoes").increment(1);
            log::warn!(
                service:%, target:% = trial.order.target, sent, sent_to_new,
                reason = trial.veto().unwrap_or_default();
                "new software version vetoed; nothing more is sent to it"
            );
        }
        if now.since(reported_at) >= REPORT_INTERVAL {
            reported_at = now;
            entry.report_due.notify_one();
        }
    }
}

/// Returns the reports of the evidence of this instance and of the selected reporters.
pub fn reports(
    entry: &state::Entry,
    includes: impl Fn(&balance::Reporter) -> bool + Copy,
) -> Vec<message::RolloutEvidence> {
    let now = clock::now();
    let mut reports = Vec::new();
    for (service, trial) in &entry.rollouts.borrow().trials {
        if trial.state() != rollout::TrialState::Running {
            continue;
        }
        reports.push(message::RolloutEvidence {
            service: service.to_string(),
            revision: trial.order.revision,
            age_ms: now.since(trial.ordered_at).0,
            evidence: trial.evidence(includes),
            veto: trial.veto().map(str::to_owned),
        });
    }
    reports
}

/// Applies reports of other instances.
pub fn apply_reports(
    entry: &state::Entry,
    reporter: &balance::Reporter,
    reports: &[message::RolloutEvidence],
) {
    let now = clock::now();
    let mut rollouts = entry.rollouts.borrow_mut();
    for report in reports {
        let Some(trial) = rollouts.trials.get_mut(report.service.as_str()) else {
            continue;
        };
        if trial.order.revision == report.revision {
            let age = Millis(report.age_ms);
            trial.set_report(reporter.clone(), age, &report.evidence, now);
            if let Some(reason) = &report.veto
                && trial.veto().is_none()
            {
                log::warn!(service = report.service, reason; "new software version vetoed by a peer");
                trial.set_veto(reason);
            }
        }
    }
}

/// Writes the leader's decisions on rollouts to the platform store.
#[derive(Debug, Default)]
pub struct Driver {
    /// When a status may be written next.
    next_write: Millis,
    /// Reason of the last decision to hold, which is logged once.
    held: BTreeMap<id::Service, String>,
}

impl Driver {
    /// Decides on each running rollout and writes the status.
    pub async fn tick(&mut self, entry: &Rc<state::Entry>, lease: &leadership::HeldLease) {
        if clock::now() < self.next_write {
            return;
        }
        for (service, status, known, reason) in self.decisions(entry) {
            if !lease.is_valid(clock::now()) {
                return;
            }
            let written =
                entry.port.put_rollout_status(&service, &status, known, lease.fence).await;
            match written {
                Ok(Some(revision)) => {
                    log::info!(
                        service:%, target:% = status.target, state:? = status.state,
                        share = rollout::RAMP_PERCENTS[status.step], reason, revision,
                        fence:% = lease.fence;
                        "rollout status written"
                    );
                    let status = rollout::Status { revision, ..status };
                    let now = clock::now();
                    entry.rollouts.borrow_mut().set_status(service, Some(status), now);
                }
                Ok(None) => {
                    log::info!(service:%; "rollout status not written; another one is newer");
                    self.next_write = clock::now() + WRITE_RETRY_PAUSE;
                }
                Err(error) => {
                    log::warn!(service:%, cause:% = error; "rollout status not written");
                    self.next_write = clock::now() + WRITE_RETRY_PAUSE;
                }
            }
        }
    }

    /// Returns the statuses to write, with the revisions that they replace and the reasons.
    fn decisions(
        &mut self,
        entry: &state::Entry,
    ) -> Vec<(id::Service, rollout::Status, u64, String)> {
        let now = clock::now();
        let rollouts = entry.rollouts.borrow();
        let mut decisions = Vec::new();
        for (service, trial) in &rollouts.trials {
            if trial.state() != rollout::TrialState::Running {
                continue;
            }
            let old = old_running(entry, service, &trial.order.target);
            let (state, step, reason) = match trial.decide(old, now) {
                rollout::TrialDecision::Hold(reason) if trial.status_revision().is_some() => {
                    if self.held.get(service) != Some(&reason) {
                        log::debug!(service:%, reason; "rollout held");
                        self.held.insert(service.clone(), reason);
                    }
                    continue;
                }
                rollout::TrialDecision::Hold(reason) => {
                    (rollout::TrialState::Running, trial.step(), reason)
                }
                rollout::TrialDecision::Grow(step, reason) => {
                    (rollout::TrialState::Running, step, reason)
                }
                rollout::TrialDecision::Complete(reason) => {
                    (rollout::TrialState::Completed, trial.step(), reason)
                }
                rollout::TrialDecision::RollBack(reason) => {
                    (rollout::TrialState::RolledBack, 0, reason)
                }
            };
            let status =
                rollout::Status { state, target: trial.order.target.clone(), step, revision: 0 };
            let known = rollouts.statuses.get(service).map_or(0, |status| status.revision);
            decisions.push((service.clone(), status, known, reason));
        }
        decisions
    }
}

/// Returns the number of requests that upstreams with another version than the target run.
fn old_running(entry: &state::Entry, service: &id::Service, target: &id::Software) -> u32 {
    let upstreams = entry.upstreams.borrow();
    let old =
        upstreams.iter().filter(|u| u.record.service == *service && u.record.software != *target);
    old.map(|upstream| upstream.load().in_flight).sum()
}
