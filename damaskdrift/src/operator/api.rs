//! Routes of the operators' listener.

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

/// Header that names who makes a change.
pub const AUTHOR_HEADER: &str = "x-author";
/// Header that says what a change does.
pub const SUMMARY_HEADER: &str = "x-summary";

/// An authorized call.
pub struct Call<'a> {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'a str,
    /// Query without the question mark.
    pub query: String,
    /// Who makes the change.
    pub author: Option<String>,
    /// What the change does.
    pub summary: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Answers an authorized call.
///
/// # Errors
///
/// Returns the refusal.
pub async fn answer(
    cx: &sync::Arc<context::Context>,
    call: &Call<'_>,
) -> Result<serde_json::Value, Refusal> {
    let segments: Vec<_> = call.path.trim_start_matches('/').split('/').collect();
    match (call.method.as_str(), segments.as_slice()) {
        ("GET", ["v1", "fleet"]) => get_fleet(cx).await,
        ("PUT", ["v1", "fleet"]) => put_fleet(cx, call).await,
        ("POST", ["v1", "domains", name, "out"]) => {
            set_domain(cx, call, name, fleet::DomainState::Out).await
        }
        ("POST", ["v1", "domains", name, "in"]) => {
            set_domain(cx, call, name, fleet::DomainState::In).await
        }
        ("GET", ["v1", "history"]) => history(cx).await,
        ("GET", ["v1", "upstreams"]) => Ok(status::upstreams(cx)),
        ("GET", ["v1", "moves"]) => Ok(moves::list(cx).await),
        ("POST", ["v1", "moves"]) => start_move(cx, call).await,
        ("POST", ["v1", "moves", name, "cancel"]) => cancel_move(cx, call, name).await,
        ("GET", ["v1", "burn"]) => Ok(burn::report(cx).await),
        ("GET", ["v1", "status"]) => Ok(status::value(cx)),
        (method, _) => {
            let message = format!("no route {method} {}", call.path);
            Err(Refusal::new(code::Code::UnknownRoute, &message))
        }
    }
}

/// Returns the stored document or, while the service is out, the installed one.
async fn current(
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
    let (revision, document, source) = current(cx).await?;
    Ok(serde_json::json!({"revision": revision, "document": document, "source": source}))
}

async fn history(cx: &context::Context) -> Result<serde_json::Value, Refusal> {
    let (revision, document, source) = current(cx).await?;
    let mut changes = document.history;
    if !document.change.id.is_empty() {
        changes.push(document.change);
    }
    Ok(serde_json::json!({"revision": revision, "changes": changes, "source": source}))
}

async fn put_fleet(
    cx: &sync::Arc<context::Context>,
    call: &Call<'_>,
) -> Result<serde_json::Value, Refusal> {
    let expected = call.expected()?;
    let document: fleet::Document = parse(&call.body, code::Code::DocumentInvalid)?;
    let summary = format!(
        "apply a document with {} templates, {} workspaces, {} upstreams",
        document.templates.len(),
        document.workspaces.len(),
        document.upstreams.len()
    );
    let intent = call.intent(&summary);
    submit(cx, expected, &intent, |current| Ok(merge(current, document))).await
}

/// Keeps what an applied document does not set: the secret, running moves and the history.
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
    call: &Call<'_>,
    name: &str,
    state: fleet::DomainState,
) -> Result<serde_json::Value, Refusal> {
    let expected = call.expected()?;
    let verb = match state {
        fleet::DomainState::In => "in",
        fleet::DomainState::Out => "out",
    };
    let intent = call.intent(&format!("domain {verb} {name}"));
    submit(cx, expected, &intent, |mut document| {
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
    call: &Call<'_>,
) -> Result<serde_json::Value, Refusal> {
    let expected = call.expected()?;
    let order: moves::Start = parse(&call.body, code::Code::MalformedBody)?;
    let intent = call.intent(&format!("move {} started", order.id));
    let now = context::Context::unix_now();
    submit(cx, expected, &intent, |document| moves::start(document, &order, now)).await
}

async fn cancel_move(
    cx: &sync::Arc<context::Context>,
    call: &Call<'_>,
    name: &str,
) -> Result<serde_json::Value, Refusal> {
    let expected = call.expected()?;
    let intent = call.intent(&format!("move {name} cancelled"));
    submit(cx, expected, &intent, |document| moves::cancel(document, name)).await
}

/// Applies a change and returns who has confirmed it.
async fn submit(
    cx: &sync::Arc<context::Context>,
    expected: id::Revision,
    intent: &change::Intent,
    edit: impl FnOnce(fleet::Document) -> Result<fleet::Document, Refusal>,
) -> Result<serde_json::Value, Refusal> {
    let spread = change::apply(cx, expected, intent, edit).await?;
    log::info!(revision = spread.revision.0, author = intent.author; "{}", intent.summary);
    Ok(serde_json::json!({
        "revision": spread.revision,
        "confirmed": spread.confirmed,
        "stopped": spread.stopped,
        "unconfirmed": spread.unconfirmed,
        "reason": spread.reason.to_string(),
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

impl Call<'_> {
    /// Returns the revision that the change is based on.
    fn expected(&self) -> Result<id::Revision, Refusal> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == "expected").map(|(_, value)| value);
        let revision = values.next().and_then(|value| value.parse().ok()).map(id::Revision);
        revision.ok_or_else(|| {
            let message = "add ?expected=N with the revision that the change is based on";
            Refusal::new(code::Code::MalformedBody, message)
        })
    }

    fn intent(&self, summary: &str) -> change::Intent {
        change::Intent {
            author: self.author.clone().unwrap_or_else(|| "operator".to_owned()),
            summary: self.summary.clone().unwrap_or_else(|| summary.to_owned()),
        }
    }
}
