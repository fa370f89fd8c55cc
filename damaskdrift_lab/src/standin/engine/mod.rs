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
use crate::standin;

/// Runs the stand-in until it is killed.
///
/// # Errors
///
/// Returns why it could not run.
pub async fn run(args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let Some(cfg) = options::Options::parse(args)? else {
        print!("{}", options::HELP);
        return Ok(process::ExitCode::SUCCESS);
    };
    let listener = standin::listen(cfg.listen).await?;
    let engine = state::Engine::start(cfg);
    warp::serve(http::routes(engine)).incoming(listener).run().await;
    Ok(process::ExitCode::SUCCESS)
}
