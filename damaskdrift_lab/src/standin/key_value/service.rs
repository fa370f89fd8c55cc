//! Execution of calls to the key-value service: counters, rate limits and fault injection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

use crate::standin::key_value;
use crate::standin::key_value::fault::Fault;
use crate::standin::key_value::rate::TokenBucket;
use crate::standin::key_value::store::{Entry, Store};

/// Number of calls received, including rejected ones.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Number of reads.
    pub reads: u64,
    /// Number of writes, renewals and deletions.
    pub writes: u64,
    /// Number of watches; a watch counts once, however long it waits.
    pub watches: u64,
}

/// Kind of a call, which selects its counter and rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Read of a key.
    Read,
    /// Write, renewal or deletion of a key.
    Write,
    /// Wait for a newer revision of a key.
    Watch,
}

/// Reason for which a call returns no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// An outage fault is active.
    Outage,
    /// The rate limit is exceeded.
    RateLimited,
    /// The call took effect, but a fault drops its response.
    ResponseDropped,
}

/// Handle to the service, shared by all connections.
#[derive(Clone, Debug)]
pub struct Service {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Wakes watches after a change of any key or of the faults.
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    store: Store,
    stats: Stats,
    fault: Fault,
    reads: TokenBucket,
    writes: TokenBucket,
    rng: ChaCha8Rng,
}

impl Service {
    /// Creates a service without keys.
    pub fn new(options: &key_value::Options) -> Self {
        let now = Instant::now();
        let state = State {
            store: Store::default(),
            stats: Stats::default(),
            fault: Fault { delay_ms: options.delay_ms, ..Fault::default() },
            reads: TokenBucket::new(options.reads_per_s, now),
            writes: TokenBucket::new(options.writes_per_s, now),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        let shared = Shared { state: Mutex::new(state), changed: watch::Sender::new(()) };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the number of calls received since the start.
    pub fn stats(&self) -> Stats {
        self.state().stats
    }

    /// Replaces all faults and wakes the watches, so that an outage ends them.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
        self.shared.changed.send_replace(());
    }

    /// Runs one call that reads or changes the store.
    ///
    /// A dropped response doesn't undo the operation.
    ///
    /// # Errors
    ///
    /// Returns an error when the call is rejected or its response is dropped.
    pub async fn call<T>(
        &self,
        kind: CallKind,
        operation: impl FnOnce(&mut Store, Instant) -> T,
    ) -> Result<T, Refusal> {
        self.admit(kind).await?;
        let result = {
            let mut state = self.state();
            let result = operation(&mut state.store, Instant::now());
            state.respond(result)
        };
        if kind == CallKind::Write {
            self.shared.changed.send_replace(());
        }
        result
    }

    /// Waits until a key has a revision above `after`; returns `None` when `wait` elapses first.
    ///
    /// # Errors
    ///
    /// Returns an error when the call is rejected or its response is dropped.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Entry>, Refusal> {
        let deadline = time::Instant::now() + wait;
        self.admit(CallKind::Watch).await?;
        let mut changed = self.shared.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if let Some(entry) = self.newer_entry(key, after)? {
                return self.state().respond(Some(entry));
            }
            let change = time::timeout_at(deadline, changed.changed()).await;
            if change.is_err() {
                return self.state().respond(None);
            }
        }
    }

    fn newer_entry(&self, key: &str, after: u64) -> Result<Option<Entry>, Refusal> {
        let mut state = self.state();
        if state.fault.outage {
            return Err(Refusal::Outage);
        }
        let entry = state.store.get(key, Instant::now());
        Ok(entry.filter(|entry| entry.revision > after))
    }

    async fn admit(&self, kind: CallKind) -> Result<(), Refusal> {
        let delay = self.state().admit(kind, Instant::now())?;
        if delay > Duration::ZERO {
            time::sleep(delay).await;
        }
        Ok(())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn admit(&mut self, kind: CallKind, now: Instant) -> Result<Duration, Refusal> {
        let (count, bucket) = match kind {
            CallKind::Read => (&mut self.stats.reads, &mut self.reads),
            CallKind::Write => (&mut self.stats.writes, &mut self.writes),
            CallKind::Watch => (&mut self.stats.watches, &mut self.reads),
        };
        *count += 1;
        if self.fault.outage {
            return Err(Refusal::Outage);
        }
        if !bucket.try_take(now) {
            return Err(Refusal::RateLimited);
        }
        Ok(Duration::from_millis(self.fault.delay_ms))
    }

    /// Returns the result unless the fault drops the response.
    fn respond<T>(&mut self, result: T) -> Result<T, Refusal> {
        let lose_answers = self.fault.lose_answers;
        if lose_answers > 0.0 && self.rng.random_bool(lose_answers) {
            return Err(Refusal::ResponseDropped);
        }
        Ok(result)
    }
}
