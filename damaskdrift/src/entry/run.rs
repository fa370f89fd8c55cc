//! Runs an entry instance from start to stop.

use std::io;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::time::Millis;
use metrics_exporter_prometheus::PrometheusHandle;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind};
use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::entry::cache_stores;
use crate::entry::client;
use crate::entry::leadership;
use crate::entry::listener;
use crate::entry::observe;
use crate::entry::peers;
use crate::entry::platform_store;
use crate::entry::port;
use crate::entry::settings;
use crate::entry::state;
use crate::entry::weights;

/// How long a stopping instance goes on to accept: the platform notices after two checks, one a
/// second, that it is not ready.
const ACCEPT_AFTER_STOP: Millis = Millis(3_500);
/// Time before the end of the grace in which an instance ends with requests unfinished.
const GRACE_MARGIN: Millis = Millis(500);

/// An instance that could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// A listener cannot be opened.
    #[error("cannot listen on {0}: {1}")]
    Listen(net::SocketAddr, io::Error),
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}

/// Runs an instance until SIGTERM. It has to run within a [`task::LocalSet`].
///
/// # Errors
///
/// Returns why the instance could not start.
pub async fn run(
    settings: settings::Settings,
    port: Rc<dyn port::Port>,
    client: Rc<client::Client>,
    page: PrometheusHandle,
    reload: impl Fn() -> Result<settings::Settings, String> + 'static,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    task::spawn_local(follow_settings(signal(SignalKind::hangup())?, settings.clone(), reload));
    let callers = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let peers = listen(settings.peers).await?;
    let metrics = listen(settings.metrics).await?;
    let (entry, changes) = state::Entry::new(settings, port, client);
    log::info!(
        instance:% = entry.settings.instance, domain:% = entry.settings.domain,
        callers:% = entry.settings.callers, version = env!("CARGO_PKG_VERSION");
        "instance starts"
    );
    let close = CancellationToken::new();
    let callers = task::spawn_local(listener::serve_callers(entry.clone(), callers, close.clone()));
    task::spawn_local(listener::serve_readiness(entry.clone(), readiness));
    task::spawn_local(listener::serve_metrics(page, metrics));
    task::spawn_local(peers::listen(entry.clone(), peers));
    task::spawn_local(peers::run(entry.clone()));
    task::spawn_local(platform_store::run(entry.clone(), changes));
    task::spawn_local(cache_stores::run(entry.clone()));
    task::spawn_local(observe::run(entry.clone()));
    let registration = task::spawn_local(leadership::register(entry.clone()));
    let weights = task::spawn_local(weights::run(entry.clone()));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(requests = entry.requests.get(); "instance stops");
    entry.stopping.cancel();
    let stop = async {
        tokio::time::sleep(Duration::from(ACCEPT_AFTER_STOP)).await;
        close.cancel();
        for task in [callers, registration, weights] {
            if let Err(error) = task.await {
                log::error!(cause:% = error; "a task failed");
            }
        }
    };
    let grace = Duration::from(entry.settings.grace - GRACE_MARGIN);
    if tokio::time::timeout(grace, stop).await.is_err() {
        log::warn!(requests = entry.requests.get(); "instance ends with requests unfinished");
    }
    log::info!("instance has stopped");
    Ok(())
}

/// Reads the settings again at each SIGHUP. An instance keeps those it started with: its
/// addresses and bounds hold for its life, so a difference is only reported.
async fn follow_settings(
    mut hangup: Signal,
    settings: settings::Settings,
    reload: impl Fn() -> Result<settings::Settings, String>,
) {
    while hangup.recv().await.is_some() {
        match reload() {
            Ok(read) if read == settings => log::info!("settings read again; nothing changed"),
            Ok(_) => log::warn!("settings changed; they take effect at the next start"),
            Err(error) => log::error!(cause = error; "settings cannot be read again"),
        }
    }
}

async fn listen(address: net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

fn signal(kind: SignalKind) -> Result<Signal, Error> {
    tokio::signal::unix::signal(kind).map_err(Error::Signals)
}
