//! Tells other instances of this one's work at upstreams, and hears of theirs.

mod link;
mod report;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::membership;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;
use tokio_util::task::AbortOnDropHandle;

use crate::entry::clock;
use crate::entry::listener;
use crate::entry::state;
use crate::peer::message;

/// Pause after a report for each link, so that changes that come together share one.
const PACE_PER_LINK: Duration = Duration::from_millis(2);
/// Shortest pause after a report where relays pass it on: what one sends in each pause is
/// multiplied by the instances of a failure domain.
const RELAYED_PACE: Duration = Duration::from_millis(50);
/// Longest time between two reports; a report counts for 1.5 s.
const REFRESH: Duration = Duration::from_millis(500);
/// How often the places of instances are compared with the connections.
const COMPARE_PAUSE: Duration = Duration::from_millis(250);

/// Reports that are the same for all receivers.
#[derive(Clone, Debug)]
struct Outgoing {
    own: Rc<message::Frame>,
    domain: Rc<message::Frame>,
}

/// Accepts the connections of other instances.
pub async fn listen(entry: Rc<state::Entry>, listener: TcpListener) {
    loop {
        let stream = listener::accept(&listener).await;
        let entry = entry.clone();
        task::spawn_local(async move {
            if let Err(error) = link::serve(&entry, stream).await {
                log::info!(cause:% = error; "connection from a peer ended");
            }
        });
    }
}

/// Reports to the instances that this one is linked to until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    let (tx, rx) = watch::channel(outgoing(&entry));
    task::spawn_local(connect(entry.clone(), rx));
    loop {
        // Whether a change or the time ended the wait makes no difference.
        let _ = tokio::time::timeout(REFRESH, entry.load_changed.notified()).await;
        let now = clock::now();
        entry.upstreams.borrow_mut().sum_reports(now);
        entry.seen_weights.borrow_mut().expire(now);
        tx.send_replace(outgoing(&entry));
        tokio::time::sleep(pace(&entry)).await;
    }
}

/// Returns the pause after a report.
fn pace(entry: &state::Entry) -> Duration {
    let layout = entry.layout();
    let links = u32::try_from(layout.links.len()).unwrap_or(u32::MAX);
    let by_links = PACE_PER_LINK.saturating_mul(links.saturating_add(1));
    match layout.role {
        membership::Role::Mesh => by_links,
        membership::Role::Relay | membership::Role::Leaf => by_links.max(RELAYED_PACE),
    }
}

fn outgoing(entry: &state::Entry) -> Outgoing {
    let own = Rc::new(report::own(entry));
    let domain = match entry.layout().role {
        membership::Role::Relay => Rc::new(report::domain(entry)),
        membership::Role::Mesh | membership::Role::Leaf => own.clone(),
    };
    Outgoing { own, domain }
}

/// Keeps a connection to each instance that this one reports to.
async fn connect(entry: Rc<state::Entry>, reports: watch::Receiver<Outgoing>) {
    let mut links: BTreeMap<link::Link, AbortOnDropHandle<()>> = BTreeMap::new();
    loop {
        entry.lay_out();
        let layout = entry.layout();
        let mut wanted = BTreeSet::new();
        for (peer, scope) in &layout.links {
            if let Some(registration) = entry.registration(peer) {
                let address = registration.address;
                wanted.insert(link::Link { peer: peer.clone(), scope: *scope, address });
            }
        }
        links.retain(|link, _| wanted.contains(link));
        for link in wanted {
            links.entry(link).or_insert_with_key(|link| {
                let keep = link.clone().keep(entry.clone(), reports.clone());
                AbortOnDropHandle::new(task::spawn_local(keep))
            });
        }
        report::drop_uncounted(&entry, layout.role);
        tokio::time::sleep(COMPARE_PAUSE).await;
    }
}
