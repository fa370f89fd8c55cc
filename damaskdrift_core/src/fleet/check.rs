//! Validates a fleet document and reports all of its faults at once.

use std::collections;
use std::net;

use derive_more::Display;

use crate::fleet;
use crate::id;
use crate::template;

/// An invalid value in a fleet document.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{key}: {message}")]
pub struct Fault {
    /// Path of the object in the document, such as `upstreams.e1`.
    pub key: String,
    /// What is wrong or what is expected, as shown to operators.
    pub message: String,
}

impl Fault {
    /// Creates a fault of the object at path `key`.
    pub fn new(key: &str, message: &str) -> Self {
        Self { key: key.to_owned(), message: message.to_owned() }
    }
}

/// Returns all faults of a document, or an empty list if it may be stored.
pub fn check(document: &fleet::Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_names(document, &mut faults);
    check_upstreams(document, &mut faults);
    check_workspaces(document, &mut faults);
    check_moves(document, &mut faults);
    faults
}

fn check_names(document: &fleet::Document, faults: &mut Vec<Fault>) {
    let names = (document.templates.keys().map(|n| ("templates", n.as_str())))
        .chain(document.workspaces.keys().map(|n| ("workspaces", n.as_str())))
        .chain(document.upstreams.keys().map(|n| ("upstreams", n.as_str())))
        .chain(document.failure_domains.keys().map(|n| ("failure_domains", n.as_str())));
    for (section, name) in names {
        if id::Upstream::new(name).is_valid() {
            continue;
        }
        let message = "a name has 1 to 64 of a-z, 0-9, '-', '_' and '.'";
        faults.push(Fault::new(&format!("{section}.{name}"), message));
    }
}

fn check_upstreams(document: &fleet::Document, faults: &mut Vec<Fault>) {
    for (name, upstream) in &document.upstreams {
        let key = format!("upstreams.{name}");
        if upstream.address.parse::<net::SocketAddr>().is_err() {
            let message = format!("address {:?} is not IP:PORT", upstream.address);
            faults.push(Fault::new(&key, &message));
        }
        if !document.failure_domains.contains_key(&upstream.failure_domain) {
            let message = format!("failure domain {} is not declared", upstream.failure_domain);
            faults.push(Fault::new(&key, &message));
        }
        check_limits(&key, &upstream.kind, faults);
    }
}

fn check_limits(key: &str, kind: &fleet::Kind, faults: &mut Vec<Fault>) {
    match kind {
        fleet::Kind::Engine { cold_limit, warm_limit, .. } => {
            if *cold_limit == 0 || warm_limit < cold_limit {
                faults.push(Fault::new(key, "limits must be 1 <= cold_limit <= warm_limit"));
            }
        }
        fleet::Kind::Service { limit, .. } if *limit == 0 => {
            faults.push(Fault::new(key, "limit must be at least 1"));
        }
        fleet::Kind::Service { .. } | fleet::Kind::Store => {}
    }
}

fn check_workspaces(document: &fleet::Document, faults: &mut Vec<Fault>) {
    let mut owner_by_hash = collections::BTreeMap::new();
    for (name, workspace) in &document.workspaces {
        let key = format!("workspaces.{name}");
        if fleet::KeyHash::from_hex(&workspace.key_hash).is_none() {
            faults.push(Fault::new(&key, "key_hash must be 64 hexadecimal digits"));
        }
        if let Some(other) = owner_by_hash.insert(workspace.key_hash.as_str(), name) {
            faults.push(Fault::new(&key, &format!("key_hash is also that of workspace {other}")));
        }
        if !(0.0..1.0).contains(&workspace.service_level.objective) {
            faults.push(Fault::new(&key, "service_level.objective must be in 0.0 to below 1.0"));
        }
        if let Err(unresolved) = template::resolve(document, name) {
            faults.extend(unresolved);
        }
    }
}

fn check_moves(document: &fleet::Document, faults: &mut Vec<Fault>) {
    let mut running = collections::BTreeSet::new();
    for (name, m) in &document.moves {
        if m.state != fleet::MoveState::Running {
            continue;
        }
        let key = format!("moves.{name}");
        if !document.workspaces.contains_key(&m.workspace) {
            faults.push(Fault::new(&key, &format!("workspace {} is not declared", m.workspace)));
        }
        if !running.insert((&m.workspace, &m.model)) {
            faults.push(Fault::new(&key, "another move of this workspace and model is running"));
        }
        if m.deadline <= m.started {
            faults.push(Fault::new(&key, "deadline must be after the start"));
        }
    }
}
