//! Reads load reports and cache events of the engines.

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
use crate::control::cache::call;
use crate::upstream;

/// Mean time between two readings of one engine.
const INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for an engine's report.
const TIMEOUT: Duration = Duration::from_secs(1);

/// How far the events of an engine's start have been read.
#[derive(Clone, Debug, Default)]
struct Position {
    boot: Option<id::Boot>,
    after: u64,
}

#[derive(Deserialize)]
struct Load {
    boot_id: id::Boot,
    queued: usize,
    prefill_tokens_per_s: f64,
    cached_blocks: usize,
}

#[derive(Deserialize)]
struct Events {
    events: Vec<Event>,
    next: u64,
}

#[derive(Deserialize)]
struct Event {
    block: block::Key,
    kind: Kind,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    Stored,
    Evicted,
}

/// Reads the engines' reports until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut positions = collections::HashMap::<id::Upstream, Position>::new();
    loop {
        time::sleep(backoff::jittered(INTERVAL, 0.8..1.2)).await;
        let fleet = cx.fleet.load_full();
        let engines = fleet.document.upstreams.iter();
        let engines = engines.filter(|(_, u)| matches!(u.kind, fleet::Kind::Engine { .. }));
        let mut polls = tokio::task::JoinSet::new();
        let mut next = collections::HashMap::new();
        for target in engines.filter_map(|(id, u)| upstream::Target::new(id, u)) {
            let position = positions.remove(&target.id).unwrap_or_default();
            polls.spawn(poll(cx.clone(), target, position));
        }
        while let Some(polled) = polls.join_next().await {
            let Ok((id, position)) = polled else {
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
    let load: Load = match get(&cx, &target, "/v1/load").await {
        Ok(load) => load,
        Err(failure) => {
            log::debug!("load report of {}: {failure}", target.id);
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
    match get::<Events>(&cx, &target, &path).await {
        Ok(events) => {
            position.after = events.next;
            note_events(&cx, &target.id, &events.events);
        }
        Err(failure) => log::debug!("cache events of {}: {failure}", target.id),
    }
    (target.id, position)
}

fn note_events(cx: &context::Context, upstream: &id::Upstream, events: &[Event]) {
    let mut state = cx.cache.lock();
    for event in events {
        let change = match event.kind {
            Kind::Stored => placement::CacheEvent::Stored,
            Kind::Evicted => placement::CacheEvent::Evicted,
        };
        state.estimates.residency.record_event(upstream, &event.block, change);
    }
}

async fn get<T: serde::de::DeserializeOwned>(
    cx: &context::Context,
    target: &upstream::Target,
    path: &str,
) -> Result<T, upstream::Failure> {
    call::json(cx, target, Method::GET, path, Bytes::new(), TIMEOUT).await
}
