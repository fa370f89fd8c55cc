//! Reads the platform's instance list.

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use tokio::time;

use crate::backoff;
use crate::context;
use crate::platform::instance_list;

/// Mean time between two readings.
const INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut is_reported = false;
    loop {
        match cx.instance_list.read().await {
            Ok(entries) => {
                is_reported = false;
                apply(&cx, &entries);
            }
            Err(error) => {
                if !is_reported {
                    let code = code::Code::PlatformUnavailable.number();
                    log::warn!(code; "cannot read the instance list: {error}");
                }
                is_reported = true;
            }
        }
        time::sleep(backoff::jittered(INTERVAL, 0.8..1.2)).await;
    }
}

/// Returns the instances that are alive, this one included, with their failure domains.
pub fn alive(cx: &context::Context) -> Vec<(id::Instance, id::FailureDomain)> {
    let membership = cx.membership();
    let alive = membership.alive(cx.now());
    alive.map(|(instance, domain)| (instance.clone(), domain.clone())).collect()
}

/// Returns whether the platform lists an upstream as leaving.
pub fn is_leaving(cx: &context::Context, upstream: &id::Upstream) -> bool {
    cx.leaving_upstreams.load().contains(upstream)
}

fn apply(cx: &context::Context, entries: &[instance_list::Entry]) {
    let mut leaving = collections::BTreeSet::new();
    let mut listed = Vec::new();
    for entry in entries {
        let is_leaving = entry.state == instance_list::State::Leaving;
        if entry.role != instance_list::Role::Entry {
            if is_leaving {
                leaving.insert(id::Upstream::new(&entry.id));
            }
            continue;
        }
        listed.push(membership::Listed {
            instance: id::Instance::new(&entry.id),
            address: entry.address,
            failure_domain: entry.failure_domain.clone(),
            leaving: is_leaving,
        });
    }
    cx.leaving_upstreams.store(sync::Arc::new(leaving));
    let now = cx.now();
    let mut membership = cx.membership();
    membership.apply_list(&listed, now);
    if let Some(roster) = membership.roster(now) {
        cx.sync.state().retain_members(&roster);
    }
}
