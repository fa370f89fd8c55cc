//! Connections between instances.

use std::collections::BTreeMap;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::id;
use damaskdrift_core::membership;
use tokio::net::TcpStream;
use tokio::sync::{broadcast, watch};
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;

use crate::entry::peers;
use crate::entry::peers::report;
use crate::entry::state;
use crate::entry::stores;
use crate::peer::{Error, message, socket};

/// Longest time to send a frame; a peer that takes none for so long is connected to again.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence after which a connection that should carry reports is closed: three were missed.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Least time between two lists of one store for one instance: its reports say until it has taken
/// the first that it lacks it.
const LIST_PAUSE: Duration = Duration::from_millis(400);
/// Pause before a peer is connected to again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A connection that this instance keeps to another one.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Link {
    /// The other instance.
    pub peer: id::Instance,
    /// What it is told.
    pub scope: membership::Scope,
    /// Its address.
    pub address: net::SocketAddr,
}

impl Link {
    /// Keeps the connection until the task is aborted.
    pub async fn keep(
        self,
        entry: Rc<state::Entry>,
        mut reports: watch::Receiver<peers::Outgoing>,
    ) {
        loop {
            if let Err(error) = self.tell(&entry, &mut reports).await {
                log::info!(peer:% = self.peer, cause:% = error; "connection to a peer ended");
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sends the reports, and hears from the other instance if it is a relay of this one.
    async fn tell(
        &self,
        entry: &Rc<state::Entry>,
        reports: &mut watch::Receiver<peers::Outgoing>,
    ) -> Result<(), Error> {
        let mut stream = socket::with_open_timeout(socket::connect_websocket(self.address)).await?;
        let mut heard = Instant::now();
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
                    heard = Instant::now();
                    apply(entry, frame?);
                }
                () = tokio::time::sleep_until(heard + SILENCE), if is_leaf => {
                    return Err(Error::Unreachable("the relay is silent".to_owned()));
                }
            }
            if !is_leaf {
                heard = Instant::now();
            }
        }
    }
}

/// Hears the reports of the instance that opened a connection, and passes on to it what it needs
/// if this instance is its relay.
pub async fn serve(entry: &Rc<state::Entry>, tcp: TcpStream) -> Result<(), Error> {
    let mut stream = socket::with_open_timeout(socket::accept_websocket(tcp)).await?;
    let mut relayed = entry.relayed.subscribe();
    let mut leaf: Option<Leaf> = None;
    let mut echo = 0;
    let mut heard = Instant::now();
    let mut due = Instant::now();
    loop {
        let is_relayed = leaf.is_some() && entry.layout().role == membership::Role::Relay;
        tokio::select! {
            frame = socket::receive(&mut stream) => {
                heard = Instant::now();
                let frame = frame?;
                if let message::Frame::Load(load) = &frame {
                    echo = load.sent_at_ms;
                    let is_near = load.failure_domain == entry.settings.domain.as_str();
                    if leaf.is_none() && is_near {
                        for missed in entry.follower.missed(load.revision) {
                            send(&mut stream, &missed).await?;
                        }
                        leaf = Some(Leaf::new(entry, &load.instance));
                    }
                    if let Some(leaf) = &mut leaf {
                        for list in leaf.lists(&load.missing_snapshots) {
                            send(&mut stream, &list).await?;
                        }
                    }
                }
                apply(entry, frame);
            }
            frame = relayed.recv() => match frame {
                Ok(frame) if is_relayed => send(&mut stream, &frame).await?,
                // The peer notices the gap and reads the stores itself.
                Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => return Ok(()),
            },
            () = tokio::time::sleep_until(due), if is_relayed => {
                if let Some(leaf) = &leaf {
                    send(&mut stream, &report::others(entry, &leaf.id, echo)).await?;
                }
                due = Instant::now() + peers::RELAYED_PACE;
            }
            () = tokio::time::sleep_until(heard + SILENCE) => {
                return Err(Error::Unreachable("the peer is silent".to_owned()));
            }
        }
    }
}

/// An instance of this one's failure domain that is connected to it.
#[derive(Debug)]
struct Leaf {
    entry: Rc<state::Entry>,
    id: id::Instance,
    /// When it was last sent the list of each store.
    listed: BTreeMap<id::Upstream, Instant>,
}

impl Leaf {
    fn new(entry: &Rc<state::Entry>, id: &str) -> Self {
        entry.follower.leaves.set(entry.follower.leaves.get() + 1);
        Self { entry: entry.clone(), id: id::Instance::new(id), listed: BTreeMap::new() }
    }

    /// Returns lists of the stores that the instance lacks, unless it was sent them a moment ago.
    fn lists(&mut self, lacking: &[String]) -> Vec<message::Frame> {
        let now = Instant::now();
        let mut lists = Vec::new();
        for store in lacking {
            let store = id::Upstream::new(store);
            if self.listed.get(&store).is_some_and(|at| now.duration_since(*at) < LIST_PAUSE) {
                continue;
            }
            if let Some(list) = stores::list_for(&self.entry, &store) {
                lists.push(list);
                self.listed.insert(store, now);
            }
        }
        lists
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
        message::Frame::Load(load) => report::apply(entry, load),
        message::Frame::CacheStoreUpdate(kept) => stores::hear(entry, kept),
        message::Frame::Changes(changes) => {
            if entry.changes.try_send(changes).is_err() {
                log::warn!("changes of the store overflow; reading it again");
                entry.follower.must_read.notify_one();
            }
        }
        // Frames of the product's own interface do not concern an entry instance here.
        message::Frame::Hello(_) | message::Frame::Request(..) | message::Frame::Reply(..) => {}
    }
}

async fn send(
    stream: &mut WebSocketStream<TcpStream>,
    frame: &message::Frame,
) -> Result<(), Error> {
    let sent = tokio::time::timeout(SEND_TIMEOUT, socket::send(stream, frame)).await;
    sent.map_err(|_| Error::Unreachable("the peer takes no frame".to_owned()))?
}
