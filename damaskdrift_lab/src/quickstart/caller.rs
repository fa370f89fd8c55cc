//! A caller that turns to another instance when one does not answer.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::harness::fleet;
use crate::harness::{Call, Client, Fleet};

/// Pause before a call is sent again to the next instance.
pub const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for an answer or between two pieces of a stream.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A caller that turns to another instance when one does not answer.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The HTTP client.
    pub http: Client,
    instances: Arc<[net::SocketAddr]>,
    next: Arc<AtomicUsize>,
}

impl Caller {
    /// Creates a caller of all instances of a fleet.
    pub fn new(fleet: &Fleet) -> Self {
        let instances = fleet.instances.iter().map(|instance| instance.listen.callers).collect();
        Self { http: fleet.http.clone(), instances, next: Arc::default() }
    }

    /// Returns a call to the next instance in turn.
    pub fn call(&self, method: hyper::Method, path: &str) -> Call {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.instances.len();
        let call = Call::new(method, self.instances[index], path);
        call.with_bearer(fleet::KEY).with_timeout(TIMEOUT)
    }
}
