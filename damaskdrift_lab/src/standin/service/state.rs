//! Run counters and fault decisions of the service stand-in.

use std::collections;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::standin::service;
use crate::standin::service::fault::Fault;

/// Shared state of the stand-in.
#[derive(Debug)]
pub struct State {
    delay: Duration,
    padding_bytes: usize,
    inner: Mutex<Inner>,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// Sequence number of the run, counted from 1 over all keys.
    pub number: u64,
    /// Delay before the response.
    pub delay: Duration,
    /// Whether the response has status 500.
    pub failed: bool,
    /// Whether the connection is closed without a response.
    pub response_dropped: bool,
}

#[derive(Debug)]
struct Inner {
    runs: collections::BTreeMap<String, u64>,
    total_runs: u64,
    fault: Fault,
    rng: ChaCha8Rng,
}

impl State {
    /// Creates the state of a service that has run no calls.
    pub fn new(options: &service::Options) -> Self {
        let inner = Inner {
            runs: collections::BTreeMap::new(),
            total_runs: 0,
            fault: Fault::default(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        Self {
            delay: Duration::from_millis(options.delay_ms),
            padding_bytes: options.padding_bytes,
            inner: Mutex::new(inner),
        }
    }

    /// Returns the size of the padding in each response body, in bytes.
    pub fn padding_bytes(&self) -> usize {
        self.padding_bytes
    }

    /// Returns the number of runs by idempotency key; calls without a key count under "".
    pub fn runs(&self) -> collections::BTreeMap<String, u64> {
        self.inner().runs.clone()
    }

    /// Replaces all faults.
    pub fn set_fault(&self, fault: Fault) {
        self.inner().fault = fault;
    }

    /// Counts a run and draws its outcome from the faults.
    pub fn run(&self, key: &str) -> Run {
        let mut inner = self.inner();
        *inner.runs.entry(key.to_owned()).or_default() += 1;
        inner.total_runs += 1;
        let Fault { fail_rate, slow_factor, lose_answers } = inner.fault;
        Run {
            number: inner.total_runs,
            delay: self.delay.mul_f64(slow_factor),
            failed: inner.rng.random_bool(fail_rate),
            response_dropped: inner.rng.random_bool(lose_answers),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
