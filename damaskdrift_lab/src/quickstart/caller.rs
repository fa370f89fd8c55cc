//! Caller that sends its requests to all instances in turn.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::harness::fleet;
use crate::harness::{Call, Client, Fleet};

/// Pause before a call is retried at the next instance.
pub const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time limit for a response, or between two chunks of a stream.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Caller that sends its requests to all instances in turn, so that a retry reaches another one.
///
/// Clones share the rotation.
#[derive(Clone, Debug)]
pub struct Caller {
    /// HTTP client of the fleet.
    pub http: Client,
    instances: Arc<[net::SocketAddr]>,
    next: Arc<AtomicUsize>,
}

impl Caller {
    /// Creates a caller that uses all instances of a fleet.
    pub fn new(fleet: &Fleet) -> Self {
        let instances = fleet.instances.iter().map(|instance| instance.listen.callers).collect();
        Self { http: fleet.http.clone(), instances, next: Arc::default() }
    }

    /// Returns a call to the next instance in the rotation.
    pub fn call(&self, method: hyper::Method, path: &str) -> Call {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.instances.len();
        let call = Call::new(method, self.instances[index], path);
        call.with_bearer(fleet::KEY).with_timeout(RESPONSE_TIMEOUT)
    }
}
