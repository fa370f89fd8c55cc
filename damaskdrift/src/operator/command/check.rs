//! The command `check`.

use std::fs;
use std::path;

use damaskdrift_core::fleet;

use crate::operator::Error;
use crate::operator::command::{Command, Options, Output};
use crate::operator::document;
use crate::settings;

pub const CHECK: Command = Command {
    name: "check",
    help: "\
Check a settings file or a fleet document without an instance

Usage: damaskdrift check FILE

FILE is TOML. All faults are printed with key and line.
",
    arguments: &["FILE"],
    options: &[],
    run,
};

/// Loads and checks the fleet document in a file.
///
/// # Errors
///
/// Returns why the file cannot be read, or all faults of the document.
pub fn load(path: &path::Path) -> Result<fleet::Document, Error> {
    let text = read(path)?;
    document::parse(&text).map_err(|faults| Error::Document { path: path.to_owned(), faults })
}

/// Reads a text file.
///
/// # Errors
///
/// Returns why the file cannot be read.
pub fn read(path: &path::Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::File { path: path.to_owned(), source })
}

fn run(options: &Options) -> Result<Output, Error> {
    let path = path::Path::new(&options.arguments[0]);
    let kind = if document::is_settings(&read(path)?) {
        settings::Settings::load(path)?;
        "settings"
    } else {
        load(path)?;
        "fleet document"
    };
    let text = format!("{}: {kind} without faults\n", path.display());
    Ok(Output::new(serde_json::json!({"file": path, "kind": kind, "faults": []}), text))
}
