//! The limit owner of a group of upstreams.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::admission;
use crate::id;
use crate::time::Millis;

/// Divides the limits of a group's upstreams among the instances.
///
/// Invariant: what is held by all instances never grows beyond the limit of an upstream.
#[derive(Clone, Debug)]
pub struct Owner {
    fencing: id::FencingToken,
    taken: Millis,
    fleet_max: u32,
    unreported: collections::BTreeSet<id::Instance>,
    ledgers: collections::BTreeMap<id::Upstream, Ledger>,
}

/// Answers a demand.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The start of the upstream that the slots are bound to, if it is known.
    pub boot: Option<id::Boot>,
    /// Slots granted, those in flight included.
    pub slots: u32,
    /// The present limit over all instances.
    pub limit: u32,
    /// Whether the limit has grown to its warm value.
    pub is_warm: bool,
    /// Why no more was granted.
    pub reason: Reason,
}

/// Says why a grant is what it is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reason {
    /// All that was wanted.
    Granted,
    /// The limit is held by others.
    LimitReached,
    /// Another instance has waited longer.
    FairShare,
    /// The owner does not yet know what is in flight.
    TakingOver,
    /// No load report has named the present start of the upstream yet.
    BootUnknown,
}

/// An upstream's report of its load.
#[derive(Clone, Debug)]
pub struct Load {
    /// The start of the upstream.
    pub boot: id::Boot,
    /// Whether it is in a cold start.
    pub is_cold: bool,
    /// Requests running and queued.
    pub requests: u32,
    /// When the report was received.
    pub received: Millis,
}

#[derive(Clone, Debug)]
struct Ledger {
    limit: admission::Limit,
    boot: Option<id::Boot>,
    is_settled: bool,
    unexplained: u32,
    shares: collections::BTreeMap<id::Instance, Share>,
}

#[derive(Clone, Debug)]
struct Share {
    boot: id::Boot,
    slots: u32,
    in_flight: u32,
    holding: u32,
    is_asking: bool,
    is_ended: bool,
    expires: Millis,
    granted: Millis,
    waiting_since: Option<Millis>,
}

impl Owner {
    /// Creates the owner that took the group's lease at `now` from a fleet of `members`.
    pub fn new(
        fencing: id::FencingToken,
        fleet_max: u32,
        members: collections::BTreeSet<id::Instance>,
        now: Millis,
    ) -> Self {
        let ledgers = collections::BTreeMap::new();
        Self { fencing, taken: now, fleet_max, unreported: members, ledgers }
    }

    /// Returns the fencing number of the owner's lease.
    pub fn fencing(&self) -> id::FencingToken {
        self.fencing
    }

    /// Returns the members whose requests in flight are not known.
    pub fn unreported(&self) -> impl Iterator<Item = &id::Instance> {
        self.unreported.iter()
    }

    /// Sets the limits of an upstream; changed limits start cold again.
    pub fn configure(&mut self, upstream: &id::Upstream, cold: u32, warm: u32) {
        let limit = admission::Limit::new(cold, warm);
        match self.ledgers.get_mut(upstream) {
            Some(ledger) if !ledger.limit.has_bounds(cold, warm) => ledger.limit = limit,
            Some(_) => {}
            None => {
                self.ledgers.insert(upstream.clone(), Ledger::new(limit));
            }
        }
    }

    /// Takes a member's report of what it has in flight, given as upstream, boot id and count.
    pub fn report_in_flight(
        &mut self,
        member: &id::Instance,
        entries: &[(id::Upstream, id::Boot, u32)],
        now: Millis,
    ) {
        for (upstream, boot, requests) in entries {
            let Some(ledger) = self.ledgers.get_mut(upstream) else {
                continue;
            };
            if *requests == 0 || ledger.shares.contains_key(member) {
                continue;
            }
            let share = Share {
                boot: boot.clone(),
                slots: *requests,
                in_flight: *requests,
                holding: 0,
                is_asking: false,
                is_ended: false,
                expires: now,
                granted: now,
                waiting_since: None,
            };
            ledger.shares.insert(member.clone(), share);
        }
        self.unreported.remove(member);
    }

    /// Takes an upstream's load report.
    pub fn report_load(&mut self, upstream: &id::Upstream, load: &Load) {
        let taken = self.taken;
        let Some(ledger) = self.ledgers.get_mut(upstream) else {
            return;
        };
        ledger.install_boot(&load.boot, load.received);
        ledger.limit.report(load.is_cold);
        ledger.explain(load, taken);
    }

    /// Answers a demand of a member that was sent no later than `now`.
    pub fn grant(
        &mut self,
        member: &id::Instance,
        demand: &admission::Demand,
        now: Millis,
    ) -> Option<Grant> {
        let is_known = self.unreported.is_empty()
            || now.since(self.taken) >= admission::REQUEST_LIFE + admission::ALLOTMENT_LIFE;
        let fleet_max = self.fleet_max;
        let ledger = self.ledgers.get_mut(&demand.upstream)?;
        ledger.drop_finished(now);
        if is_known {
            ledger.settle(0);
        }
        let reason = if !ledger.is_settled {
            Some(Reason::TakingOver)
        } else if ledger.boot.is_none() {
            Some(Reason::BootUnknown)
        } else {
            None
        };
        let (slots, reason) = match reason {
            Some(reason) => (0, reason),
            None => ledger.divide(member, demand, fleet_max, now),
        };
        if reason != Reason::BootUnknown {
            ledger.limit.complete(demand.completed);
        }
        ledger.store(member, demand, slots, now);
        Some(Grant {
            upstream: demand.upstream.clone(),
            boot: ledger.boot.clone(),
            slots,
            limit: ledger.limit.value(),
            is_warm: ledger.limit.is_warm(),
            reason,
        })
    }

    /// Returns what all instances hold at an upstream at most, and its limit.
    pub fn held(&self, upstream: &id::Upstream, now: Millis) -> Option<(u32, u32)> {
        let ledger = self.ledgers.get(upstream)?;
        Some((ledger.held_by_others(None, now), ledger.limit.value()))
    }
}

impl Ledger {
    fn new(limit: admission::Limit) -> Self {
        let shares = collections::BTreeMap::new();
        Self { limit, boot: None, is_settled: false, unexplained: 0, shares }
    }

    fn install_boot(&mut self, boot: &id::Boot, now: Millis) {
        if self.boot.as_ref() == Some(boot) {
            return;
        }
        for share in self.shares.values_mut() {
            if Some(&share.boot) != self.boot.as_ref() {
                continue;
            }
            // The restart ended the requests; only the allotment may still be in use.
            share.is_ended = true;
            share.in_flight = 0;
            share.expires = share.expires.min(now + admission::ALLOTMENT_LIFE);
        }
        self.boot = Some(boot.clone());
        self.unexplained = 0;
        self.limit.reset();
    }

    /// Learns from a load report what the members have not reported.
    fn explain(&mut self, load: &Load, taken: Millis) {
        if load.received.since(taken) < takeover() {
            return;
        }
        let reported: u32 = self.shares.values().map(|share| share.in_flight).sum();
        self.settle(load.requests.saturating_sub(reported));
        self.unexplained = self.unexplained.min(load.requests);
        for share in self.shares.values_mut() {
            if load.received >= share.expires + admission::REPORT_LAG {
                share.slots = share.slots.min(load.requests);
                share.holding = share.holding.min(load.requests);
                share.in_flight = share.in_flight.min(load.requests);
            }
        }
    }

    /// Ends the takeover with what is in flight beyond the members' reports.
    fn settle(&mut self, unexplained: u32) {
        if self.is_settled {
            return;
        }
        self.is_settled = true;
        self.unexplained = unexplained;
        let reported: u32 = self.shares.values().map(|share| share.in_flight).sum();
        self.limit.resume(reported);
    }

    fn drop_finished(&mut self, now: Millis) {
        self.shares.retain(|_, share| {
            let life = if share.is_ended { Millis::default() } else { admission::REQUEST_LIFE };
            now < share.expires + life
        });
    }

    fn divide(
        &self,
        member: &id::Instance,
        demand: &admission::Demand,
        fleet_max: u32,
        now: Millis,
    ) -> (u32, Reason) {
        let reserved = admission::static_share(self.limit.cold(), fleet_max) * fleet_max;
        let free = self
            .limit
            .value()
            .saturating_sub(reserved)
            .saturating_sub(self.held_by_others(Some(member), now));
        let granted = self.shares.get(member).map_or(Millis::default(), |share| share.granted);
        let is_waiting = |share: &Share| share.waiting_since.is_some_and(|since| since <= granted);
        if self.shares.iter().any(|(other, share)| other != member && is_waiting(share)) {
            // With more waiting instances than slots the share is zero, so that they take turns.
            let fair = self.limit.value().saturating_sub(reserved) / self.demanding(member);
            return (free.min(demand.wanted).min(fair), Reason::FairShare);
        }
        if demand.wanted <= free {
            return (demand.wanted, Reason::Granted);
        }
        (free, Reason::LimitReached)
    }

    /// Returns how many instances ask for slots, the member included.
    fn demanding(&self, member: &id::Instance) -> u32 {
        let others =
            self.shares.iter().filter(|(other, share)| *other != member && share.is_asking);
        u32::try_from(others.count()).unwrap_or(u32::MAX).saturating_add(1)
    }

    fn store(
        &mut self,
        member: &id::Instance,
        demand: &admission::Demand,
        slots: u32,
        now: Millis,
    ) {
        let Some(boot) = self.boot.as_ref().or(demand.boot.as_ref()) else {
            return;
        };
        let previous = self.shares.get(member);
        let waiting_since = (slots <= demand.in_flight && demand.wanted > demand.in_flight)
            .then(|| previous.and_then(|share| share.waiting_since).unwrap_or(now));
        let granted = if slots > demand.in_flight {
            now
        } else {
            previous.map_or(Millis::default(), |share| share.granted)
        };
        // A demand under another boot says nothing of requests under the present one.
        let (in_flight, holding) = if demand.boot.as_ref() == Some(boot) {
            (demand.in_flight, demand.holding)
        } else {
            (0, 0)
        };
        let share = Share {
            boot: boot.clone(),
            slots,
            in_flight,
            is_asking: demand.wanted > 0,
            is_ended: false,
            holding,
            expires: now + admission::ALLOTMENT_LIFE,
            granted,
            waiting_since,
        };
        self.shares.insert(member.clone(), share);
    }

    fn held_by_others(&self, member: Option<&id::Instance>, now: Millis) -> u32 {
        let is_held = |share: &Share| !share.is_ended || now < share.expires;
        let shares =
            self.shares.iter().filter(|(other, share)| Some(*other) != member && is_held(share));
        let held: u32 = shares.map(|(_, share)| share.held()).sum();
        held + self.unexplained
    }
}

impl Share {
    /// Returns the slots that the member may be using.
    ///
    /// Until its next demand the member may not have seen the present grant, so what it held when
    /// it asked counts as well.
    fn held(&self) -> u32 {
        self.slots.max(self.in_flight).max(self.holding)
    }
}

/// Returns the time after which all allotments of an earlier owner have expired and a load report
/// shows what they left in flight.
fn takeover() -> Millis {
    admission::ALLOTMENT_LIFE + admission::REPORT_LAG
}
