//! Expected times of transfers of cached KV between engines and cache stores.

use crate::id;
use crate::routing;
use crate::time::Millis;

/// Expected time of a fetch whose speed is not configured.
const DEFAULT_FETCH: Millis = Millis(30);
/// Factor by which a transfer between failure domains takes longer, as the platform states.
const REMOTE_FACTOR: f64 = 2.0;

/// Time after which the result of a fetch is discarded at the latest. The freeing of segments relies
/// on it.
const MAX_FETCH_TIMEOUT: Millis = Millis(2_000);
/// Time after which the result of a fetch is discarded at the earliest.
const MIN_FETCH_TIMEOUT: Millis = Millis(300);
/// Multiple of the time to prefill the same segments after which the result of a fetch is discarded.
const TIMEOUT_PREFILLS: f64 = 6.0;
/// Multiple of the time to prefill a segment that its fetch may be expected to take.
const MAX_FETCH_PREFILLS: f64 = 4.0;
/// Assumed time to prefill a token.
const PREFILL_MS_PER_TOKEN: f64 = 1.0 / 60.0;

/// Expected time to fetch the shared segments of a prompt, by the failure domain of the engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FetchTime {
    /// Time in milliseconds from stores that are all in other failure domains.
    remote_ms: f64,
    /// Failure domains with a store that holds segments, and the time saved there.
    saved_ms: Vec<(id::FailureDomain, f64)>,
}

impl FetchTime {
    /// Creates the time of fetches that take the same from everywhere.
    pub fn new(time: Millis) -> Self {
        Self { remote_ms: time.0 as f64, saved_ms: Vec::new() }
    }

    /// Returns the time for an engine in this failure domain.
    pub fn to(&self, domain: &id::FailureDomain) -> Millis {
        let saved: f64 =
            self.saved_ms.iter().filter(|(at, _)| at == domain).map(|(_, saved)| saved).sum();
        Millis((self.remote_ms - saved).max(0.0) as u64)
    }

    /// Adds the fetch of one segment from a store that has `pending` tokens to send before.
    pub fn add(
        &mut self,
        store: &routing::CacheStore,
        engine: Option<&routing::Engine>,
        tokens: u64,
        pending: u64,
    ) {
        let remote = fetch_ms(store, engine, tokens, pending, true);
        let local = fetch_ms(store, engine, tokens, pending, false);
        self.remote_ms += remote;
        self.saved_ms.push((store.domain.clone(), remote - local));
    }
}

/// Returns the expected time of a fetch of `tokens` in milliseconds.
///
/// A store sends one transfer after another, each at the speed of the slower of both links, so the
/// `pending` tokens of other fetches come first.
pub fn fetch_ms(
    store: &routing::CacheStore,
    engine: Option<&routing::Engine>,
    tokens: u64,
    pending: u64,
    is_remote: bool,
) -> f64 {
    let Some(ms_per_token) = ms_per_token(store, engine) else {
        return DEFAULT_FETCH.0 as f64;
    };
    let factor = if is_remote { REMOTE_FACTOR } else { 1.0 };
    // Most of the pending transfers go to other failure domains.
    let queue = pending as f64 * ms_per_token * REMOTE_FACTOR;
    store.first.0 as f64 + queue + tokens as f64 * ms_per_token * factor
}

fn ms_per_token(store: &routing::CacheStore, engine: Option<&routing::Engine>) -> Option<f64> {
    let engine = engine?;
    let mbit_per_s = store.link_mbit_per_s.min(engine.link_mbit_per_s);
    (mbit_per_s > 0).then(|| engine.token_bytes as f64 * 8.0 / (mbit_per_s as f64 * 1_000.0))
}

/// Returns the longest expected time of a fetch of `tokens` that is preferred to their prefill.
pub fn max_fetch_ms(tokens: u64) -> f64 {
    (tokens as f64 * PREFILL_MS_PER_TOKEN * MAX_FETCH_PREFILLS).max(DEFAULT_FETCH.0 as f64)
}

/// Returns the time after which the result of a fetch of `tokens` is discarded and the segments are
/// prefilled.
pub fn fetch_timeout(tokens: u64) -> Millis {
    let by_prefill = Millis((tokens as f64 * PREFILL_MS_PER_TOKEN * TIMEOUT_PREFILLS) as u64);
    by_prefill.clamp(MIN_FETCH_TIMEOUT, MAX_FETCH_TIMEOUT)
}
