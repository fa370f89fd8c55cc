//! Connections between entry instances.

use std::collections::BTreeMap;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::time::Millis;
use tokio::net::TcpStream;
use tokio::sync::{broadcast, watch};
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;

use crate::entry::cache_stores;
use crate::entry::clock;
use crate::entry::peers;
use crate::entry::peers::report;
use crate::entry::state;
use crate::peer::{Error, message, socket};

/// Timeout for sending a frame; a connection on which the peer does not accept one is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a frame after which a connection that should carry reports is closed; at least
/// three reports have been missed by then.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Minimum interval between snapshots of a store for the same leaf: its reports keep requesting one
/// until it has applied the first.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(400);
/// Pause before reconnecting to a peer.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// An outgoing connection to another instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Link {
    /// Instance at the other end.
    pub peer: id::Instance,
    /// Whose load is reported to it.
    pub scope: membership::Scope,
    /// Address for connections from other instances.
    pub address: net::SocketAddr,
}

impl Link {
    /// Maintains the connection until the task is aborted.
    pub async fn run(self, entry: Rc<state::Entry>, mut reports: watch::Receiver<peers::Outgoing>) {
        loop {
            if let Err(error) = self.send_reports(&entry, &mut reports).await {
                log::info!(peer:% = self.peer, cause:% = error; "connection to a peer ended");
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Connects and sends reports; applies the frames received if the peer is a relay of this
    /// instance.
    async fn send_reports(
        &self,
        entry: &Rc<state::Entry>,
        reports: &mut watch::Receiver<peers::Outgoing>,
    ) -> Result<(), Error> {
        let mut stream = socket::with_open_timeout(socket::connect_websocket(self.address)).await?;
        let mut last_contact = Instant::now();
        loop {
            let is_leaf = entry.layout().role == membership::Role::Leaf;
            tokio::select! {
                changed = reports.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let outgoing = reports.borrow_and_update().clone();
                    let frame = match self.scope {
                        membership::Scope::Own => outgoing.own,
                        membership::Scope::Domain => outgoing.domain,
                    };
                    send(&mut stream, &frame).await?;
                }
                frame = socket::receive(&mut stream) => {
                    last_contact = Instant::now();
                    apply(entry, frame?);
                }
                () = tokio::time::sleep_until(last_contact + SILENCE_TIMEOUT), if is_leaf => {
                    return Err(Error::Unreachable("the relay is silent".to_owned()));
                }
            }
            if !is_leaf {
                last_contact = Instant::now();
            }
        }
    }
}

/// Serves a connection opened by another instance: applies its reports, and sends it relayed frames
/// if this instance is its relay.
pub async fn serve(entry: &Rc<state::Entry>, tcp: TcpStream) -> Result<(), Error> {
    let mut stream = socket::with_open_timeout(socket::accept_websocket(tcp)).await?;
    let mut relay_rx = entry.relay_tx.subscribe();
    let mut leaf: Option<Leaf> = None;
    let mut echo = 0;
    let mut last_contact = Instant::now();
    let mut next_report = Instant::now();
    let mut updates = StoreUpdates::default();
    loop {
        let is_relayed = leaf.is_some() && entry.layout().role == membership::Role::Relay;
        tokio::select! {
            frame = socket::receive(&mut stream) => {
                last_contact = Instant::now();
                let frame = frame?;
                if let message::Frame::Load(load) = &frame {
                    echo = load.sent_at_ms;
                    let is_same_domain = load.failure_domain == entry.settings.domain.as_str();
                    if leaf.is_none() && is_same_domain {
                        for frame in entry.follower.retained_after(load.revision) {
                            send(&mut stream, &frame).await?;
                        }
                        leaf = Some(Leaf::new(entry, &load.instance));
                    }
                    if let Some(leaf) = &mut leaf {
                        for frame in leaf.snapshots(&load.missing_snapshots) {
                            send(&mut stream, &frame).await?;
                        }
                    }
                }
                apply(entry, frame);
            }
            frame = relay_rx.recv() => match frame {
                Ok(frame) if is_relayed => match frame.as_ref() {
                    message::Frame::CacheStoreUpdate(update) => updates.push(update),
                    _ => send(&mut stream, &frame).await?,
                },
                // A peer that missed frames detects the gap; it then lists the platform store
                // itself or requests a snapshot of the cache store.
                Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => return Ok(()),
            },
            () = tokio::time::sleep_until(next_report), if is_relayed => {
                if let Some(leaf) = &leaf {
                    for update in updates.take() {
                        feed(&mut stream, &message::Frame::CacheStoreUpdate(update)).await?;
                    }
                    send(&mut stream, &report::others(entry, &leaf.id, echo)).await?;
                    next_report = Instant::now() + peers::leaf_report_pause(entry, &leaf.id);
                }
            }
            () = tokio::time::sleep_until(last_contact + SILENCE_TIMEOUT) => {
                let reason = "no frame from the peer within the silence timeout";
                return Err(Error::Unreachable(reason.to_owned()));
            }
        }
    }
}

/// Updates of cache stores that are sent to a leaf together with the next report, so that the events
/// of many stores do not wake every leaf one by one.
#[derive(Debug, Default)]
struct StoreUpdates {
    /// When each update was received, and the update.
    queued: Vec<(Millis, message::CacheStoreUpdate)>,
}

impl StoreUpdates {
    fn push(&mut self, update: &message::CacheStoreUpdate) {
        let now = clock::now();
        for (queued_at, queued) in &mut self.queued {
            if queued.append(update) {
                *queued_at = now;
                return;
            }
        }
        self.queued.push((now, update.clone()));
    }

    /// Returns the queued updates in order, with their ages as of now.
    fn take(&mut self) -> Vec<message::CacheStoreUpdate> {
        let now = clock::now();
        let mut updates = Vec::with_capacity(self.queued.len());
        for (queued_at, mut update) in self.queued.drain(..) {
            update.age_ms += now.since(queued_at).0;
            updates.push(update);
        }
        updates
    }
}

/// A connected instance of the same failure domain, counted while this value exists.
#[derive(Debug)]
struct Leaf {
    entry: Rc<state::Entry>,
    id: id::Instance,
    /// When a snapshot of each store was last sent to it.
    snapshot_sent_at: BTreeMap<id::Upstream, Instant>,
}

impl Leaf {
    fn new(entry: &Rc<state::Entry>, id: &str) -> Self {
        entry.follower.leaves.set(entry.follower.leaves.get() + 1);
        Self { entry: entry.clone(), id: id::Instance::new(id), snapshot_sent_at: BTreeMap::new() }
    }

    /// Returns snapshots of the requested stores, except those sent recently.
    fn snapshots(&mut self, requested: &[String]) -> Vec<message::Frame> {
        let now = Instant::now();
        let mut frames = Vec::new();
        for store in requested {
            let store = id::Upstream::new(store);
            let sent_at = self.snapshot_sent_at.get(&store);
            if sent_at.is_some_and(|at| now.duration_since(*at) < SNAPSHOT_INTERVAL) {
                continue;
            }
            if let Some(frame) = cache_stores::snapshot_frame(&self.entry, &store) {
                frames.push(frame);
                self.snapshot_sent_at.insert(store, now);
            }
        }
        frames
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        let leaves = &self.entry.follower.leaves;
        leaves.set(leaves.get().saturating_sub(1));
    }
}

fn apply(entry: &Rc<state::Entry>, frame: message::Frame) {
    match frame {
        message::Frame::Load(load) => report::apply(entry, *load),
        message::Frame::CacheStoreUpdate(update) => cache_stores::apply_relayed(entry, update),
        message::Frame::Changes(changes) => {
            if entry.relayed_changes.try_send(changes).is_err() {
                log::warn!("queue of relayed changes is full; listing the platform store again");
                entry.follower.must_relist.notify_one();
            }
        }
        // These frames belong to the protocol of instances with their own control plane.
        message::Frame::Hello(_) | message::Frame::Request(..) | message::Frame::Reply(..) => {}
    }
}

async fn send(
    stream: &mut WebSocketStream<socket::Stream>,
    frame: &message::Frame,
) -> Result<(), Error> {
    with_send_timeout(socket::send(stream, frame)).await
}

/// Queues a frame that is sent together with the next one.
async fn feed(
    stream: &mut WebSocketStream<socket::Stream>,
    frame: &message::Frame,
) -> Result<(), Error> {
    with_send_timeout(socket::feed(stream, frame)).await
}

async fn with_send_timeout(sent: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let sent = tokio::time::timeout(SEND_TIMEOUT, sent).await;
    sent.map_err(|_| {
        Error::Unreachable("the peer did not accept a frame within the send timeout".to_owned())
    })?
}
