//! Exchanges heartbeats with peers, which carry configuration revisions and vetoes of moves.

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::config_sync;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::time::Millis;
use tokio::time;

use crate::context;
use crate::control::{lifecycle, sync as config};
use crate::peer;
use crate::peer::message;

/// Interval between two rounds of pings; a small fleet pings every peer in each round.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Limit on the members listed in a pong, so that its size does not grow with the fleet.
const MAX_PONG_MEMBERS: usize = 8;

/// Vetoes of running moves, from this instance and its peers.
#[derive(Debug, Default)]
pub struct Vetoes {
    by_move: sync::Mutex<collections::BTreeMap<id::Move, String>>,
}

impl Vetoes {
    /// Adds a veto, and returns whether it is the first one of its move.
    pub fn add(&self, veto: message::Veto) -> bool {
        let mut by_move = self.lock();
        if by_move.contains_key(&veto.name) {
            return false;
        }
        by_move.insert(veto.name, veto.reason);
        true
    }

    /// Returns all vetoes, ordered by the name of the move.
    pub fn list(&self) -> Vec<message::Veto> {
        let by_move = self.lock();
        let veto = |(name, reason): (&id::Move, &String)| message::Veto {
            name: name.clone(),
            reason: reason.clone(),
        };
        by_move.iter().map(veto).collect()
    }

    /// Returns whether a move is vetoed.
    pub fn contains(&self, name: &id::Move) -> bool {
        self.lock().contains_key(name)
    }

    /// Removes the vetoes of moves that are not running in `document`.
    pub fn retain_running(&self, document: &fleet::Document) {
        self.lock().retain(|name, _| is_running(document, name));
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<id::Move, String>> {
        self.by_move.lock().expect("no thread panics while it holds the lock")
    }
}

/// Pings peers until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut pause_detector = membership::PauseDetector::new();
    let mut ticks = time::interval(PING_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = cx.now();
        if let Some(gap) = pause_detector.tick(now) {
            resume_after_pause(&cx, gap);
        }
        let peers = cx.membership().peers();
        cx.peers.retain(&peers);
        for peer in membership::ping_targets(&peers, &mut rand::rng()) {
            tokio::spawn(ping(cx.clone(), peer));
        }
    }
}

/// Applies a ping from a peer and returns the pong.
pub fn handle_ping(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
    ping: &message::Heartbeat,
) -> message::Pong {
    let now = cx.now();
    cx.membership().record_message(peer, ping.draining, now);
    apply_heartbeat(cx, peer, ping);
    let heartbeat = own_heartbeat(cx);
    let members = member_sample(cx, now);
    let state = cx.sync.state();
    // The revision and its age must be read under one lock to be consistent.
    let heartbeat = message::Heartbeat { revision: state.installed(), ..heartbeat };
    message::Pong { heartbeat, confirmed_age: state.confirmed_age(now), members }
}

async fn ping(cx: sync::Arc<context::Context>, peer: id::Instance) {
    let sent_at = cx.now();
    // Membership marks an unreachable peer, and the link logs the cause.
    let Ok(reply) = peer::call(&cx, &peer, message::Request::Ping(own_heartbeat(&cx))).await else {
        return;
    };
    let message::Reply::Pong(pong) = reply else { return };
    {
        let mut membership = cx.membership();
        membership.record_message(&peer, pong.heartbeat.draining, cx.now());
        for (member, age) in &pong.members {
            membership.record_indirect_contact(member, sent_at - *age);
        }
    }
    let report = config_sync::PeerReport {
        revision: pong.heartbeat.revision,
        confirmed_age: pong.confirmed_age,
        members: pong.members,
    };
    cx.sync.state().confirm_from_peer(&peer, &report, sent_at);
    apply_heartbeat(&cx, &peer, &pong.heartbeat);
}

fn own_heartbeat(cx: &context::Context) -> message::Heartbeat {
    message::Heartbeat {
        revision: cx.sync.state().installed(),
        draining: cx.lifecycle.phase() >= lifecycle::Phase::Draining,
        vetoes: cx.vetoes.list(),
    }
}

fn apply_heartbeat(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
    heartbeat: &message::Heartbeat,
) {
    config::observe_peer_revision(cx, peer, heartbeat.revision);
    let fleet = cx.fleet.load();
    for veto in &heartbeat.vetoes {
        // A veto that arrives before its move is added by a later heartbeat; one that arrives after
        // its move has ended must not be added.
        if is_running(&fleet.document, &veto.name) && cx.vetoes.add(veto.clone()) {
            log::warn!(r#move:% = veto.name, peer:%; "move vetoed by a peer: {}", veto.reason);
        }
    }
}

/// Returns the members to list in a pong; none in a small fleet, where all peers ping directly.
fn member_sample(cx: &context::Context, now: Millis) -> Vec<(id::Instance, Millis)> {
    let is_full_mesh = cx.membership().peers().len() < membership::MAX_FULL_PING_FLEET;
    if is_full_mesh {
        return Vec::new();
    }
    let limit = cx.freshness_limit();
    cx.sync.state().evidence_sample(now, limit, MAX_PONG_MEMBERS, &mut rand::rng())
}

fn resume_after_pause(cx: &context::Context, gap: Millis) {
    log::warn!("paused for {gap}; confirmations, leases and allotments are considered lost");
    cx.membership().clear_contacts();
    cx.sync.invalidate();
    cx.pauses.send_modify(|count| *count += 1);
}

fn is_running(document: &fleet::Document, name: &id::Move) -> bool {
    document.moves.get(name).is_some_and(|m| m.state == fleet::MoveState::Running)
}
