//! Tracks the contents of one cache store from its events.

use std::collections::HashMap;
use std::sync::Arc;

use crate::time::Millis;

/// Age of the last response of a store above which nothing is fetched from it or saved to it.
pub const CONTENTS_TTL: Millis = Millis(1_000);
/// Time after a store's restart during which nothing is saved to it.
///
/// By its end, every instance has either seen the restart or considers its contents invalid, so
/// none fetches a segment under its old entry while the segment is being rewritten. It covers
/// [`CONTENTS_TTL`] and the 2 s for which a relayed response can be delayed before its connection
/// counts as silent.
const SAVE_DELAY_AFTER_RESTART: Millis = Millis(3_500);
/// Time after which a save that no event has confirmed may be retried.
const SAVE_TIMEOUT: Millis = Millis(6_000);

/// A segment stored or dropped by a cache store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Whether the segment was stored; otherwise it was dropped.
    pub is_stored: bool,
    /// The salt under which the segment is cached.
    pub salt: String,
    /// The id of the segment.
    pub segment: u64,
    /// Tokens of the segment that the store now holds; fewer than its size while a save runs.
    pub tokens: u64,
}

/// A store's response to a request for its events or for all of its contents.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// Identifies the run of the store; a restart changes it.
    pub epoch: u64,
    /// Sequence number from which the next request continues.
    pub next: u64,
    /// Whether events between the previous page and this one are lost.
    pub is_gap: bool,
    /// Whether the page lists all contents instead of changes.
    pub is_snapshot: bool,
    /// Changes in order, or all segments in a snapshot.
    pub events: Vec<Event>,
    /// The clock of upstreams and stores in milliseconds, if the response carried it.
    pub clock_ms: Option<u64>,
}

/// The result of applying a page that another instance requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The page continues the known contents.
    Applied,
    /// Events before the page are missing; a snapshot is needed.
    Gap,
}

/// The known contents of one cache store.
#[derive(Debug, Default)]
pub struct Contents {
    epoch: Option<u64>,
    /// Sequence number from which the next request for events continues.
    pub next: u64,
    /// Tokens held, by salt and segment id.
    segments: HashMap<Arc<str>, HashMap<u64, u64>>,
    used_tokens: u64,
    /// When this instance began each save that no event has confirmed.
    pending_saves: HashMap<(Arc<str>, u64), Millis>,
    /// When the newest applied page was requested.
    confirmed_at: Option<Millis>,
    /// Whether a relayed page did not continue the known contents.
    has_gap: bool,
    saves_allowed_from: Millis,
}

impl Contents {
    /// Applies a page that was requested at `requested_at` and returns whether the store has
    /// restarted.
    pub fn update(&mut self, page: &Page, requested_at: Millis, now: Millis) -> bool {
        let is_restart = self.epoch != Some(page.epoch);
        if is_restart {
            let was_known = self.epoch.is_some();
            *self = Self { epoch: Some(page.epoch), ..Self::default() };
            if was_known {
                self.saves_allowed_from = now + SAVE_DELAY_AFTER_RESTART;
            }
        }
        if page.is_snapshot {
            self.segments.clear();
            self.used_tokens = 0;
            self.has_gap = false;
        }
        for event in &page.events {
            self.apply(event);
        }
        self.next = page.next;
        self.confirmed_at = Some(requested_at);
        is_restart
    }

    /// Applies a page that another instance requested at `requested_at`, with events after
    /// `since`.
    pub fn apply_relayed(
        &mut self,
        page: &Page,
        since: u64,
        requested_at: Millis,
        now: Millis,
    ) -> RelayOutcome {
        let is_next = self.epoch == Some(page.epoch) && since <= self.next;
        if !page.is_snapshot && (!is_next || page.is_gap) {
            self.has_gap = true;
            return RelayOutcome::Gap;
        }
        if page.next < self.next && self.epoch == Some(page.epoch) {
            // An older page from a slower relay; its events are already applied.
            return RelayOutcome::Applied;
        }
        let requested_at = self.confirmed_at.map_or(requested_at, |at| at.max(requested_at));
        self.update(page, requested_at, now);
        RelayOutcome::Applied
    }

    fn apply(&mut self, event: &Event) {
        let salt: Arc<str> = Arc::from(event.salt.as_str());
        self.pending_saves.remove(&(salt.clone(), event.segment));
        let segments = self.segments.entry(salt).or_default();
        let previous = segments.remove(&event.segment).unwrap_or(0);
        self.used_tokens = self.used_tokens.saturating_sub(previous);
        if event.is_stored {
            segments.insert(event.segment, event.tokens);
            self.used_tokens += event.tokens;
        }
    }

    /// Returns whether this instance must receive a snapshot before it knows the contents.
    pub fn needs_snapshot(&self) -> bool {
        self.epoch.is_none() || self.has_gap
    }

    /// Returns all known contents and when they were requested from the store, or `None` while
    /// they are incomplete or out of date.
    pub fn snapshot(&self, now: Millis) -> Option<(Page, Millis)> {
        let (epoch, requested_at) = (self.epoch?, self.confirmed_at?);
        if self.has_gap || !self.is_valid(now) {
            return None;
        }
        let mut events = Vec::new();
        for (salt, segments) in &self.segments {
            for (segment, tokens) in segments {
                let (salt, segment, tokens) = (salt.to_string(), *segment, *tokens);
                events.push(Event { is_stored: true, salt, segment, tokens });
            }
        }
        let next = self.next;
        let page = Page { epoch, next, is_gap: false, is_snapshot: true, events, clock_ms: None };
        Some((page, requested_at))
    }

    /// Returns whether the contents were confirmed within [`CONTENTS_TTL`].
    pub fn is_valid(&self, now: Millis) -> bool {
        self.confirmed_at.is_some_and(|at| now.since(at) <= CONTENTS_TTL)
    }

    /// Returns whether the contents are valid and include all `tokens` of the segment.
    pub fn holds(&self, salt: &str, segment: u64, tokens: u64, now: Millis) -> bool {
        let held = || self.segments.get(salt).and_then(|segments| segments.get(&segment));
        self.is_valid(now) && held().is_some_and(|held| *held >= tokens)
    }

    /// Records a save of the segment and returns `true`, or returns `false` if the store must not
    /// be written now or already holds `max_used_tokens`.
    pub fn begin_save(
        &mut self,
        salt: &Arc<str>,
        segment: u64,
        max_used_tokens: u64,
        now: Millis,
    ) -> bool {
        let is_full = self.used_tokens >= max_used_tokens;
        if !self.is_valid(now) || now < self.saves_allowed_from || is_full {
            return false;
        }
        self.pending_saves.insert((salt.clone(), segment), now);
        true
    }

    /// Returns whether a save of the segment by this instance is pending.
    pub fn is_saving(&self, salt: &Arc<str>, segment: u64, now: Millis) -> bool {
        let at = self.pending_saves.get(&(salt.clone(), segment));
        at.is_some_and(|at| now.since(*at) < SAVE_TIMEOUT)
    }

    /// Returns the run of the store to which the contents belong, absent before the first page.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Iterates over the salts with the tokens held of each segment under them.
    pub fn segments_by_salt(&self) -> impl Iterator<Item = (&Arc<str>, &HashMap<u64, u64>)> {
        self.segments.iter()
    }
}
