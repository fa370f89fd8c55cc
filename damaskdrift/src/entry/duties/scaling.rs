//! Observes the load of services that may be scaled, and decides on orders.

use std::collections::BTreeMap;

use damaskdrift_core::balance;
use damaskdrift_core::duty;
use damaskdrift_core::id;
use damaskdrift_core::rollout;
use damaskdrift_core::routing;
use damaskdrift_core::time::{Millis, UnixMillis};

use crate::entry::clock;
use crate::entry::duties;
use crate::entry::peers;
use crate::entry::state;

/// How often the load is observed.
const OBSERVATION_INTERVAL: Millis = Millis(200);
/// Part of the registered instances whose load must be known for a lower count, in percent.
const MIN_HEARD_PERCENT: usize = 80;

/// Decides on the numbers of upstreams.
#[derive(Debug, Default)]
pub struct Scaling {
    scaler: duty::Scaler,
    observed_at: Millis,
}

impl Scaling {
    /// Observes the load of the services that may be scaled.
    pub fn observe(&mut self, entry: &state::Entry, state: &duties::State) {
        let now = clock::now();
        let Some(table) = entry.table.borrow().clone() else {
            return;
        };
        if table.scaling.is_empty() || now.since(self.observed_at) < OBSERVATION_INTERVAL {
            return;
        }
        self.observed_at = now;
        let registered = entry.registered_instances().len();
        let is_partial = state.heard_instances() * 100 < registered * MIN_HEARD_PERCENT;
        let role = entry.layout().role;
        let waiting = state.waiting(entry, |reporter| peers::counts(reporter, role));
        let (mut loads, mut in_flight) = (Vec::new(), 0);
        for (service, limits) in &table.scaling {
            if is_rolled_out(entry, service) {
                self.scaler.forget(service);
                continue;
            }
            let (load, domains) = load(entry, table.service(service), service, now);
            in_flight += load.in_flight;
            loads.push((service, limits, load, domains));
        }
        for (service, limits, mut load, domains) in loads {
            // Instances do not report which service a request waits for.
            load.is_partial = is_partial;
            load.waiting = u64::from(waiting) * load.in_flight / in_flight.max(1);
            self.scaler.observe(service, limits, &load, domains, now);
        }
    }

    /// Returns the orders that are due.
    pub fn due(
        &self,
        entry: &state::Entry,
        record: &duty::Record,
        true_now: UnixMillis,
    ) -> Vec<duty::ScaleOrder> {
        let Some(table) = entry.table.borrow().clone() else {
            return Vec::new();
        };
        let mut due = Vec::new();
        for (service, limits) in &table.scaling {
            let orders = &record.orders;
            due.extend(self.scaler.decide(service, limits, orders, clock::now(), true_now));
        }
        due
    }
}

/// Returns whether upstreams of a new software version run beside the others.
fn is_rolled_out(entry: &state::Entry, service: &id::Service) -> bool {
    let rollouts = entry.rollouts.borrow();
    let trial = rollouts.trial(service);
    trial.is_some_and(|trial| trial.state() == rollout::TrialState::Running)
}

/// Returns the load of a service from all instances, and the failure domains that it runs in.
fn load(
    entry: &state::Entry,
    configured: Option<&routing::Service>,
    service: &id::Service,
    now: Millis,
) -> (duty::ServiceLoad, BTreeMap<id::FailureDomain, duty::DomainState>) {
    let engine = configured.and_then(|configured| configured.engine);
    let out_of_service = entry.out_of_service.borrow();
    let mut load = duty::ServiceLoad::default();
    let mut domains: BTreeMap<_, duty::DomainState> = BTreeMap::new();
    for upstream in entry.upstreams.borrow().iter() {
        let record = &upstream.record;
        if record.service != *service {
            continue;
        }
        let is_out = out_of_service.contains(&record.domain);
        let domain = domains.entry(record.domain.clone()).or_default();
        domain.is_out = is_out;
        if record.is_draining {
            continue;
        }
        domain.registered += 1;
        let at_upstream = upstream.load();
        load.in_flight += u64::from(at_upstream.in_flight);
        load.tokens += at_upstream.tokens;
        load.pending_prefill += at_upstream.pending_prefill;
        if !is_out && upstream.response(now) == balance::Response::Usual {
            load.usable += 1;
            load.slots += u64::from(engine.map_or(record.slots, |engine| engine.slots));
            load.capacity_tokens += engine.map_or(0, |engine| engine.capacity_tokens);
        }
    }
    (load, domains)
}
