//! Listing, starting and cancelling moves for operators.

use std::sync;

use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::rollout;
use damaskdrift_core::time::UnixMillis;
use serde::Deserialize;

use crate::context;
use crate::control::{driver, observe, roster};
use crate::operator::Refusal;
use crate::operator::status;

/// Maximum number of rolled back and cancelled moves retained when another one starts; completed
/// moves are not limited, because they still determine routes.
const MAX_ABANDONED: usize = 50;

/// Request to start a move.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Name of the new move.
    pub id: id::Move,
    /// Workspace whose traffic is moved.
    pub workspace: id::Workspace,
    /// Model whose traffic is moved.
    pub model: id::Model,
    /// Version to move to; absent to keep the current one.
    pub version: Option<id::Version>,
    /// Failure domains to move to; absent to keep the current ones.
    pub failure_domains: Option<Vec<id::FailureDomain>>,
    /// Time by which all traffic must have moved.
    pub deadline: UnixMillis,
}

/// Returns all moves with a sentence each, from the driver's status if the driver replies.
pub async fn list(cx: &sync::Arc<context::Context>) -> serde_json::Value {
    let local = || serde_json::json!({"moves": describe_all(cx)});
    let Some(driver) = driver::last_known(cx) else {
        return local();
    };
    if driver == cx.settings.instance.id {
        return local();
    }
    match status::from_peer(cx, &driver).await {
        Some(status) => serde_json::json!({"moves": status["moves"], "driver": driver}),
        None => local(),
    }
}

/// Describes the moves of the installed document as JSON objects.
pub fn describe_all(cx: &context::Context) -> Vec<serde_json::Value> {
    let fleet = cx.fleet.load();
    fleet.document.moves.iter().map(|(name, m)| describe(cx, name, m)).collect()
}

/// Returns the document with a new running move.
///
/// # Errors
///
/// Returns the refusal if the request is invalid or conflicts with the document.
pub fn start(
    mut document: fleet::Document,
    req: &Start,
    now: UnixMillis,
) -> Result<fleet::Document, Refusal> {
    check_name(&document, req)?;
    let from = current_route(&document, req)?;
    let to = fleet::Route {
        version: req.version.clone().unwrap_or_else(|| from.version.clone()),
        failure_domains: req.failure_domains.clone().unwrap_or(from.failure_domains.clone()),
    };
    check_target(&document, req, &from, &to)?;
    if req.deadline <= now {
        return Err(invalid("the deadline has passed already"));
    }
    let m = fleet::Move {
        workspace: req.workspace.clone(),
        model: req.model.clone(),
        from,
        to,
        started: now,
        deadline: req.deadline,
        step: 0,
        step_started: now,
        fencing: id::FencingToken(0),
        state: fleet::MoveState::Running,
    };
    prune(&mut document);
    document.moves.insert(req.id.clone(), m);
    Ok(document)
}

/// Returns the document with a running move cancelled.
///
/// # Errors
///
/// Returns the refusal if the move is unknown or not running.
pub fn cancel(mut document: fleet::Document, name: &str) -> Result<fleet::Document, Refusal> {
    let Some(m) = document.moves.get_mut(name) else {
        let message = format!("there is no move {name}; see 'damaskdrift move status'");
        return Err(Refusal::new(code::Code::NotFound, &message));
    };
    if m.state != fleet::MoveState::Running {
        return Err(invalid(&format!("move {name} is not running, so it cannot be cancelled")));
    }
    m.state = fleet::MoveState::Cancelled;
    Ok(document)
}

fn check_name(document: &fleet::Document, req: &Start) -> Result<(), Refusal> {
    if !req.id.is_valid() {
        return Err(invalid("the name of a move has 1 to 64 of a-z, 0-9, '-', '_' and '.'"));
    }
    if document.moves.contains_key(&req.id) {
        return Err(invalid(&format!("move {} exists already; choose another name", req.id)));
    }
    if let Some((name, _)) = document.running_move(&req.workspace, &req.model) {
        let message = format!(
            "move {name} of this workspace and model is running; cancel it or wait for its end"
        );
        return Err(invalid(&message));
    }
    Ok(())
}

fn current_route(document: &fleet::Document, req: &Start) -> Result<fleet::Route, Refusal> {
    let policy =
        damaskdrift_core::template::resolve(document, &req.workspace).map_err(Refusal::invalid)?;
    let Some(route) = policy.models.get(&req.model) else {
        let message =
            format!("the template of workspace {} has no model {}", req.workspace, req.model);
        return Err(Refusal::new(code::Code::NotFound, &message));
    };
    Ok(rollout::template_route(document, &req.workspace, &req.model, route).clone())
}

fn check_target(
    document: &fleet::Document,
    req: &Start,
    from: &fleet::Route,
    to: &fleet::Route,
) -> Result<(), Refusal> {
    if from == to {
        return Err(invalid("the traffic goes there already"));
    }
    let is_suitable = |upstream: &fleet::Upstream| {
        let fleet::Kind::Engine { model, version, .. } = &upstream.kind else {
            return false;
        };
        model == &req.model
            && version == &to.version
            && to.failure_domains.contains(&upstream.failure_domain)
            && document.is_domain_in_service(&upstream.failure_domain)
    };
    if !document.upstreams.values().any(is_suitable) {
        let message = format!(
            "no engine serves version {} of {} in a failure domain of the new route that takes \
             work; add one with 'damaskdrift template apply'",
            to.version, req.model
        );
        return Err(invalid(&message));
    }
    Ok(())
}

fn invalid(message: &str) -> Refusal {
    Refusal::new(code::Code::InvalidState, message)
}

/// Removes the oldest rolled back and cancelled moves above [`MAX_ABANDONED`].
fn prune(document: &mut fleet::Document) {
    let is_abandoned = |m: &fleet::Move| {
        matches!(m.state, fleet::MoveState::RolledBack { .. } | fleet::MoveState::Cancelled)
    };
    let abandoned = document.moves.iter().filter(|(_, m)| is_abandoned(m));
    let mut abandoned: Vec<_> = abandoned.map(|(name, m)| (m.started, name.clone())).collect();
    abandoned.sort();
    let excess = abandoned.len().saturating_sub(MAX_ABANDONED);
    for (_, name) in abandoned.drain(..excess) {
        document.moves.remove(&name);
    }
}

fn describe(cx: &context::Context, name: &id::Move, m: &fleet::Move) -> serde_json::Value {
    let mut value = serde_json::json!(m);
    value["id"] = serde_json::json!(name);
    let mut sentence = state_sentence(name, m);
    if m.state == fleet::MoveState::Running {
        let outlook = outlook(cx, name, m);
        let veto = cx.vetoes.list().into_iter().find(|veto| &veto.name == name);
        let why = match (veto, driver::last_decision(cx, name)) {
            (Some(veto), _) => format!("vetoed and going back: {}", veto.reason),
            (None, Some(decision)) => decision,
            (None, None) => "waiting for the driver".to_owned(),
        };
        sentence = format!("{sentence} ({why}); deadline {outlook}");
        value["outlook"] = outlook.to_string().into();
        value["why"] = why.into();
        value["share_percent"] = rollout::share_percent(m.step).into();
    }
    value["sentence"] = sentence.into();
    value
}

/// Describes the state of a move in a sentence.
fn state_sentence(name: &id::Move, m: &fleet::Move) -> String {
    let model = format!("{} of {}", m.model, m.workspace);
    let (from, to) = (describe_route(&m.from), describe_route(&m.to));
    match &m.state {
        fleet::MoveState::Running => {
            let percent = rollout::share_percent(m.step);
            format!("move {name} is under way: {percent}% of {model} goes to {to}")
        }
        fleet::MoveState::Done => format!("move {name} is done: all of {model} goes to {to}"),
        fleet::MoveState::RolledBack { reason } => {
            format!(
                "move {name} has been rolled back: all of {model} goes to {from}, because {reason}"
            )
        }
        fleet::MoveState::Cancelled => {
            format!("move {name} was cancelled: all of {model} goes to {from}")
        }
    }
}

fn describe_route(route: &fleet::Route) -> String {
    let domains: Vec<_> = route.failure_domains.iter().map(id::FailureDomain::as_str).collect();
    format!("{} in {}", route.version, domains.join(", "))
}

fn outlook(cx: &context::Context, name: &id::Move, m: &fleet::Move) -> rollout::Outlook {
    let mut rate = observe::request_rate(cx, name);
    let is_driver = driver::last_known(cx).as_ref() == Some(&cx.settings.instance.id);
    if !is_driver {
        // Only the driver knows the request rate of the whole fleet; others extrapolate their own.
        rate *= roster::alive(cx).len().max(1) as f64;
    }
    rollout::plan(m, context::Context::unix_now(), rate).outlook
}
