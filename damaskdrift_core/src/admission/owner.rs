//! The limit owner of a group of upstreams.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::admission;
use crate::id;
use crate::time::Millis;

/// Divides the limits of a group's upstreams among the instances.
///
/// Invariant: the slots held by all instances never grow beyond the limit of an upstream.
#[derive(Clone, Debug)]
pub struct Owner {
    fencing: id::FencingToken,
    /// Time at which the lease was acquired.
    acquired_at: Millis,
    fleet_max: u32,
    /// Members that have not reported their requests in flight.
    unreported_members: collections::BTreeSet<id::Instance>,
    upstreams: collections::BTreeMap<id::Upstream, UpstreamState>,
}

/// Response of the limit owner to a demand.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Upstream that the demand names.
    pub upstream: id::Upstream,
    /// Boot id of the upstream that the slots are valid for, absent until a load report names it.
    pub boot: Option<id::Boot>,
    /// Slots granted, including those in flight.
    pub slots: u32,
    /// Current limit across all instances.
    pub limit: u32,
    /// Whether the limit has grown to its warm value.
    pub is_warm: bool,
    /// Reason for the number of slots.
    pub reason: Reason,
}

/// Reason for the number of slots in a grant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reason {
    /// The demand was granted in full.
    Granted,
    /// Other instances hold the rest of the limit.
    LimitReached,
    /// Another instance has waited longer, so the grant is capped at an equal share.
    FairShare,
    /// The new owner does not know all requests in flight yet.
    TakingOver,
    /// No load report has named the boot id of the upstream yet.
    BootUnknown,
}

/// Load report of an upstream.
#[derive(Clone, Debug)]
pub struct Load {
    /// Boot id of the upstream.
    pub boot: id::Boot,
    /// Whether the upstream is in a cold start.
    pub is_cold: bool,
    /// Requests running and queued at the upstream.
    pub requests: u32,
    /// Time at which the report was received.
    pub received_at: Millis,
}

#[derive(Clone, Debug)]
struct UpstreamState {
    limit: admission::Limit,
    boot: Option<id::Boot>,
    is_takeover_complete: bool,
    /// Requests in flight that no member has reported.
    unattributed: u32,
    allotments: collections::BTreeMap<id::Instance, Allotment>,
}

#[derive(Clone, Debug)]
struct Allotment {
    boot: id::Boot,
    slots: u32,
    in_flight: u32,
    /// Slots that the member held when it sent its last demand.
    holding: u32,
    wants_slots: bool,
    /// Whether a restart of the upstream has ended its requests.
    is_ended: bool,
    expires_at: Millis,
    /// Time of the last grant beyond the requests in flight.
    last_granted: Millis,
    waiting_since: Option<Millis>,
}

impl Owner {
    /// Creates the owner that acquired the group's lease at `now` in a fleet of `members`.
    pub fn new(
        fencing: id::FencingToken,
        fleet_max: u32,
        members: collections::BTreeSet<id::Instance>,
        now: Millis,
    ) -> Self {
        let upstreams = collections::BTreeMap::new();
        Self { fencing, acquired_at: now, fleet_max, unreported_members: members, upstreams }
    }

    /// Returns the fencing token of the owner's lease.
    pub fn fencing(&self) -> id::FencingToken {
        self.fencing
    }

    /// Returns the members that have not reported their requests in flight.
    pub fn unreported_members(&self) -> impl Iterator<Item = &id::Instance> {
        self.unreported_members.iter()
    }

    /// Sets the bounds of an upstream's limit; changed bounds reset it to the cold limit.
    pub fn configure(&mut self, upstream: &id::Upstream, cold: u32, warm: u32) {
        let limit = admission::Limit::new(cold, warm);
        match self.upstreams.get_mut(upstream) {
            Some(state) if !state.limit.has_bounds(cold, warm) => state.limit = limit,
            Some(_) => {}
            None => {
                self.upstreams.insert(upstream.clone(), UpstreamState::new(limit));
            }
        }
    }

    /// Records a member's report of its requests in flight, as upstream, boot id and count.
    pub fn record_in_flight(
        &mut self,
        member: &id::Instance,
        entries: &[(id::Upstream, id::Boot, u32)],
        now: Millis,
    ) {
        for (upstream, boot, requests) in entries {
            let Some(state) = self.upstreams.get_mut(upstream) else {
                continue;
            };
            if *requests == 0 || state.allotments.contains_key(member) {
                continue;
            }
            let allotment = Allotment {
                boot: boot.clone(),
                slots: *requests,
                in_flight: *requests,
                holding: 0,
                wants_slots: false,
                is_ended: false,
                expires_at: now,
                last_granted: now,
                waiting_since: None,
            };
            state.allotments.insert(member.clone(), allotment);
        }
        self.unreported_members.remove(member);
    }

    /// Records a load report of an upstream.
    pub fn record_load(&mut self, upstream: &id::Upstream, load: &Load) {
        let acquired_at = self.acquired_at;
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        state.set_boot(&load.boot, load.received_at);
        state.limit.record_report(load.is_cold);
        state.reconcile(load, acquired_at);
    }

    /// Returns the grant for a member's demand that was sent no later than `now`, or `None` for an
    /// unknown upstream.
    pub fn grant(
        &mut self,
        member: &id::Instance,
        demand: &admission::Demand,
        now: Millis,
    ) -> Option<Grant> {
        let is_in_flight_known = self.unreported_members.is_empty()
            || now.since(self.acquired_at) >= admission::REQUEST_TTL + admission::ALLOTMENT_TTL;
        let fleet_max = self.fleet_max;
        let state = self.upstreams.get_mut(&demand.upstream)?;
        state.remove_expired(now);
        if is_in_flight_known {
            state.complete_takeover(0);
        }
        let reason = if !state.is_takeover_complete {
            Some(Reason::TakingOver)
        } else if state.boot.is_none() {
            Some(Reason::BootUnknown)
        } else {
            None
        };
        let (slots, reason) = match reason {
            Some(reason) => (0, reason),
            None => state.allocate(member, demand, fleet_max, now),
        };
        if reason != Reason::BootUnknown {
            state.limit.record_completions(demand.completed);
        }
        state.store_allotment(member, demand, slots, now);
        Some(Grant {
            upstream: demand.upstream.clone(),
            boot: state.boot.clone(),
            slots,
            limit: state.limit.value(),
            is_warm: state.limit.is_warm(),
            reason,
        })
    }

    /// Returns the most slots that all instances may hold at an upstream, and its limit.
    pub fn held(&self, upstream: &id::Upstream, now: Millis) -> Option<(u32, u32)> {
        let state = self.upstreams.get(upstream)?;
        Some((state.held_except(None, now), state.limit.value()))
    }
}

impl UpstreamState {
    fn new(limit: admission::Limit) -> Self {
        let allotments = collections::BTreeMap::new();
        Self { limit, boot: None, is_takeover_complete: false, unattributed: 0, allotments }
    }

    fn set_boot(&mut self, boot: &id::Boot, now: Millis) {
        if self.boot.as_ref() == Some(boot) {
            return;
        }
        for allotment in self.allotments.values_mut() {
            if Some(&allotment.boot) != self.boot.as_ref() {
                continue;
            }
            // The restart ended the requests, but the allotment may still be in use.
            allotment.is_ended = true;
            allotment.in_flight = 0;
            allotment.expires_at = allotment.expires_at.min(now + admission::ALLOTMENT_TTL);
        }
        self.boot = Some(boot.clone());
        self.unattributed = 0;
        self.limit.reset();
    }

    /// Corrects the counts of requests in flight with a load report.
    fn reconcile(&mut self, load: &Load, acquired_at: Millis) {
        if load.received_at.since(acquired_at) < takeover_delay() {
            return;
        }
        let reported: u32 = self.allotments.values().map(|allotment| allotment.in_flight).sum();
        self.complete_takeover(load.requests.saturating_sub(reported));
        self.unattributed = self.unattributed.min(load.requests);
        for allotment in self.allotments.values_mut() {
            if load.received_at >= allotment.expires_at + admission::MAX_REPORT_DELAY {
                allotment.slots = allotment.slots.min(load.requests);
                allotment.holding = allotment.holding.min(load.requests);
                allotment.in_flight = allotment.in_flight.min(load.requests);
            }
        }
    }

    /// Ends the takeover, given the requests in flight that no member has reported.
    fn complete_takeover(&mut self, unattributed: u32) {
        if self.is_takeover_complete {
            return;
        }
        self.is_takeover_complete = true;
        self.unattributed = unattributed;
        let reported: u32 = self.allotments.values().map(|allotment| allotment.in_flight).sum();
        self.limit.resume(reported);
    }

    fn remove_expired(&mut self, now: Millis) {
        self.allotments.retain(|_, allotment| {
            let retention =
                if allotment.is_ended { Millis::default() } else { admission::REQUEST_TTL };
            now < allotment.expires_at + retention
        });
    }

    fn allocate(
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
            .saturating_sub(self.held_except(Some(member), now));
        let last_granted = self
            .allotments
            .get(member)
            .map_or(Millis::default(), |allotment| allotment.last_granted);
        let is_waiting = |allotment: &Allotment| {
            allotment.waiting_since.is_some_and(|since| since <= last_granted)
        };
        if self.allotments.iter().any(|(other, allotment)| other != member && is_waiting(allotment))
        {
            // With more waiting instances than slots the fair share is zero, so that they take
            // turns.
            let fair_share =
                self.limit.value().saturating_sub(reserved) / self.demanding_count(member);
            return (free.min(demand.wanted).min(fair_share), Reason::FairShare);
        }
        if demand.wanted <= free {
            return (demand.wanted, Reason::Granted);
        }
        (free, Reason::LimitReached)
    }

    /// Returns the number of instances that request slots, including the member.
    fn demanding_count(&self, member: &id::Instance) -> u32 {
        let others = self
            .allotments
            .iter()
            .filter(|(other, allotment)| *other != member && allotment.wants_slots);
        u32::try_from(others.count()).unwrap_or(u32::MAX).saturating_add(1)
    }

    fn store_allotment(
        &mut self,
        member: &id::Instance,
        demand: &admission::Demand,
        slots: u32,
        now: Millis,
    ) {
        let Some(boot) = self.boot.as_ref().or(demand.boot.as_ref()) else {
            return;
        };
        let previous = self.allotments.get(member);
        let waiting_since = (slots <= demand.in_flight && demand.wanted > demand.in_flight)
            .then(|| previous.and_then(|allotment| allotment.waiting_since).unwrap_or(now));
        let last_granted = if slots > demand.in_flight {
            now
        } else {
            previous.map_or(Millis::default(), |allotment| allotment.last_granted)
        };
        // A demand with another boot id gives no information about requests of the current boot.
        let (in_flight, holding) = if demand.boot.as_ref() == Some(boot) {
            (demand.in_flight, demand.holding)
        } else {
            (0, 0)
        };
        let allotment = Allotment {
            boot: boot.clone(),
            slots,
            in_flight,
            wants_slots: demand.wanted > 0,
            is_ended: false,
            holding,
            expires_at: now + admission::ALLOTMENT_TTL,
            last_granted,
            waiting_since,
        };
        self.allotments.insert(member.clone(), allotment);
    }

    fn held_except(&self, member: Option<&id::Instance>, now: Millis) -> u32 {
        let is_held = |allotment: &Allotment| !allotment.is_ended || now < allotment.expires_at;
        let allotments = self
            .allotments
            .iter()
            .filter(|(other, allotment)| Some(*other) != member && is_held(allotment));
        let held: u32 = allotments.map(|(_, allotment)| allotment.held()).sum();
        held + self.unattributed
    }
}

impl Allotment {
    /// Returns the most slots that the member may be using.
    ///
    /// Until its next demand the member may not have received the current grant, so the slots that
    /// it held when it sent the demand count as well.
    fn held(&self) -> u32 {
        self.slots.max(self.in_flight).max(self.holding)
    }
}

/// Returns the time after which all allotments of an earlier owner have expired and a load report
/// shows the requests that they left in flight.
fn takeover_delay() -> Millis {
    admission::ALLOTMENT_TTL + admission::MAX_REPORT_DELAY
}
