//! Runs an entry instance from start to stop.

use std::net;
use std::path;

use damaskdrift_core::code;
use metrics_exporter_prometheus::PrometheusHandle;
use thiserror::Error;
use tokio::signal::unix;
use tokio_util::sync::CancellationToken;

use crate::context;
use crate::logging;
use crate::metrics;
use crate::operator;
use crate::settings;

/// An instance that could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings are missing or wrong.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A listener cannot be opened.
    #[error("[{}] cannot listen on {address}: {source}", code::Code::ListenFailed.number())]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The operators' token cannot be read.
    #[error("[{}] {_0}", code::Code::SettingsInvalid.number())]
    Token(String),
    /// The runtime cannot be started.
    #[error("[{}] cannot start the runtime: {_0}", code::Code::Internal.number())]
    Runtime(std::io::Error),
}

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns why the instance could not start.
pub fn run(config: &path::Path) -> Result<(), Error> {
    let settings = settings::Settings::load(config)?;
    logging::init(&settings.log)
        .map_err(|message| settings::Error::Invalid { path: config.to_owned(), message })?;
    let page = metrics::init();
    let runtime = tokio::runtime::Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(serve(settings, page))
}

async fn serve(settings: settings::Settings, page: PrometheusHandle) -> Result<(), Error> {
    let token = settings.operators.token().map_err(Error::Token)?;
    let cx = context::Context::new(settings);
    let operators = bind(cx.settings.listen.operators).await?;
    let stop = CancellationToken::new();
    let listener = operator::listener::Listener::new(cx.clone(), page, &token);
    let operators = tokio::spawn(listener.run(operators, stop.clone().cancelled_owned()));
    stop_signal().await?;
    stop.cancel();
    // The listener ends by itself; a panic in it was printed when it happened.
    let _ = operators.await;
    Ok(())
}

async fn bind(address: net::SocketAddr) -> Result<tokio::net::TcpListener, Error> {
    let socket = tokio::net::TcpListener::bind(address).await;
    socket.map_err(|source| Error::Listen { address, source })
}

async fn stop_signal() -> Result<(), Error> {
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(Error::Runtime)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(Error::Runtime)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
