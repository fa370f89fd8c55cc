//! Which instances ask a store for its events, and which pass them on.

use xxhash_rust::xxh3;

use crate::id;

/// Most instances that ask one store for events. Stores answer a dozen callers at once, and the
/// views of who is live differ for some time after a change.
const OBSERVERS: usize = 8;
/// Observers that pass what they read to the instances that do not ask: one can fail.
const RELAYS: usize = 2;

/// What an instance does to know what a store holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It asks the store and passes the answers on.
    Relay,
    /// It asks the store.
    Observer,
    /// It hears from relays.
    Listener,
}

/// Returns the role of an instance among all live ones. The rank of an instance for a store is
/// its rendezvous score, so that instances agree without a message.
pub fn role<'a>(
    store: &id::Upstream,
    instance: &id::Instance,
    live: impl IntoIterator<Item = &'a id::Instance>,
) -> Role {
    let seed = xxh3::xxh3_64(store.as_str().as_bytes());
    let score = |id: &id::Instance| xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), seed);
    let own = score(instance);
    let mut count = 0;
    let mut rank = 0;
    for other in live {
        count += 1;
        rank += usize::from(other != instance && score(other) > own);
    }
    match rank {
        _ if rank < RELAYS && count > OBSERVERS => Role::Relay,
        _ if rank < OBSERVERS => Role::Observer,
        _ => Role::Listener,
    }
}
