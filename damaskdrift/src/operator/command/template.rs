//! The commands `template show`, `template apply`, `template history` and `template hash-key`.

use std::io;
use std::path;

use damaskdrift_core::fleet;
use damaskdrift_core::time::UnixMillis;
use hyper::Method;

use crate::operator::Error;
use crate::operator::command::{Command, Options, Output, accepted_output, check};

/// Start of the comment line in which `template show` writes the revision and `template apply`
/// reads it.
const REVISION_COMMENT: &str = "# revision: ";

pub const SHOW: Command = Command {
    name: "template show",
    help: "\
Show the fleet document as TOML

Usage: damaskdrift template show [OPTIONS]

The output can be edited and given to 'template apply'. The secret, the moves and the history
are left out; 'template apply' keeps them.
",
    arguments: &[],
    options: &[],
    run: show,
};

pub const APPLY: Command = Command {
    name: "template apply",
    help: "\
Replace the fleet document

Usage: damaskdrift template apply FILE [OPTIONS]

FILE is TOML as 'template show' prints it. Its first line '# revision: N' names the revision that
was read; if another change was accepted since, the command is refused and names that change.

Options:
      --expected N        Revision the change is based on [default: the file's, or 0 for a fleet
                          that has no document yet]
",
    arguments: &["FILE"],
    options: &["expected"],
    run: apply,
};

pub const HISTORY: Command = Command {
    name: "template history",
    help: "\
List the last changes of the fleet document, the latest last

Usage: damaskdrift template history [OPTIONS]
",
    arguments: &[],
    options: &[],
    run: history,
};

pub const HASH_KEY: Command = Command {
    name: "template hash-key",
    help: "\
Print the key_hash of a workspace for the bearer key on standard input

Usage: damaskdrift template hash-key < FILE

The key itself is not sent or stored anywhere.
",
    arguments: &[],
    options: &[],
    run: hash_key,
};

fn show(options: &Options) -> Result<Output, Error> {
    let client = options.client()?;
    let mut fleet = client.fleet()?;
    fleet.document.secret = fleet::Secret::default();
    fleet.document.moves.clear();
    let json = serde_json::json!({"revision": fleet.revision, "document": fleet.document});
    let document = fleet.document;
    let mut table = toml::Table::try_from(&document)
        .map_err(|error| client.invalid_response(&error.to_string()))?;
    for key in ["change", "history", "secret", "moves"] {
        table.remove(key);
    }
    let toml =
        toml::to_string(&table).map_err(|error| client.invalid_response(&error.to_string()))?;
    Ok(Output::new(json, format!("{REVISION_COMMENT}{}\n{toml}", fleet.revision)))
}

fn apply(options: &Options) -> Result<Output, Error> {
    let path = path::Path::new(&options.arguments[0]);
    let document = check::load(path)?;
    let expected = match options.number("expected")? {
        Some(expected) => expected,
        None => read_revision_comment(path)?,
    };
    let path = format!("/v1/fleet?expected={expected}");
    let body = serde_json::json!(document);
    Ok(accepted_output(options.client()?.send(Method::PUT, &path, &body)?))
}

fn read_revision_comment(path: &path::Path) -> Result<u64, Error> {
    let text = check::read(path)?;
    let first = text.lines().next().unwrap_or_default();
    let Some(number) = first.strip_prefix(REVISION_COMMENT) else {
        return Ok(0);
    };
    number.trim().parse().map_err(|_| {
        let message = format!("line 1: {number:?} is not a revision");
        Error::Document { path: path.to_owned(), faults: vec![message] }
    })
}

fn history(options: &Options) -> Result<Output, Error> {
    let client = options.client()?;
    let response = client.get("/v1/history")?;
    let changes: Vec<fleet::Change> = serde_json::from_value(response["changes"].clone())
        .map_err(|error| client.invalid_response(&error.to_string()))?;
    let mut text = String::new();
    for change in &changes {
        let fleet::Change { id, at, author, summary } = change;
        text.push_str(&format!("{}  {id}  {author}: {summary}\n", format_time(*at)));
    }
    if changes.is_empty() {
        text.push_str("no changes\n");
    }
    Ok(Output::new(response, text))
}

fn hash_key(_options: &Options) -> Result<Output, Error> {
    let key = io::read_to_string(io::stdin())
        .map_err(|source| Error::File { path: path::PathBuf::from("standard input"), source })?;
    let key = key.trim();
    if key.is_empty() {
        return Err(Error::Usage("standard input holds no key".to_owned()));
    }
    let hash = fleet::KeyHash::new(key).to_string();
    let text = format!("{hash}\n");
    Ok(Output::new(serde_json::json!({"key_hash": hash}), text))
}

/// Formats a time in UTC, or as milliseconds since 1970 if it exceeds the calendar's range.
fn format_time(at: UnixMillis) -> String {
    let millis = i64::try_from(at.0).unwrap_or(i64::MAX);
    let date = jiff::Timestamp::from_millisecond(millis);
    date.map_or_else(|_| format!("{} ms", at.0), |date| date.to_string())
}
