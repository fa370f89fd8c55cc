//! Turns single observations into evidence.

use std::collections;
use std::sync::Arc;

use crate::id;
use crate::rollout::{Band, Counts, Evidence, Key, Side};
use crate::time::Millis;

/// Time for which latencies are held back; engines report a cold start with a lag,
/// and the latencies seen in that lag say nothing about the version.
pub const COLD_REPORT_LAG: Millis = Millis(1_500);

/// Length of the slots in which the load is counted.
const LOAD_SLOT: Millis = Millis(1_000);
/// Slots over which the present load is averaged.
const LOAD_SLOTS: usize = 5;
/// Slots over which the peak load is kept.
const PEAK_SLOTS: usize = 600;

/// What one finished request on a route of a move showed.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Which route of the move.
    pub side: Side,
    /// The part of the traffic that fails together.
    pub route: Arc<str>,
    /// The upstream that ran the request.
    pub upstream: Option<id::Upstream>,
    /// Whether the request succeeded.
    pub succeeded: bool,
    /// Time to first token.
    pub first_token: Option<Millis>,
    /// Longest time between two tokens.
    pub between_tokens: Option<Millis>,
    /// Whether the upstream was in a cold start.
    pub cold: bool,
}

/// Collects the samples of one move at one instance.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    ready: collections::BTreeMap<Key, Counts>,
    held: collections::VecDeque<Held>,
    load: Load,
}

#[derive(Clone, Debug)]
struct Held {
    at: Millis,
    upstream: Option<id::Upstream>,
    key: Key,
    counts: Counts,
}

/// Requests a slot, the latest last.
#[derive(Clone, Debug, Default)]
struct Load {
    slots: collections::VecDeque<u32>,
    slot: u64,
    peak: u32,
}

impl Collector {
    /// Adds a sample.
    pub fn add(&mut self, now: Millis, sample: &Sample) {
        let band = self.load.count(now);
        let key = Key { side: sample.side, route: sample.route.clone(), band };
        let counts = self.ready.entry(key.clone()).or_default();
        if sample.succeeded {
            counts.succeeded += 1;
        } else {
            counts.failed += 1;
        }
        if sample.cold {
            if let Some(upstream) = &sample.upstream {
                self.mark_cold(upstream);
            }
            return;
        }
        let mut counts = Counts::default();
        if let Some(first_token) = sample.first_token {
            counts.first_token.add(first_token);
        }
        if let Some(between_tokens) = sample.between_tokens {
            counts.between_tokens.add(between_tokens);
        }
        // Both routes are held back alike, so that they are compared over the same time.
        let upstream = sample.upstream.clone();
        self.held.push_back(Held { at: now, upstream, key, counts });
    }

    /// Drops the latencies held back of an upstream that turned out to be cold.
    pub fn mark_cold(&mut self, upstream: &id::Upstream) {
        self.held.retain(|held| held.upstream.as_ref() != Some(upstream));
    }

    /// Takes the evidence collected since the last call.
    pub fn take(&mut self, now: Millis) -> Evidence {
        while let Some(held) = self.held.front() {
            if now.since(held.at) < COLD_REPORT_LAG {
                break;
            }
            self.ready.entry(held.key.clone()).or_default().merge(&held.counts);
            self.held.pop_front();
        }
        Evidence::new(std::mem::take(&mut self.ready))
    }
}

impl Load {
    /// Counts a request and returns the band of the present load.
    fn count(&mut self, now: Millis) -> Band {
        let slot = now.0 / LOAD_SLOT.0;
        if slot > self.slot || self.slots.is_empty() {
            self.advance(slot);
        }
        if let Some(last) = self.slots.back_mut() {
            *last += 1;
        }
        let present: u32 = self.slots.iter().rev().take(LOAD_SLOTS).sum();
        self.peak = self.peak.max(present);
        if 2 * present >= self.peak { Band::High } else { Band::Low }
    }

    /// Starts a slot and takes the peak anew, so that it is not done for each request.
    fn advance(&mut self, slot: u64) {
        let skipped = slot.saturating_sub(self.slot).clamp(1, PEAK_SLOTS as u64);
        for _ in 0..skipped {
            self.slots.push_back(0);
        }
        self.slot = slot;
        let excess = self.slots.len().saturating_sub(PEAK_SLOTS);
        self.slots.drain(..excess);
        let sum = |window: &[u32]| window.iter().sum::<u32>();
        let peak = self.slots.make_contiguous().windows(LOAD_SLOTS).map(sum).max();
        self.peak = peak.unwrap_or(0);
    }
}
