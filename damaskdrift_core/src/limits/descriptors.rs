//! Shares of the file descriptors of an instance.

/// Descriptors for files, standard streams, listeners and the event loop.
const FILES: u32 = 200;
/// Part of the descriptors, as a divisor, that files take at most where there are few.
const FILES_PART: u32 = 4;
/// Connections on the readiness address.
const READINESS: u32 = 64;
/// Part of the descriptors, as a divisor, that the readiness address takes at most.
const READINESS_PART: u32 = 16;
/// Part of the descriptors beside those for files, as a divisor, that is kept for connections to
/// upstreams, cache stores, the platform's store and peers.
const OWN_PART: u32 = 3;
/// Descriptors of that part, as a divisor, that requests at upstreams leave to other connections.
const OTHER_PART: u32 = 4;

/// How many descriptors each kind of connection may have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Descriptors {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to the readiness address, and as many to the address of the metrics.
    pub readiness: usize,
    /// Requests at upstreams at the same time, each of which needs a connection.
    pub requests: usize,
}

impl Descriptors {
    /// Divides the descriptors of a process.
    pub fn new(total: u32) -> Self {
        let left = total - FILES.min(total / FILES_PART);
        let readiness = READINESS.min(total / READINESS_PART).max(1);
        let own = left / OWN_PART;
        let callers = left.saturating_sub(own + 2 * readiness).max(1);
        let requests = (own - own / OTHER_PART).max(1);
        Self {
            callers: callers as usize,
            readiness: readiness as usize,
            requests: requests as usize,
        }
    }
}
