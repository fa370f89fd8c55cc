//! HTTP API of the operators' listener.

use std::sync;

use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use serde::de::DeserializeOwned;
use warp::http::Method;

use crate::context;
use crate::operator::Refusal;
use crate::operator::burn;
use crate::operator::change;
use crate::operator::moves;
use crate::operator::status;

/// Request header with the name of the operator who makes a change.
pub const AUTHOR_HEADER: &str = "x-author";
/// Request header with a one-line description of a change.
pub const SUMMARY_HEADER: &str = "x-summary";

/// Authorized request.
pub struct Request<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: &'a str,
    /// Query without the question mark; empty if absent.
    pub query: String,
    /// Value of [`AUTHOR_HEADER`], if given.
    pub author: Option<String>,
    /// Value of [`SUMMARY_HEADER`], if given.
    pub summary: Option<String>,
    /// Complete request body.
    pub body: Vec<u8>,
}

/// Handles an authorized request and returns the JSON of the response.
///
/// # Errors
///
/// Returns the refusal if the route is unknown or the request cannot be carried out.
pub async fn handle(
    cx: &sync::Arc<context::Context>,
    req: &Request<'_>,
) -> Result<serde_json::Value, Refusal> {
    let segments: Vec<_> = req.path.trim_start_matches('/').split('/').collect();
    match (req.method.as_str(), segments.as_slice()) {
        ("GET", ["v1", "fleet"]) => get_fleet(cx).await,
        ("PUT", ["v1", "fleet"]) => put_fleet(cx, req).await,
        ("POST", ["v1", "domains", name, "out"]) => {
            set_domain(cx, req, name, fleet::DomainState::Out).await
        }
        ("POST", ["v1", "domains", name, "in"]) => {
            set_domain(cx, req, name, fleet::DomainState::In).await
        }
        ("GET", ["v1", "history"]) => history(cx).await,
        ("GET", ["v1", "upstreams"]) => Ok(status::upstreams(cx)),
        ("GET", ["v1", "moves"]) => Ok(moves::list(cx).await),
        ("POST", ["v1", "moves"]) => start_move(cx, req).await,
        ("POST", ["v1", "moves", name, "cancel"]) => cancel_move(cx, req, name).await,
        ("GET", ["v1", "burn"]) => Ok(burn::report(cx).await),
        ("GET", ["v1", "status"]) => Ok(status::local(cx)),
        (method, _) => {
            let message = format!("no route {method} {}", req.path);
            Err(Refusal::new(code::Code::UnknownRoute, &message))
        }
    }
}

/// Returns the stored document or, if it cannot be read for any reason, the installed one.
async fn current_document(
    cx: &context::Context,
) -> Result<(id::Revision, fleet::Document, &'static str), Refusal> {
    match change::read(&cx.key_value).await {
        Ok((revision, document)) => Ok((revision, document, "stored")),
        Err(refusal) => {
            let installed = cx.fleet.load();
            if installed.revision.0 == 0 {
                return Err(refusal);
            }
            Ok((installed.revision, installed.document.clone(), "installed"))
        }
    }
}

async fn get_fleet(cx: &context::Context) -> Result<serde_json::Value, Refusal> {
    let (revision, document, source) = current_document(cx).await?;
    Ok(serde_json::json!({"revision": revision, "document": document, "source": source}))
}

async fn history(cx: &context::Context) -> Result<serde_json::Value, Refusal> {
    let (revision, document, source) = current_document(cx).await?;
    let mut changes = document.history;
    if !document.change.id.is_empty() {
        changes.push(document.change);
    }
    Ok(serde_json::json!({"revision": revision, "changes": changes, "source": source}))
}

async fn put_fleet(
    cx: &sync::Arc<context::Context>,
    req: &Request<'_>,
) -> Result<serde_json::Value, Refusal> {
    let expected = req.expected()?;
    let document: fleet::Document = parse(&req.body, code::Code::DocumentInvalid)?;
    let summary = format!(
        "apply a document with {} templates, {} workspaces, {} upstreams",
        document.templates.len(),
        document.workspaces.len(),
        document.upstreams.len()
    );
    let metadata = req.metadata(&summary);
    submit(cx, expected, &metadata, |current| Ok(merge(current, document))).await
}

/// Carries over what an applied document does not set: the secret if empty, the moves and the
/// history.
fn merge(current: fleet::Document, mut next: fleet::Document) -> fleet::Document {
    if next.secret.is_empty() {
        next.secret = current.secret;
    }
    next.moves = current.moves;
    next.change = current.change;
    next.history = current.history;
    next
}

async fn set_domain(
    cx: &sync::Arc<context::Context>,
    req: &Request<'_>,
    name: &str,
    state: fleet::DomainState,
) -> Result<serde_json::Value, Refusal> {
    let expected = req.expected()?;
    let verb = match state {
        fleet::DomainState::In => "in",
        fleet::DomainState::Out => "out",
    };
    let metadata = req.metadata(&format!("domain {verb} {name}"));
    submit(cx, expected, &metadata, |mut document| {
        let Some(domain) = document.failure_domains.get_mut(name) else {
            let known: Vec<_> =
                document.failure_domains.keys().map(id::FailureDomain::as_str).collect();
            let message = format!(
                "failure domain {name} is not declared; declared are: {}",
                known.join(", ")
            );
            return Err(Refusal::new(code::Code::NotFound, &message));
        };
        domain.state = state;
        Ok(document)
    })
    .await
}

async fn start_move(
    cx: &sync::Arc<context::Context>,
    req: &Request<'_>,
) -> Result<serde_json::Value, Refusal> {
    let expected = req.expected()?;
    let start: moves::Start = parse(&req.body, code::Code::MalformedBody)?;
    let metadata = req.metadata(&format!("move {} started", start.id));
    let now = context::Context::unix_now();
    submit(cx, expected, &metadata, |document| moves::start(document, &start, now)).await
}

async fn cancel_move(
    cx: &sync::Arc<context::Context>,
    req: &Request<'_>,
    name: &str,
) -> Result<serde_json::Value, Refusal> {
    let expected = req.expected()?;
    let metadata = req.metadata(&format!("move {name} cancelled"));
    submit(cx, expected, &metadata, |document| moves::cancel(document, name)).await
}

/// Applies a change and returns which instances have confirmed it.
async fn submit(
    cx: &sync::Arc<context::Context>,
    expected: id::Revision,
    metadata: &change::Metadata,
    edit: impl FnOnce(fleet::Document) -> Result<fleet::Document, Refusal>,
) -> Result<serde_json::Value, Refusal> {
    let report = change::apply(cx, expected, metadata, edit).await?;
    log::info!(revision = report.revision.0, author = metadata.author; "{}", metadata.summary);
    Ok(serde_json::json!({
        "revision": report.revision,
        "confirmed": report.confirmed,
        "stopped": report.stopped,
        "unconfirmed": report.unconfirmed,
        "reason": report.reason.to_string(),
    }))
}

fn parse<T: DeserializeOwned>(body: &[u8], code: code::Code) -> Result<T, Refusal> {
    let deserializer = &mut serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let key = error.path().to_string();
        let fault = fleet::Fault::new(&key, &error.into_inner().to_string());
        let mut refusal = Refusal::new(code, &format!("the body has a fault: {fault}"));
        refusal.faults = vec![fault];
        refusal
    })
}

impl Request<'_> {
    /// Returns the revision that the change is based on, from the query.
    fn expected(&self) -> Result<id::Revision, Refusal> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == "expected").map(|(_, value)| value);
        let revision = values.next().and_then(|value| value.parse().ok()).map(id::Revision);
        revision.ok_or_else(|| {
            let message = "add ?expected=N with the revision that the change is based on";
            Refusal::new(code::Code::MalformedBody, message)
        })
    }

    /// Returns the metadata of the change; `summary` is used if the request gives none.
    fn metadata(&self, summary: &str) -> change::Metadata {
        change::Metadata {
            author: self.author.clone().unwrap_or_else(|| "operator".to_owned()),
            summary: self.summary.clone().unwrap_or_else(|| summary.to_owned()),
        }
    }
}
