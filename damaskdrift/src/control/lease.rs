//! Leases in the key-value service, each held by at most one instance at a time.

use bytes::Bytes;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;

use crate::context;
use crate::platform::key_value;

/// Time before its expiry from which a lease no longer counts as held, to allow for clock drift.
const EXPIRY_MARGIN: Millis = Millis(100);

/// A lease that this instance acquired; it may have expired since.
#[derive(Clone, Debug)]
pub struct Lease {
    key: String,
    revision: id::Revision,
    ttl: Millis,
    /// Time at which the last successful write or renewal was sent.
    renewed_at: Millis,
}

impl Lease {
    /// Acquires a lease, or returns `None` when another instance holds it.
    ///
    /// # Errors
    ///
    /// Returns why the service did not respond. The lease may have been acquired nonetheless; the
    /// next attempt then returns it.
    pub async fn acquire(
        cx: &context::Context,
        key: &str,
        ttl: Millis,
    ) -> Result<Option<Self>, key_value::Error> {
        let value = Bytes::from(format!("{} {}", cx.settings.instance.id, cx.boot));
        let sent_at = cx.now();
        let absent = id::Revision::default();
        match cx.key_value.put(key, value.clone(), absent, Some(ttl)).await? {
            key_value::Swap::Written(revision) => {
                Ok(Some(Self { key: key.to_owned(), revision, ttl, renewed_at: sent_at }))
            }
            key_value::Swap::Conflict(Some(entry)) if entry.value == value => {
                // An earlier write took effect although its response was lost.
                let revision = entry.revision;
                let mut lease = Self { key: key.to_owned(), revision, ttl, renewed_at: sent_at };
                Ok(lease.renew(cx).await?.then_some(lease))
            }
            key_value::Swap::Conflict(_) => Ok(None),
        }
    }

    /// Extends the lease and returns whether it is still held.
    ///
    /// # Errors
    ///
    /// Returns why the service did not respond; the lease is then held until its previous expiry.
    pub async fn renew(&mut self, cx: &context::Context) -> Result<bool, key_value::Error> {
        let sent_at = cx.now();
        match cx.key_value.renew(&self.key, self.revision, self.ttl).await? {
            key_value::Swap::Written(_) => {
                self.renewed_at = sent_at;
                Ok(true)
            }
            key_value::Swap::Conflict(_) => {
                self.ttl = Millis::default();
                Ok(false)
            }
        }
    }

    /// Deletes the lease, so that another instance need not wait for its expiry.
    pub async fn release(self, cx: &context::Context) {
        if let Err(error) = cx.key_value.delete(&self.key, self.revision).await {
            log::info!("cannot release lease {}, which now expires by its TTL: {error}", self.key);
        }
    }

    /// Returns whether the lease is held at `now`, with a margin for clock drift.
    pub fn is_held(&self, now: Millis) -> bool {
        now + EXPIRY_MARGIN < self.renewed_at + self.ttl
    }

    /// Returns the time since the lease was last renewed.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.renewed_at)
    }

    /// Returns the fencing token, which is higher for each later holder of the lease.
    pub fn fencing(&self) -> id::FencingToken {
        id::FencingToken(self.revision.0)
    }
}
