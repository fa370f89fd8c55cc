//! Polls the platform's instance list.

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

/// Mean interval between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the list until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut is_failing = false;
    loop {
        match cx.instance_list.read().await {
            Ok(entries) => {
                is_failing = false;
                apply(&cx, &entries);
            }
            Err(error) => {
                if !is_failing {
                    let code = code::Code::PlatformUnavailable.number();
                    log::warn!(code; "cannot read the instance list: {error}");
                }
                is_failing = true;
            }
        }
        time::sleep(backoff::jittered(POLL_INTERVAL, 0.8..1.2)).await;
    }
}

/// Returns the live instances, including this one, with their failure domains.
pub fn alive(cx: &context::Context) -> Vec<(id::Instance, id::FailureDomain)> {
    let membership = cx.membership();
    let alive = membership.alive(cx.now());
    alive.map(|(instance, domain)| (instance.clone(), domain.clone())).collect()
}

/// Returns whether the platform lists an upstream as draining.
pub fn is_draining(cx: &context::Context, upstream: &id::Upstream) -> bool {
    cx.draining_upstreams.load().contains(upstream)
}

fn apply(cx: &context::Context, entries: &[instance_list::Entry]) {
    let mut draining = collections::BTreeSet::new();
    let mut listed = Vec::new();
    for entry in entries {
        let is_draining = entry.state == instance_list::State::Leaving;
        if entry.role != instance_list::Role::Entry {
            if is_draining {
                draining.insert(id::Upstream::new(&entry.id));
            }
            continue;
        }
        listed.push(membership::Listed {
            instance: id::Instance::new(&entry.id),
            address: entry.address,
            failure_domain: entry.failure_domain.clone(),
            leaving: is_draining,
        });
    }
    cx.draining_upstreams.store(sync::Arc::new(draining));
    let now = cx.now();
    let mut membership = cx.membership();
    membership.apply_list(&listed, now);
    if let Some(roster) = membership.roster(now) {
        cx.sync.state().retain_members(&roster);
    }
}
