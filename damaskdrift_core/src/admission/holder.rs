//! The slots that one instance holds at upstreams.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::admission;
use crate::id;
use crate::time::Millis;

/// Counts requests in flight against allotments and static shares.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    fleet_max: u32,
    without_owner: collections::BTreeSet<u16>,
    entries: collections::BTreeMap<id::Upstream, Entry>,
}

/// The right to have one request in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// The start of the upstream that the slot is bound to; `None` accepts any.
    pub boot: Option<id::Boot>,
}

/// Says why there is no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The upstream is not configured.
    Unknown,
    /// All slots are in use or none was granted.
    Exhausted,
}

/// What an instance has and wants at one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The start of the upstream the instance knows.
    pub boot: Option<id::Boot>,
    /// Requests in flight beyond the static share.
    pub in_flight: u32,
    /// Slots of the present allotment.
    pub holding: u32,
    /// Slots wanted beyond the static share, those in flight included.
    pub wanted: u32,
    /// Answers completed since the last demand.
    pub completed: u32,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    static_share: u32,
    boot: Option<id::Boot>,
    slots: u32,
    is_warm: bool,
    expires: Millis,
    in_flight: u32,
    waiting: u32,
    peak: u32,
    completed: u32,
    last_used: Option<Millis>,
}

/// Slots kept beyond the recent peak at a warm upstream, so that bursts do not wait for the owner.
const HEADROOM: u32 = 2;
/// Time after its last request at which an upstream is no longer asked for.
const IDLE_LIFE: Millis = Millis::from_secs(5);

impl Holder {
    /// Creates a holder that has nothing.
    pub fn new(fleet_max: u32) -> Self {
        Self { fleet_max, ..Self::default() }
    }

    /// Sets the cold limit of an upstream.
    pub fn configure(&mut self, upstream: &id::Upstream, cold_limit: u32) {
        let share = admission::static_share(cold_limit, self.fleet_max);
        self.entries.entry(upstream.clone()).or_default().static_share = share;
    }

    /// Takes a slot.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn acquire(&mut self, upstream: &id::Upstream, now: Millis) -> Result<Slot, Refusal> {
        let entry = self.entries.get_mut(upstream).ok_or(Refusal::Unknown)?;
        entry.last_used = Some(now);
        let has_owner = !self.without_owner.contains(&admission::group(upstream));
        let allotted = entry.allotted(has_owner, now);
        if entry.in_flight >= entry.static_share + allotted {
            return Err(Refusal::Exhausted);
        }
        entry.in_flight += 1;
        entry.peak = entry.peak.max(entry.in_flight);
        let boot = if allotted > 0 { entry.boot.clone() } else { None };
        Ok(Slot { boot })
    }

    /// Notes whether the owner of a group answers.
    ///
    /// Without an owner nobody divides the limits anew, so allotments at warm upstreams stay in use
    /// beyond their life.
    pub fn note_owner(&mut self, group: u16, answers: bool) {
        if answers {
            self.without_owner.remove(&group);
        } else {
            self.without_owner.insert(group);
        }
    }

    /// Returns a slot.
    pub fn release(&mut self, upstream: &id::Upstream) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Counts requests that wait for a slot.
    pub fn wait(&mut self, upstream: &id::Upstream, change: i32, now: Millis) {
        // A request may come before the upstream is configured here; it must be counted as well.
        let entry = self.entries.entry(upstream.clone()).or_default();
        entry.waiting = entry.waiting.saturating_add_signed(change);
        entry.last_used = Some(now);
    }

    /// Counts a completed answer.
    pub fn complete(&mut self, upstream: &id::Upstream, boot: &id::Boot) {
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

    /// Drops all allotments, after a pause of the process.
    pub fn drop_all(&mut self) {
        for entry in self.entries.values_mut() {
            entry.drop_allotment();
        }
    }

    /// Returns the demands for a group's upstreams in use, and starts a new period.
    pub fn demands(&mut self, group: u16, now: Millis) -> Vec<Demand> {
        let has_owner = !self.without_owner.contains(&group);
        let mut demands = Vec::new();
        for (upstream, entry) in &mut self.entries {
            if admission::group(upstream) != group || !entry.is_in_use(now) {
                continue;
            }
            demands.push(entry.demand(upstream, has_owner, now));
            entry.completed = 0;
            entry.peak = entry.in_flight;
        }
        demands
    }

    /// Returns what is in flight to a group's upstreams beyond the static shares.
    pub fn in_flight(&self, group: u16) -> Vec<(id::Upstream, id::Boot, u32)> {
        let mut found = Vec::new();
        for (upstream, entry) in &self.entries {
            let Some(boot) = &entry.boot else {
                continue;
            };
            if admission::group(upstream) == group && entry.beyond_share() > 0 {
                found.push((upstream.clone(), boot.clone(), entry.beyond_share()));
            }
        }
        found
    }

    /// Gives up allotments of a group to a new owner that asked what is in flight.
    pub fn yield_group(&mut self, group: u16) {
        for (upstream, entry) in &mut self.entries {
            // A warm upstream cannot be overloaded as a cold one, so its allotment stays in use
            // until the new owner has learned the limit again.
            if admission::group(upstream) == group && !entry.is_warm {
                entry.slots = 0;
            }
        }
    }

    /// Installs the answer to a demand that was sent at `asked`.
    pub fn install(&mut self, grant: &admission::Grant, asked: Millis) {
        let Some(entry) = self.entries.get_mut(&grant.upstream) else {
            return;
        };
        if grant.reason == admission::Reason::TakingOver && entry.is_warm {
            // The new owner grants nothing yet, and the allotment of the last one still holds.
            entry.expires = entry.expires.max(asked + admission::ALLOTMENT_LIFE);
            return;
        }
        entry.boot.clone_from(&grant.boot);
        entry.slots = grant.slots;
        entry.is_warm = grant.is_warm;
        entry.expires = asked + admission::ALLOTMENT_LIFE;
    }
}

impl Entry {
    fn allotted(&self, has_owner: bool, now: Millis) -> u32 {
        let is_valid = now < self.expires || (self.is_warm && !has_owner);
        if self.boot.is_some() && is_valid { self.slots } else { 0 }
    }

    fn beyond_share(&self) -> u32 {
        self.in_flight.saturating_sub(self.static_share)
    }

    fn is_in_use(&self, now: Millis) -> bool {
        let is_recent = self.last_used.is_some_and(|used| now.since(used) < IDLE_LIFE);
        self.in_flight > 0 || self.waiting > 0 || is_recent
    }

    fn demand(&self, upstream: &id::Upstream, has_owner: bool, now: Millis) -> Demand {
        let busy = self.peak.max(self.in_flight).saturating_add(self.waiting);
        let wanted = if self.is_warm {
            busy + busy / 4 + HEADROOM
        } else {
            self.in_flight + self.waiting.max(1)
        };
        Demand {
            upstream: upstream.clone(),
            boot: self.boot.clone(),
            in_flight: self.beyond_share(),
            holding: self.allotted(has_owner, now),
            wanted: wanted.saturating_sub(self.static_share),
            completed: self.completed,
        }
    }

    fn drop_allotment(&mut self) {
        self.slots = 0;
        self.is_warm = false;
    }
}
