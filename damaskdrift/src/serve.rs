//! Runs an entry instance from start to stop.

use std::path;
use std::sync;

use damaskdrift_core::code;
use thiserror::Error;
use tokio::signal;

use crate::context;
use crate::control;
use crate::logging;
use crate::metrics;
use crate::peer;
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
    let _page = metrics::init();
    let runtime = tokio::runtime::Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: settings::Settings) -> Result<(), Error> {
    let cx = context::Context::new(settings);
    start_control(&cx).await?;
    stop_signal().await.map_err(Error::Runtime)
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = signal::unix::signal(signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        interrupted = signal::ctrl_c() => interrupted,
    }
}

/// Opens the peers' listener and starts the background loops.
async fn start_control(cx: &sync::Arc<context::Context>) -> Result<(), Error> {
    let address = cx.settings.listen.peers;
    peer::start(cx).await.map_err(|source| Error::Listen { address, source })?;
    tokio::spawn(control::roster::run(cx.clone()));
    tokio::spawn(control::heartbeat::run(cx.clone()));
    tokio::spawn(control::sync::run(cx.clone()));
    Ok(())
}
