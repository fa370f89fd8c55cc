//! Startup and shutdown of an entry instance.

use std::io;
use std::net;
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::shutdown;
use metrics_exporter_prometheus::PrometheusHandle;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind};
use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::entry::admission;
use crate::entry::cache_stores;
use crate::entry::client;
use crate::entry::clock;
use crate::entry::duties;
use crate::entry::intake;
use crate::entry::leadership;
use crate::entry::listener;
use crate::entry::observe;
use crate::entry::peers;
use crate::entry::platform_store;
use crate::entry::port;
use crate::entry::rollouts;
use crate::entry::settings;
use crate::entry::state;
use crate::entry::weights;

/// Reason for which an instance could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The listening socket for an address cannot be opened.
    #[error("cannot listen on {0}: {1}")]
    Listen(net::SocketAddr, io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install signal handler: {0}")]
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
    recorder: PrometheusHandle,
    reload: impl Fn() -> Result<settings::Settings, String> + 'static,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    task::spawn_local(check_settings_on_hangup(
        signal(SignalKind::hangup())?,
        settings.clone(),
        reload,
    ));
    let callers = listener::bind(settings.callers)?;
    let readiness = listener::bind(settings.readiness)?;
    let peers = listen(settings.peers).await?;
    let metrics = listener::bind(settings.metrics)?;
    let resources = intake::Resources::new(&settings);
    resources.log();
    let (entry, changes) = state::Entry::new(settings, port, client);
    log::info!(
        instance:% = entry.settings.instance, domain:% = entry.settings.domain,
        callers:% = entry.settings.callers, version = env!("CARGO_PKG_VERSION");
        "instance starting"
    );
    let close = CancellationToken::new();
    let intake = intake::Intake::for_callers(&resources);
    let callers = listener::serve_callers(entry.clone(), intake, callers, close.clone());
    let callers = task::spawn_local(callers);
    let intake = intake::Intake::for_checks("readiness", &resources);
    task::spawn_local(listener::serve_readiness(entry.clone(), intake, readiness));
    let intake = intake::Intake::for_checks("metrics", &resources);
    task::spawn_local(listener::serve_metrics(recorder, intake, metrics));
    task::spawn_local(peers::listen(entry.clone(), peers));
    task::spawn_local(peers::run(entry.clone()));
    task::spawn_local(platform_store::run(entry.clone(), changes));
    task::spawn_local(cache_stores::run(entry.clone()));
    task::spawn_local(observe::run(entry.clone()));
    task::spawn_local(admission::run(entry.clone()));
    task::spawn_local(rollouts::run(entry.clone()));
    task::spawn_local(duties::run(entry.clone()));
    let registration = task::spawn_local(leadership::register(entry.clone()));
    let weights = task::spawn_local(weights::run(entry.clone()));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(
        requests = entry.requests.get(), in_flight = entry.in_flight.get();
        "instance stopping"
    );
    let now = clock::now();
    let plan = shutdown::Plan::new(now, entry.settings.grace);
    entry.shutdown.set(Some(plan));
    entry.stopping.cancel();
    let shutdown = async {
        tokio::time::sleep(Duration::from(plan.stops_accepting_at().since(now))).await;
        close.cancel();
        for task in [callers, registration, weights] {
            if let Err(error) = task.await {
                log::error!(cause:% = error; "task failed during shutdown");
            }
        }
    };
    let time_left = Duration::from(plan.exits_at().since(now));
    if tokio::time::timeout(time_left, shutdown).await.is_err() {
        log::warn!(
            requests = entry.requests.get(), in_flight = entry.in_flight.get();
            "grace period over; exiting with unfinished requests"
        );
    }
    log::info!("instance stopped");
    Ok(())
}

/// Reloads the settings at each SIGHUP and logs whether they changed.
///
/// A running instance can't apply them: its addresses and limits are fixed at startup.
async fn check_settings_on_hangup(
    mut hangup: Signal,
    settings: settings::Settings,
    reload: impl Fn() -> Result<settings::Settings, String>,
) {
    while hangup.recv().await.is_some() {
        match reload() {
            Ok(reloaded) if reloaded == settings => log::info!("settings reloaded; no changes"),
            Ok(_) => log::warn!("settings changed; a restart is needed to apply them"),
            Err(error) => log::error!(cause = error; "cannot reload settings"),
        }
    }
}

async fn listen(address: net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

fn signal(kind: SignalKind) -> Result<Signal, Error> {
    tokio::signal::unix::signal(kind).map_err(Error::Signals)
}
