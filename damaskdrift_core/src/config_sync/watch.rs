//! Selects the instances that watch the key-value service for configuration changes.

use std::collections;

use xxhash_rust::xxh3;

use crate::id;

/// Number of watching instances per failure domain; the second covers the loss of the first.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Returns the live instances that watch the service: those with the lowest rendezvous hashing
/// scores in each failure domain.
pub fn watchers<'a>(
    live: impl IntoIterator<Item = (&'a id::Instance, &'a id::FailureDomain)>,
) -> collections::BTreeSet<&'a id::Instance> {
    let mut by_domain: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
    for (instance, domain) in live {
        by_domain.entry(domain).or_default().push((score(domain, instance), instance));
    }
    let mut watchers = collections::BTreeSet::new();
    for mut scored in by_domain.into_values() {
        scored.sort_unstable();
        watchers.extend(scored.into_iter().take(WATCHERS_PER_DOMAIN).map(|(_, instance)| instance));
    }
    watchers
}

fn score(domain: &id::FailureDomain, instance: &id::Instance) -> u64 {
    xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), xxh3::xxh3_64(domain.as_str().as_bytes()))
}
