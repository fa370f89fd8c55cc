//! Calls of the key-value service: counting, rate limits, faults and effects.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

use crate::standin::key_value;
use crate::standin::key_value::fault::Fault;
use crate::standin::key_value::rate::Bucket;
use crate::standin::key_value::store::{Entry, Store};

/// Calls received, refused ones included.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Reads of a key.
    pub reads: u64,
    /// Writes, renewals and deletions.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// Kind of a call, which decides what it counts as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// A read of a key.
    Read,
    /// A write, renewal or deletion.
    Write,
    /// A watch.
    Watch,
}

/// Why a call has no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The service is in an outage.
    Outage,
    /// The rate limit is exceeded.
    RateLimited,
    /// The call took effect but its answer is lost.
    AnswerLost,
}

/// The service, shared by all connections.
#[derive(Clone, Debug)]
pub struct Service {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Wakes watches after a change of a key or of the faults.
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    store: Store,
    stats: Stats,
    fault: Fault,
    reads: Bucket,
    writes: Bucket,
    rng: ChaCha8Rng,
}

impl Service {
    /// Creates an empty service.
    pub fn new(options: &key_value::Options) -> Self {
        let now = Instant::now();
        let state = State {
            store: Store::default(),
            stats: Stats::default(),
            fault: Fault { delay_ms: options.delay_ms, ..Fault::default() },
            reads: Bucket::new(options.reads_per_s, now),
            writes: Bucket::new(options.writes_per_s, now),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        let shared = Shared { state: Mutex::new(state), changed: watch::Sender::new(()) };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the number of calls received.
    pub fn stats(&self) -> Stats {
        self.state().stats
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
        self.shared.changed.send_replace(());
    }

    /// Runs one call that reads or changes the store.
    ///
    /// # Errors
    ///
    /// Returns why the call has no result.
    pub async fn call<T>(
        &self,
        call: Call,
        effect: impl FnOnce(&mut Store, Instant) -> T,
    ) -> Result<T, Refusal> {
        self.admit(call).await?;
        let result = {
            let mut state = self.state();
            let result = effect(&mut state.store, Instant::now());
            state.answer(result)
        };
        if call == Call::Write {
            self.shared.changed.send_replace(());
        }
        result
    }

    /// Waits until a key has a revision above `after`; `None` when the wait ends first.
    ///
    /// # Errors
    ///
    /// Returns why the call has no result.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Entry>, Refusal> {
        let deadline = time::Instant::now() + wait;
        self.admit(Call::Watch).await?;
        let mut changed = self.shared.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if let Some(entry) = self.newer(key, after)? {
                return self.state().answer(Some(entry));
            }
            let woken = time::timeout_at(deadline, changed.changed()).await;
            if woken.is_err() {
                return self.state().answer(None);
            }
        }
    }

    fn newer(&self, key: &str, after: u64) -> Result<Option<Entry>, Refusal> {
        let mut state = self.state();
        if state.fault.outage {
            return Err(Refusal::Outage);
        }
        let entry = state.store.get(key, Instant::now());
        Ok(entry.filter(|entry| entry.revision > after))
    }

    async fn admit(&self, call: Call) -> Result<(), Refusal> {
        let delay = self.state().admit(call, Instant::now())?;
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
    fn admit(&mut self, call: Call, now: Instant) -> Result<Duration, Refusal> {
        let (count, bucket) = match call {
            Call::Read => (&mut self.stats.reads, &mut self.reads),
            Call::Write => (&mut self.stats.writes, &mut self.writes),
            Call::Watch => (&mut self.stats.watches, &mut self.reads),
        };
        *count += 1;
        if self.fault.outage {
            return Err(Refusal::Outage);
        }
        if !bucket.take(now) {
            return Err(Refusal::RateLimited);
        }
        Ok(Duration::from_millis(self.fault.delay_ms))
    }

    fn answer<T>(&mut self, result: T) -> Result<T, Refusal> {
        let lose_answers = self.fault.lose_answers;
        if lose_answers > 0.0 && self.rng.random_bool(lose_answers) {
            return Err(Refusal::AnswerLost);
        }
        Ok(result)
    }
}
