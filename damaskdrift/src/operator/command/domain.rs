//! The commands `domain out`, `domain in` and `domain status`.

use hyper::Method;

use crate::operator::Error;
use crate::operator::command::{Command, Options, Output, accepted_output};

pub const OUT: Command = Command {
    name: "domain out",
    help: "\
Take a failure domain out, so that it gets no new work

Usage: damaskdrift domain out ID [OPTIONS]

Prints which instances have confirmed, which are silent but have stopped new work, and which may
still send work there (exit code 3).
",
    arguments: &["ID"],
    options: &[],
    run: set_out_of_service,
};

pub const IN: Command = Command {
    name: "domain in",
    help: "\
Take a failure domain back in

Usage: damaskdrift domain in ID [OPTIONS]
",
    arguments: &["ID"],
    options: &[],
    run: return_to_service,
};

pub const STATUS: Command = Command {
    name: "domain status",
    help: "\
Show the failure domains

Usage: damaskdrift domain status [OPTIONS]
",
    arguments: &[],
    options: &[],
    run: status,
};

fn set_out_of_service(options: &Options) -> Result<Output, Error> {
    set_state(options, "out")
}

fn return_to_service(options: &Options) -> Result<Output, Error> {
    set_state(options, "in")
}

fn set_state(options: &Options, verb: &str) -> Result<Output, Error> {
    let client = options.client()?;
    let name = &options.arguments[0];
    if !damaskdrift_core::id::FailureDomain::new(name).is_valid() {
        let message = format!("{name:?} is no name of a failure domain; see 'domain status'");
        return Err(Error::Usage(message));
    }
    let revision = client.fleet()?.revision;
    let path = format!("/v1/domains/{name}/{verb}?expected={revision}");
    Ok(accepted_output(client.send(Method::POST, &path, &serde_json::Value::Null)?))
}

fn status(options: &Options) -> Result<Output, Error> {
    let fleet = options.client()?.fleet()?;
    let domains = &fleet.document.failure_domains;
    let mut text = String::new();
    for name in domains.keys() {
        let upstreams = fleet.document.upstreams.values();
        let count = upstreams.filter(|upstream| &upstream.failure_domain == name).count();
        let state = if fleet.document.is_domain_in_service(name) { "in" } else { "out" };
        text.push_str(&format!("{name}  {state}  {count} upstreams\n"));
    }
    let json = serde_json::json!({"revision": fleet.revision, "failure_domains": domains});
    Ok(Output::new(json, text))
}
