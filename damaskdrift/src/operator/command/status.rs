//! The command `status`.

use crate::operator::Error;
use crate::operator::command::{Command, Options, Output};

pub const STATUS: Command = Command {
    name: "status",
    help: "\
Show what an instance did and why

Usage: damaskdrift status [OPTIONS]
",
    arguments: &[],
    options: &[],
    run: status,
};

fn status(options: &Options) -> Result<Output, Error> {
    let response = options.client()?.get("/v1/status")?;
    let field = |key: &str| response[key].as_str().unwrap_or("?").to_owned();
    let ready = match response["not_ready_because"].as_str() {
        Some(reason) => format!("takes no new work: {reason}"),
        None => "takes new work".to_owned(),
    };
    let mut text = format!(
        "instance {} in {}, {ready}\nfleet document: revision {}, {:?} by {}\n",
        field("instance"),
        field("failure_domain"),
        response["revision"],
        response["change"]["summary"].as_str().unwrap_or(""),
        response["change"]["author"].as_str().unwrap_or("")
    );
    if let Some(driver) = response["driver"].as_str() {
        text.push_str(&format!("moves are driven by {driver}\n"));
    }
    for m in response["moves"].as_array().map(Vec::as_slice).unwrap_or_default() {
        text.push_str(&format!("{}\n", m["sentence"].as_str().unwrap_or("?")));
    }
    Ok(Output::new(response, text))
}
