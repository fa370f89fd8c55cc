//! Polls engines for load reports and cache events.

use std::collections;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::block;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::placement;
use hyper::Method;
use serde::Deserialize;
use tokio::time;

use crate::backoff;
use crate::context;
use crate::control::cache::engine;
use crate::upstream;

/// Mean interval between two polls of an engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one request to an engine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Sequence number up to which the cache events of one engine start have been read.
#[derive(Clone, Debug, Default)]
struct Position {
    boot: Option<id::Boot>,
    after: u64,
}

#[derive(Deserialize)]
struct LoadResponse {
    boot_id: id::Boot,
    queued: usize,
    prefill_tokens_per_s: f64,
    cached_blocks: usize,
}

#[derive(Deserialize)]
struct EventsResponse {
    events: Vec<CacheEvent>,
    next: u64,
}

#[derive(Deserialize)]
struct CacheEvent {
    block: block::Key,
    kind: EventKind,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum EventKind {
    Stored,
    Evicted,
}

/// Polls all engines until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut positions = collections::HashMap::<id::Upstream, Position>::new();
    loop {
        time::sleep(backoff::jittered(POLL_INTERVAL, 0.8..1.2)).await;
        let fleet = cx.fleet.load_full();
        let engines = fleet.document.upstreams.iter();
        let engines = engines.filter(|(_, u)| matches!(u.kind, fleet::Kind::Engine { .. }));
        let mut polls = tokio::task::JoinSet::new();
        let mut next = collections::HashMap::new();
        for target in engines.filter_map(|(id, u)| upstream::Target::new(id, u)) {
            let position = positions.remove(&target.id).unwrap_or_default();
            polls.spawn(poll(cx.clone(), target, position));
        }
        while let Some(result) = polls.join_next().await {
            let Ok((id, position)) = result else {
                continue;
            };
            next.insert(id, position);
        }
        positions = next;
    }
}

async fn poll(
    cx: sync::Arc<context::Context>,
    target: upstream::Target,
    mut position: Position,
) -> (id::Upstream, Position) {
    let load: LoadResponse = match get(&cx, &target, "/v1/load").await {
        Ok(load) => load,
        Err(failure) => {
            log::debug!("cannot read the load report of {}: {failure}", target.id);
            return (target.id, position);
        }
    };
    if position.boot.as_ref() != Some(&load.boot_id) {
        position = Position { boot: Some(load.boot_id.clone()), after: 0 };
    }
    let report = placement::LoadReport {
        queued: load.queued,
        prefill_tokens_per_s: load.prefill_tokens_per_s,
        cached_blocks: load.cached_blocks,
        received_at: cx.now(),
    };
    cx.cache.lock().estimates.record_report(&target.id, &load.boot_id, report);
    let path = format!("/v1/cache/events?after={}", position.after);
    match get::<EventsResponse>(&cx, &target, &path).await {
        Ok(events) => {
            position.after = events.next;
            record_events(&cx, &target.id, &events.events);
        }
        Err(failure) => log::debug!("cannot read the cache events of {}: {failure}", target.id),
    }
    (target.id, position)
}

fn record_events(cx: &context::Context, upstream: &id::Upstream, events: &[CacheEvent]) {
    let mut state = cx.cache.lock();
    for event in events {
        let change = match event.kind {
            EventKind::Stored => placement::CacheEvent::Stored,
            EventKind::Evicted => placement::CacheEvent::Evicted,
        };
        state.estimates.residency.record_event(upstream, &event.block, change);
    }
}

async fn get<T: serde::de::DeserializeOwned>(
    cx: &context::Context,
    target: &upstream::Target,
    path: &str,
) -> Result<T, upstream::Failure> {
    engine::call(cx, target, Method::GET, path, Bytes::new(), REQUEST_TIMEOUT).await
}
