//! Stand-in for a store of KV cache blocks.

mod http;
pub mod options;
pub mod tier;

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
    server::run(address, http::routes(http::Store::new(cfg))).await?;
    Ok(process::ExitCode::SUCCESS)
}
