//! The commands `move start`, `move status` and `move cancel`.

use std::time;

use hyper::Method;

use crate::operator::Error;
use crate::operator::command::{Command, Options, Output, accepted_output};

pub const START: Command = Command {
    name: "move start",
    help: "\
Move the traffic of a workspace's model to another version or other failure domains

Usage: damaskdrift move start ID --workspace NAME --model NAME --within TIME [OPTIONS]

The share of the new route grows from 1 to 100% by evidence. A version that fails or is slow is
rolled back; 'move status' says why.

Options:
      --workspace NAME    Workspace
      --model NAME        Model
      --version NAME      Version it goes to [default: the present one]
      --domains A,B       Failure domains it goes to [default: the present ones]
      --within TIME       Time until all traffic must have moved, such as 90s, 30m or 2h
",
    arguments: &["ID"],
    options: &["workspace", "model", "version", "domains", "within"],
    run: start,
};

pub const STATUS: Command = Command {
    name: "move status",
    help: "\
Say of each move whether it is done, under way or has been rolled back, and why

Usage: damaskdrift move status [OPTIONS]

Options:
      --id ID             Only this move
",
    arguments: &[],
    options: &["id"],
    run: status,
};

pub const CANCEL: Command = Command {
    name: "move cancel",
    help: "\
Cancel a running move, so that all traffic goes back

Usage: damaskdrift move cancel ID [OPTIONS]
",
    arguments: &["ID"],
    options: &[],
    run: cancel,
};

fn start(options: &Options) -> Result<Output, Error> {
    let within = parse_duration(options.required("within")?)?;
    let domains = options.value("domains").map(|list| list.split(',').collect::<Vec<_>>());
    let mut body = serde_json::json!({
        "id": options.arguments[0],
        "workspace": options.required("workspace")?,
        "model": options.required("model")?,
        "version": options.value("version"),
        "failure_domains": domains,
    });
    let client = options.client()?;
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let deadline = u64::try_from((now + within).as_millis()).unwrap_or(u64::MAX);
    body["deadline"] = deadline.into();
    let revision = client.fleet()?.revision;
    let path = format!("/v1/moves?expected={revision}");
    Ok(accepted_output(client.send(Method::POST, &path, &body)?))
}

fn status(options: &Options) -> Result<Output, Error> {
    let mut response = options.client()?.get("/v1/moves")?;
    let mut text = String::new();
    let mut moves = Vec::new();
    for m in response["moves"].as_array().map(Vec::as_slice).unwrap_or_default() {
        if options.value("id").is_some_and(|id| m["id"] != id) {
            continue;
        }
        text.push_str(m["sentence"].as_str().unwrap_or("?"));
        text.push('\n');
        moves.push(m.clone());
    }
    if moves.is_empty() {
        let message = match options.value("id") {
            Some(id) => return Err(Error::Usage(format!("there is no move {id:?}"))),
            None => "no moves\n",
        };
        text.push_str(message);
    }
    response["moves"] = moves.into();
    Ok(Output::new(response, text))
}

fn cancel(options: &Options) -> Result<Output, Error> {
    let client = options.client()?;
    let name = &options.arguments[0];
    if !damaskdrift_core::id::Move::new(name).is_valid() {
        let message = format!("{name:?} is no name of a move; see 'move status'");
        return Err(Error::Usage(message));
    }
    let revision = client.fleet()?.revision;
    let path = format!("/v1/moves/{name}/cancel?expected={revision}");
    Ok(accepted_output(client.send(Method::POST, &path, &serde_json::Value::Null)?))
}

fn parse_duration(text: &str) -> Result<time::Duration, Error> {
    let units = [("s", 1), ("m", 60), ("h", 3_600), ("d", 86_400)];
    for (unit, secs) in units {
        let number = text.strip_suffix(unit).and_then(|number| number.parse::<u32>().ok());
        if let Some(number) = number.filter(|number| *number > 0) {
            return Ok(time::Duration::from_secs(u64::from(number) * secs));
        }
    }
    Err(Error::Usage(format!("--within: {text:?} is not a time such as 90s, 30m or 2h")))
}
