//! The members of the fleet: from the platform's list, which lags, and from contact.

use std::collections;
use std::net;

use derive_more::Display;

use crate::id;
use crate::time::Millis;

/// Silence after which a peer is suspected.
pub const SUSPECT_AFTER: Millis = Millis(1_000);
/// Silence after which a peer is considered dead.
pub const DEAD_AFTER: Millis = Millis(3_000);
/// Silence after which a peer that was never listed is forgotten.
pub const CONTACT_EXPIRY: Millis = Millis(10_000);
/// How long a member still counts in the roster after the list dropped it. Instances read the
/// list at different moments; without this hold one that reads it early could find a majority in
/// a smaller roster than that of the writer of a change.
pub const ROSTER_HOLD: Millis = Millis(5_000);

/// An entry instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// The instance.
    pub instance: id::Instance,
    /// Its peer listener.
    pub address: net::SocketAddr,
    /// The failure domain it stands in.
    pub failure_domain: id::FailureDomain,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// How a peer looks from here.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Liveness {
    /// Listed, but never heard.
    #[display("new")]
    New,
    /// Heard lately.
    #[display("alive")]
    Alive,
    /// Silent for more than [`SUSPECT_AFTER`].
    #[display("suspect")]
    Suspect,
    /// Silent for more than [`DEAD_AFTER`].
    #[display("dead")]
    Dead,
    /// Leaving by its own word or by the list.
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
    says_leaving: bool,
    heard: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Listing {
    /// Known from contact only.
    Unlisted,
    Live,
    /// Leaving or gone from the list since that moment.
    Dropped(Millis),
}

impl Membership {
    /// Creates the membership of an instance that knows only itself.
    pub fn new(own: id::Instance, own_domain: id::FailureDomain) -> Self {
        Self { own, own_domain, is_listed: false, members: collections::BTreeMap::new() }
    }

    /// Returns the instance that holds this view.
    pub fn own(&self) -> &id::Instance {
        &self.own
    }

    /// Takes a reading of the platform's list.
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
        self.expire(&names, now);
    }

    /// Notes that a peer introduced itself; a new boot id ends an earlier word that it leaves.
    pub fn contact(
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
            member.says_leaving = false;
        }
        member.heard = member.heard.max(Some(now));
    }

    /// Notes a message from a peer, with its word whether it is leaving.
    pub fn heard(&mut self, peer: &id::Instance, leaving: bool, now: Millis) {
        if let Some(member) = self.members.get_mut(peer) {
            member.heard = member.heard.max(Some(now));
            member.says_leaving |= leaving;
        }
    }

    /// Notes that another peer heard a member at `at`.
    pub fn heard_indirectly(&mut self, peer: &id::Instance, at: Millis) {
        if let Some(member) = self.members.get_mut(peer) {
            member.heard = member.heard.max(Some(at));
        }
    }

    /// Forgets when peers were heard, as after a pause of the process.
    pub fn forget_contacts(&mut self) {
        for member in self.members.values_mut() {
            member.heard = None;
        }
    }

    /// Returns how a peer looks, or `None` when it is no member.
    pub fn liveness(&self, peer: &id::Instance, now: Millis) -> Option<Liveness> {
        self.members.get(peer).map(|member| member.liveness(now))
    }

    /// Returns the address of a peer's listener.
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

    /// Returns the members that count for majorities, this instance included; `None` until the
    /// list was read.
    ///
    /// Silence does not remove a member, and neither does its own word that it leaves: otherwise
    /// each side of a partition could find a majority in itself.
    pub fn roster(&self, now: Millis) -> Option<collections::BTreeSet<id::Instance>> {
        if !self.is_listed {
            return None;
        }
        let counted = self.members.iter().filter(|(_, member)| member.counts(now));
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

    fn expire(&mut self, names: &collections::BTreeSet<&id::Instance>, now: Millis) {
        self.members.retain(|name, member| {
            if names.contains(name) {
                return true;
            }
            let is_silent = member.heard.is_none_or(|at| now.since(at) > CONTACT_EXPIRY);
            match member.listing {
                Listing::Live => true,
                Listing::Unlisted => !is_silent,
                Listing::Dropped(since) => !is_silent || now.since(since) <= ROSTER_HOLD,
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
            says_leaving: false,
            heard: None,
        }
    }

    fn liveness(&self, now: Millis) -> Liveness {
        if self.says_leaving || matches!(self.listing, Listing::Dropped(_)) {
            return Liveness::Leaving;
        }
        let Some(heard) = self.heard else { return Liveness::New };
        match now.since(heard) {
            silence if silence > DEAD_AFTER => Liveness::Dead,
            silence if silence > SUSPECT_AFTER => Liveness::Suspect,
            _ => Liveness::Alive,
        }
    }

    fn counts(&self, now: Millis) -> bool {
        match self.listing {
            Listing::Unlisted | Listing::Live => true,
            Listing::Dropped(since) => now.since(since) <= ROSTER_HOLD,
        }
    }
}
