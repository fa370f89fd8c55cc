//! Runs an entry instance from start to shutdown.

use std::net;
use std::path;
use std::sync::Arc;
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::shutdown;
use damaskdrift_core::time::Millis;
use metrics_exporter_prometheus::PrometheusHandle;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::caller;
use crate::context;
use crate::control;
use crate::control::lifecycle;
use crate::logging;
use crate::metrics;
use crate::operator;
use crate::peer;
use crate::settings;

/// An instance that could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings file is unreadable or invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A listener cannot be bound.
    #[error("[{}] cannot listen on {address}: {source}", code::Code::ListenFailed.number())]
    Listen {
        /// The address to listen on.
        address: std::net::SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The operators' token is missing, empty or unreadable.
    #[error("[{}] {_0}", code::Code::SettingsInvalid.number())]
    Token(String),
    /// The async runtime cannot be started or a signal handler cannot be installed.
    #[error("[{}] cannot start the runtime: {_0}", code::Code::Internal.number())]
    Runtime(std::io::Error),
}

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns why the instance cannot start.
pub fn run(config: &path::Path) -> Result<(), Error> {
    let settings = settings::Settings::load(config)?;
    logging::init(&settings.log)
        .map_err(|message| settings::Error::Invalid { path: config.to_owned(), message })?;
    let metrics = metrics::init();
    let runtime = tokio::runtime::Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(serve(config, settings, metrics))
}

async fn serve(
    config: &path::Path,
    settings: settings::Settings,
    metrics: PrometheusHandle,
) -> Result<(), Error> {
    let token = settings.operators.token().map_err(Error::Token)?;
    let cx = context::Context::new(settings);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(reload(cx.clone(), config.to_owned(), signal(SignalKind::hangup())?));
    let starting = lifecycle::Lifecycle::new(&cx.lifecycle);
    let operators = listen(cx.settings.listen.operators).await?;
    let callers = listen(cx.settings.listen.callers).await?;
    start_control(&cx).await?;
    let stop = CancellationToken::new();
    let listener = operator::listener::Listener::new(cx.clone(), metrics, &token);
    let operators = tokio::spawn(listener.run(operators, stop.clone().cancelled_owned()));
    let callers = tokio::spawn(caller::serve(cx.clone(), callers, stop_accepting(cx.clone())));
    let serving = starting.serve();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let deadline_ms = cx.drain.load().deadline_ms;
    let now = cx.now();
    let plan = deadline_ms.map(|ms| shutdown::Plan::exiting_at(now, now + Millis(ms)));
    let draining = serving.drain(plan);
    draining.finish(finish_requests(&cx, callers)).await;
    control::slots::release_leases(&cx).await;
    control::driver::release(&cx).await;
    stop.cancel();
    // The listener stops on its own; a panic in it has already been printed.
    let _ = operators.await;
    Ok(())
}

/// Reloads the limits and drain settings on each SIGHUP; if the file is invalid, the current
/// settings remain.
async fn reload(cx: Arc<context::Context>, config: path::PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match settings::Settings::load(&config) {
            Ok(settings) => {
                cx.limits.store(Arc::new(settings.limits));
                cx.drain.store(Arc::new(settings.drain));
                log::info!("settings read again from {}", config.display());
            }
            Err(error) => {
                log::error!("cannot reload the settings: {error}; the old settings stay in force");
            }
        }
    }
}

/// Waits until new connections from callers are no longer accepted. The load balancer notices with
/// a delay that the instance is not ready, so connections are accepted for some time after the
/// drain begins.
async fn stop_accepting(cx: Arc<context::Context>) {
    cx.lifecycle.reached(lifecycle::Phase::Draining).await;
    tokio::time::sleep(Duration::from_millis(cx.drain.load().accept_ms)).await;
}

async fn finish_requests(cx: &context::Context, callers: JoinHandle<()>) {
    let work = async {
        if let Err(error) = callers.await {
            log::error!("[{}] callers' listener failed: {error}", code::Code::Internal.number());
        }
        cx.tasks.finished().await;
    };
    let Some(deadline_ms) = cx.drain.load().deadline_ms else {
        return work.await;
    };
    if tokio::time::timeout(Duration::from_millis(deadline_ms), work).await.is_err() {
        log::warn!("drain deadline of {deadline_ms} ms exceeded; aborting running requests");
    }
}

async fn listen(address: net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

fn signal(kind: SignalKind) -> Result<Signal, Error> {
    tokio::signal::unix::signal(kind).map_err(Error::Runtime)
}

/// Opens the listener for other instances and starts the background tasks.
async fn start_control(cx: &Arc<context::Context>) -> Result<(), Error> {
    let peers = listen(cx.settings.listen.peers).await?;
    peer::start(cx, peers);
    tokio::spawn(control::roster::run(cx.clone()));
    tokio::spawn(control::heartbeat::run(cx.clone()));
    tokio::spawn(control::sync::run(cx.clone()));
    control::slots::start(cx);
    tokio::spawn(control::cache::run_polls(cx.clone()));
    tokio::spawn(control::cache::run_exports(cx.clone()));
    cx.peers.register(peer::RequestKind::Evidence, control::observe::handle_evidence);
    cx.peers.register(peer::RequestKind::Status, operator::status::handle_status);
    tokio::spawn(control::observe::run(cx.clone()));
    tokio::spawn(control::observe::poll_cold_starts(cx.clone()));
    tokio::spawn(control::driver::run(cx.clone()));
    Ok(())
}
