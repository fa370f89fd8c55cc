//! Plans for each segment of a prompt whether it is fetched, saved or only prefilled.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;

use xxhash_rust::xxh3;

use crate::id;
use crate::prefix_cache::{contents, salt, scope, transfer};
use crate::routing;
use crate::time::Millis;

/// Size below which a segment is not cached, because it is prefilled faster than fetched.
const MIN_SEGMENT_TOKENS: u64 = 1_000;
/// A segment of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Identifies the content of this segment and of all before it.
    pub id: u64,
    /// Size in tokens.
    pub tokens: u64,
}

/// How one segment gets into the upstream's KV cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The upstream prefills it.
    Prefill,
    /// The upstream fetches it from the store at this address.
    Fetch(net::SocketAddr),
    /// The upstream prefills it and saves it to the store at this address.
    Save(net::SocketAddr),
}

/// The steps for all segments of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// One step per segment, in the order of the prompt.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Returns whether any segment is fetched.
    pub fn fetches(&self) -> bool {
        self.steps.iter().any(|step| matches!(step, Step::Fetch(_)))
    }

    /// Returns the plan as one word for logs: `none` without segments, `fetch` or `save` if any
    /// segment is fetched or saved, or `read` if all segments are only prefilled.
    pub fn summary(&self) -> &'static str {
        match (self.steps.is_empty(), self.fetches(), self.saves()) {
            (true, ..) => "none",
            (_, true, _) => "fetch",
            (_, false, true) => "save",
            (_, false, false) => "read",
        }
    }

    /// Returns whether any segment is saved.
    pub fn saves(&self) -> bool {
        self.steps.iter().any(|step| matches!(step, Step::Save(_)))
    }
}

/// A configured cache store and its known contents.
#[derive(Debug)]
struct Store {
    record: routing::CacheStore,
    contents: contents::Contents,
}

/// All configured cache stores.
#[derive(Debug, Default)]
pub struct CacheStores {
    all: BTreeMap<id::Upstream, Store>,
}

impl CacheStores {
    /// Replaces the configured stores, retaining the contents of those whose id and address stay.
    pub fn install(&mut self, records: &[routing::CacheStore]) {
        let mut previous = std::mem::take(&mut self.all);
        for record in records {
            let known = previous.remove(&record.id).filter(|s| s.record.address == record.address);
            let contents = known.map(|store| store.contents).unwrap_or_default();
            self.all.insert(record.id.clone(), Store { record: record.clone(), contents });
        }
    }

    /// Returns the configuration of all stores, ordered by id.
    pub fn records(&self) -> Vec<routing::CacheStore> {
        self.all.values().map(|store| store.record.clone()).collect()
    }

    /// Returns the stores for which this instance needs a snapshot.
    pub fn needing_snapshot(&self) -> Vec<id::Upstream> {
        let stores = self.all.iter().filter(|(_, store)| store.contents.needs_snapshot());
        stores.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the known contents of a store, or `None` if it is not configured.
    pub fn contents(&self, id: &id::Upstream) -> Option<&contents::Contents> {
        self.all.get(id).map(|store| &store.contents)
    }

    /// Returns the known contents of a store mutably, or `None` if it is not configured.
    pub fn contents_mut(&mut self, id: &id::Upstream) -> Option<&mut contents::Contents> {
        self.all.get_mut(id).map(|store| &mut store.contents)
    }

    /// Returns whether a store holds segments of a scope that the configuration now uses and that
    /// the one before did not use.
    pub fn holds_returned_scope(&self, before: &scope::Scopes, now: &scope::Scopes) -> bool {
        for store in self.all.values() {
            for (salt, segments) in store.contents.segments_by_salt() {
                let Some(fields) = salt::parse_salt(salt) else {
                    continue;
                };
                let is_returned = now.is_used(fields.scope) && !before.is_used(fields.scope);
                if is_returned && !segments.is_empty() {
                    return true;
                }
            }
        }
        false
    }

    /// Returns the expected time to fetch the shared segments, or `None` if none of them is large
    /// enough to be cached or stores do not hold all that are.
    ///
    /// `pending` returns the tokens that a store has to send for fetches in progress.
    pub fn fetch_time(
        &self,
        salt: &str,
        segments: &[Segment],
        engine: Option<&routing::Engine>,
        pending: impl Fn(&id::Upstream) -> u64,
        now: Millis,
    ) -> Option<transfer::FetchTime> {
        let mut time = transfer::FetchTime::default();
        let mut has_cacheable = false;
        for segment in shared(segments) {
            if segment.tokens < MIN_SEGMENT_TOKENS {
                continue;
            }
            has_cacheable = true;
            let ranked = self.ranked(segment.id);
            let id = ranked.iter().find(|id| self.holds(id, salt, *segment, now))?;
            time.add(&self.all[id].record, engine, segment.tokens, pending(id));
        }
        has_cacheable.then_some(time)
    }

    /// Plans the steps of a prompt that runs under `salt`, and records the saves among them.
    ///
    /// Segments that stores hold are prefilled where `may_fetch` excludes a fetch from the store.
    pub fn plan(
        &mut self,
        salt: &Arc<str>,
        segments: &[Segment],
        may_fetch: impl Fn(&id::Upstream, &routing::CacheStore, Segment) -> bool,
        now: Millis,
    ) -> Plan {
        let mut steps = Vec::with_capacity(segments.len());
        for (index, segment) in segments.iter().enumerate() {
            // The last segment is not shared with other requests.
            let is_cacheable = index + 1 < segments.len() && segment.tokens >= MIN_SEGMENT_TOKENS;
            let step = match is_cacheable {
                true => self.step(salt, *segment, &may_fetch, now),
                false => Step::Prefill,
            };
            steps.push(step);
        }
        Plan { steps }
    }

    /// Returns the stores from which a plan fetches, with the tokens of each fetch.
    pub fn fetches(&self, plan: &Plan, segments: &[Segment]) -> Vec<(id::Upstream, u64)> {
        let mut fetches = Vec::new();
        for (step, segment) in plan.steps.iter().zip(segments) {
            let Step::Fetch(address) = step else {
                continue;
            };
            let store = self.all.iter().find(|(_, store)| store.record.address == *address);
            fetches.extend(store.map(|(id, _)| (id.clone(), segment.tokens)));
        }
        fetches
    }

    /// Returns the stores in the order of preference for a segment: rendezvous hashing weighted by
    /// capacity, so that all instances agree without communication and adding or removing a store
    /// moves few segments.
    fn ranked(&self, segment: u64) -> Vec<id::Upstream> {
        let mut ranked: Vec<_> =
            self.all.iter().map(|(id, store)| (score(store, segment), id.clone())).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    fn holds(&self, store: &id::Upstream, salt: &str, segment: Segment, now: Millis) -> bool {
        let store = self.all.get(store);
        store.is_some_and(|store| store.contents.holds(salt, segment.id, segment.tokens, now))
    }

    /// Plans to fetch a segment from the first store that holds it, else to save it to the first
    /// with room.
    fn step(
        &mut self,
        salt: &Arc<str>,
        segment: Segment,
        may_fetch: impl Fn(&id::Upstream, &routing::CacheStore, Segment) -> bool,
        now: Millis,
    ) -> Step {
        let ranked = self.ranked(segment.id);
        if let Some(id) = ranked.iter().find(|id| self.holds(id, salt, segment, now)) {
            let record = &self.all[id].record;
            return match may_fetch(id, record, segment) {
                true => Step::Fetch(record.address),
                false => Step::Prefill,
            };
        }
        let is_saving = |store: &Store| store.contents.is_saving(salt, segment.id, now);
        if self.all.values().any(is_saving) {
            return Step::Prefill;
        }
        for id in &ranked {
            let Some(store) = self.all.get_mut(id) else {
                continue;
            };
            let max_used_tokens = store.record.capacity_tokens.saturating_sub(segment.tokens);
            if store.contents.begin_save(salt, segment.id, max_used_tokens, now) {
                return Step::Save(store.record.address);
            }
        }
        Step::Prefill
    }
}

/// Returns the segments that other prompts may share: all but the last.
fn shared(segments: &[Segment]) -> &[Segment] {
    segments.split_last().map_or(&[], |(_, shared)| shared)
}

/// Returns the store's weighted rendezvous hashing score for a segment.
fn score(store: &Store, segment: u64) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(store.record.address.to_string().as_bytes(), segment);
    let uniform = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    -(store.record.capacity_tokens as f64) / uniform.max(f64::MIN_POSITIVE).ln()
}
