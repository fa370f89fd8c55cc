//! Simulated network link with a bandwidth shared by all transfers.

use std::sync;
use std::time::Duration;

use tokio::time::Instant;

/// Bytes that a transfer sends before another transfer may use the link.
pub const CHUNK_BYTES: usize = 16 << 10;

/// Network link of limited bandwidth.
#[derive(Debug)]
pub struct Link {
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    bytes_per_s: f64,
    stalled: bool,
    free_at: Instant,
    transferred: u64,
}

impl Link {
    /// Creates a link with a bandwidth in bytes per second; 0 is unlimited.
    pub fn new(bytes_per_s: f64) -> Self {
        let state = State { bytes_per_s, stalled: false, free_at: Instant::now(), transferred: 0 };
        Self { state: sync::Mutex::new(state) }
    }

    /// Sets the bandwidth in bytes per second, and whether the link is stalled.
    pub fn set(&self, bytes_per_s: f64, stalled: bool) {
        let mut state = self.lock();
        state.bytes_per_s = bytes_per_s;
        state.stalled = stalled;
    }

    /// Returns the number of bytes transferred since the link was created.
    pub fn transferred_bytes(&self) -> u64 {
        self.lock().transferred
    }

    /// Waits for as long as the transfer of `bytes` takes, including earlier transfers.
    pub async fn transfer(&self, bytes: usize) {
        while self.lock().stalled {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let done_at = self.lock().reserve(bytes);
        tokio::time::sleep_until(done_at).await;
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked while holding the lock")
    }
}

impl State {
    fn reserve(&mut self, bytes: usize) -> Instant {
        self.transferred += bytes as u64;
        let start = self.free_at.max(Instant::now());
        if self.bytes_per_s > 0.0 {
            self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            return self.free_at;
        }
        start
    }
}
