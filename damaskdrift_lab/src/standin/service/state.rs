//! Runs of a plain service.

use std::collections;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::standin::service;
use crate::standin::service::fault::Fault;

/// State of the stand-in, shared by all connections.
#[derive(Debug)]
pub struct State {
    delay: Duration,
    answer_bytes: usize,
    inner: Mutex<Inner>,
}

/// What becomes of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// Number of the run, counted from 1 over all keys.
    pub number: u64,
    /// Time until the answer.
    pub delay: Duration,
    /// Whether the answer is a 500.
    pub failed: bool,
    /// Whether the connection is closed instead of answered.
    pub answer_lost: bool,
}

#[derive(Debug)]
struct Inner {
    runs: collections::BTreeMap<String, u64>,
    total: u64,
    fault: Fault,
    rng: ChaCha8Rng,
}

impl State {
    /// Creates the state of a service without runs.
    pub fn new(options: &service::Options) -> Self {
        let inner = Inner {
            runs: collections::BTreeMap::new(),
            total: 0,
            fault: Fault::default(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        Self {
            delay: Duration::from_millis(options.delay_ms),
            answer_bytes: options.answer_bytes,
            inner: Mutex::new(inner),
        }
    }

    /// Returns the least size of an answer's body, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the number of runs by idempotency key; calls without a key count under "".
    pub fn runs(&self) -> collections::BTreeMap<String, u64> {
        self.inner().runs.clone()
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: Fault) {
        self.inner().fault = fault;
    }

    /// Counts a run and decides its answer.
    pub fn run(&self, key: &str) -> Run {
        let mut inner = self.inner();
        *inner.runs.entry(key.to_owned()).or_default() += 1;
        inner.total += 1;
        let Fault { fail_rate, slow_factor, lose_answers } = inner.fault;
        Run {
            number: inner.total,
            delay: self.delay.mul_f64(slow_factor),
            failed: inner.rng.random_bool(fail_rate),
            answer_lost: inner.rng.random_bool(lose_answers),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
