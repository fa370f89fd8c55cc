//! The command `upstream status`.

use crate::operator::Error;
use crate::operator::command::{Command, Options, Output};

pub const STATUS: Command = Command {
    name: "upstream status",
    help: "\
Show the upstreams as one instance sees them

Usage: damaskdrift upstream status [OPTIONS]
",
    arguments: &[],
    options: &[],
    run: status,
};

fn status(options: &Options) -> Result<Output, Error> {
    let response = options.client()?.get("/v1/upstreams")?;
    let mut text = String::new();
    for upstream in response["upstreams"].as_array().map(Vec::as_slice).unwrap_or_default() {
        let field = |key: &str| upstream[key].as_str().unwrap_or("?").to_owned();
        let work = if upstream["takes_work"] == true { "takes work" } else { "no new work" };
        text.push_str(&format!(
            "{}  {}  {}  {work}  {}\n",
            field("id"),
            field("address"),
            field("failure_domain"),
            format_kind(&upstream["kind"])
        ));
    }
    Ok(Output::new(response, text))
}

fn format_kind(value: &serde_json::Value) -> String {
    if let Some(engine) = value.get("engine") {
        let field = |key: &str| engine[key].as_str().unwrap_or("?").to_owned();
        return format!("engine {} {}", field("model"), field("version"));
    }
    if let Some(service) = value.get("service") {
        return format!("service {}", service["service"].as_str().unwrap_or("?"));
    }
    "store".to_owned()
}
