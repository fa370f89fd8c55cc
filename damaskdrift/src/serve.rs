//! Runs an entry instance from start to stop.

use std::path;

use damaskdrift_core::code;
use thiserror::Error;

use crate::context;
use crate::logging;
use crate::metrics;
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
    let _cx = context::Context::new(settings);
    Ok(())
}
