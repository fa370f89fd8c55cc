//! Takes what each finished request showed, as evidence for moves and the burn report.

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

/// Time between two judgements of the instance's own evidence.
const JUDGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reports to the driver.
const REPORT_INTERVAL: Millis = Millis(1_000);
/// Time between two readings of the load of upstreams on a new route, per 16 instances.
const COLD_INTERVAL: Duration = Duration::from_millis(500);
/// Instances that may read at that interval; a larger fleet reads less often, so that the calls to
/// an upstream do not grow with the fleet.
const COLD_READERS: usize = 16;
/// Time after the last request from which the load of an upstream is no longer read.
const COLD_IDLE: Millis = Millis::from_secs(5);
/// Age up to which a load report counts; an older one gives way to the connection's.
const COLD_REPORT_AGE: Millis = Millis::from_secs(10);

/// What a finished request showed.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The workspace.
    pub workspace: id::Workspace,
    /// The model and version, absent for a plain service.
    pub version: Option<(id::Model, id::Version)>,
    /// The upstream that ran the request, if one did.
    pub upstream: Option<id::Upstream>,
    /// Whether the request succeeded; a caller's own mistake is no observation.
    pub succeeded: bool,
    /// Time to the first token or byte.
    pub first_token: Option<Millis>,
    /// Longest time between two tokens.
    pub between_tokens: Option<Millis>,
    /// Whether the upstream was in a cold start.
    pub cold: bool,
}

/// Evidence on running moves and counts for the burn report.
#[derive(Debug, Default)]
pub struct Observer {
    moves: sync::Mutex<collections::BTreeMap<id::Move, Watched>>,
    ledger: sync::Mutex<slo::Recorder>,
    upstreams: sync::Mutex<collections::BTreeMap<id::Upstream, Used>>,
}

/// Evidence on one running move.
#[derive(Debug, Default)]
struct Watched {
    collector: rollout::Collector,
    /// Judges the instance's own evidence.
    own: rollout::Analyzer,
    /// Judges the evidence of all instances that report to this one.
    total: rollout::Analyzer,
    unreported: Vec<rollout::Evidence>,
    step: usize,
}

/// An upstream on the new route of a running move.
#[derive(Debug, Default)]
struct Used {
    last: Millis,
    /// When a load report was read, and whether it told of a cold start.
    report: Option<(Millis, bool)>,
}

/// Records an observation.
pub fn record(cx: &context::Context, observation: &Observation) {
    let fleet = cx.fleet.load();
    count(cx, &fleet.document, observation);
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
    let Some(side) = side(m, version, domain) else {
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

/// Judges and reports evidence until the process ends.
pub async fn run(cx: sync::Arc<context::Context>) {
    let mut ticks = time::interval(JUDGE_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut reported = cx.now();
    loop {
        ticks.tick().await;
        judge(&cx);
        let now = cx.now();
        if now.since(reported) >= REPORT_INTERVAL {
            reported = now;
            report(&cx);
        }
    }
}

/// Reads the load reports of upstreams on new routes until the process ends.
///
/// A connection's report is as old as the connection, too old to tell a cold start from a slow
/// version.
pub async fn watch_cold(cx: sync::Arc<context::Context>) {
    loop {
        let readers = roster::alive(&cx).len().div_ceil(COLD_READERS).max(1);
        time::sleep(COLD_INTERVAL * u32::try_from(readers).unwrap_or(u32::MAX)).await;
        let mut reading = task::JoinSet::new();
        for (upstream, address) in used(&cx) {
            let cx = cx.clone();
            reading.spawn(async move {
                let load = upstream::read_load(address, cx.upstreams.timeouts()).await;
                if let Ok(load) = load {
                    report_cold(&cx, &upstream, load.cold);
                }
            });
        }
        while reading.join_next().await.is_some() {}
    }
}

/// Takes a peer's evidence.
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
                add_total(&cx, &report.name, &evidence);
                message::Reply::Ack
            }
            Err(error) => {
                let code = code::Code::PeerMessage.number();
                log::warn!(code, peer:%; "evidence cannot be read: {error}");
                message::Reply::Refused(code)
            }
        }
    })
}

/// Decides the next step of a move by the evidence of all instances.
pub fn decide(cx: &context::Context, name: &id::Move, m: &fleet::Move) -> rollout::Decision {
    let vetoes = cx.vetoes.list();
    let veto = vetoes.iter().find(|veto| &veto.name == name).map(|veto| veto.reason.as_str());
    let mut moves = cx.observer.moves();
    let watched = moves.entry(name.clone()).or_default();
    watched.follow(m);
    rollout::decide(m, &watched.total, cx.now(), context::Context::unix_now(), veto)
}

/// Returns the requests a second on both routes of a move, as far as this instance knows.
pub fn rate(cx: &context::Context, name: &id::Move) -> f64 {
    let now = cx.now();
    let moves = cx.observer.moves();
    moves
        .get(name)
        .map_or(0.0, |watched| watched.total.request_rate(now).max(watched.own.request_rate(now)))
}

/// Returns the counts of this instance for the burn report.
pub fn totals(cx: &context::Context) -> Vec<slo::Row> {
    cx.observer.ledger().totals(cx.now())
}

impl Observer {
    fn moves(&self) -> sync::MutexGuard<'_, collections::BTreeMap<id::Move, Watched>> {
        self.moves.lock().expect("no thread panics while it holds the lock")
    }

    fn ledger(&self) -> sync::MutexGuard<'_, slo::Recorder> {
        self.ledger.lock().expect("no thread panics while it holds the lock")
    }

    fn upstreams(&self) -> sync::MutexGuard<'_, collections::BTreeMap<id::Upstream, Used>> {
        self.upstreams.lock().expect("no thread panics while it holds the lock")
    }
}

impl Watched {
    /// Starts a new step when the document has one.
    fn follow(&mut self, m: &fleet::Move) {
        if self.step != m.step {
            self.step = m.step;
            self.own.start_step();
            self.total.start_step();
        }
    }
}

fn count(cx: &context::Context, document: &fleet::Document, observation: &Observation) {
    let Some(workspace) = document.workspaces.get(&observation.workspace) else {
        return;
    };
    let level = &workspace.service_level;
    let now = cx.now();
    let mut ledger = cx.observer.ledger();
    let mut count = |measure, is_good| {
        ledger.count(now, &observation.workspace, measure, is_good);
    };
    count(slo::Measure::Availability, observation.succeeded);
    if let Some(first_token) = observation.first_token {
        count(slo::Measure::FirstToken, first_token.0 <= level.first_token_ms);
    }
    if let Some(between_tokens) = observation.between_tokens {
        count(slo::Measure::BetweenTokens, between_tokens.0 <= level.between_tokens_ms);
    }
}

/// Returns the route of a move that a request took; routes may share failure domains.
fn side(
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
        return observation.cold;
    };
    let mut upstreams = cx.observer.upstreams();
    let used = upstreams.entry(upstream.clone()).or_default();
    used.last = now;
    match used.report {
        Some((at, cold)) if now.since(at) <= COLD_REPORT_AGE => cold,
        _ => observation.cold,
    }
}

fn report_cold(cx: &context::Context, upstream: &id::Upstream, cold: bool) {
    if let Some(used) = cx.observer.upstreams().get_mut(upstream) {
        used.report = Some((cx.now(), cold));
    }
    if !cold {
        return;
    }
    for watched in cx.observer.moves().values_mut() {
        watched.collector.mark_cold(upstream);
    }
}

fn used(cx: &context::Context) -> Vec<(id::Upstream, std::net::SocketAddr)> {
    let now = cx.now();
    let fleet = cx.fleet.load();
    let mut upstreams = cx.observer.upstreams();
    upstreams.retain(|_, used| now.since(used.last) < COLD_IDLE);
    let address = |id: &id::Upstream| fleet.document.upstreams.get(id)?.address.parse().ok();
    upstreams.keys().filter_map(|id| Some((id.clone(), address(id)?))).collect()
}

/// Judges the evidence of running moves and vetoes the bad ones.
fn judge(cx: &context::Context) {
    let fleet = cx.fleet.load();
    let now = cx.now();
    let mut vetoes = Vec::new();
    let mut moves = cx.observer.moves();
    moves.retain(|name, _| running(&fleet, name).is_some());
    for (name, watched) in moves.iter_mut() {
        let Some(m) = running(&fleet, name) else {
            continue;
        };
        watched.follow(m);
        let evidence = watched.collector.take(now);
        if !evidence.is_empty() {
            watched.own.add(now, &evidence);
            watched.unreported.push(evidence);
        }
        // Growth is the driver's decision, so only a bad verdict counts here.
        for judge in [&watched.own, &watched.total] {
            if let rollout::Verdict::Bad { reason } = judge.verdict(now, rollout::Bounds::VETO) {
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

/// Sends the evidence since the last report to the driver.
fn report(cx: &sync::Arc<context::Context>) {
    let mut reports = Vec::new();
    for (name, watched) in cx.observer.moves().iter_mut() {
        for evidence in std::mem::take(&mut watched.unreported) {
            reports.push((name.clone(), evidence));
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
            add_total(cx, &name, &evidence);
        }
        return;
    }
    let cx = cx.clone();
    tokio::spawn(async move {
        for (name, evidence) in reports {
            let counts = serde_json::to_string(&evidence).expect("counts are plain data");
            let request = message::Request::Evidence(message::Evidence { name, counts });
            // A lost report is not repeated: its counts may have been taken.
            if let Err(error) = peer::call(&cx, &driver, request).await {
                let code = error.code().number();
                log::debug!(code, peer:% = driver; "evidence was not taken: {error}");
                return;
            }
        }
    });
}

fn add_total(cx: &context::Context, name: &id::Move, evidence: &rollout::Evidence) {
    let fleet = cx.fleet.load();
    let Some(m) = running(&fleet, name) else {
        return;
    };
    let mut moves = cx.observer.moves();
    let watched = moves.entry(name.clone()).or_default();
    watched.follow(m);
    watched.total.add(cx.now(), evidence);
}

fn running<'a>(fleet: &'a fleet::Snapshot, name: &id::Move) -> Option<&'a fleet::Move> {
    fleet.document.moves.get(name).filter(|m| m.state == fleet::MoveState::Running)
}
