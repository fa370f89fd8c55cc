//! Builds and locates the binaries that the harness starts.

use std::env;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::OnceLock;

use crate::error::Error;

/// Name of the binary that runs an entry instance.
pub const DAMASKDRIFT: &str = "damaskdrift";
/// Name of the binary that runs the stand-ins and the fault proxy.
pub const LAB: &str = "damaskdrift_lab";

/// Returns the path of a binary in the target directory of the current executable.
///
/// Under cargo, the first call builds all binaries of the workspace, because cargo itself builds
/// only those of the package that it runs or tests.
///
/// # Errors
///
/// Returns an error if the build failed or the binary does not exist.
pub fn find(name: &str) -> Result<PathBuf, Error> {
    static DIR: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let dir = DIR.get_or_init(|| build_and_locate().map_err(|error| error.to_string()));
    let path = dir.as_ref().map_err(|error| Error::Unexpected(error.clone()))?.join(name);
    if !path.is_file() {
        let message = format!("no binary {name} in the target directory; run `cargo build` first");
        return Err(Error::Unexpected(message));
    }
    Ok(path)
}

fn build_and_locate() -> Result<PathBuf, Error> {
    let executable = env::current_exe()
        .map_err(|error| Error::Io("cannot find the current executable".to_owned(), error))?;
    let mut dir = executable.parent().unwrap_or(Path::new("/")).to_owned();
    // Test executables are in the subdirectory `deps`.
    if dir.ends_with("deps") {
        dir.pop();
    }
    if let Some(cargo) = env::var_os("CARGO") {
        build(Path::new(&cargo), dir.ends_with("release"))?;
    }
    Ok(dir)
}

fn build(cargo: &Path, is_release: bool) -> Result<(), Error> {
    let mut command = process::Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    if is_release {
        command.arg("--release");
    }
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("Cargo.toml");
    command.arg("--manifest-path").arg(manifest);
    // Variables that describe the running package would change the environment of build scripts and
    // make cargo run them again.
    for (name, _) in env::vars_os() {
        let name = name.to_string_lossy();
        if name.starts_with("CARGO_PKG_") || name.starts_with("CARGO_MANIFEST_") {
            command.env_remove(name.as_ref());
        }
    }
    let status =
        command.status().map_err(|error| Error::Io("cannot run cargo".to_owned(), error))?;
    if !status.success() {
        return Err(Error::Unexpected(format!("cargo build failed: {status}")));
    }
    Ok(())
}
