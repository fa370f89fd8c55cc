//! A link whose bandwidth all transfers share.

use std::sync;
use std::time::Duration;

use tokio::time::Instant;

/// Bytes that one transfer sends before the next gets its turn.
pub const CHUNK_BYTES: usize = 16 << 10;

/// A link of limited bandwidth.
#[derive(Debug)]
pub struct Link {
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    bytes_per_s: f64,
    stalled: bool,
    free_at: Instant,
    carried: u64,
}

impl Link {
    /// Creates a link; a bandwidth of 0 is unlimited.
    pub fn new(bytes_per_s: f64) -> Self {
        let state = State { bytes_per_s, stalled: false, free_at: Instant::now(), carried: 0 };
        Self { state: sync::Mutex::new(state) }
    }

    /// Sets the bandwidth and whether the link is stalled.
    pub fn set(&self, bytes_per_s: f64, stalled: bool) {
        let mut state = self.lock();
        state.bytes_per_s = bytes_per_s;
        state.stalled = stalled;
    }

    /// Returns the bytes carried so far.
    pub fn carried(&self) -> u64 {
        self.lock().carried
    }

    /// Waits until some bytes have passed the link.
    pub async fn pass(&self, bytes: usize) {
        while self.lock().stalled {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let passed_at = self.lock().reserve(bytes);
        tokio::time::sleep_until(passed_at).await;
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn reserve(&mut self, bytes: usize) -> Instant {
        self.carried += bytes as u64;
        let start = self.free_at.max(Instant::now());
        if self.bytes_per_s > 0.0 {
            self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            return self.free_at;
        }
        start
    }
}
