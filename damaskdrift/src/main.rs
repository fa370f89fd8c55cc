//! Entry instance between callers and model-serving upstreams.

use std::process;

use damaskdrift::cli;

fn main() -> process::ExitCode {
    match cli::run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("damaskdrift: {error}");
            error.exit_code()
        }
    }
}
