//! Reports of load on upstreams: encoding of own reports and application of received ones.

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::time::Millis;

use crate::entry::clock;
use crate::entry::duties;
use crate::entry::notices;
use crate::entry::quarantine;
use crate::entry::rollouts;
use crate::entry::state;
use crate::peer::message;

/// Returns the report of this instance's own load.
pub fn own(entry: &state::Entry) -> message::Frame {
    let loads = entry.upstreams.borrow().load_by_upstream(|_| false, clock::now());
    encode(entry, message::Scope::Own, loads, |reporter| reporter.is_none())
}

/// Returns the report of the load of this instance's failure domain.
pub fn domain(entry: &state::Entry) -> message::Frame {
    let is_instance =
        |reporter: &balance::Reporter| matches!(reporter, balance::Reporter::Instance(_));
    let loads = entry.upstreams.borrow().load_by_upstream(is_instance, clock::now());
    let scope = message::Scope::Domain(entry.settings.domain.to_string());
    encode(entry, scope, loads, |reporter| reporter.is_none_or(is_instance))
}

/// Returns the report of all load except the receiver's, with this instance's view of the platform
/// store. `echo` is the send time in the receiver's latest report.
pub fn others(entry: &state::Entry, receiver: &id::Instance, echo: u64) -> message::Frame {
    let receiver = balance::Reporter::Instance(receiver.clone());
    let loads =
        entry.upstreams.borrow().load_by_upstream(|reporter| *reporter != receiver, clock::now());
    let mut frame =
        encode(entry, message::Scope::Others, loads, |reporter| reporter != Some(&receiver));
    if let message::Frame::Load(load) = &mut frame {
        load.store_view = entry.follower.view(entry.config_confirmed_at.get(), echo);
    }
    frame
}

fn encode(
    entry: &state::Entry,
    scope: message::Scope,
    loads: Vec<(id::Upstream, balance::Load)>,
    includes: impl Fn(Option<&balance::Reporter>) -> bool,
) -> message::Frame {
    let now = clock::now();
    let mut upstreams = Vec::with_capacity(loads.len());
    let mut contacts = Vec::with_capacity(loads.len());
    for (upstream, load) in loads {
        upstreams.push((upstream.to_string(), load.in_flight, load.tokens, load.pending_prefill));
        let age_ms = |at: Option<Millis>| at.map(|at| now.since(at).0);
        contacts.push((age_ms(load.contact.heard_at), age_ms(load.contact.waiting_since)));
    }
    let observed = entry.observed_weights.borrow();
    let mut weights = Vec::new();
    for (upstream, version) in &observed.versions {
        if now < version.expires_at && includes(version.reporter.as_ref()) {
            let model = version.value.model.to_string();
            weights.push((upstream.to_string(), model, version.value.version));
        }
    }
    let mut loading = Vec::new();
    for (upstream, observation) in &observed.loading {
        if now < observation.expires_at && includes(observation.reporter.as_ref()) {
            loading.push((upstream.to_string(), observation.expires_at.since(now).0));
        }
    }
    let mut targets = Vec::new();
    for (model, versions) in &*entry.target_versions.borrow() {
        for (version, age) in versions.known_ages(now) {
            targets.push((model.to_string(), version, age.0));
        }
    }
    let missing = match entry.layout().role {
        membership::Role::Leaf => entry.cache_stores.borrow().needing_snapshot(),
        membership::Role::Mesh | membership::Role::Relay => Vec::new(),
    };
    let usage = duties::encode(entry, &scope, |reporter| includes(Some(reporter)));
    message::Frame::Load(Box::new(message::Load {
        instance: entry.settings.instance.to_string(),
        failure_domain: entry.settings.domain.to_string(),
        scope,
        sent_at_ms: now.0,
        revision: entry.follower.revision.get(),
        store_view: None,
        missing_snapshots: missing.iter().map(id::Upstream::to_string).collect(),
        upstreams,
        contacts,
        weights,
        loading,
        targets,
        notices: notices::encode(entry, &includes, now),
        quarantine: quarantine::encode(entry),
        rollouts: rollouts::reports(entry, |reporter| includes(Some(reporter))),
        usage,
    }))
}

/// Applies a report of another instance.
pub fn apply(entry: &state::Entry, report: message::Load) {
    let now = clock::now();
    let role = entry.layout().role;
    let reporter = match report.scope {
        message::Scope::Own => balance::Reporter::Instance(id::Instance::new(&report.instance)),
        message::Scope::Domain(domain) => {
            balance::Reporter::Domain(id::FailureDomain::new(&domain))
        }
        message::Scope::Others => balance::Reporter::Others,
    };
    if reporter == balance::Reporter::Others {
        entry.follower.relay_last_contact.set(Some(now));
    }
    if let Some(view) = &report.store_view
        && role == membership::Role::Leaf
        && let Some(at) = entry.follower.observe_view(view, now)
    {
        entry.record_confirmation(at);
    }
    apply_weights(entry, &report.weights, &reporter, now);
    apply_loading(entry, &report.loading, &reporter, now);
    apply_targets(entry, &report.targets, now);
    notices::apply_report(entry, &report.notices, &reporter, now);
    if let Some(message) = &report.quarantine {
        quarantine::apply(entry, message);
    }
    if let Some(usage) = &report.usage {
        duties::apply(entry, &reporter, &report.failure_domain, usage);
    }
    if !counts(&reporter, role) {
        return;
    }
    rollouts::apply_reports(entry, &reporter, &report.rollouts);
    let mut loads = Vec::with_capacity(report.upstreams.len());
    let mut contacts = report.contacts.into_iter();
    for (upstream, in_flight, tokens, pending_prefill) in report.upstreams {
        let (heard, waiting) = contacts.next().unwrap_or_default();
        let at = |age_ms: Option<u64>| age_ms.map(|age_ms| now - Millis(age_ms));
        let contact = balance::Contact { heard_at: at(heard), waiting_since: at(waiting) };
        let load = balance::Load { in_flight, tokens, pending_prefill, contact };
        loads.push((id::Upstream::new(&upstream), load));
    }
    entry.upstreams.borrow_mut().set_report(reporter, loads, now);
    entry.admission.wake();
}

/// Returns whether a report counts for an instance with this role.
///
/// The sums that relays report already include single instances and must not be added to theirs.
pub fn counts(reporter: &balance::Reporter, role: membership::Role) -> bool {
    match reporter {
        balance::Reporter::Instance(_) => role != membership::Role::Leaf,
        balance::Reporter::Domain(_) => role == membership::Role::Relay,
        balance::Reporter::Others => role == membership::Role::Leaf,
    }
}

/// Drops the reports that do not count for an instance with this role.
pub fn drop_excluded(entry: &state::Entry, role: membership::Role) {
    let now = clock::now();
    entry.upstreams.borrow_mut().retain_reports(|reporter| counts(reporter, role), now);
}

fn apply_weights(
    entry: &state::Entry,
    weights: &[(String, String, u64)],
    reporter: &balance::Reporter,
    now: Millis,
) {
    let mut upstreams = entry.upstreams.borrow_mut();
    let mut observed = entry.observed_weights.borrow_mut();
    for (id, model, version) in weights {
        let id = id::Upstream::new(id);
        let model = id::Model::new(model);
        let Some(upstream) = upstreams.get_mut(&id) else {
            continue;
        };
        // Other instances repeat an observation for some time, also after a newer one.
        if upstream.version(&model) < Some(*version) {
            upstream.set_version(&model, *version, now);
        }
        let known = observed.versions.get(&id).map(|known| known.value.version);
        if known.is_none_or(|known| known < *version) {
            observed.record_version(&id, balance::Weights { model, version: *version }, now);
            if let Some(observation) = observed.versions.get_mut(&id) {
                observation.reporter = Some(reporter.clone());
            }
        }
    }
}

/// Records how long ago target versions were set, which an instance that has just started cannot
/// know.
fn apply_targets(entry: &state::Entry, targets: &[(String, u64, u64)], now: Millis) {
    let mut known = entry.target_versions.borrow_mut();
    for (model, version, age_ms) in targets {
        if let Some(targets) = known.get_mut(&id::Model::new(model)) {
            targets.record_reported(*version, Millis(*age_ms), now);
        }
    }
}

fn apply_loading(
    entry: &state::Entry,
    loading: &[(String, u64)],
    reporter: &balance::Reporter,
    now: Millis,
) {
    let mut upstreams = entry.upstreams.borrow_mut();
    let mut observed = entry.observed_weights.borrow_mut();
    for (id, left_ms) in loading {
        let id = id::Upstream::new(id);
        let until = now + Millis(*left_ms);
        if let Some(upstream) = upstreams.get_mut(&id) {
            upstream.avoid_until = until;
        }
        let is_own =
            observed.loading.get(&id).is_some_and(|observation| observation.reporter.is_none());
        if !is_own {
            observed.record_loading(&id, until);
            if let Some(observation) = observed.loading.get_mut(&id) {
                observation.reporter = Some(reporter.clone());
            }
        }
    }
}
