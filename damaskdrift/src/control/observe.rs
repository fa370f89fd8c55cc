//! Collects the results of finished requests, as evidence for moves and counts for the burn report.

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_core::rollout;
use damaskdrift_core::slo;
use damaskdrift_core::time::Millis;
use tokio::task;
use tokio::time;

use crate::context;
use crate::control::driver;
use crate::control::roster;
use crate::peer;
use crate::peer::message;
use crate::upstream;

/// Interval between two analyses of the collected evidence.
const ANALYSIS_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two reports to the move driver.
const REPORT_INTERVAL: Millis = Millis(1_000);
/// Interval between two reads of an upstream's load report, in a fleet of up to
/// [`POLLERS_PER_INTERVAL`] instances.
const COLD_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Instances that may poll an upstream per interval; a larger fleet uses a longer interval, so that
/// the requests to an upstream do not grow with the fleet.
const POLLERS_PER_INTERVAL: usize = 16;
/// Time since its last request after which an upstream is no longer polled.
const COLD_POLL_RETENTION: Millis = Millis::from_secs(5);
/// Age up to which a polled load report is used; beyond it, the connection's report is used.
const MAX_COLD_REPORT_AGE: Millis = Millis::from_secs(10);

/// Result and latencies of a finished request.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The workspace that sent the request.
    pub workspace: id::Workspace,
    /// The model and version; absent for a service that is not an engine.
    pub version: Option<(id::Model, id::Version)>,
    /// The upstream that ran the request, if one did.
    pub upstream: Option<id::Upstream>,
    /// Whether the request succeeded; one that fails by the caller's own error is not recorded.
    pub succeeded: bool,
    /// Time to the first token or byte of the response; absent when there was none.
    pub first_token: Option<Millis>,
    /// Longest time between two tokens; absent for a response without consecutive tokens.
    pub between_tokens: Option<Millis>,
    /// Whether the connection's load report shows a cold start of the upstream.
    pub is_cold: bool,
}

/// Evidence on running moves and service-level counts for the burn report.
#[derive(Debug, Default)]
pub struct Observer {
    moves: sync::Mutex<collections::BTreeMap<id::Move, MoveEvidence>>,
    slo: sync::Mutex<slo::Recorder>,
    /// Upstreams on the new routes of running moves.
    upstreams: sync::Mutex<collections::BTreeMap<id::Upstream, ColdStart>>,
}

/// Evidence on one running move.
#[derive(Debug, Default)]
struct MoveEvidence {
    collector: rollout::Collector,
    /// Analysis of the evidence of this instance.
    own: rollout::Analyzer,
    /// Analysis of the evidence of all instances that report to this one.
    total: rollout::Analyzer,
    /// Evidence that has not been sent to the driver yet.
    unreported: Vec<rollout::Evidence>,
    /// Step of the move that the analysis is at.
    step: usize,
}

/// Cold-start state of an upstream on the new route of a running move.
#[derive(Debug, Default)]
struct ColdStart {
    last_request_at: Millis,
    /// Time of the last polled load report, and whether it showed a cold start.
    report: Option<(Millis, bool)>,
}

/// Counts a finished request for the burn report, and adds it to the evidence of a running move.
pub fn record(cx: &context::Context, observation: &Observation) {
    let fleet = cx.fleet.load();
    record_slo(cx, &fleet.document, observation);
    let Some((model, version)) = &observation.version else {
        return;
    };
    let Some((name, m)) = fleet.document.running_move(&observation.workspace, model) else {
        return;
    };
    let upstream = observation.upstream.as_ref().and_then(|id| fleet.document.upstreams.get(id));
    let Some(domain) = upstream.map(|upstream| &upstream.failure_domain) else {
        return;
    };
    let Some(side) = route_side(m, version, domain) else {
        return;
    };
    let now = cx.now();
    let cold = side == rollout::Side::New && is_cold(cx, observation, now);
    let sample = rollout::Sample {
        side,
        route: domain.as_str().into(),
        upstream: observation.upstream.clone(),
        succeeded: observation.succeeded,
        first_token: observation.first_token,
        between_tokens: observation.between_tokens,
        cold,
    };
    cx.observer.moves().entry(name.clone()).or_default().collector.add(now, &sample);
}

/// Analyzes and reports evidence until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut ticks = time::interval(ANALYSIS_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut reported_at = cx.now();
    loop {
        ticks.tick().await;
        analyze(&cx);
        let now = cx.now();
        if now.since(reported_at) >= REPORT_INTERVAL {
            reported_at = now;
            report_evidence(&cx);
        }
    }
}

/// Polls the load reports of upstreams on new routes until the process ends.
///
/// A connection's load report dates from when the connection was opened, which is too old to
/// distinguish a cold start from a slow version.
pub async fn poll_cold_starts(cx: sync::Arc<context::Context>) {
    loop {
        let factor = roster::alive(&cx).len().div_ceil(POLLERS_PER_INTERVAL).max(1);
        time::sleep(COLD_POLL_INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX)).await;
        let mut polls = task::JoinSet::new();
        for (upstream, address) in recently_used_upstreams(&cx) {
            let cx = cx.clone();
            polls.spawn(async move {
                let load = upstream::read_load(address, cx.upstreams.timeouts()).await;
                if let Ok(load) = load {
                    record_cold_report(&cx, &upstream, load.cold);
                }
            });
        }
        while polls.join_next().await.is_some() {}
    }
}

/// Handles a peer's report of evidence.
pub fn handle_evidence(
    cx: sync::Arc<context::Context>,
    peer: id::Instance,
    request: message::Request,
) -> peer::ReplyFuture {
    Box::pin(async move {
        let message::Request::Evidence(report) = request else {
            return message::Reply::Refused(code::Code::Internal.number());
        };
        match serde_json::from_str(&report.counts) {
            Ok(evidence) => {
                add_to_total(&cx, &report.name, &evidence);
                message::Reply::Ack
            }
            Err(error) => {
                let code = code::Code::PeerMessage.number();
                log::warn!(code, peer:%; "cannot decode the evidence of a peer: {error}");
                message::Reply::Refused(code)
            }
        }
    })
}

/// Decides the next step of a move from the vetoes and the evidence of all instances.
pub fn decide(cx: &context::Context, name: &id::Move, m: &fleet::Move) -> rollout::Decision {
    let vetoes = cx.vetoes.list();
    let veto = vetoes.iter().find(|veto| &veto.name == name).map(|veto| veto.reason.as_str());
    let mut moves = cx.observer.moves();
    let evidence = moves.entry(name.clone()).or_default();
    evidence.follow_step(m);
    rollout::decide(m, &evidence.total, cx.now(), context::Context::unix_now(), veto)
}

/// Returns the requests per second on both routes of a move, from the evidence at this instance.
pub fn request_rate(cx: &context::Context, name: &id::Move) -> f64 {
    let now = cx.now();
    let moves = cx.observer.moves();
    moves.get(name).map_or(0.0, |evidence| {
        evidence.total.request_rate(now).max(evidence.own.request_rate(now))
    })
}

/// Returns the service-level counts of this instance for the burn report.
pub fn totals(cx: &context::Context) -> Vec<slo::Row> {
    cx.observer.slo().totals(cx.now())
}

impl Observer {
    fn moves(&self) -> sync::MutexGuard<'_, collections::BTreeMap<id::Move, MoveEvidence>> {
        self.moves.lock().expect("no thread panics while it holds the lock")
    }

    fn slo(&self) -> sync::MutexGuard<'_, slo::Recorder> {
        self.slo.lock().expect("no thread panics while it holds the lock")
    }

    fn upstreams(&self) -> sync::MutexGuard<'_, collections::BTreeMap<id::Upstream, ColdStart>> {
        self.upstreams.lock().expect("no thread panics while it holds the lock")
    }
}

impl MoveEvidence {
    /// Starts a new step of the analysis when the step of the move has changed.
    fn follow_step(&mut self, m: &fleet::Move) {
        if self.step != m.step {
            self.step = m.step;
            self.own.start_step();
            self.total.start_step();
        }
    }
}

fn record_slo(cx: &context::Context, document: &fleet::Document, observation: &Observation) {
    let Some(workspace) = document.workspaces.get(&observation.workspace) else {
        return;
    };
    let level = &workspace.service_level;
    let now = cx.now();
    let mut recorder = cx.observer.slo();
    let mut count = |measure, is_good| {
        recorder.count(now, &observation.workspace, measure, is_good);
    };
    count(slo::Measure::Availability, observation.succeeded);
    if let Some(first_token) = observation.first_token {
        count(slo::Measure::FirstToken, first_token.0 <= level.first_token_ms);
    }
    if let Some(between_tokens) = observation.between_tokens {
        count(slo::Measure::BetweenTokens, between_tokens.0 <= level.between_tokens_ms);
    }
}

/// Returns which route of a move a request took, by version and failure domain, because the routes
/// may share failure domains.
fn route_side(
    m: &fleet::Move,
    version: &id::Version,
    domain: &id::FailureDomain,
) -> Option<rollout::Side> {
    let is_on =
        |route: &fleet::Route| &route.version == version && route.failure_domains.contains(domain);
    if is_on(&m.from) {
        return Some(rollout::Side::Old);
    }
    is_on(&m.to).then_some(rollout::Side::New)
}

fn is_cold(cx: &context::Context, observation: &Observation, now: Millis) -> bool {
    let Some(upstream) = &observation.upstream else {
        return observation.is_cold;
    };
    let mut upstreams = cx.observer.upstreams();
    let cold_start = upstreams.entry(upstream.clone()).or_default();
    cold_start.last_request_at = now;
    match cold_start.report {
        Some((at, cold)) if now.since(at) <= MAX_COLD_REPORT_AGE => cold,
        _ => observation.is_cold,
    }
}

fn record_cold_report(cx: &context::Context, upstream: &id::Upstream, cold: bool) {
    if let Some(cold_start) = cx.observer.upstreams().get_mut(upstream) {
        cold_start.report = Some((cx.now(), cold));
    }
    if !cold {
        return;
    }
    for evidence in cx.observer.moves().values_mut() {
        evidence.collector.mark_cold(upstream);
    }
}

fn recently_used_upstreams(cx: &context::Context) -> Vec<(id::Upstream, std::net::SocketAddr)> {
    let now = cx.now();
    let fleet = cx.fleet.load();
    let mut upstreams = cx.observer.upstreams();
    upstreams.retain(|_, cold_start| now.since(cold_start.last_request_at) < COLD_POLL_RETENTION);
    let address = |id: &id::Upstream| fleet.document.upstreams.get(id)?.address.parse().ok();
    upstreams.keys().filter_map(|id| Some((id.clone(), address(id)?))).collect()
}

/// Analyzes the evidence of running moves and vetoes those with a bad verdict.
fn analyze(cx: &context::Context) {
    let fleet = cx.fleet.load();
    let now = cx.now();
    let mut vetoes = Vec::new();
    let mut moves = cx.observer.moves();
    moves.retain(|name, _| running_move(&fleet, name).is_some());
    for (name, evidence) in moves.iter_mut() {
        let Some(m) = running_move(&fleet, name) else {
            continue;
        };
        evidence.follow_step(m);
        let collected = evidence.collector.take(now);
        if !collected.is_empty() {
            evidence.own.add(now, &collected);
            evidence.unreported.push(collected);
        }
        // Only the driver advances a move, so other verdicts have no effect here.
        for analyzer in [&evidence.own, &evidence.total] {
            if let rollout::Verdict::Bad { reason } = analyzer.verdict(now, rollout::Bounds::VETO) {
                vetoes.push(message::Veto { name: name.clone(), reason });
                break;
            }
        }
    }
    drop(moves);
    for veto in vetoes {
        let (name, reason) = (veto.name.clone(), veto.reason.clone());
        if cx.vetoes.add(veto) {
            log::warn!(r#move:% = name; "move vetoed: {reason}");
            metrics::counter!("moves_vetoed").increment(1);
        }
    }
}

/// Sends the evidence since the last report to the move driver; without a known driver, it is
/// discarded.
fn report_evidence(cx: &sync::Arc<context::Context>) {
    let mut reports = Vec::new();
    for (name, evidence) in cx.observer.moves().iter_mut() {
        for unreported in std::mem::take(&mut evidence.unreported) {
            reports.push((name.clone(), unreported));
        }
    }
    if reports.is_empty() {
        return;
    }
    let Some(driver) = driver::last_known(cx) else {
        return;
    };
    if driver == cx.settings.instance.id {
        for (name, evidence) in reports {
            add_to_total(cx, &name, &evidence);
        }
        return;
    }
    let cx = cx.clone();
    tokio::spawn(async move {
        for (name, evidence) in reports {
            let counts = serde_json::to_string(&evidence).expect("counts always serialize");
            let request = message::Request::Evidence(message::Evidence { name, counts });
            // A failed report is not retried, because the driver may have counted it already.
            if let Err(error) = peer::call(&cx, &driver, request).await {
                let code = error.code().number();
                log::debug!(
                    code, peer:% = driver;
                    "cannot report evidence to the move driver: {error}"
                );
                return;
            }
        }
    });
}

fn add_to_total(cx: &context::Context, name: &id::Move, reported: &rollout::Evidence) {
    let fleet = cx.fleet.load();
    let Some(m) = running_move(&fleet, name) else {
        return;
    };
    let mut moves = cx.observer.moves();
    let evidence = moves.entry(name.clone()).or_default();
    evidence.follow_step(m);
    evidence.total.add(cx.now(), reported);
}

fn running_move<'a>(fleet: &'a fleet::Snapshot, name: &id::Move) -> Option<&'a fleet::Move> {
    fleet.document.moves.get(name).filter(|m| m.state == fleet::MoveState::Running)
}
