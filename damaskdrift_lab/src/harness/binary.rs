//! Finds the binaries that the harness starts.

use std::env;
use std::path::{Path, PathBuf};
use std::process;
use std::sync::OnceLock;

use crate::error::Error;

/// The binary of an instance.
pub const DAMASKDRIFT: &str = "damaskdrift";
/// The binary of the stand-ins and the proxy.
pub const LAB: &str = "damaskdrift_lab";

/// Returns the path of a binary beside the current executable.
///
/// When cargo runs the current executable, the binaries are built first, because cargo builds only
/// those of the package that it runs or tests.
///
/// # Errors
///
/// Returns why the binary is missing.
pub fn find(name: &str) -> Result<PathBuf, Error> {
    static FOLDER: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let folder = FOLDER.get_or_init(|| prepare().map_err(|error| error.to_string()));
    let path = folder.as_ref().map_err(|error| Error::Unexpected(error.clone()))?.join(name);
    if !path.is_file() {
        let message = format!("no binary {name} in the target folder; run `cargo build` first");
        return Err(Error::Unexpected(message));
    }
    Ok(path)
}

fn prepare() -> Result<PathBuf, Error> {
    let executable = env::current_exe()
        .map_err(|error| Error::Io("cannot find the current executable".to_owned(), error))?;
    let mut folder = executable.parent().unwrap_or(Path::new("/")).to_owned();
    // Test executables lie one folder below the binaries.
    if folder.ends_with("deps") {
        folder.pop();
    }
    if let Some(cargo) = env::var_os("CARGO") {
        build(Path::new(&cargo), folder.ends_with("release"))?;
    }
    Ok(folder)
}

fn build(cargo: &Path, is_release: bool) -> Result<(), Error> {
    let mut command = process::Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    if is_release {
        command.arg("--release");
    }
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("Cargo.toml");
    command.arg("--manifest-path").arg(manifest);
    // Variables that describe the running package would make build scripts run again.
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
