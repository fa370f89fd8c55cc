//! Tells other instances of this one's work at upstreams, and hears of theirs.

use std::collections::BTreeSet;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, watch};
use tokio::task;

use crate::entry::clock;
use crate::entry::listener;
use crate::entry::state;
use crate::entry::stores;
use crate::peer::{Error, message, socket};

/// Pause after a report for each instance, so that changes that come together share one and the
/// number of reports that an instance gets does not rise with the fleet.
const PACE_PER_INSTANCE: Duration = Duration::from_millis(2);
/// Longest time between two reports; a report counts for 1.5 s.
const REFRESH: Duration = Duration::from_millis(500);
/// Longest time to send a report; a peer that takes none for so long is connected to again.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence after which a connection from a peer is closed: three reports were missed.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Pause before a peer is connected to again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How often the registered instances are compared with the connections.
const COMPARE_PAUSE: Duration = Duration::from_millis(250);
/// Time for which an upstream that a peer reports as loading weights is avoided: until after the
/// next report.
const LOADING_LIFE: Millis = Millis(700);
/// Time for which weights that an upstream showed are told; the platform's list has them by then.
const SHOWN_LIFE: Millis = Millis(3_000);

/// Accepts the reports of other instances.
pub async fn listen(entry: Rc<state::Entry>, listener: TcpListener) {
    loop {
        let stream = listener::accept(&listener).await;
        let entry = entry.clone();
        task::spawn_local(async move {
            if let Err(error) = hear(&entry, stream).await {
                log::info!(cause:% = error; "connection from a peer ended");
            }
        });
    }
}

async fn hear(entry: &Rc<state::Entry>, tcp: TcpStream) -> Result<(), Error> {
    let mut stream = socket::within(socket::take(tcp)).await?;
    loop {
        let received = tokio::time::timeout(SILENCE, socket::receive(&mut stream)).await;
        let silent = || Error::Unreachable("the peer is silent".to_owned());
        match received.map_err(|_| silent())?? {
            message::Frame::Load(load) => apply(entry, load),
            message::Frame::Kept(kept) => stores::hear(entry, kept),
            // Frames of the product's own interface do not concern an entry instance here.
            _ => {}
        }
    }
}

fn apply(entry: &state::Entry, report: message::Load) {
    let now = clock::now();
    let mut upstreams = entry.upstreams.borrow_mut();
    for (upstream, model, version) in &report.weights {
        if let Some(upstream) = upstreams.get_mut(&id::Upstream::new(upstream)) {
            upstream.set_version(&id::Model::new(model), *version, now);
        }
    }
    for upstream in &report.loading {
        if let Some(upstream) = upstreams.get_mut(&id::Upstream::new(upstream)) {
            upstream.avoid_until = now + LOADING_LIFE;
        }
    }
    let mut loads = Vec::with_capacity(report.upstreams.len());
    for (upstream, in_flight, tokens, unread) in report.upstreams {
        let load = balance::Load { in_flight, tokens, unread };
        loads.push((id::Upstream::new(&upstream), load));
    }
    upstreams.set_peer(id::Instance::new(&report.instance), loads, now);
}

/// Reports this instance's work to all others until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    let (tx, rx) = watch::channel(report(&entry));
    task::spawn_local(connect(entry.clone(), rx));
    loop {
        // Whether a change or the time ended the wait makes no difference.
        let _ = tokio::time::timeout(REFRESH, entry.load_changed.notified()).await;
        entry.upstreams.borrow_mut().sum_peers(clock::now());
        tx.send_replace(report(&entry));
        tokio::time::sleep(PACE_PER_INSTANCE * entry.instance_count()).await;
    }
}

fn report(entry: &state::Entry) -> message::Frame {
    let now = clock::now();
    let mut upstreams = Vec::new();
    for upstream in entry.upstreams.borrow().iter() {
        let own = upstream.own;
        if own.in_flight > 0 {
            let name = upstream.record.id.to_string();
            upstreams.push((name, own.in_flight, own.tokens, own.unread));
        }
    }
    let mut seen = entry.seen_weights.borrow_mut();
    seen.shown.retain(|_, (_, at)| now.since(*at) < SHOWN_LIFE);
    seen.loading.retain(|_, until| now < *until);
    let mut weights = Vec::new();
    for (upstream, (shown, _)) in &seen.shown {
        weights.push((upstream.to_string(), shown.model.to_string(), shown.version));
    }
    message::Frame::Load(message::Load {
        instance: entry.settings.instance.to_string(),
        upstreams,
        weights,
        loading: seen.loading.keys().map(id::Upstream::to_string).collect(),
    })
}

/// Keeps a connection to each registered instance.
async fn connect(entry: Rc<state::Entry>, reports: watch::Receiver<message::Frame>) {
    let mut connected: BTreeSet<(id::Instance, net::SocketAddr)> = BTreeSet::new();
    loop {
        let peers: BTreeSet<_> = entry.peers().into_iter().collect();
        for peer in peers.difference(&connected) {
            task::spawn_local(tell(entry.clone(), peer.clone(), reports.clone()));
        }
        connected = peers;
        tokio::time::sleep(COMPARE_PAUSE).await;
    }
}

/// Sends the reports to one instance while it is registered.
async fn tell(
    entry: Rc<state::Entry>,
    peer: (id::Instance, net::SocketAddr),
    mut reports: watch::Receiver<message::Frame>,
) {
    while entry.peers().contains(&peer) {
        if let Err(error) = send_all(&entry, &peer, &mut reports).await {
            log::info!(peer:% = peer.0, cause:% = error; "connection to a peer ended");
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn send_all(
    entry: &state::Entry,
    peer: &(id::Instance, net::SocketAddr),
    reports: &mut watch::Receiver<message::Frame>,
) -> Result<(), Error> {
    let mut stream = socket::within(socket::open(peer.1)).await?;
    let silent = |_| Error::Unreachable("the peer takes no report".to_owned());
    let mut relayed = entry.relayed.subscribe();
    while entry.peers().contains(peer) {
        let frame = tokio::select! {
            changed = reports.changed() => match changed {
                Ok(()) => Rc::new(reports.borrow_and_update().clone()),
                Err(_) => break,
            },
            frame = relayed.recv() => match frame {
                Ok(frame) => frame,
                // The peer notices the gap and lists the store.
                Err(broadcast::error::RecvError::Lagged(_)) => continue,
                Err(broadcast::error::RecvError::Closed) => break,
            },
        };
        let sent = tokio::time::timeout(SEND_TIMEOUT, socket::send(&mut stream, &frame)).await;
        sent.map_err(silent)??;
    }
    Ok(())
}
