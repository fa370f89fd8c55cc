//! What one store holds, from its events.

use std::collections::HashMap;
use std::sync::Arc;

use crate::time::Millis;

/// Age of the last answer of a store above which nothing is fetched from it or saved to it.
pub const TRUST: Millis = Millis(1_000);
/// Span after a restart in which nothing is saved to a store. By its end each instance has
/// either seen the restart or stopped to trust what it knows, so none fetches a part under its
/// old entry while the part is written anew. It covers [`TRUST`] and the 2 s for which a relayed
/// answer can be held up before its connection counts as silent.
pub const SETTLE: Millis = Millis(3_500);
/// Time after which a save that no event confirmed may be tried again.
const SAVE_TIMEOUT: Millis = Millis(6_000);

/// A change at a store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Whether the part was stored; otherwise it was dropped.
    pub is_stored: bool,
    /// The salt it is kept under.
    pub salt: String,
    /// The part.
    pub part: u64,
    /// Tokens of it that are now held.
    pub tokens: u64,
}

/// A store's answer to a question for its events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// Identifies the start of the store.
    pub epoch: u64,
    /// Where the next question begins.
    pub next: u64,
    /// Whether events between the last page and this one are lost.
    pub is_gap: bool,
    /// Whether the page lists all that is held instead of changes.
    pub is_list: bool,
    /// Events or parts, in order.
    pub events: Vec<Event>,
    /// The clock of upstreams and stores, in milliseconds, if the answer gave it.
    pub clock_ms: Option<u64>,
}

/// What an instance does with a page that another one read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relayed {
    /// The page continues what is known.
    Applied,
    /// Events between are missing; the store has to be listed.
    Gap,
}

/// What one store holds.
#[derive(Debug, Default)]
pub struct Contents {
    epoch: Option<u64>,
    /// Where the next question for events begins.
    pub next: u64,
    whole: HashMap<Arc<str>, HashMap<u64, u64>>,
    used: u64,
    saving: HashMap<(Arc<str>, u64), Millis>,
    confirmed: Option<Millis>,
    /// Whether a page that another instance passed on did not continue what is known.
    has_gap: bool,
    settled: Millis,
}

impl Contents {
    /// Takes an answer into account that was asked for at `asked`. Returns whether the store has
    /// restarted.
    pub fn update(&mut self, page: &Page, asked: Millis, now: Millis) -> bool {
        let is_restart = self.epoch != Some(page.epoch);
        if is_restart {
            let was_known = self.epoch.is_some();
            *self = Self { epoch: Some(page.epoch), ..Self::default() };
            if was_known {
                self.settled = now + SETTLE;
            }
        }
        if page.is_list {
            self.whole.clear();
            self.used = 0;
            self.has_gap = false;
        }
        for event in &page.events {
            self.apply(event);
        }
        self.next = page.next;
        self.confirmed = Some(asked);
        is_restart
    }

    /// Takes a page into account that another instance asked for at `asked`, with events after
    /// `since`.
    pub fn relay(&mut self, page: &Page, since: u64, asked: Millis, now: Millis) -> Relayed {
        let is_next = self.epoch == Some(page.epoch) && since <= self.next;
        if !page.is_list && (!is_next || page.is_gap) {
            self.has_gap = true;
            return Relayed::Gap;
        }
        if page.next < self.next && self.epoch == Some(page.epoch) {
            // An older page of a slower relay; what it tells is known.
            return Relayed::Applied;
        }
        let asked = self.confirmed.map_or(asked, |before| before.max(asked));
        self.update(page, asked, now);
        Relayed::Applied
    }

    fn apply(&mut self, event: &Event) {
        let salt: Arc<str> = Arc::from(event.salt.as_str());
        self.saving.remove(&(salt.clone(), event.part));
        let parts = self.whole.entry(salt).or_default();
        let before = parts.remove(&event.part).unwrap_or(0);
        self.used = self.used.saturating_sub(before);
        if event.is_stored {
            parts.insert(event.part, event.tokens);
            self.used += event.tokens;
        }
    }

    /// Returns whether a list has to be passed on to this instance before it knows what the store
    /// holds.
    pub fn is_lacking(&self) -> bool {
        self.epoch.is_none() || self.has_gap
    }

    /// Returns all that the store is known to hold, and when the store was asked for it; `None`
    /// while that is not known well enough to be passed on.
    pub fn list(&self, now: Millis) -> Option<(Page, Millis)> {
        let (epoch, asked) = (self.epoch?, self.confirmed?);
        if self.has_gap || !self.is_trusted(now) {
            return None;
        }
        let mut events = Vec::new();
        for (salt, parts) in &self.whole {
            for (part, tokens) in parts {
                let (salt, part, tokens) = (salt.to_string(), *part, *tokens);
                events.push(Event { is_stored: true, salt, part, tokens });
            }
        }
        let page =
            Page { epoch, next: self.next, is_gap: false, is_list: true, events, clock_ms: None };
        Some((page, asked))
    }

    /// Returns whether the store answered lately enough to act on what is known of it.
    pub fn is_trusted(&self, now: Millis) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) <= TRUST)
    }

    /// Returns whether the store holds the whole part.
    pub fn holds(&self, salt: &str, part: u64, tokens: u64, now: Millis) -> bool {
        self.is_trusted(now)
            && self.whole.get(salt).and_then(|parts| parts.get(&part)).is_some_and(|t| *t >= tokens)
    }

    /// Returns whether this instance may save the part, and notes that it does.
    pub fn begin_save(&mut self, salt: &Arc<str>, part: u64, room: u64, now: Millis) -> bool {
        if !self.is_trusted(now) || now < self.settled || self.used >= room {
            return false;
        }
        self.saving.insert((salt.clone(), part), now);
        true
    }

    /// Returns whether this instance is saving the part.
    pub fn is_saving(&self, salt: &Arc<str>, part: u64, now: Millis) -> bool {
        let at = self.saving.get(&(salt.clone(), part));
        at.is_some_and(|at| now.since(*at) < SAVE_TIMEOUT)
    }

    /// Returns the start of the store that the contents belong to.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Iterates over the salts and the parts under each.
    pub fn salts(&self) -> impl Iterator<Item = (&Arc<str>, &HashMap<u64, u64>)> {
        self.whole.iter()
    }
}
