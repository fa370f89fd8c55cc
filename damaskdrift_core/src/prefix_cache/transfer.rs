//! Expected times of transfers of cached KV between engines and cache stores.

use crate::id;
use crate::routing;
use crate::time::Millis;

/// Expected time of a fetch whose speed is not configured.
const DEFAULT_FETCH: Millis = Millis(30);
/// Factor by which a transfer between failure domains takes longer, as the platform states.
const REMOTE_FACTOR: f64 = 2.0;

/// Time after which the result of a fetch is discarded and the segments are prefilled. Engines start
/// no transfer that would wait longer, and the freeing of segments relies on it.
pub const FETCH_TIMEOUT: Millis = Millis(2_000);

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
