//! The crashes and blames that one instance knows of.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3;

use crate::id;
use crate::quarantine::crash;
use crate::quarantine::memory;
use crate::quarantine::record;
use crate::quarantine::verdict;
use crate::time::Millis;

/// Maximum number of crashes remembered. It bounds the reports between instances to some kilobytes
/// when engines crash by the hundred.
const MAX_CRASHES: usize = 64;
/// Maximum number of segments in quarantine.
const MAX_BLAMES: usize = 64;
/// Time for which a crash is accepted from other instances.
const CRASH_REPORT_TTL: Millis = Millis(120_000);
/// Time for which a crash is remembered. It exceeds [`CRASH_REPORT_TTL`], so that instances do not
/// learn it again from each other.
const CRASH_TTL: Millis = Millis(180_000);
/// Time after its last answer for which a segment is no candidate: requests with it are answered
/// all the time.
const ANSWERED_RECENTLY: Millis = Millis(1_000);
/// Quarantine of a segment after the crashes that it was blamed for. It doubles with each further
/// crash, up to [`MAX_HOLD_DOUBLINGS`] times.
const HOLD: Millis = Millis(60_000);
const MAX_HOLD_DOUBLINGS: u32 = 4;
/// Number of crashes from which the quarantine doubles.
const HOLD_CRASHES: u32 = 3;
/// Minimum time between two requests that test whether a segment still crashes engines. An engine
/// under load begins an answer well within it.
const PROBE_INTERVAL: Millis = Millis(10_000);
/// Number of requests that test a segment before the end of its quarantine, after its upstreams have
/// got new weights or software. Three requests to upstreams are allowed after the fifth crash.
const MAX_EARLY_TESTS: u32 = 2;
/// Minimum quarantine that remains when a record is restored. Until its end an instance that has
/// just started knows the others, so that only one of them tests the segment.
const MIN_RESTORED_HOLD: Millis = Millis(10_000);
/// Largest number of crashes that is accepted from a record.
const MAX_RECORDED_CRASHES: u32 = 1_000;
/// Time since the last crash for which a blame is reported to other instances and accepted from
/// them.
const BLAME_REPORT_TTL: Millis = Millis(3_600_000);
/// Time since the last crash after which a blame is dropped.
const BLAME_TTL: Millis = Millis(3_660_000);
/// Time for which reports to other instances hold a crash or blame that has changed. It covers the
/// reports that a slow connection skips.
const CHANGE_REPORT_TIME: Millis = Millis(600);
/// Period and duration in which reports hold all blames, for instances that have just started or
/// were cut off.
const FULL_REPORT_PERIOD: Millis = Millis(1_000);
const FULL_REPORT_TIME: Millis = Millis(100);

/// A segment that is blamed for crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Blame {
    /// Number of crashes that it explains.
    pub crashes: u32,
    /// When the last of them was seen.
    pub last_at: Millis,
    /// Whether the segment was answered since, so that it is no longer in quarantine.
    pub is_lifted: bool,
}

/// What an instance reports of crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Crashes of which something has changed.
    pub crashes: Vec<(crash::Incarnation, crash::Crash)>,
    /// Blamed segments.
    pub blames: Vec<(u64, Blame)>,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No segment of the request is in quarantine.
    Admitted,
    /// A segment is in quarantine.
    Quarantined {
        /// The segment.
        segment: u64,
        /// Number of crashes that it is blamed for.
        crashes: u32,
        /// Time until the next request with the segment may be sent.
        retry_after: Millis,
    },
}

/// Crashes and blames known to one instance.
#[derive(Debug, Default)]
pub struct Ledger {
    crashes: BTreeMap<crash::Incarnation, crash::Crash>,
    blames: BTreeMap<u64, Blame>,
    /// When this instance last sent a request that tests a blamed segment.
    probed_at: BTreeMap<u64, Millis>,
    /// Number of tests that this instance has sent before the end of a segment's quarantine.
    early_tests: BTreeMap<u64, u32>,
    /// Blames that are known from the record only. Their quarantine is counted from when the record
    /// was read, so the time that another instance reports replaces it.
    restored: BTreeSet<u64>,
    /// Blames that [`update`](Self::update) has not returned yet.
    unannounced: Vec<(u64, Blame)>,
    answered: memory::Answered,
    /// When something of each crash, and of any blame, last changed here.
    changed: BTreeMap<crash::Incarnation, Millis>,
    blames_changed_at: Option<Millis>,
    /// Whether crashes have changed since they were last judged, and when that was.
    must_judge: bool,
    judged_at: Millis,
}

impl Blame {
    fn new(crashes: u32, last_at: Millis) -> Self {
        Self { crashes, last_at, is_lifted: false }
    }

    /// Returns until when no request with the segment is sent.
    fn held_until(&self) -> Millis {
        self.last_at + hold(self.crashes)
    }
}

impl Ledger {
    /// Records that an engine answered a request with these shared segments.
    pub fn record_answer(&mut self, segments: &[u64], now: Millis) {
        for segment in segments {
            self.answered.record(*segment, now);
        }
        for (incarnation, crash) in &mut self.crashes {
            for segment in segments {
                let Some(candidate) = crash.candidates.get_mut(segment) else {
                    continue;
                };
                if candidate.standing < crash::Standing::AnsweredSince {
                    candidate.standing = crash::Standing::AnsweredSince;
                    self.changed.insert(incarnation.clone(), now);
                }
            }
        }
        for segment in segments {
            if let Some(blame) = self.blames.get_mut(segment)
                && !blame.is_lifted
            {
                blame.is_lifted = true;
                self.blames_changed_at = Some(now);
            }
        }
    }

    /// Records that an engine crashed while a request with these shared segments had not been
    /// answered there.
    pub fn record_crash(
        &mut self,
        incarnation: &crash::Incarnation,
        segments: &[u64],
        now: Millis,
    ) {
        let mut crash = crash::Crash::new(now);
        for (depth, segment) in segments.iter().enumerate() {
            let answered_at = self.answered.last(*segment);
            if answered_at.is_some_and(|at| now.since(at) < ANSWERED_RECENTLY) {
                continue;
            }
            let depth = u8::try_from(depth).unwrap_or(u8::MAX);
            crash.add(*segment, crash::Candidate { depth, ..crash::Candidate::default() });
        }
        self.merge_crash(incarnation.clone(), crash, now);
    }

    /// Merges the report of another instance.
    pub fn merge(&mut self, report: Report, now: Millis) {
        for (incarnation, crash) in report.crashes {
            if now.since(crash.at) < CRASH_REPORT_TTL {
                self.merge_crash(incarnation, crash, now);
            }
        }
        for (segment, blame) in report.blames {
            if now.since(blame.last_at) < BLAME_REPORT_TTL {
                self.merge_blame(segment, blame, now);
            }
        }
    }

    /// Returns the report to other instances, or `None` if none is due.
    pub fn report(&self, now: Millis) -> Option<Report> {
        let is_recent = |at: &Millis| now.since(*at) < CHANGE_REPORT_TIME;
        let mut report = Report::default();
        for (incarnation, crash) in &self.crashes {
            if self.changed.get(incarnation).is_some_and(is_recent) {
                report.crashes.push((incarnation.clone(), crash.clone()));
            }
        }
        let is_full = now.0 % FULL_REPORT_PERIOD.0 < FULL_REPORT_TIME.0;
        if is_full || self.blames_changed_at.as_ref().is_some_and(is_recent) {
            for (segment, blame) in &self.blames {
                if now.since(blame.last_at) < BLAME_REPORT_TTL {
                    report.blames.push((*segment, *blame));
                }
            }
        }
        let is_empty = report.crashes.is_empty() && report.blames.is_empty();
        (!is_empty).then_some(report)
    }

    /// Drops what has expired, blames segments for the crashes known so far, and returns the segments
    /// that were put in quarantine since the last call, here or by other instances.
    pub fn update(&mut self, now: Millis) -> Vec<(u64, Blame)> {
        self.blames.retain(|_, blame| now.since(blame.last_at) < BLAME_TTL);
        self.probed_at.retain(|segment, _| self.blames.contains_key(segment));
        self.early_tests.retain(|segment, _| self.blames.contains_key(segment));
        self.restored.retain(|segment| self.blames.contains_key(segment));
        self.crashes.retain(|_, crash| now.since(crash.at) < CRASH_TTL);
        self.changed.retain(|_, at| now.since(*at) < CHANGE_REPORT_TIME);
        let has_settled = |crash: &crash::Crash| {
            let settles_at = crash.at + verdict::SETTLE_TIME;
            self.judged_at < settles_at && settles_at <= now
        };
        if self.must_judge || self.crashes.values().any(has_settled) {
            self.judge(now);
            (self.must_judge, self.judged_at) = (false, now);
        }
        std::mem::take(&mut self.unannounced)
    }

    /// Blames segments for the crashes known so far.
    fn judge(&mut self, now: Millis) {
        let mut active = BTreeSet::new();
        for (segment, blame) in &mut self.blames {
            if blame.is_lifted {
                continue;
            }
            active.insert(*segment);
            let (count, last_at) = accusing(&self.crashes, *segment);
            if count > blame.crashes || last_at > blame.last_at {
                self.blames_changed_at = Some(now);
                self.restored.remove(segment);
            }
            blame.crashes = blame.crashes.max(count);
            blame.last_at = blame.last_at.max(last_at);
        }
        for segment in verdict::blamed(self.crashes.values(), &active, now) {
            let (count, last_at) = accusing(&self.crashes, segment);
            // A count above that of a lifted blame replaces it at the other instances.
            let lifted = self.blames.get(&segment).map_or(0, |blame| blame.crashes);
            if lifted == 0 && self.blames.len() >= MAX_BLAMES {
                break;
            }
            self.insert_blame(segment, Blame::new(count.max(lifted + 1), last_at), now);
        }
    }

    /// Returns whether a request with these shared segments may be sent.
    ///
    /// After the time of a quarantine, one instance among `registered`, on which all agree by
    /// hashing, sends single requests to test the segment.
    pub fn admit(
        &mut self,
        segments: &[u64],
        own: &id::Instance,
        registered: &[id::Instance],
        now: Millis,
    ) -> Admission {
        self.admit_after_renewal(segments, None, (own, registered), now)
    }

    /// Does the same for a request whose upstreams have had new weights or software since
    /// `renewed_at`: a few requests then test a segment before the end of its quarantine.
    pub fn admit_after_renewal(
        &mut self,
        segments: &[u64],
        renewed_at: Option<Millis>,
        (own, registered): (&id::Instance, &[id::Instance]),
        now: Millis,
    ) -> Admission {
        for segment in segments {
            let Some(blame) = self.blames.get(segment).filter(|blame| !blame.is_lifted) else {
                continue;
            };
            let mut retry_after = blame.held_until().since(now);
            let is_over = retry_after == Millis(0);
            let early_tests = self.early_tests.get(segment).copied().unwrap_or(0);
            let is_renewed = renewed_at.is_some_and(|at| blame.last_at < at && at <= now);
            if is_over || (is_renewed && early_tests < MAX_EARLY_TESTS) {
                let probed_at = self.probed_at.get(segment);
                retry_after = retry_after.max(PROBE_INTERVAL);
                let is_due = probed_at.is_none_or(|at| now.since(*at) >= PROBE_INTERVAL);
                if is_due && is_prober(*segment, own, registered) {
                    if !is_over {
                        self.early_tests.insert(*segment, early_tests + 1);
                    }
                    self.probed_at.insert(*segment, now);
                    continue;
                }
            }
            let (segment, crashes) = (*segment, blame.crashes);
            return Admission::Quarantined { segment, crashes, retry_after };
        }
        Admission::Admitted
    }

    /// Returns the first of these segments that is in quarantine.
    ///
    /// Unlike [`admit`](Self::admit) it does not count a request as a test, and holds for requests
    /// that were sent before.
    pub fn blamed<'a>(&self, segments: &'a [u64], now: Millis) -> Option<&'a u64> {
        segments.iter().find(|segment| {
            let Some(blame) = self.blames.get(segment).filter(|blame| !blame.is_lifted) else {
                return false;
            };
            let is_tested = self.probed_at.get(segment).is_some_and(|probed_at| {
                blame.last_at <= *probed_at && now.since(*probed_at) < PROBE_INTERVAL
            });
            now < blame.held_until() && !is_tested
        })
    }

    /// Returns the segments in quarantine for the durable record.
    pub fn recordable(&self, now: Millis) -> Vec<record::RecordedBlame> {
        let mut recorded = Vec::new();
        for (segment, blame) in &self.blames {
            if blame.is_lifted {
                continue;
            }
            let hold = blame.held_until().since(now);
            let (segment, crashes) = (*segment, blame.crashes);
            recorded.push(record::RecordedBlame { segment, crashes, hold });
        }
        recorded
    }

    /// Puts the segments of the durable record in quarantine, except those of which this instance
    /// knows as many crashes.
    pub fn restore(&mut self, recorded: &[record::RecordedBlame], now: Millis) {
        for blame in recorded {
            let crashes = blame.crashes.clamp(HOLD_CRASHES, MAX_RECORDED_CRASHES);
            if self.blames.get(&blame.segment).is_some_and(|known| known.crashes >= crashes) {
                continue;
            }
            let left = blame.hold.clamp(MIN_RESTORED_HOLD, hold(crashes));
            let last_at = now - (hold(crashes) - left);
            self.merge_blame(blame.segment, Blame::new(crashes, last_at), now);
            if self.blames.contains_key(&blame.segment) {
                self.restored.insert(blame.segment);
            }
        }
    }

    /// Returns whether a request whose engine crashed may be sent to another one: all of its
    /// segments have been answered, and none is a candidate of a crash.
    pub fn may_repeat(&self, segments: &[u64]) -> bool {
        segments.iter().all(|segment| {
            let is_accused = self.crashes.values().any(|crash| crash.accuses(*segment));
            self.answered.last(*segment).is_some() && !is_accused
        })
    }

    /// Returns the number of segments in quarantine.
    pub fn quarantined(&self) -> usize {
        self.blames.values().filter(|blame| !blame.is_lifted).count()
    }

    fn merge_crash(&mut self, incarnation: crash::Incarnation, crash: crash::Crash, now: Millis) {
        let mut is_changed = false;
        if !self.crashes.contains_key(&incarnation) {
            if !self.make_room(crash.at) {
                return;
            }
            self.crashes.insert(incarnation.clone(), crash::Crash::new(crash.at));
            is_changed = true;
        }
        let Some(known) = self.crashes.get_mut(&incarnation) else {
            return;
        };
        // The time grows by the delay of each report on the way.
        known.at = known.at.min(crash.at);
        for (segment, mut candidate) in crash.candidates {
            let standing = match self.answered.last(segment) {
                Some(answered_at) if answered_at >= known.at => crash::Standing::AnsweredSince,
                Some(_) => crash::Standing::AnsweredBefore,
                None => crash::Standing::Unanswered,
            };
            candidate.standing = candidate.standing.max(standing);
            is_changed |= known.add(segment, candidate);
        }
        if is_changed {
            self.changed.insert(incarnation, now);
            self.must_judge = true;
        }
    }

    /// Makes room for a crash at this time by dropping the oldest one, and returns whether it is
    /// newer.
    fn make_room(&mut self, at: Millis) -> bool {
        if self.crashes.len() < MAX_CRASHES {
            return true;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        let Some((incarnation, _)) = oldest.filter(|(_, crash)| crash.at < at) else {
            return false;
        };
        let incarnation = incarnation.clone();
        self.crashes.remove(&incarnation);
        true
    }

    fn merge_blame(&mut self, segment: u64, blame: Blame, now: Millis) {
        let Some(known) = self.blames.get_mut(&segment) else {
            if self.blames.len() < MAX_BLAMES {
                self.insert_blame(segment, blame, now);
            }
            return;
        };
        if known.crashes < blame.crashes {
            let last_at = known.last_at.max(blame.last_at);
            self.insert_blame(segment, Blame { last_at, ..blame }, now);
        } else if known.crashes == blame.crashes && blame.is_lifted && !known.is_lifted {
            known.is_lifted = true;
            self.blames_changed_at = Some(now);
        } else if known.crashes == blame.crashes && self.restored.contains(&segment) {
            known.last_at = known.last_at.min(blame.last_at);
        }
    }

    /// Adds a blame or replaces one of fewer crashes.
    fn insert_blame(&mut self, segment: u64, mut blame: Blame, now: Millis) {
        // The reporter may not have heard of the answer yet.
        blame.is_lifted |= self.answered.last(segment).is_some_and(|at| at > blame.last_at);
        self.restored.remove(&segment);
        let before = self.blames.insert(segment, blame);
        if !blame.is_lifted && before.is_none_or(|before| before.is_lifted) {
            self.unannounced.push((segment, blame));
        }
        self.blames_changed_at = Some(now);
    }
}

/// Returns the time of a quarantine after this number of crashes.
fn hold(crashes: u32) -> Millis {
    let doublings = crashes.saturating_sub(HOLD_CRASHES).min(MAX_HOLD_DOUBLINGS);
    Millis(HOLD.0 << doublings)
}

/// Returns the number of crashes that a segment may have caused, and the time of the last one.
fn accusing(crashes: &BTreeMap<crash::Incarnation, crash::Crash>, segment: u64) -> (u32, Millis) {
    let accusing = crashes.values().filter(|crash| crash.accuses(segment));
    accusing.fold((0, Millis(0)), |(count, last), crash| (count + 1, last.max(crash.at)))
}

/// Returns whether this instance tests the segment, by rendezvous hashing.
fn is_prober(segment: u64, own: &id::Instance, registered: &[id::Instance]) -> bool {
    let score = |id: &id::Instance| xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), segment);
    let own_score = score(own);
    registered.iter().all(|id| score(id) <= own_score)
}
