//! The configuration revision of one instance and the evidence that it is current.

use std::collections;

use rand::Rng;
use rand::seq::index;

use crate::config_sync::{Freshness, StopReason};
use crate::id;
use crate::time::Millis;

/// The configuration revision of one instance and the evidence that it is current; all times are
/// of the local clock.
#[derive(Clone, Debug, Default)]
pub struct State {
    installed: id::Revision,
    /// The highest revision that the service or a peer reported.
    known: id::Revision,
    /// Latest time at which the key-value service is known to have held no revision above the
    /// installed one. It stays valid when a higher revision is installed, because that revision was
    /// written later and none above it earlier.
    confirmed_at: Option<Millis>,
    /// For each peer, the latest time at which it knew no revision above the installed one.
    evidence: collections::BTreeMap<id::Instance, Millis>,
}

/// The outcome of offering a revision for installation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The revision was higher and is recorded as installed.
    Installed,
    /// The revision is already installed.
    Same,
    /// The revision is lower than the installed one and must not replace it.
    Older,
}

/// The outcome of reading the revision from the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The installed revision was current when the read was sent.
    Confirmed,
    /// The service has a higher revision, which must be installed first.
    Newer,
    /// The service has a lower revision than one that it accepted before, so the read confirms
    /// nothing.
    Reverted,
}

/// The configuration state of a peer, as reported in its pong.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// The peer's installed revision.
    pub revision: id::Revision,
    /// Age of the peer's last confirmation; `None` if it has none.
    pub confirmed_age: Option<Millis>,
    /// Other members that the peer has evidence from, with the age of that evidence.
    pub members: Vec<(id::Instance, Millis)>,
}

impl State {
    /// Creates the state of an instance that has no configuration installed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the installed revision; 0 means none.
    pub fn installed(&self) -> id::Revision {
        self.installed
    }

    /// Returns the highest revision that the service or a peer reported.
    pub fn known(&self) -> id::Revision {
        self.known
    }

    /// Returns whether a revision above the installed one is known.
    pub fn is_behind(&self) -> bool {
        self.known > self.installed
    }

    /// Returns the time since the installed revision was last known to be current; `None` if it has
    /// not been confirmed.
    pub fn confirmed_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Records an offered revision as installed if it is higher than the installed one.
    pub fn offer(&mut self, revision: id::Revision) -> Offer {
        if revision < self.installed {
            return Offer::Older;
        }
        if revision == self.installed {
            return Offer::Same;
        }
        self.installed = revision;
        self.known = self.known.max(revision);
        Offer::Installed
    }

    /// Records that a revision exists, such as one that a peer's ping reports.
    pub fn observe_revision(&mut self, revision: id::Revision) {
        self.known = self.known.max(revision);
    }

    /// Records a read of the service that was sent at `sent_at` and returned `revision`.
    pub fn confirm_from_service(&mut self, revision: id::Revision, sent_at: Millis) -> ReadOutcome {
        if revision > self.installed {
            self.observe_revision(revision);
            return ReadOutcome::Newer;
        }
        if revision < self.installed {
            return ReadOutcome::Reverted;
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        ReadOutcome::Confirmed
    }

    /// Records a pong whose ping was sent at `sent_at`; the ages in the report count back from that
    /// time.
    pub fn confirm_from_peer(&mut self, peer: &id::Instance, report: &PeerReport, sent_at: Millis) {
        self.observe_revision(report.revision);
        if report.revision > self.installed {
            return;
        }
        // A report with a lower revision is a confirmation, too: no revision above the peer's was
        // accepted before the time of its confirmation, so none above the installed one was.
        let confirmed_at = report.confirmed_age.and_then(|age| sent_at.0.checked_sub(age.0));
        self.confirmed_at = self.confirmed_at.max(confirmed_at.map(Millis));
        self.record_evidence(peer, sent_at);
        for (member, age) in &report.members {
            let Some(at) = sent_at.0.checked_sub(age.0) else { continue };
            self.record_evidence(member, Millis(at));
        }
    }

    /// Returns the evidence to forward in a pong: members and the age of the evidence from each.
    ///
    /// The result is empty while a higher revision is known but not installed, because the receiver
    /// counts each entry as a member that knows no higher revision.
    pub fn evidence(&self, now: Millis, limit: Millis) -> Vec<(id::Instance, Millis)> {
        if self.is_behind() {
            return Vec::new();
        }
        let ages = self.evidence.iter().map(|(peer, at)| (peer.clone(), now.since(*at)));
        ages.filter(|(_, age)| *age <= limit).collect()
    }

    /// Returns a random sample of at most `max` entries of the evidence, so that the size of a pong
    /// does not grow with the fleet.
    pub fn evidence_sample<R: Rng + ?Sized>(
        &self,
        now: Millis,
        limit: Millis,
        max: usize,
        rng: &mut R,
    ) -> Vec<(id::Instance, Millis)> {
        let evidence = self.evidence(now, limit);
        let chosen = index::sample(rng, evidence.len(), evidence.len().min(max));
        chosen.into_iter().map(|i| evidence[i].clone()).collect()
    }

    /// Removes all confirmations and evidence, as is required after a pause of the process; the
    /// revision stays installed.
    pub fn clear_confirmations(&mut self) {
        self.confirmed_at = None;
        self.evidence.clear();
    }

    /// Removes the evidence from instances that are no longer in the roster.
    pub fn retain_members(&mut self, roster: &collections::BTreeSet<id::Instance>) {
        self.evidence.retain(|peer, _| roster.contains(peer));
    }

    /// Returns whether new work may start at `now`, where `limit` is the maximum age of
    /// confirmations and evidence.
    ///
    /// `roster` includes the instance itself, `own`; it is `None` if it is not known.
    pub fn freshness(
        &self,
        own: &id::Instance,
        roster: Option<&collections::BTreeSet<id::Instance>>,
        now: Millis,
        limit: Millis,
    ) -> Freshness {
        if self.installed.0 == 0 {
            return Freshness::Stopped(StopReason::NotConfigured);
        }
        if let Some(age) = self.confirmed_age(now).filter(|age| *age <= limit) {
            return Freshness::Fresh { age };
        }
        if self.is_behind() {
            return Freshness::Stopped(StopReason::Superseded { known: self.known });
        }
        let Some(roster) = roster else {
            return Freshness::Stopped(StopReason::RosterUnknown);
        };
        let is_recent = |peer: &&id::Instance| {
            *peer == own || self.evidence.get(*peer).is_some_and(|at| now.since(*at) <= limit)
        };
        let reachable = roster.iter().filter(is_recent).count();
        let roster = roster.len();
        if reachable * 2 > roster {
            return Freshness::MajorityConfirmed { reachable, roster };
        }
        Freshness::Stopped(StopReason::Minority { reachable, roster })
    }

    fn record_evidence(&mut self, peer: &id::Instance, at: Millis) {
        match self.evidence.get_mut(peer) {
            Some(latest) => *latest = at.max(*latest),
            None => drop(self.evidence.insert(peer.clone(), at)),
        }
    }
}
