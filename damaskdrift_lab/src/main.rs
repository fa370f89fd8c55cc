//! Command-line program that runs stand-ins, the fault proxy and experiments for damaskdrift.

use std::process;

use damaskdrift_lab::cli;

fn main() -> process::ExitCode {
    match cli::run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("damaskdrift_lab: {error}");
            process::ExitCode::FAILURE
        }
    }
}
