//! Stand-ins for the platform's services and the upstreams.

pub mod client;
pub mod engine;
pub mod flag;
pub mod instances;
pub mod key_value;
pub mod link;
pub mod service;
pub mod store;
pub mod weights;

use std::process;

use lexopt::ValueExt as _;

use crate::error::Error;

/// Runs the stand-in that the command line names until it is killed.
///
/// # Errors
///
/// Returns why the stand-in could not run.
pub async fn run(mut args: lexopt::Parser) -> Result<process::ExitCode, Error> {
    let name = args.value()?.string()?;
    match name.as_str() {
        "key-value" => key_value::run(args).await,
        "engine" => engine::run(args).await,
        "service" => service::run(args).await,
        "store" => store::run(args).await,
        "weights" => weights::run(args).await,
        "instances" => instances::run(args).await,
        other => Err(Error::Usage(format!("unknown stand-in {other:?}"))),
    }
}
