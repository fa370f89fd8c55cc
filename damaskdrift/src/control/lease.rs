//! Leases in the key-value service, held by one instance at a time.

use bytes::Bytes;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;

use crate::context;
use crate::platform::key_value;

/// Time before the end of a lease at which its holder stops, for the drift of clocks.
const MARGIN: Millis = Millis(100);

/// A lease that this instance took.
#[derive(Clone, Debug)]
pub struct Lease {
    key: String,
    revision: id::Revision,
    life: Millis,
    /// When the write or renewal that last succeeded was sent.
    renewed: Millis,
}

impl Lease {
    /// Takes a lease, or returns `None` when another instance holds it.
    ///
    /// # Errors
    ///
    /// Returns why the service did not answer; the next try settles whether the lease was taken.
    pub async fn take(
        cx: &context::Context,
        key: &str,
        life: Millis,
    ) -> Result<Option<Self>, key_value::Error> {
        let holder = Bytes::from(format!("{} {}", cx.settings.instance.id, cx.boot));
        let sent = cx.now();
        let none = id::Revision::default();
        match cx.key_value.put(key, holder.clone(), none, Some(life)).await? {
            key_value::Swap::Written(revision) => {
                Ok(Some(Self { key: key.to_owned(), revision, life, renewed: sent }))
            }
            key_value::Swap::Conflict(Some(entry)) if entry.value == holder => {
                // An earlier write took effect although its answer was lost.
                let revision = entry.revision;
                let mut lease = Self { key: key.to_owned(), revision, life, renewed: sent };
                Ok(lease.renew(cx).await?.then_some(lease))
            }
            key_value::Swap::Conflict(_) => Ok(None),
        }
    }

    /// Extends the lease and returns whether it is still held.
    ///
    /// # Errors
    ///
    /// Returns why the service did not answer; the lease is held until its end.
    pub async fn renew(&mut self, cx: &context::Context) -> Result<bool, key_value::Error> {
        let sent = cx.now();
        match cx.key_value.renew(&self.key, self.revision, self.life).await? {
            key_value::Swap::Written(_) => {
                self.renewed = sent;
                Ok(true)
            }
            key_value::Swap::Conflict(_) => {
                self.life = Millis::default();
                Ok(false)
            }
        }
    }

    /// Gives the lease up, so that another instance need not wait for its end.
    pub async fn release(self, cx: &context::Context) {
        if let Err(error) = cx.key_value.delete(&self.key, self.revision).await {
            log::info!("lease {} ends by itself: {error}", self.key);
        }
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: Millis) -> bool {
        now + MARGIN < self.renewed + self.life
    }

    /// Returns the time since the lease was last extended.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.renewed)
    }

    /// Returns the number that orders the holders of the lease.
    pub fn fencing(&self) -> id::FencingToken {
        id::FencingToken(self.revision.0)
    }
}
