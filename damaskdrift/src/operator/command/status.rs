//! Command `status`.

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
    let answer = options.client()?.get("/v1/status")?;
    let word = |key: &str| answer[key].as_str().unwrap_or("?").to_owned();
    let ready = match answer["not_ready_because"].as_str() {
        Some(reason) => format!("takes no new work: {reason}"),
        None => "takes new work".to_owned(),
    };
    let mut text = format!(
        "instance {} in {}, {ready}\nfleet document: revision {}, {:?} by {}\n",
        word("instance"),
        word("failure_domain"),
        answer["revision"],
        answer["change"]["summary"].as_str().unwrap_or(""),
        answer["change"]["author"].as_str().unwrap_or("")
    );
    if let Some(driver) = answer["driver"].as_str() {
        text.push_str(&format!("moves are driven by {driver}\n"));
    }
    for m in answer["moves"].as_array().map(Vec::as_slice).unwrap_or_default() {
        text.push_str(&format!("{}\n", m["sentence"].as_str().unwrap_or("?")));
    }
    Ok(Output::new(answer, text))
}
