//! Entry instance between callers and model-serving upstreams.

mod backoff;
mod caller;
mod cli;
mod context;
mod control;
mod logging;
mod metrics;
mod operator;
mod peer;
mod platform;
mod serve;
mod settings;
mod upstream;

use std::process;

fn main() -> process::ExitCode {
    match cli::run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("damaskdrift: {error}");
            error.exit_code()
        }
    }
}
