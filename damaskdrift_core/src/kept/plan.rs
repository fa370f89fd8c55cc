//! Decides for each part of a prompt whether it is fetched, saved or left alone.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;

use xxhash_rust::xxh3;

use crate::id;
use crate::kept::contents;
use crate::routing;
use crate::time::Millis;

/// Smallest part that is kept in stores, in tokens; a smaller one is read faster than fetched.
const MIN_TOKENS: u64 = 1_000;
/// Expected time of a fetch beside its transfer, in milliseconds.
const FETCH_MS: u64 = 30;

/// Longest time of a fetch; its result is thrown away if it ends later.
pub const FETCH_LIMIT: Millis = Millis(2_000);

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifies the content of the part and all before it.
    pub id: u64,
    /// Size in tokens.
    pub tokens: u64,
}

/// What is done with one part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The upstream reads it.
    Read,
    /// The upstream fetches it from the store.
    Fetch(net::SocketAddr),
    /// The upstream reads it and saves it to the store.
    Save(net::SocketAddr),
}

/// What is done with each part of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// One step a part, in the order of the prompt.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Returns whether any part is fetched.
    pub fn fetches(&self) -> bool {
        self.steps.iter().any(|step| matches!(step, Step::Fetch(_)))
    }

    /// Returns one word on the plan for logs.
    pub fn summary(&self) -> &'static str {
        match (self.steps.is_empty(), self.fetches(), self.saves()) {
            (true, ..) => "none",
            (_, true, _) => "fetch",
            (_, false, true) => "save",
            (_, false, false) => "read",
        }
    }

    /// Returns whether any part is saved.
    pub fn saves(&self) -> bool {
        self.steps.iter().any(|step| matches!(step, Step::Save(_)))
    }
}

/// A store and what it holds.
#[derive(Debug)]
struct Store {
    record: routing::CacheStore,
    contents: contents::Contents,
}

/// All stores of kept KV cache.
#[derive(Debug, Default)]
pub struct Stores {
    all: BTreeMap<id::Upstream, Store>,
}

impl Stores {
    /// Installs the configured stores and keeps what is known of those that stay.
    pub fn install(&mut self, records: &[routing::CacheStore]) {
        let mut before = std::mem::take(&mut self.all);
        for record in records {
            let known = before.remove(&record.id).filter(|s| s.record.address == record.address);
            let contents = known.map(|store| store.contents).unwrap_or_default();
            self.all.insert(record.id.clone(), Store { record: record.clone(), contents });
        }
    }

    /// Returns the configured stores.
    pub fn records(&self) -> Vec<routing::CacheStore> {
        self.all.values().map(|store| store.record.clone()).collect()
    }

    /// Returns the stores of which a list has to be passed on to this instance.
    pub fn lacking(&self) -> Vec<id::Upstream> {
        let lacking = self.all.iter().filter(|(_, store)| store.contents.is_lacking());
        lacking.map(|(id, _)| id.clone()).collect()
    }

    /// Returns what a store holds.
    pub fn contents(&self, id: &id::Upstream) -> Option<&contents::Contents> {
        self.all.get(id).map(|store| &store.contents)
    }

    /// Returns what a store holds, for changes.
    pub fn contents_mut(&mut self, id: &id::Upstream) -> Option<&mut contents::Contents> {
        self.all.get_mut(id).map(|store| &mut store.contents)
    }

    /// Returns the time to fetch the shared parts, absent unless stores hold each one that they
    /// would keep.
    pub fn fetch_time(&self, salt: &str, parts: &[Part], now: Millis) -> Option<Millis> {
        let mut is_any = false;
        for part in shared(parts) {
            if part.tokens < MIN_TOKENS {
                continue;
            }
            is_any = true;
            self.ranked(part.id).into_iter().find(|id| self.holds(id, salt, *part, now))?;
        }
        is_any.then_some(Millis(FETCH_MS))
    }

    /// Plans the steps of a prompt that runs under `salt`.
    pub fn plan(&mut self, salt: &Arc<str>, parts: &[Part], now: Millis) -> Plan {
        let mut steps = Vec::with_capacity(parts.len());
        for (index, part) in parts.iter().enumerate() {
            // The last part belongs to this request alone.
            let is_kept = index + 1 < parts.len() && part.tokens >= MIN_TOKENS;
            steps.push(if is_kept { self.step(salt, *part, now) } else { Step::Read });
        }
        Plan { steps }
    }

    /// Returns the stores in the order in which they are asked to keep a part: rendezvous hashing
    /// weighted by room, so that all instances agree without a message and a store that comes or
    /// goes moves few parts.
    fn ranked(&self, part: u64) -> Vec<id::Upstream> {
        let mut ranked: Vec<_> =
            self.all.iter().map(|(id, store)| (score(store, part), id.clone())).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    fn holds(&self, store: &id::Upstream, salt: &str, part: Part, now: Millis) -> bool {
        let store = self.all.get(store);
        store.is_some_and(|store| store.contents.holds(salt, part.id, part.tokens, now))
    }

    /// Fetches a part from the first store that holds it, else saves it to the first with room.
    fn step(&mut self, salt: &Arc<str>, part: Part, now: Millis) -> Step {
        let ranked = self.ranked(part.id);
        if let Some(id) = ranked.iter().find(|id| self.holds(id, salt, part, now)) {
            return Step::Fetch(self.all[id].record.address);
        }
        let is_saving = |store: &Store| store.contents.is_saving(salt, part.id, now);
        if self.all.values().any(is_saving) {
            return Step::Read;
        }
        for id in &ranked {
            let Some(store) = self.all.get_mut(id) else {
                continue;
            };
            let room = store.record.capacity_tokens.saturating_sub(part.tokens);
            if store.contents.begin_save(salt, part.id, room, now) {
                return Step::Save(store.record.address);
            }
        }
        Step::Read
    }
}

/// Returns the parts that other prompts may share: all but the last.
fn shared(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

fn score(store: &Store, part: u64) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(store.record.address.to_string().as_bytes(), part);
    let unit = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    -(store.record.capacity_tokens as f64) / unit.max(f64::MIN_POSITIVE).ln()
}
