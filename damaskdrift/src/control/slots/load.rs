//! Polls the load reports of the upstreams whose limits this instance owns.

use std::net;
use std::sync;
use std::time::Duration;

use damaskdrift_core::admission;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use tokio::time;

use crate::context;
use crate::upstream;

/// Interval between two reads of an upstream's report.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Boot id recorded for a service that is not an engine, because it reports none.
pub const SERVICE_BOOT: &str = "service";

/// Polls reports until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    loop {
        time::sleep(POLL_INTERVAL).await;
        let mut reads = tokio::task::JoinSet::new();
        for group in cx.slots.owned.groups(cx.now()) {
            let cx = cx.clone();
            reads.spawn(async move { read_group(&cx, group).await });
        }
        while reads.join_next().await.is_some() {}
    }
}

/// Reads the reports of all upstreams of a group concurrently.
pub async fn read_group(cx: &sync::Arc<context::Context>, group: u16) {
    let mut reads = tokio::task::JoinSet::new();
    let fleet = cx.fleet.load_full();
    for (name, upstream) in &fleet.document.upstreams {
        if admission::group(name) != group {
            continue;
        }
        let Ok(address) = upstream.address.parse() else {
            continue;
        };
        match upstream.kind {
            fleet::Kind::Engine { .. } => {
                reads.spawn(read_report(cx.clone(), name.clone(), address));
            }
            fleet::Kind::Service { .. } => record_service_load(cx, name),
            fleet::Kind::Store => {}
        }
    }
    while reads.join_next().await.is_some() {}
}

async fn read_report(
    cx: sync::Arc<context::Context>,
    name: id::Upstream,
    address: net::SocketAddr,
) {
    let report = match upstream::read_load(address, cx.upstreams.timeouts()).await {
        Ok(report) => report,
        Err(failure) => {
            log::debug!("cannot read the load report of {name}: {failure}");
            return;
        }
    };
    let load = admission::Load {
        boot: report.boot_id,
        is_cold: report.cold,
        requests: report.running.saturating_add(report.queued),
        received_at: cx.now(),
    };
    cx.slots.owned.record_load(&name, &load);
}

/// Records a service as warm, because only engines have a cold start.
fn record_service_load(cx: &context::Context, name: &id::Upstream) {
    let boot = id::Boot::new(SERVICE_BOOT);
    let load = admission::Load { boot, is_cold: false, requests: 0, received_at: cx.now() };
    cx.slots.owned.record_load(name, &load);
}
