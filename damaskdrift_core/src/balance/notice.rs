//! What upstreams say about themselves in responses, beside what discovery lists.

use std::collections::BTreeMap;
use std::net;

use derive_more::Display;

use crate::balance::upstream;
use crate::id;
use crate::time::Millis;

/// Longest pause that is obeyed; a longer one counts as this long. An upstream that announces a wrong
/// time is thereby asked again within a minute, and one that needs longer announces the rest.
pub const MAX_PAUSE: Millis = Millis(60_000);
/// Time in which the limit of requests in flight after a pause doubles, beginning at 1. A queue
/// that the pause was to empty fills within a few hundred milliseconds.
const RAMP_STEP: Millis = Millis(250);
/// Number of steps after which the limit ends; it then exceeds the slots of any upstream.
const RAMP_STEPS: u64 = 8;
/// Time for which a notice is reported to other instances. Reports are sent at least every 500 ms,
/// and one that passes two relays arrives within this time even if some are lost.
const REPORT_TIME: Millis = Millis(3_000);
/// Longest effect of another instance's pause. The pause concerns that instance, and its length says
/// little about the load that others cause.
const MAX_HINT: Millis = Millis(2_000);
/// Cost of an upstream that has asked another instance for a pause, about that of 20 requests in
/// flight: others are preferred while they are less loaded than that.
const HINT_COST_MS: f64 = 40.0;
/// Time for which a notice outlasts the upstream's record. Entries that lapse in an outage of
/// discovery are listed again within seconds.
const RETENTION: Millis = Millis(600_000);

/// What an upstream says about itself in one response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether the upstream is about to stop.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests from this instance.
    pub pause: Option<Millis>,
}

impl Notice {
    /// Returns whether the response says nothing about the upstream.
    pub fn is_empty(&self) -> bool {
        !self.is_leaving && self.pause.is_none()
    }
}

/// One run of an upstream's process. Ids and addresses are used again after it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Incarnation {
    started_at: Option<u64>,
    address: net::SocketAddr,
}

impl Incarnation {
    /// Returns the incarnation that a record describes.
    pub fn new(record: &upstream::Record) -> Self {
        Self { started_at: record.started_at, address: record.address }
    }

    /// Returns the same address with the start time that another instance reported.
    pub fn with_started_at(self, started_at: Option<u64>) -> Self {
        Self { started_at: started_at.or(self.started_at), ..self }
    }

    /// Returns the address on which the incarnation listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns whether this is known to have started after another incarnation of the same id.
    ///
    /// A record of an earlier start comes from an outdated list. Without start times only another
    /// address shows a new incarnation.
    fn replaces(&self, earlier: &Self) -> bool {
        match (self.started_at, earlier.started_at) {
            (Some(started_at), Some(earlier)) => started_at > earlier,
            _ => self.address != earlier.address,
        }
    }
}

/// What became of a notice.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Outcome {
    /// It was known before.
    #[display("known")]
    Known,
    /// It binds this instance from now on.
    #[display("obeyed")]
    Obeyed,
    /// It binds this instance, for a shorter time than announced.
    #[display("shortened")]
    Shortened,
    /// The upstream asked again before it had taken a request since its last pause.
    #[display("repeated")]
    Repeated,
    /// It comes from an earlier incarnation of the upstream.
    #[display("outdated")]
    Outdated,
}

/// The source of what is known: an upstream's own response, or the report of another instance.
pub type Source = Option<upstream::Reporter>;

/// A notice to report: the upstream, the incarnation's start, and the notice's age.
pub type ReportedLeaving = (id::Upstream, Option<u64>, Millis);

#[derive(Clone, Debug)]
struct Leaving {
    /// When the first instance that knows of it received the notice.
    since: Millis,
    source: Source,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    since: Millis,
    until: Millis,
    /// Whether the upstream has taken no request since an earlier pause.
    is_repeated: bool,
}

#[derive(Clone, Debug)]
struct Hint {
    until: Millis,
    source: Source,
}

#[derive(Clone, Debug)]
struct Known {
    incarnation: Incarnation,
    leaving: Option<Leaving>,
    pause: Option<Pause>,
    hint: Option<Hint>,
    /// When the upstream was last listed, or the notice arrived.
    seen_at: Millis,
}

/// Upstreams that may get a request, as far as notices are concerned.
#[derive(Debug)]
pub struct Admitted<'a> {
    /// The upstreams that no notice excludes.
    pub upstreams: Vec<&'a upstream::Upstream>,
    /// Whether an upstream was excluded only until its requests in flight end.
    pub is_limited: bool,
    /// Earliest end of the pauses of upstreams that the request was not sent to.
    pub paused_until: Option<Millis>,
}

/// The notices of all upstreams.
#[derive(Debug, Default)]
pub struct Notices {
    /// From responses to this instance.
    own: BTreeMap<id::Upstream, Known>,
    /// From reports of other instances, apart because a wrong start in a report must not hide what
    /// an upstream itself says.
    heard: BTreeMap<id::Upstream, Known>,
}

impl Notices {
    /// Records the notice of an upstream's response to this instance, which was sent to this
    /// incarnation.
    pub fn record(
        &mut self,
        id: &id::Upstream,
        incarnation: Incarnation,
        notice: Notice,
        now: Millis,
    ) -> Outcome {
        let Some(known) = entry_mut(&mut self.own, id, incarnation, now) else {
            return Outcome::Outdated;
        };
        let mut outcome = Outcome::Known;
        if notice.is_leaving && known.leaving.is_none() {
            known.leaving = Some(Leaving { since: now, source: None });
            outcome = Outcome::Obeyed;
        }
        let Some(length) = notice.pause.filter(|length| *length > Millis(0)) else {
            return outcome;
        };
        let until = now + length.min(MAX_PAUSE);
        let (mut is_repeated, mut until_before) = (false, Millis(0));
        if let Some(before) = known.pause {
            // A response to a request that was sent before the pause ended is no repetition.
            is_repeated = before.is_repeated || now >= before.until;
            until_before = before.until;
        }
        if until <= until_before {
            return outcome;
        }
        known.pause = Some(Pause { since: now, until, is_repeated });
        match (is_repeated, length > MAX_PAUSE) {
            (_, true) => Outcome::Shortened,
            (true, false) => Outcome::Repeated,
            (false, false) => Outcome::Obeyed,
        }
    }

    /// Records that an upstream has taken a request, which ends the series of its pauses.
    ///
    /// A pause that still lasts is obeyed to its end.
    pub fn record_taken(&mut self, id: &id::Upstream, now: Millis) {
        let Some(known) = self.own.get_mut(id) else {
            return;
        };
        let Some(pause) = &mut known.pause else {
            return;
        };
        pause.is_repeated = false;
        if now >= pause.until + ramp_time() {
            known.pause = None;
        }
    }

    /// Records the report of another instance that an upstream said `age` ago that it leaves.
    pub fn record_heard_leaving(
        &mut self,
        id: &id::Upstream,
        incarnation: Incarnation,
        age: Millis,
        reporter: &upstream::Reporter,
        now: Millis,
    ) -> Outcome {
        let Some(known) = entry_mut(&mut self.heard, id, incarnation, now) else {
            return Outcome::Outdated;
        };
        if known.leaving.is_some() {
            return Outcome::Known;
        }
        let since = now - age;
        known.leaving = Some(Leaving { since, source: Some(reporter.clone()) });
        Outcome::Obeyed
    }

    /// Records the report of another instance that an upstream asked it for a pause.
    pub fn record_heard_pause(
        &mut self,
        record: &upstream::Record,
        left: Millis,
        reporter: &upstream::Reporter,
        now: Millis,
    ) {
        let incarnation = Incarnation::new(record);
        if let Some(known) = entry_mut(&mut self.heard, &record.id, incarnation, now) {
            let until = now + left.min(MAX_HINT);
            known.hint = Some(Hint { until, source: Some(reporter.clone()) });
        }
    }

    /// Returns whether the upstream has told this instance that it leaves.
    pub fn is_leaving(&self, record: &upstream::Record) -> bool {
        find(&self.own, record).is_some_and(|known| known.leaving.is_some())
    }

    /// Returns whether another instance reports that the upstream leaves.
    fn is_heard_leaving(&self, record: &upstream::Record) -> bool {
        find(&self.heard, record).is_some_and(|known| known.leaving.is_some())
    }

    /// Returns the end of the pause for which the upstream has asked this instance, while it lasts.
    pub fn paused_until(&self, record: &upstream::Record, now: Millis) -> Option<Millis> {
        let pause = find(&self.own, record)?.pause?;
        (now < pause.until).then_some(pause.until)
    }

    /// Returns whether this instance may send anything to the upstream now.
    pub fn may_send(&self, record: &upstream::Record, now: Millis) -> bool {
        !self.is_leaving(record) && self.paused_until(record, now).is_none()
    }

    /// Returns whether the requests in flight leave room for another one soon after a pause.
    fn has_room(&self, upstream: &upstream::Upstream, now: Millis) -> bool {
        let Some(pause) = find(&self.own, &upstream.record).and_then(|known| known.pause) else {
            return true;
        };
        // An upstream that asks again and again gets one request at a time until it has taken one.
        let step = if pause.is_repeated { 0 } else { now.since(pause.until).0 / RAMP_STEP.0 };
        step >= RAMP_STEPS || u64::from(upstream.own.in_flight) < 1 << step
    }

    /// Returns which candidates may get a request that was already sent to `tried`.
    ///
    /// The word of other instances excludes an upstream only while others of its service remain, so
    /// that a wrong report cannot empty the service.
    pub fn admit<'a>(
        &self,
        candidates: Vec<&'a upstream::Upstream>,
        tried: &[id::Upstream],
        now: Millis,
    ) -> Admitted<'a> {
        let mut admitted =
            Admitted { upstreams: Vec::new(), is_limited: false, paused_until: None };
        for upstream in candidates {
            let record = &upstream.record;
            if self.is_leaving(record) {
                continue;
            }
            let is_tried = tried.contains(&record.id);
            if let Some(until) = self.paused_until(record, now) {
                if !is_tried {
                    let earliest = admitted.paused_until.map_or(until, |at| at.min(until));
                    admitted.paused_until = Some(earliest);
                }
                continue;
            }
            if !self.has_room(upstream, now) {
                admitted.is_limited |= !is_tried;
                continue;
            }
            admitted.upstreams.push(upstream);
        }
        let is_known = |upstream: &&upstream::Upstream| !self.is_heard_leaving(&upstream.record);
        let remains = |u: &&upstream::Upstream| {
            !tried.contains(&u.record.id) && !u.health.is_ejected(now) && is_known(u)
        };
        if admitted.upstreams.iter().any(remains) {
            admitted.upstreams.retain(is_known);
        }
        admitted
    }

    /// Returns the earliest end of the pauses of these upstreams, or `None` if one of them may get
    /// requests or none is paused.
    pub fn all_paused_until<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a upstream::Upstream>,
        now: Millis,
    ) -> Option<Millis> {
        let mut earliest: Option<Millis> = None;
        for upstream in upstreams {
            if self.is_leaving(&upstream.record) {
                continue;
            }
            let until = self.paused_until(&upstream.record, now)?;
            earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
        }
        earliest
    }

    /// Returns the cost of an upstream that has asked other instances for a pause, in milliseconds.
    pub fn hint_cost_ms(&self, record: &upstream::Record, now: Millis) -> f64 {
        let hint = find(&self.heard, record).and_then(|known| known.hint.as_ref());
        if hint.is_some_and(|hint| now < hint.until) { HINT_COST_MS } else { 0.0 }
    }

    /// Returns the recent notices of leaving upstreams from the selected sources.
    pub fn leaving_to_report(
        &self,
        includes: impl Fn(Option<&upstream::Reporter>) -> bool,
        now: Millis,
    ) -> Vec<ReportedLeaving> {
        let mut reported = Vec::new();
        for (id, known) in self.own.iter().chain(&self.heard) {
            let Some(leaving) = &known.leaving else {
                continue;
            };
            let age = now.since(leaving.since);
            if age < REPORT_TIME && includes(leaving.source.as_ref()) {
                reported.push((id.clone(), known.incarnation.started_at, age));
            }
        }
        reported
    }

    /// Returns the upstreams that recently asked for a pause, from the selected sources, and the
    /// time left of it.
    ///
    /// Pauses that an upstream repeats without having taken a request are not reported: they say
    /// nothing of its load.
    pub fn pauses_to_report(
        &self,
        includes: impl Fn(Option<&upstream::Reporter>) -> bool,
        now: Millis,
    ) -> Vec<(id::Upstream, Millis)> {
        let mut reported = Vec::new();
        for (id, known) in self.own.iter().chain(&self.heard) {
            let own = known.pause.filter(|p| !p.is_repeated && now.since(p.since) < REPORT_TIME);
            let mut until = own.filter(|_| includes(None)).map_or(Millis(0), |pause| pause.until);
            if let Some(hint) = &known.hint
                && includes(hint.source.as_ref())
            {
                until = until.max(hint.until);
            }
            if now < until {
                reported.push((id.clone(), until.since(now).min(MAX_HINT)));
            }
        }
        reported
    }

    /// Forgets the notices of upstreams that have not been listed for long.
    pub fn prune(&mut self, is_listed: impl Fn(&id::Upstream) -> bool, now: Millis) {
        for all in [&mut self.own, &mut self.heard] {
            for (id, known) in all.iter_mut() {
                if is_listed(id) {
                    known.seen_at = now;
                }
            }
            all.retain(|_, known| now.since(known.seen_at) < RETENTION);
        }
    }

    /// Returns how many upstreams have told this instance that they leave, and how many of their
    /// pauses last.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let leaving = self.own.values().filter(|known| known.leaving.is_some()).count();
        let is_paused = |known: &&Known| known.pause.is_some_and(|pause| now < pause.until);
        (leaving, self.own.values().filter(is_paused).count())
    }
}

/// Returns the time after a pause for which the requests in flight are limited.
fn ramp_time() -> Millis {
    Millis(RAMP_STEP.0 * RAMP_STEPS)
}

/// Returns the entry of an upstream for this incarnation, or `None` if a later one is known.
fn entry_mut<'a>(
    all: &'a mut BTreeMap<id::Upstream, Known>,
    id: &id::Upstream,
    incarnation: Incarnation,
    now: Millis,
) -> Option<&'a mut Known> {
    let new = Known { incarnation, leaving: None, pause: None, hint: None, seen_at: now };
    let known = all.entry(id.clone()).or_insert_with(|| new.clone());
    if known.incarnation.replaces(&incarnation) {
        return None;
    }
    if incarnation.replaces(&known.incarnation) {
        *known = new;
    }
    known.seen_at = now;
    Some(known)
}

/// Returns what is known of the incarnation in a record, or of a later one.
fn find<'a>(
    all: &'a BTreeMap<id::Upstream, Known>,
    record: &upstream::Record,
) -> Option<&'a Known> {
    let known = all.get(&record.id)?;
    (!Incarnation::new(record).replaces(&known.incarnation)).then_some(known)
}
