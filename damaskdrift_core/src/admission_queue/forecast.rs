//! Expected time until queued work has room.

use crate::admission_queue::order;
use crate::admission_queue::share;
use crate::time::Millis;

/// Time constant with which observed admissions lose weight.
const MEMORY_MS: f64 = 2_000.0;
/// Weight of the assumed rate, as time of observation. With [`MEMORY_MS`] the estimate never falls
/// below a third of the assumed rate, so that a stall of a moment refuses nobody for long.
const ASSUMED_WEIGHT_MS: f64 = 1_000.0;
/// Assumed time for which a request holds its seat and its tokens, until the first ones have ended.
/// It is short, so that the assumption alone refuses little.
const ASSUMED_HOLD_MS: f64 = 750.0;
/// Weight of one observed holding time.
const HOLD_WEIGHT: f64 = 1.0 / 16.0;
/// Part of a KV cache that is given to requests.
const KV_CACHE_FRACTION: f64 = 0.9;

/// Room is scarce if less than one upstream in this number has some. The instances of a fleet claim
/// it before they hear of each other's claims.
const SCARCE_FRACTION: u32 = 4;

/// What requests take of the upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// Time of an engine, in milliseconds.
    pub engine_ms: f64,
    /// Number of requests, each of which takes a seat.
    pub requests: f64,
    /// Tokens in KV caches.
    pub tokens: u64,
}

/// The upstreams that may take requests of a service, and those who share them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Number of upstreams that respond.
    pub upstreams: u32,
    /// Number of these that seem to have room for a request of the queue.
    pub with_room: u32,
    /// Requests that an upstream runs at a time; 0 if that is unknown.
    pub slots: u32,
    /// Size of an upstream's KV cache in tokens; 0 if that is unknown.
    pub kv_cache_tokens: u64,
    /// Number of instances that send requests to the upstreams.
    pub instances: u32,
}

/// Estimates when room is expected, from the admissions of this instance while requests waited.
#[derive(Debug)]
pub struct Forecast {
    capacity: Capacity,
    /// Engine time of the admissions of each rank, with weights that fall with their age.
    admitted_ms: [f64; order::LOWEST_RANK as usize + 1],
    /// Time during which requests waited, with the same weights.
    waited_ms: f64,
    hold_ms: f64,
    updated_at: Option<Millis>,
}

impl Work {
    /// Adds other work to this.
    pub fn add(&mut self, other: Self) {
        self.engine_ms += other.engine_ms;
        self.requests += other.requests;
        self.tokens += other.tokens;
    }
}

impl Capacity {
    /// Returns the engine time that this instance gets in each millisecond if all get the same.
    pub fn assumed_rate(&self) -> f64 {
        f64::from(self.upstreams.max(1)) / f64::from(self.instances.max(1))
    }

    /// Returns the share of upstreams that seem to have room.
    pub fn room_share(&self) -> f64 {
        f64::from(self.with_room) / f64::from(self.upstreams.max(1))
    }

    /// Returns whether so few upstreams seem to have room that the instances would crowd there if
    /// each sent its requests at once.
    pub fn is_scarce(&self) -> bool {
        self.instances > 1 && self.with_room * SCARCE_FRACTION < self.upstreams
    }
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            capacity: Capacity::default(),
            admitted_ms: Default::default(),
            waited_ms: 0.0,
            hold_ms: ASSUMED_HOLD_MS,
            updated_at: None,
        }
    }
}

impl Forecast {
    /// Sets the upstreams that may take requests.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Returns the upstreams that may take requests.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Records the time since the last call, during which requests waited or not.
    pub fn advance(&mut self, has_waited: bool, now: Millis) {
        let elapsed = now.since(self.updated_at.unwrap_or(now)).0 as f64;
        self.updated_at = Some(now);
        let kept = (-elapsed / MEMORY_MS).exp();
        for admitted in &mut self.admitted_ms {
            *admitted *= kept;
        }
        self.waited_ms *= kept;
        if has_waited {
            self.waited_ms += MEMORY_MS * (1.0 - kept);
        }
    }

    /// Records that a request of a rank was admitted while requests waited.
    pub fn record_admitted(&mut self, rank: u8, engine_ms: f64) {
        self.admitted_ms[usize::from(rank)] += engine_ms;
    }

    /// Records how long an ended request held its seat.
    pub fn record_held(&mut self, held: Millis) {
        self.hold_ms += HOLD_WEIGHT * (held.0 as f64 - self.hold_ms);
    }

    /// Returns the engine time that a rank is expected to get in each millisecond: what more urgent
    /// ranks leave, but at least the guaranteed share.
    fn rate(&self, rank: u8) -> f64 {
        let observed_ms = ASSUMED_WEIGHT_MS + self.waited_ms;
        let assumed = self.capacity.assumed_rate() * ASSUMED_WEIGHT_MS;
        let total = (assumed + self.admitted_ms.iter().sum::<f64>()) / observed_ms;
        let urgent: f64 = self.admitted_ms[..usize::from(rank)].iter().sum();
        (total - urgent / observed_ms).max(total * share::GUARANTEED_SHARE)
    }

    /// Returns the time until the work ahead of a request of this rank is expected to have room.
    pub fn expected_wait(&self, rank: u8, ahead: Work) -> Millis {
        let Capacity { slots, kv_cache_tokens, .. } = self.capacity;
        let mut wait = ahead.engine_ms / self.rate(rank);
        let freed = self.capacity.assumed_rate() / self.hold_ms.max(1.0);
        if slots > 0 {
            wait = wait.max(ahead.requests / (freed * f64::from(slots)));
        }
        if kv_cache_tokens > 0 {
            let tokens = kv_cache_tokens as f64 * KV_CACHE_FRACTION;
            wait = wait.max(ahead.tokens as f64 / (freed * tokens));
        }
        Millis(wait as u64)
    }
}
