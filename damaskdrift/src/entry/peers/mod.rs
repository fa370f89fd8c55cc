//! Exchange of load reports with other entry instances.

mod link;
mod report;

pub use report::counts;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::time::Millis;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;
use tokio_util::task::AbortOnDropHandle;

use crate::entry::clock;
use crate::entry::duties;
use crate::entry::listener;
use crate::entry::quarantine;
use crate::entry::state;
use crate::peer::message;

/// Pause after a report for each link, so that changes in quick succession share a report.
const REPORT_PAUSE_PER_LINK: Duration = Duration::from_millis(2);
/// Minimum pause after a report to or from a relay: every report is multiplied by the number of
/// instances in a failure domain.
const RELAY_REPORT_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two reports of a relay to a leaf whose first relay is another one. They keep the
/// leaf's view usable until it gets a new first relay.
const STANDBY_REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Maximum time between two reports; receivers discard a report after 1.5 s.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How often the connections are compared with the links of the layout.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);

/// Current reports, which are the same for all receivers of a scope.
#[derive(Clone, Debug)]
struct Outgoing {
    own: Rc<message::Frame>,
    domain: Rc<message::Frame>,
}

/// Accepts connections from other instances.
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

/// Sends reports to the linked instances until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    let (tx, rx) = watch::channel(outgoing(&entry));
    task::spawn_local(connect(entry.clone(), rx));
    let mut silent = BTreeSet::new();
    loop {
        // A report is due after a change as well as after the timeout.
        let _ = tokio::time::timeout(MAX_REPORT_INTERVAL, entry.report_due.notified()).await;
        let now = clock::now();
        entry.upstreams.borrow_mut().sum_reports(now);
        entry.observed_weights.borrow_mut().expire(now);
        quarantine::update(&entry);
        log_silence(&entry, &mut silent, now);
        duties::begin_round(&entry);
        tx.send_replace(outgoing(&entry));
        tokio::time::sleep(report_pause(&entry)).await;
    }
}

/// Logs which upstreams have fallen silent or are heard again.
fn log_silence(entry: &state::Entry, known: &mut BTreeSet<id::Upstream>, now: Millis) {
    let upstreams = entry.upstreams.borrow();
    let mut silent = BTreeSet::new();
    for upstream in upstreams.iter() {
        if upstream.response(now) == balance::Response::Usual {
            continue;
        }
        let id = &upstream.record.id;
        if !known.contains(id) {
            let load = upstream.load();
            let age_ms = |at: Option<Millis>| at.map(|at| now.since(at).0);
            log::warn!(
                upstream:% = id, in_flight = load.in_flight,
                heard_ms_ago:? = age_ms(load.contact.heard_at),
                waiting_ms:? = age_ms(load.contact.waiting_since);
                "upstream is silent"
            );
        }
        silent.insert(id.clone());
    }
    for id in known.difference(&silent) {
        log::info!(upstream:% = id; "upstream is no longer silent");
    }
    metrics::gauge!("upstreams_silent").set(silent.len() as f64);
    *known = silent;
}

/// Returns the pause after a report, which grows with the number of links.
fn report_pause(entry: &state::Entry) -> Duration {
    let layout = entry.layout();
    let links = u32::try_from(layout.links.len()).unwrap_or(u32::MAX);
    let by_links = REPORT_PAUSE_PER_LINK.saturating_mul(links.saturating_add(1));
    match layout.role {
        membership::Role::Mesh => by_links,
        membership::Role::Relay | membership::Role::Leaf => by_links.max(RELAY_REPORT_PAUSE),
    }
}

/// Returns the pause between two reports of this relay to a leaf.
fn leaf_report_pause(entry: &state::Entry, leaf: &id::Instance) -> Duration {
    let layout = entry.layout();
    if layout.is_first_relay(&entry.settings.instance, leaf) {
        RELAY_REPORT_PAUSE
    } else {
        STANDBY_REPORT_PAUSE
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

/// Maintains a connection to each instance that this one reports to.
async fn connect(entry: Rc<state::Entry>, reports: watch::Receiver<Outgoing>) {
    let mut links: BTreeMap<link::Link, AbortOnDropHandle<()>> = BTreeMap::new();
    loop {
        entry.update_layout();
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
                let run = link.clone().run(entry.clone(), reports.clone());
                AbortOnDropHandle::new(task::spawn_local(run))
            });
        }
        report::drop_excluded(&entry, layout.role);
        tokio::time::sleep(SYNC_INTERVAL).await;
    }
}
