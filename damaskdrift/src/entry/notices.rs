//! What upstreams say about themselves: from their responses, and from the reports of instances.

use std::net;
use std::time::Duration;

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;

use crate::entry::clock;
use crate::entry::port;
use crate::entry::state;
use crate::peer::message;

/// The incarnation of an upstream to which something was sent.
#[derive(Clone, Copy, Debug)]
pub struct Recipient<'a> {
    /// The id of the upstream.
    pub id: &'a id::Upstream,
    /// Its incarnation at the time of sending; `None` if it was no longer listed.
    pub incarnation: Option<balance::Incarnation>,
}

/// Returns the listed incarnation of an upstream.
pub fn incarnation(entry: &state::Entry, id: &id::Upstream) -> Option<balance::Incarnation> {
    let upstreams = entry.upstreams.borrow();
    upstreams.get(id).map(|upstream| balance::Incarnation::new(&upstream.record))
}

/// Returns the address of an upstream that has not told this instance to send it nothing.
pub fn address(entry: &state::Entry, id: &id::Upstream) -> Option<net::SocketAddr> {
    let upstreams = entry.upstreams.borrow();
    let upstream = upstreams.get(id)?;
    let may_send = upstreams.notices.may_send(&upstream.record, clock::now());
    may_send.then_some(upstream.record.address)
}

/// Applies the notice in the response to the request with this id, which the upstream has taken or
/// refused.
pub fn apply(
    entry: &state::Entry,
    to: Recipient<'_>,
    notice: balance::Notice,
    is_taken: bool,
    request: &str,
) {
    if is_taken {
        entry.upstreams.borrow_mut().notices.record_taken(to.id, clock::now());
    }
    let Some(incarnation) = to.incarnation else {
        return;
    };
    if notice.is_empty() {
        return;
    }
    let now = clock::now();
    let mut upstreams = entry.upstreams.borrow_mut();
    let outcome = upstreams.notices.record(to.id, incarnation, notice, now);
    drop(upstreams);
    metrics::counter!("notices", "outcome" => outcome.to_string()).increment(1);
    if outcome == balance::NoticeOutcome::Known {
        log::debug!(request, upstream:% = to.id, outcome:%; "notice of an upstream");
        return;
    }
    let pause_ms = notice.pause.map(|pause| pause.0);
    log::info!(
        request, upstream:% = to.id, is_leaving = notice.is_leaving, pause_ms, outcome:%;
        "notice of an upstream"
    );
    if notice.is_leaving {
        entry.client.pool().clear(incarnation.address());
    }
    entry.report_due.notify_one();
}

/// Applies the notices in the responses to calls that the instance made itself.
pub fn apply_called(entry: &state::Entry, to: Recipient<'_>, call: &str) {
    let Some(incarnation) = to.incarnation else {
        return;
    };
    let address = incarnation.address();
    for port::CallNotice { upstream, notice } in entry.port.take_call_notices(address) {
        // The address may have been reassigned to another upstream.
        if upstream.is_none_or(|upstream| upstream == *to.id) {
            apply(entry, to, notice, false, call);
        }
    }
}

/// Returns the time until the first of a service's upstreams may get requests again, if all of them
/// have asked for a pause.
pub fn pause_left(entry: &state::Entry, service: &id::Service) -> Option<Duration> {
    let now = clock::now();
    let out_of_service = entry.out_of_service.borrow();
    let upstreams = entry.upstreams.borrow();
    let usable = upstreams
        .iter()
        .filter(|u| u.record.service == *service && !u.record.is_draining)
        .filter(|u| !out_of_service.contains(&u.record.domain));
    let until = upstreams.notices.all_paused_until(usable, now)?;
    Some(Duration::from(until.since(now)))
}

/// Encodes the notices from the selected sources for other instances.
pub fn encode(
    entry: &state::Entry,
    includes: impl Fn(Option<&balance::Reporter>) -> bool,
    now: Millis,
) -> message::Notices {
    let upstreams = entry.upstreams.borrow();
    let mut encoded = message::Notices::default();
    for (id, started_at, age) in upstreams.notices.leaving_to_report(&includes, now) {
        encoded.leaving.push((id.to_string(), started_at, age.0));
    }
    for (id, left) in upstreams.notices.pauses_to_report(&includes, now) {
        encoded.pausing.push((id.to_string(), left.0));
    }
    encoded
}

/// Applies the notices in another instance's report.
pub fn apply_report(
    entry: &state::Entry,
    notices: &message::Notices,
    reporter: &balance::Reporter,
    now: Millis,
) {
    let mut upstreams = entry.upstreams.borrow_mut();
    for (id, started_at, age_ms) in &notices.leaving {
        let id = id::Upstream::new(id);
        let Some(upstream) = upstreams.get(&id) else {
            continue;
        };
        let incarnation = balance::Incarnation::new(&upstream.record).with_started_at(*started_at);
        let age = Millis(*age_ms);
        let notices = &mut upstreams.notices;
        let outcome = notices.record_heard_leaving(&id, incarnation, age, reporter, now);
        if outcome == balance::NoticeOutcome::Obeyed {
            metrics::counter!("notices_heard").increment(1);
            log::info!(upstream:% = id, reporter:?, age_ms; "upstream is reported to leave");
            entry.report_due.notify_one();
        }
    }
    for (id, left_ms) in &notices.pausing {
        let record = upstreams.get(&id::Upstream::new(id)).map(|u| u.record.clone());
        if let Some(record) = record {
            upstreams.notices.record_heard_pause(&record, Millis(*left_ms), reporter, now);
        }
    }
}

/// Updates the gauges and forgets the notices of upstreams that have been gone for long.
pub fn maintain(entry: &state::Entry) {
    let now = clock::now();
    let mut upstreams = entry.upstreams.borrow_mut();
    let listed = upstreams.ids();
    upstreams.notices.prune(|id| listed.binary_search(id).is_ok(), now);
    let (leaving, paused) = upstreams.notices.counts(now);
    metrics::gauge!("upstreams_leaving").set(leaving as f64);
    metrics::gauge!("upstreams_paused").set(paused as f64);
}
