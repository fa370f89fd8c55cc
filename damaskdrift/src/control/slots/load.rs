//! Reads the load reports of the upstreams whose limits this instance owns.

use std::net;
use std::sync;
use std::time::Duration;

use damaskdrift_core::admission;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use tokio::time;

use crate::context;
use crate::upstream;

/// Time between two readings of a report.
const INTERVAL: Duration = Duration::from_millis(500);
/// Boot id of a plain service, which reports none.
pub const SERVICE_BOOT: &str = "service";

/// Reads reports until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    loop {
        time::sleep(INTERVAL).await;
        let mut reading = tokio::task::JoinSet::new();
        for group in cx.slots.owned.groups(cx.now()) {
            let cx = cx.clone();
            reading.spawn(async move { read_group(&cx, group).await });
        }
        while reading.join_next().await.is_some() {}
    }
}

/// Reads the reports of a group's upstreams.
pub async fn read_group(cx: &sync::Arc<context::Context>, group: u16) {
    let mut reading = tokio::task::JoinSet::new();
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
                reading.spawn(read(cx.clone(), name.clone(), address));
            }
            fleet::Kind::Service { .. } => report_service(cx, name),
            fleet::Kind::Store => {}
        }
    }
    while reading.join_next().await.is_some() {}
}

async fn read(cx: sync::Arc<context::Context>, name: id::Upstream, address: net::SocketAddr) {
    let report = match upstream::read_load(address, cx.upstreams.timeouts()).await {
        Ok(report) => report,
        Err(failure) => {
            log::debug!("no load report of {name}: {failure}");
            return;
        }
    };
    let load = admission::Load {
        boot: report.boot_id,
        is_cold: report.cold,
        requests: report.running.saturating_add(report.queued),
        received_at: cx.now(),
    };
    cx.slots.owned.report_load(&name, &load);
}

/// A plain service has no cold start, so it counts as warm from its first use.
fn report_service(cx: &context::Context, name: &id::Upstream) {
    let boot = id::Boot::new(SERVICE_BOOT);
    let load = admission::Load { boot, is_cold: false, requests: 0, received_at: cx.now() };
    cx.slots.owned.report_load(name, &load);
}
