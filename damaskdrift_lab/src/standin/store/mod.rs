//! Stand-in for a KV cache store.

mod http;
pub mod options;
pub mod tier;

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
    let store = http::Store::new(cfg);
    warp::serve(http::routes(store)).incoming(listener).run().await;
    Ok(process::ExitCode::SUCCESS)
}
