//! Writes reports of work at upstreams, and takes those of others into account.

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::time::Millis;

use crate::entry::clock;
use crate::entry::state;
use crate::peer::message;

/// Returns the report of this instance's own work.
pub fn own(entry: &state::Entry) -> message::Frame {
    let work = entry.upstreams.borrow().load_by_upstream(|_| false);
    write(entry, message::Scope::Own, work, |reporter| reporter.is_none())
}

/// Returns the report of the work of this instance's failure domain.
pub fn domain(entry: &state::Entry) -> message::Frame {
    let is_own = |reporter: &balance::Reporter| matches!(reporter, balance::Reporter::Instance(_));
    let work = entry.upstreams.borrow().load_by_upstream(is_own);
    let covers = message::Scope::Domain(entry.settings.domain.to_string());
    write(entry, covers, work, |reporter| reporter.is_none_or(is_own))
}

/// Returns the report of all work but that of the receiver, with this instance's view of the
/// platform's store. `echo` is the sending time in the receiver's newest report.
pub fn others(entry: &state::Entry, receiver: &id::Instance, echo: u64) -> message::Frame {
    let receiver = balance::Reporter::Instance(receiver.clone());
    let work = entry.upstreams.borrow().load_by_upstream(|reporter| *reporter != receiver);
    let mut frame =
        write(entry, message::Scope::Others, work, |reporter| reporter != Some(&receiver));
    if let message::Frame::Load(load) = &mut frame {
        load.store_view = entry.follower.view(entry.confirmed.get(), echo);
    }
    frame
}

fn write(
    entry: &state::Entry,
    covers: message::Scope,
    work: Vec<(id::Upstream, balance::Load)>,
    includes: impl Fn(Option<&balance::Reporter>) -> bool,
) -> message::Frame {
    let now = clock::now();
    let mut upstreams = Vec::with_capacity(work.len());
    for (upstream, load) in work {
        upstreams.push((upstream.to_string(), load.in_flight, load.tokens, load.pending_prefill));
    }
    let seen = entry.seen_weights.borrow();
    let mut weights = Vec::new();
    for (upstream, shown) in &seen.shown {
        if now < shown.until && includes(shown.reporter.as_ref()) {
            let model = shown.what.model.to_string();
            weights.push((upstream.to_string(), model, shown.what.version));
        }
    }
    let mut loading = Vec::new();
    for (upstream, seen) in &seen.loading {
        if now < seen.until && includes(seen.reporter.as_ref()) {
            loading.push((upstream.to_string(), seen.until.since(now).0));
        }
    }
    let lacking = match entry.layout().role {
        membership::Role::Leaf => entry.stores.borrow().needing_snapshot(),
        membership::Role::Mesh | membership::Role::Relay => Vec::new(),
    };
    message::Frame::Load(message::Load {
        instance: entry.settings.instance.to_string(),
        failure_domain: entry.settings.domain.to_string(),
        scope: covers,
        sent_at_ms: now.0,
        revision: entry.follower.revision.get(),
        store_view: None,
        missing_snapshots: lacking.iter().map(id::Upstream::to_string).collect(),
        upstreams,
        weights,
        loading,
    })
}

/// Takes a report of another instance into account.
pub fn apply(entry: &state::Entry, report: message::Load) {
    let now = clock::now();
    let place = entry.layout().role;
    let reporter = match report.scope {
        message::Scope::Own => balance::Reporter::Instance(id::Instance::new(&report.instance)),
        message::Scope::Domain(domain) => {
            balance::Reporter::Domain(id::FailureDomain::new(&domain))
        }
        message::Scope::Others => balance::Reporter::Others,
    };
    if reporter == balance::Reporter::Others {
        entry.follower.served.set(Some(now));
    }
    if let Some(view) = &report.store_view
        && place == membership::Role::Leaf
        && let Some(at) = entry.follower.hear(view, now)
    {
        entry.confirm(at);
    }
    apply_weights(entry, &report.weights, &reporter, now);
    apply_loading(entry, &report.loading, &reporter, now);
    if !counts(&reporter, place) {
        return;
    }
    let mut loads = Vec::with_capacity(report.upstreams.len());
    for (upstream, in_flight, tokens, unread) in report.upstreams {
        let load = balance::Load { in_flight, tokens, pending_prefill: unread };
        loads.push((id::Upstream::new(&upstream), load));
    }
    entry.upstreams.borrow_mut().set_report(reporter, loads, now);
}

/// Returns whether a report counts at this place. What relays sum up holds the work of single
/// instances already, and must not be added to it.
fn counts(reporter: &balance::Reporter, place: membership::Role) -> bool {
    match reporter {
        balance::Reporter::Instance(_) => place != membership::Role::Leaf,
        balance::Reporter::Domain(_) => place == membership::Role::Relay,
        balance::Reporter::Others => place == membership::Role::Leaf,
    }
}

/// Drops the reports that do not count at this place.
pub fn drop_uncounted(entry: &state::Entry, place: membership::Role) {
    let now = clock::now();
    entry.upstreams.borrow_mut().retain_reports(|reporter| counts(reporter, place), now);
}

fn apply_weights(
    entry: &state::Entry,
    weights: &[(String, String, u64)],
    reporter: &balance::Reporter,
    now: Millis,
) {
    let mut upstreams = entry.upstreams.borrow_mut();
    let mut seen = entry.seen_weights.borrow_mut();
    for (id, model, version) in weights {
        let id = id::Upstream::new(id);
        let model = id::Model::new(model);
        let Some(upstream) = upstreams.get_mut(&id) else {
            continue;
        };
        upstream.set_version(&model, *version, now);
        let known = seen.shown.get(&id).map(|shown| shown.what.version);
        if known.is_none_or(|known| known < *version) {
            seen.note_shown(&id, balance::Weights { model, version: *version }, now);
            if let Some(shown) = seen.shown.get_mut(&id) {
                shown.reporter = Some(reporter.clone());
            }
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
    let mut seen = entry.seen_weights.borrow_mut();
    for (id, left_ms) in loading {
        let id = id::Upstream::new(id);
        let until = now + Millis(*left_ms);
        if let Some(upstream) = upstreams.get_mut(&id) {
            upstream.avoid_until = until;
        }
        let is_own = seen.loading.get(&id).is_some_and(|seen| seen.reporter.is_none());
        if !is_own {
            seen.note_loading(&id, until);
            if let Some(seen) = seen.loading.get_mut(&id) {
                seen.reporter = Some(reporter.clone());
            }
        }
    }
}
