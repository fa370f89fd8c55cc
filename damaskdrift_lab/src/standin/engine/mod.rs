//! Stand-in for a model engine.

pub mod batch;
pub mod cache;
pub mod fault;
mod http;
pub mod options;
pub mod order;
pub mod state;
pub mod stream;
pub mod text;
pub mod transfer;

use std::process;

use crate::error::Error;
use crate::server;

/// Runs the stand-in until it is killed.
///
/// # Errors
///
/// Returns an error when a flag is invalid or the listener cannot be opened.
pub async fn run(args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let Some(cfg) = options::Options::parse(args)? else {
        print!("{}", options::HELP);
        return Ok(process::ExitCode::SUCCESS);
    };
    let address = cfg.listen;
    server::run(address, http::routes(state::Engine::start(cfg))).await?;
    Ok(process::ExitCode::SUCCESS)
}
