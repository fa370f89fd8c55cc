//! Moves as operators see and change them.

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

/// Finished moves that are kept besides the done ones, which still decide routes.
const MAX_FINISHED: usize = 50;

/// Order to start a move.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Name of the move.
    pub id: id::Move,
    /// The workspace whose traffic moves.
    pub workspace: id::Workspace,
    /// The model whose traffic moves.
    pub model: id::Model,
    /// The version it goes to; absent means the present one.
    pub version: Option<id::Version>,
    /// The failure domains it goes to; absent means the present ones.
    pub failure_domains: Option<Vec<id::FailureDomain>>,
    /// When all traffic must have moved.
    pub deadline: UnixMillis,
}

/// Returns all moves with a sentence each, as the driver sees them if it can be asked.
pub async fn list(cx: &sync::Arc<context::Context>) -> serde_json::Value {
    let own = || serde_json::json!({"moves": describe_all(cx)});
    let Some(driver) = driver::last_known(cx) else {
        return own();
    };
    if driver == cx.settings.instance.id {
        return own();
    }
    match status::of_peer(cx, &driver).await {
        Some(status) => serde_json::json!({"moves": status["moves"], "driver": driver}),
        None => own(),
    }
}

/// Describes the moves of the installed document.
pub fn describe_all(cx: &context::Context) -> Vec<serde_json::Value> {
    let fleet = cx.fleet.load();
    fleet.document.moves.iter().map(|(name, m)| describe(cx, name, m)).collect()
}

/// Adds a move to a document.
///
/// # Errors
///
/// Returns what does not fit the document.
pub fn start(
    mut document: fleet::Document,
    order: &Start,
    now: UnixMillis,
) -> Result<fleet::Document, Refusal> {
    check_name(&document, order)?;
    let from = present_route(&document, order)?;
    let to = fleet::Route {
        version: order.version.clone().unwrap_or_else(|| from.version.clone()),
        failure_domains: order.failure_domains.clone().unwrap_or(from.failure_domains.clone()),
    };
    check_target(&document, order, &from, &to)?;
    if order.deadline <= now {
        return Err(invalid("the deadline has passed already"));
    }
    let m = fleet::Move {
        workspace: order.workspace.clone(),
        model: order.model.clone(),
        from,
        to,
        started: now,
        deadline: order.deadline,
        step: 0,
        step_started: now,
        fencing: id::FencingToken(0),
        state: fleet::MoveState::Running,
    };
    prune(&mut document);
    document.moves.insert(order.id.clone(), m);
    Ok(document)
}

/// Cancels a move in a document.
///
/// # Errors
///
/// Returns that the move is unknown or not running.
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

fn check_name(document: &fleet::Document, order: &Start) -> Result<(), Refusal> {
    if !order.id.is_valid() {
        return Err(invalid("the name of a move has 1 to 64 of a-z, 0-9, '-', '_' and '.'"));
    }
    if document.moves.contains_key(&order.id) {
        return Err(invalid(&format!("move {} exists already; choose another name", order.id)));
    }
    if let Some((name, _)) = document.running_move(&order.workspace, &order.model) {
        let message = format!(
            "move {name} of this workspace and model is running; cancel it or wait for its end"
        );
        return Err(invalid(&message));
    }
    Ok(())
}

fn present_route(document: &fleet::Document, order: &Start) -> Result<fleet::Route, Refusal> {
    let policy = damaskdrift_core::template::resolve(document, &order.workspace)
        .map_err(Refusal::invalid)?;
    let Some(route) = policy.models.get(&order.model) else {
        let message =
            format!("the template of workspace {} has no model {}", order.workspace, order.model);
        return Err(Refusal::new(code::Code::NotFound, &message));
    };
    Ok(rollout::template_route(document, &order.workspace, &order.model, route).clone())
}

fn check_target(
    document: &fleet::Document,
    order: &Start,
    from: &fleet::Route,
    to: &fleet::Route,
) -> Result<(), Refusal> {
    if from == to {
        return Err(invalid("the traffic goes there already"));
    }
    let is_engine = |upstream: &fleet::Upstream| {
        let fleet::Kind::Engine { model, version, .. } = &upstream.kind else {
            return false;
        };
        model == &order.model
            && version == &to.version
            && to.failure_domains.contains(&upstream.failure_domain)
            && document.is_domain_in_service(&upstream.failure_domain)
    };
    if !document.upstreams.values().any(is_engine) {
        let message = format!(
            "no engine serves version {} of {} in a failure domain of the new route that takes \
             work; add one with 'damaskdrift template apply'",
            to.version, order.model
        );
        return Err(invalid(&message));
    }
    Ok(())
}

fn invalid(message: &str) -> Refusal {
    Refusal::new(code::Code::InvalidState, message)
}

/// Removes the oldest moves that were rolled back or cancelled.
fn prune(document: &mut fleet::Document) {
    let is_void = |m: &fleet::Move| {
        matches!(m.state, fleet::MoveState::RolledBack { .. } | fleet::MoveState::Cancelled)
    };
    let void = document.moves.iter().filter(|(_, m)| is_void(m));
    let mut void: Vec<_> = void.map(|(name, m)| (m.started, name.clone())).collect();
    void.sort();
    let excess = void.len().saturating_sub(MAX_FINISHED);
    for (_, name) in void.drain(..excess) {
        document.moves.remove(&name);
    }
}

fn describe(cx: &context::Context, name: &id::Move, m: &fleet::Move) -> serde_json::Value {
    let mut value = serde_json::json!(m);
    value["id"] = serde_json::json!(name);
    let mut sentence = outcome(name, m);
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

/// Says in a sentence what has become of a move.
fn outcome(name: &id::Move, m: &fleet::Move) -> String {
    let what = format!("{} of {}", m.model, m.workspace);
    let (from, to) = (place(&m.from), place(&m.to));
    match &m.state {
        fleet::MoveState::Running => {
            let percent = rollout::share_percent(m.step);
            format!("move {name} is under way: {percent}% of {what} goes to {to}")
        }
        fleet::MoveState::Done => format!("move {name} is done: all of {what} goes to {to}"),
        fleet::MoveState::RolledBack { reason } => {
            format!(
                "move {name} has been rolled back: all of {what} goes to {from}, because {reason}"
            )
        }
        fleet::MoveState::Cancelled => {
            format!("move {name} was cancelled: all of {what} goes to {from}")
        }
    }
}

fn place(route: &fleet::Route) -> String {
    let domains: Vec<_> = route.failure_domains.iter().map(id::FailureDomain::as_str).collect();
    format!("{} in {}", route.version, domains.join(", "))
}

fn outlook(cx: &context::Context, name: &id::Move, m: &fleet::Move) -> rollout::Outlook {
    let mut rate = observe::request_rate(cx, name);
    let is_driver = driver::last_known(cx).as_ref() == Some(&cx.settings.instance.id);
    if !is_driver {
        // Other instances see only their own part of the load.
        rate *= roster::alive(cx).len().max(1) as f64;
    }
    rollout::plan(m, context::Context::unix_now(), rate).outlook
}
