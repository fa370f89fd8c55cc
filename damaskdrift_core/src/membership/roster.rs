//! Members of the fleet, from the platform's list, which lags, and from direct contact.

use std::collections;
use std::net;

use derive_more::Display;

use crate::id;
use crate::time::Millis;

/// Time without contact after which a peer is [`Liveness::Suspect`].
pub const SUSPECT_AFTER: Millis = Millis(1_000);
/// Time without contact after which a peer is [`Liveness::Dead`].
pub const DEAD_AFTER: Millis = Millis(3_000);
/// Time without contact after which a peer that the platform's list does not contain is removed.
pub const UNLISTED_PEER_TTL: Millis = Millis(10_000);
/// How long a member still counts in the roster after the platform's list dropped it.
///
/// Instances read the list at different times. Without this retention, one that reads it early
/// could find a majority in a smaller roster than the one used by the writer of a change.
pub const ROSTER_RETENTION: Millis = Millis(5_000);

/// An entry instance as given in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name under which the instance introduces itself to peers.
    pub instance: id::Instance,
    /// Address on which it accepts connections from peers.
    pub address: net::SocketAddr,
    /// Failure domain in which the platform runs it.
    pub failure_domain: id::FailureDomain,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// Liveness of a peer as seen by this instance.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Liveness {
    /// Without contact so far or since contacts were last cleared.
    #[display("new")]
    New,
    /// In contact within [`SUSPECT_AFTER`].
    #[display("alive")]
    Alive,
    /// Without contact for more than [`SUSPECT_AFTER`].
    #[display("suspect")]
    Suspect,
    /// Without contact for more than [`DEAD_AFTER`].
    #[display("dead")]
    Dead,
    /// Draining by its own report, or leaving or missing in the platform's list.
    #[display("leaving")]
    Leaving,
}

/// The members of the fleet as one instance sees them.
#[derive(Clone, Debug)]
pub struct Membership {
    own: id::Instance,
    own_domain: id::FailureDomain,
    is_listed: bool,
    members: collections::BTreeMap<id::Instance, Member>,
}

#[derive(Clone, Debug)]
struct Member {
    address: Option<net::SocketAddr>,
    failure_domain: id::FailureDomain,
    boot: Option<id::Boot>,
    listing: Listing,
    reports_leaving: bool,
    last_contact: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Listing {
    /// Known only from direct contact.
    Unlisted,
    /// In the list and not marked as leaving.
    Live,
    /// Marked as leaving, or missing, in the list since that time.
    Dropped(Millis),
}

impl Membership {
    /// Creates the view of an instance that knows only itself.
    pub fn new(own: id::Instance, own_domain: id::FailureDomain) -> Self {
        Self { own, own_domain, is_listed: false, members: collections::BTreeMap::new() }
    }

    /// Returns the name of this instance.
    pub fn own(&self) -> &id::Instance {
        &self.own
    }

    /// Updates the members from a read of the platform's list.
    ///
    /// Members missing in the list are removed once [`ROSTER_RETENTION`] and [`UNLISTED_PEER_TTL`]
    /// have passed.
    pub fn apply_list(&mut self, listed: &[Listed], now: Millis) {
        self.is_listed = true;
        for entry in listed {
            if entry.instance == self.own {
                continue;
            }
            self.apply_entry(entry, now);
        }
        let names: collections::BTreeSet<_> = listed.iter().map(|entry| &entry.instance).collect();
        for (name, member) in &mut self.members {
            if member.listing == Listing::Live && !names.contains(name) {
                member.listing = Listing::Dropped(now);
            }
        }
        self.remove_expired(&names, now);
    }

    /// Records that a connection to a peer was opened and adds the peer if it is unknown.
    ///
    /// A new boot id clears an earlier report that the peer is leaving.
    pub fn record_hello(
        &mut self,
        peer: &id::Instance,
        domain: &id::FailureDomain,
        boot: &id::Boot,
        now: Millis,
    ) {
        if *peer == self.own {
            return;
        }
        let member = self.members.entry(peer.clone()).or_insert_with(|| Member::new(domain));
        if member.boot.as_ref() != Some(boot) {
            member.boot = Some(boot.clone());
            member.reports_leaving = false;
        }
        member.last_contact = member.last_contact.max(Some(now));
    }

    /// Records a message from a known peer, with its report whether it is leaving.
    pub fn record_message(&mut self, peer: &id::Instance, leaving: bool, now: Millis) {
        if let Some(member) = self.members.get_mut(peer) {
            member.last_contact = member.last_contact.max(Some(now));
            member.reports_leaving |= leaving;
        }
    }

    /// Records that another peer was in contact with a member at `at`.
    pub fn record_indirect_contact(&mut self, peer: &id::Instance, at: Millis) {
        if let Some(member) = self.members.get_mut(peer) {
            member.last_contact = member.last_contact.max(Some(at));
        }
    }

    /// Clears the times of last contact, which are not valid after a pause of the process.
    pub fn clear_contacts(&mut self) {
        for member in self.members.values_mut() {
            member.last_contact = None;
        }
    }

    /// Returns the liveness of a peer, or `None` if it is not a member.
    pub fn liveness(&self, peer: &id::Instance, now: Millis) -> Option<Liveness> {
        self.members.get(peer).map(|member| member.liveness(now))
    }

    /// Returns the address of a peer's listener, or `None` for a peer that was never listed.
    pub fn address(&self, peer: &id::Instance) -> Option<net::SocketAddr> {
        self.members.get(peer)?.address
    }

    /// Returns all peers whose address is known, without this instance.
    pub fn peers(&self) -> Vec<id::Instance> {
        let reachable = self.members.iter().filter(|(_, member)| member.address.is_some());
        reachable.map(|(name, _)| name.clone()).collect()
    }

    /// Returns all members with their failure domain and liveness, without this instance.
    pub fn members(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (&id::Instance, &id::FailureDomain, Liveness)> {
        self.members.iter().map(move |(name, m)| (name, &m.failure_domain, m.liveness(now)))
    }

    /// Returns the instances that are alive, this one included, with their failure domains.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = (&id::Instance, &id::FailureDomain)> {
        let others = self.members(now).filter(|(_, _, liveness)| *liveness == Liveness::Alive);
        std::iter::once((&self.own, &self.own_domain))
            .chain(others.map(|(name, domain, _)| (name, domain)))
    }

    /// Returns the members that count for majorities, this instance included, or `None` until the
    /// platform's list was read.
    ///
    /// Peers known only from contact count as well. A listed member still counts when it is dead or
    /// reports that it is leaving. Otherwise each side of a partition could find a majority in
    /// itself.
    pub fn roster(&self, now: Millis) -> Option<collections::BTreeSet<id::Instance>> {
        if !self.is_listed {
            return None;
        }
        let counted = self.members.iter().filter(|(_, member)| member.is_in_roster(now));
        let mut roster: collections::BTreeSet<_> = counted.map(|(name, _)| name.clone()).collect();
        roster.insert(self.own.clone());
        Some(roster)
    }

    fn apply_entry(&mut self, entry: &Listed, now: Millis) {
        let new = || Member::new(&entry.failure_domain);
        let member = self.members.entry(entry.instance.clone()).or_insert_with(new);
        member.address = Some(entry.address);
        member.failure_domain = entry.failure_domain.clone();
        member.listing = match (entry.leaving, member.listing) {
            (false, _) => Listing::Live,
            (true, Listing::Dropped(since)) => Listing::Dropped(since),
            (true, _) => Listing::Dropped(now),
        };
    }

    fn remove_expired(&mut self, listed: &collections::BTreeSet<&id::Instance>, now: Millis) {
        self.members.retain(|name, member| {
            if listed.contains(name) {
                return true;
            }
            let is_silent = member.last_contact.is_none_or(|at| now.since(at) > UNLISTED_PEER_TTL);
            match member.listing {
                Listing::Live => true,
                Listing::Unlisted => !is_silent,
                Listing::Dropped(since) => !is_silent || now.since(since) <= ROSTER_RETENTION,
            }
        });
    }
}

impl Member {
    fn new(domain: &id::FailureDomain) -> Self {
        Self {
            address: None,
            failure_domain: domain.clone(),
            boot: None,
            listing: Listing::Unlisted,
            reports_leaving: false,
            last_contact: None,
        }
    }

    fn liveness(&self, now: Millis) -> Liveness {
        if self.reports_leaving || matches!(self.listing, Listing::Dropped(_)) {
            return Liveness::Leaving;
        }
        let Some(last_contact) = self.last_contact else { return Liveness::New };
        match now.since(last_contact) {
            silence if silence > DEAD_AFTER => Liveness::Dead,
            silence if silence > SUSPECT_AFTER => Liveness::Suspect,
            _ => Liveness::Alive,
        }
    }

    fn is_in_roster(&self, now: Millis) -> bool {
        match self.listing {
            Listing::Unlisted | Listing::Live => true,
            Listing::Dropped(since) => now.since(since) <= ROSTER_RETENTION,
        }
    }
}
