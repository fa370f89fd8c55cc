//! The request slots of one instance at its upstreams.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::admission;
use crate::id;
use crate::time::Millis;

/// Checks the requests in flight to each upstream against its allotment and static share.
#[derive(Clone, Debug, Default)]
pub struct SlotPool {
    fleet_max: u32,
    groups_without_owner: collections::BTreeSet<u16>,
    entries: collections::BTreeMap<id::Upstream, UpstreamSlots>,
}

/// Permission to have one request in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// Boot id of the upstream that the slot is valid for; `None` permits any.
    pub boot: Option<id::Boot>,
}

/// Reason why no slot was acquired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The upstream is not configured.
    UnknownUpstream,
    /// All slots are in use, or the instance has none.
    Exhausted,
}

/// Slots that one instance uses and requests at one upstream, sent to the limit owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Upstream at which slots are requested.
    pub upstream: id::Upstream,
    /// Boot id of the upstream in the last grant, absent while none has named it.
    pub boot: Option<id::Boot>,
    /// Requests in flight beyond the static share.
    pub in_flight: u32,
    /// Slots of the current allotment; zero when it is no longer valid.
    pub holding: u32,
    /// Slots requested beyond the static share, including those in flight.
    pub wanted: u32,
    /// Responses completed since the last demand.
    pub completed: u32,
}

#[derive(Clone, Debug, Default)]
struct UpstreamSlots {
    static_share: u32,
    boot: Option<id::Boot>,
    allotted_slots: u32,
    is_warm: bool,
    expires_at: Millis,
    in_flight: u32,
    waiting: u32,
    peak_in_flight: u32,
    completed: u32,
    last_used: Option<Millis>,
}

/// Slots requested beyond the recent peak at a warm upstream, so that bursts need no new grant.
const HEADROOM_SLOTS: u32 = 2;
/// Time after the last request to an upstream at which the instance stops demanding slots there.
const IDLE_TIMEOUT: Millis = Millis::from_secs(5);

impl SlotPool {
    /// Creates a pool without upstreams, for a fleet of at most `fleet_max` instances.
    pub fn new(fleet_max: u32) -> Self {
        Self { fleet_max, ..Self::default() }
    }

    /// Sets the cold limit of an upstream, which determines the static share.
    pub fn configure(&mut self, upstream: &id::Upstream, cold_limit: u32) {
        let share = admission::static_share(cold_limit, self.fleet_max);
        self.entries.entry(upstream.clone()).or_default().static_share = share;
    }

    /// Acquires a slot.
    ///
    /// # Errors
    ///
    /// Returns the reason when the upstream is unknown or all its slots are in use.
    pub fn acquire(&mut self, upstream: &id::Upstream, now: Millis) -> Result<Slot, Refusal> {
        let entry = self.entries.get_mut(upstream).ok_or(Refusal::UnknownUpstream)?;
        entry.last_used = Some(now);
        let has_owner = !self.groups_without_owner.contains(&admission::group(upstream));
        let usable = entry.usable_slots(has_owner, now);
        if entry.in_flight >= entry.static_share + usable {
            return Err(Refusal::Exhausted);
        }
        entry.in_flight += 1;
        entry.peak_in_flight = entry.peak_in_flight.max(entry.in_flight);
        let boot = if usable > 0 { entry.boot.clone() } else { None };
        Ok(Slot { boot })
    }

    /// Records whether the limit owner of a group responds.
    ///
    /// Without an owner no instance redistributes the limits, so allotments at warm upstreams stay
    /// valid beyond their TTL.
    pub fn record_owner_reachable(&mut self, group: u16, is_reachable: bool) {
        if is_reachable {
            self.groups_without_owner.remove(&group);
        } else {
            self.groups_without_owner.insert(group);
        }
    }

    /// Releases a slot.
    pub fn release(&mut self, upstream: &id::Upstream) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Adds `change` to the number of requests that wait for a slot.
    pub fn add_waiting(&mut self, upstream: &id::Upstream, change: i32, now: Millis) {
        // A request that arrives before the upstream is configured must be counted as well.
        let entry = self.entries.entry(upstream.clone()).or_default();
        entry.waiting = entry.waiting.saturating_add_signed(change);
        entry.last_used = Some(now);
    }

    /// Counts a completed response, unless it came from another boot of the upstream.
    pub fn record_completion(&mut self, upstream: &id::Upstream, boot: &id::Boot) {
        let Some(entry) = self.entries.get_mut(upstream) else {
            return;
        };
        if entry.boot.as_ref() == Some(boot) {
            entry.completed += 1;
        }
    }

    /// Drops the allotment of an upstream whose connection was lost.
    pub fn drop_allotment(&mut self, upstream: &id::Upstream) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.drop_allotment();
        }
    }

    /// Drops all allotments after a pause of the process.
    pub fn drop_all_allotments(&mut self) {
        for entry in self.entries.values_mut() {
            entry.drop_allotment();
        }
    }

    /// Returns the demands for the upstreams of a group that are in use, and resets the counters of
    /// completed responses and peaks.
    pub fn take_demands(&mut self, group: u16, now: Millis) -> Vec<Demand> {
        let has_owner = !self.groups_without_owner.contains(&group);
        let mut demands = Vec::new();
        for (upstream, entry) in &mut self.entries {
            if admission::group(upstream) != group || !entry.is_in_use(now) {
                continue;
            }
            demands.push(entry.demand(upstream, has_owner, now));
            entry.completed = 0;
            entry.peak_in_flight = entry.in_flight;
        }
        demands
    }

    /// Returns the number of requests in flight beyond the static share for each upstream of a
    /// group and its boot id.
    pub fn in_flight(&self, group: u16) -> Vec<(id::Upstream, id::Boot, u32)> {
        let mut in_flight = Vec::new();
        for (upstream, entry) in &self.entries {
            let Some(boot) = &entry.boot else {
                continue;
            };
            if admission::group(upstream) == group && entry.in_flight_beyond_share() > 0 {
                in_flight.push((upstream.clone(), boot.clone(), entry.in_flight_beyond_share()));
            }
        }
        in_flight
    }

    /// Drops the allotments at cold upstreams of a group, when a new owner requests the report of
    /// requests in flight.
    pub fn drop_cold_allotments(&mut self, group: u16) {
        for (upstream, entry) in &mut self.entries {
            // A warm upstream cannot be overloaded the way a cold one can, so its allotment stays
            // valid until the new owner has determined the limit again.
            if admission::group(upstream) == group && !entry.is_warm {
                entry.allotted_slots = 0;
            }
        }
    }

    /// Applies the grant for a demand that was sent at `requested_at`.
    pub fn install_grant(&mut self, grant: &admission::Grant, requested_at: Millis) {
        let Some(entry) = self.entries.get_mut(&grant.upstream) else {
            return;
        };
        if grant.reason == admission::Reason::TakingOver && entry.is_warm {
            // The new owner grants nothing yet, so the previous owner's allotment stays valid.
            entry.expires_at = entry.expires_at.max(requested_at + admission::ALLOTMENT_TTL);
            return;
        }
        entry.boot.clone_from(&grant.boot);
        entry.allotted_slots = grant.slots;
        entry.is_warm = grant.is_warm;
        entry.expires_at = requested_at + admission::ALLOTMENT_TTL;
    }
}

impl UpstreamSlots {
    fn usable_slots(&self, has_owner: bool, now: Millis) -> u32 {
        let is_valid = now < self.expires_at || (self.is_warm && !has_owner);
        if self.boot.is_some() && is_valid { self.allotted_slots } else { 0 }
    }

    fn in_flight_beyond_share(&self) -> u32 {
        self.in_flight.saturating_sub(self.static_share)
    }

    fn is_in_use(&self, now: Millis) -> bool {
        let is_recent = self.last_used.is_some_and(|used| now.since(used) < IDLE_TIMEOUT);
        self.in_flight > 0 || self.waiting > 0 || is_recent
    }

    fn demand(&self, upstream: &id::Upstream, has_owner: bool, now: Millis) -> Demand {
        let peak_demand = self.peak_in_flight.max(self.in_flight).saturating_add(self.waiting);
        let wanted = if self.is_warm {
            peak_demand + peak_demand / 4 + HEADROOM_SLOTS
        } else {
            self.in_flight + self.waiting.max(1)
        };
        Demand {
            upstream: upstream.clone(),
            boot: self.boot.clone(),
            in_flight: self.in_flight_beyond_share(),
            holding: self.usable_slots(has_owner, now),
            wanted: wanted.saturating_sub(self.static_share),
            completed: self.completed,
        }
    }

    fn drop_allotment(&mut self) {
        self.allotted_slots = 0;
        self.is_warm = false;
    }
}
