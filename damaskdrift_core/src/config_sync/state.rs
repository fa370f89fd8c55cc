//! What one instance knows of the configuration.

use std::collections;

use rand::Rng;
use rand::seq::index;

use crate::config_sync::{Freshness, StopReason};
use crate::id;
use crate::time::Millis;

/// What one instance knows of the configuration; all times are local.
#[derive(Clone, Debug, Default)]
pub struct State {
    installed: id::Revision,
    known: id::Revision,
    /// At this moment the service held no revision above the installed one. Installing a higher
    /// revision keeps it valid: that revision was written later and no other one before it.
    confirmed_at: Option<Millis>,
    /// Per peer, the latest moment at which it knew no revision above the installed one.
    evidence: collections::BTreeMap<id::Instance, Millis>,
}

/// What to do with a revision that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It was higher and counts as installed now.
    Installed,
    /// It is the installed one.
    Same,
    /// It is lower than the installed one and must not replace it.
    Older,
}

/// What a read of the service showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reading {
    /// The installed revision was current when the read was sent.
    Confirmed,
    /// The service has a higher revision, which must be installed first.
    Newer,
    /// The service has a lower revision than one it accepted before; it confirms nothing.
    Reverted,
}

/// What a pong says of its sender.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// The peer's installed revision.
    pub revision: id::Revision,
    /// Age of the peer's last confirmation.
    pub confirmed_age: Option<Millis>,
    /// Ages of the peer's evidence from other members.
    pub members: Vec<(id::Instance, Millis)>,
}

impl State {
    /// Creates the state of an instance without a configuration.
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

    /// Returns whether a higher revision than the installed one is known.
    pub fn is_behind(&self) -> bool {
        self.known > self.installed
    }

    /// Returns the time since the installed revision was last known to be current.
    pub fn confirmed_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Decides whether an offered revision replaces the installed one; it never goes back.
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

    /// Notes that a revision exists, such as one named in a peer's ping.
    pub fn note_known(&mut self, revision: id::Revision) {
        self.known = self.known.max(revision);
    }

    /// Takes a read of the service that was sent at `sent` and returned `revision`.
    pub fn confirm_from_service(&mut self, revision: id::Revision, sent: Millis) -> Reading {
        if revision > self.installed {
            self.note_known(revision);
            return Reading::Newer;
        }
        if revision < self.installed {
            return Reading::Reverted;
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent));
        Reading::Confirmed
    }

    /// Takes a pong whose ping was sent at `sent`; all its ages count back from that moment.
    pub fn confirm_from_peer(&mut self, peer: &id::Instance, report: &PeerReport, sent: Millis) {
        self.note_known(report.revision);
        if report.revision > self.installed {
            return;
        }
        // A peer with a lower revision confirms too: no revision above its own was accepted
        // before that moment, so none above the installed one was.
        let confirmed = report.confirmed_age.and_then(|age| sent.0.checked_sub(age.0));
        self.confirmed_at = self.confirmed_at.max(confirmed.map(Millis));
        self.note_evidence(peer, sent);
        for (member, age) in &report.members {
            let Some(at) = sent.0.checked_sub(age.0) else { continue };
            self.note_evidence(member, Millis(at));
        }
    }

    /// Returns the evidence to pass on in a pong, with ages.
    ///
    /// Nothing is passed on while a higher revision is known but not installed, because the
    /// receiver takes each entry as the word of a member that knows none.
    pub fn evidence(&self, now: Millis, limit: Millis) -> Vec<(id::Instance, Millis)> {
        if self.is_behind() {
            return Vec::new();
        }
        let ages = self.evidence.iter().map(|(peer, at)| (peer.clone(), now.since(*at)));
        ages.filter(|(_, age)| *age <= limit).collect()
    }

    /// Returns a random part of the evidence, so that the size of a pong does not grow with the
    /// fleet.
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

    /// Drops all confirmations, as after a pause of the process; the revision stays installed.
    pub fn forget_confirmations(&mut self) {
        self.confirmed_at = None;
        self.evidence.clear();
    }

    /// Drops what is known of members that are no longer in the roster.
    pub fn retain_members(&mut self, roster: &collections::BTreeSet<id::Instance>) {
        self.evidence.retain(|peer, _| roster.contains(peer));
    }

    /// Decides whether new work may start.
    ///
    /// `roster` includes the instance itself, `own`; it is `None` while it is not known.
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
        let heard = roster.iter().filter(is_recent).count();
        let roster = roster.len();
        if heard * 2 > roster {
            return Freshness::Covered { heard, roster };
        }
        Freshness::Stopped(StopReason::Minority { heard, roster })
    }

    fn note_evidence(&mut self, peer: &id::Instance, at: Millis) {
        match self.evidence.get_mut(peer) {
            Some(latest) => *latest = at.max(*latest),
            None => drop(self.evidence.insert(peer.clone(), at)),
        }
    }
}
