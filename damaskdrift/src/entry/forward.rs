//! Serves one request of a caller.

use std::convert;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::balance;
use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::kept;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use rand::RngExt as _;
use tokio::time::Instant;
use xxhash_rust::xxh3;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::pool;
use crate::entry::port;
use crate::entry::refusal;
use crate::entry::relay;
use crate::entry::state;

/// Longest wait for the first piece of an answer that may be asked for elsewhere, in percent of the
/// route's target: by then the target is missed and another upstream is the better bet. A second
/// send in time for the target (75) lost up to 0.06 of worth, as it adds work where work waits.
const FIRST_PIECE_PERCENT: u64 = 200;
/// Time for which an upstream that refused a request as full gets no other, while others have
/// room. It is about the time in which a request there ends.
const FULL_AVOIDANCE: Millis = Millis(100);
/// The same for an upstream that most likely loads weights; a load takes about half a second.
const LOADING_AVOIDANCE: Millis = Millis(400);
/// Time that must be left to send a request to an upstream.
const LEAST_LEFT: Duration = Duration::from_millis(5);
/// Waits that are announced to callers which may come back.
const RETRY_AFTER_MS: std::ops::Range<u64> = 150..400;
/// Priority of a request at engines when neither route nor workspace has one.
const MOST_PRIORITY: u8 = 9;
/// Time before the limit for older weights from which requests begin on the newest only.
const VERSION_MARGIN: Millis = Millis(700);

/// A request on its way through the instance.
struct Job<'a> {
    entry: &'a Rc<state::Entry>,
    call: &'a port::Call,
    route: &'a routing::Route,
    workspace: Option<&'a routing::Workspace>,
    service: &'a routing::Service,
    head: &'a request::Parts,
    body: Bytes,
    started: Instant,
    deadline: Option<Instant>,
    tried: Vec<id::Upstream>,
    sends: u32,
}

/// What became of one send.
enum Outcome {
    /// The answer is passed on.
    Answered(Response<relay::Body>),
    /// The upstream did not run the request; why.
    NotRun(String),
    /// No connection could be opened; why.
    Unreached(String),
    /// The upstream may have run the request; why no answer is passed on.
    Unknown(code::Code, String),
    /// The request cannot be sent at all.
    Refused(refusal::Refusal),
}

/// Serves a request of a caller.
///
/// # Errors
///
/// Never fails; each failure is an answer.
pub async fn serve(
    entry: Rc<state::Entry>,
    req: Request<Incoming>,
) -> Result<Response<relay::Body>, convert::Infallible> {
    let started = Instant::now();
    entry.requests.set(entry.requests.get() + 1);
    let (head, body) = req.into_parts();
    let result = match entry.port.decode_call(&head) {
        Ok(call) => match route(&entry, &call, &head, body, started).await {
            Ok(response) => Ok(response),
            Err(refusal) => Err((call.id, refusal)),
        },
        Err(error) => {
            let refusal = refusal::Refusal::not_run(code::Code::BadHeader, error.to_string());
            Err((String::new(), refusal))
        }
    };
    entry.requests.set(entry.requests.get().saturating_sub(1));
    let mut response = match result {
        Ok(response) => response,
        Err((id, refusal)) => {
            log_refusal(&entry, &id, &head, &refusal, started);
            refusal.into_response()
        }
    };
    if entry.stopping.is_cancelled() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

async fn route(
    entry: &Rc<state::Entry>,
    call: &port::Call,
    head: &request::Parts,
    body: Incoming,
    started: Instant,
) -> Result<Response<relay::Body>, refusal::Refusal> {
    let table = entry.table.borrow().clone();
    let Some(table) = table else {
        let refusal = refusal::Refusal::not_run(code::Code::NotConfigured, "no configuration yet");
        return Err(come_back(entry, refusal));
    };
    let (route, workspace) = match table.resolve(&call.host, head.uri.path(), call.key.as_deref()) {
        routing::Resolution::Found(route, workspace) => (route.clone(), workspace.cloned()),
        // A configuration that is not confirmed may lack a new route or key.
        _ if entry.trust() != config_sync::Trust::Fresh => return Err(stale(entry)),
        routing::Resolution::UnknownRoute => {
            return Err(refusal::Refusal::not_run(code::Code::UnknownRoute, "no such route"));
        }
        routing::Resolution::UnknownKey => {
            return Err(refusal::Refusal::not_run(code::Code::Unauthorized, "unknown key"));
        }
    };
    let wait = shortest(call.deadline, route.timeout);
    let deadline = wait.map(|wait| started + Duration::from(wait));
    let body = read_body(body, table.limits.body_bytes, deadline).await?;
    let hash = xxh3::xxh3_64(call.id.as_bytes());
    let Some(service) = table.service(route.target(hash)) else {
        let reason = "the route's service is not configured";
        return Err(come_back(entry, refusal::Refusal::not_run(code::Code::NoUpstream, reason)));
    };
    let job = Job {
        entry,
        call,
        route: &route,
        workspace: workspace.as_deref(),
        service,
        head,
        body,
        started,
        deadline,
        tried: Vec::new(),
        sends: 0,
    };
    job.run().await
}

/// Reads a caller's body as a whole, so that its upstream gets it in one piece or not at all.
async fn read_body(
    body: Incoming,
    most: usize,
    deadline: Option<Instant>,
) -> Result<Bytes, refusal::Refusal> {
    let read = Limited::new(body, most).collect();
    let collected = match deadline {
        Some(deadline) => match tokio::time::timeout_at(deadline, read).await {
            Ok(collected) => collected,
            Err(_) => {
                let reason = "the body did not arrive in time";
                return Err(refusal::Refusal::not_run(code::Code::RequestTimeout, reason));
            }
        },
        None => read.await,
    };
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(refusal::Refusal::not_run(code::Code::BodyTooLarge, error.to_string()))
        }
        Err(error) => Err(refusal::Refusal::not_run(code::Code::MalformedBody, error.to_string())),
    }
}

impl Job<'_> {
    async fn run(mut self) -> Result<Response<relay::Body>, refusal::Refusal> {
        let mut last = String::new();
        loop {
            if self.left().is_some_and(|left| left < LEAST_LEFT) {
                return Err(self.out_of_time(&last));
            }
            if self.call.key.is_some() && self.entry.trust() == config_sync::Trust::Expired {
                return Err(stale(self.entry));
            }
            let (upstream, unread) = match self.choose() {
                Ok(choice) => choice,
                Err(unavailable) => return Err(self.unavailable(unavailable, &last)),
            };
            let can_repeat = self.route.repeat == routing::Repeat::Any;
            match self.send(&upstream, unread).await {
                Outcome::Answered(response) => return Ok(response),
                Outcome::Refused(refusal) => return Err(refusal),
                Outcome::Unreached(reason) => last = reason,
                Outcome::NotRun(reason) => {
                    last = reason;
                    if !self.may_repeat() {
                        let code = code::Code::Overloaded;
                        return Err(come_back(
                            self.entry,
                            refusal::Refusal::not_run(code, format!("{upstream}: {last}")),
                        ));
                    }
                }
                Outcome::Unknown(code, reason) => {
                    let is_last = self.sends >= self.route.attempts;
                    if !can_repeat || is_last || !self.may_repeat() {
                        let reason = format!("{upstream}: {reason}");
                        return Err(refusal::Refusal::unknown(code, reason));
                    }
                    last = reason;
                }
            }
            self.tried.push(upstream);
        }
    }

    fn left(&self) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    fn out_of_time(&self, last: &str) -> refusal::Refusal {
        if self.sends == 0 {
            refusal::Refusal::not_run(
                code::Code::DeadlineUnreachable,
                format!("no time left; {last}"),
            )
        } else {
            // Sends before were not run, or the loop would have ended with their outcome unless
            // the request may be repeated.
            refusal::Refusal::unknown(code::Code::UpstreamTimeout, format!("no time left; {last}"))
        }
    }

    fn unavailable(&self, unavailable: balance::Unavailable, last: &str) -> refusal::Refusal {
        if self.route.repeat == routing::Repeat::Any && self.sends > 0 {
            return refusal::Refusal::unknown(code::Code::UpstreamBroken, last);
        }
        let (code, reason) = match unavailable {
            balance::Unavailable::None => (code::Code::NoUpstream, "no upstream takes work"),
            balance::Unavailable::Limits(_) => (code::Code::Overloaded, "upstreams are at limits"),
        };
        let refusal = refusal::Refusal::not_run(code, format!("{reason}; {last}"));
        come_back(self.entry, refusal)
    }

    /// Takes a repeat from the instance's share.
    fn may_repeat(&self) -> bool {
        let instances = self.entry.instance_count();
        let mut repeats = self.entry.repeats.borrow_mut();
        repeats.repeat(&self.service.id, instances, clock::now())
    }

    fn isolated(&self) -> Option<&id::Workspace> {
        self.workspace.filter(|w| w.is_isolated).map(|w| &w.id)
    }

    fn choose(&self) -> Result<(id::Upstream, u64), balance::Unavailable> {
        let now = clock::now();
        let prompt = self.call.prompt.as_ref();
        let newest =
            prompt.and_then(|prompt| self.entry.named.borrow().get(&prompt.model).copied());
        let mut parts = Vec::new();
        let mut fetch = None;
        if let Some(prompt) = prompt {
            let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
            parts.extend(shared.iter().map(|part| (part.id, part.tokens)));
            if let Some((newest, _)) = newest {
                let salt = kept::salt(&prompt.model, newest, self.isolated());
                fetch = self.entry.stores.borrow().fetch_time(&salt, &prompt.parts, now);
            }
        }
        let limit = self.entry.settings.version_limit - VERSION_MARGIN;
        let need = balance::Need {
            service: self.service,
            model: prompt.map(|prompt| (&prompt.model, newest)),
            is_newest_only: newest.is_some_and(|(_, learned)| now.since(learned) >= limit),
            isolated: self.isolated(),
            tokens: prompt.map_or(0, |prompt| prompt.tokens),
            parts: &parts,
            fetch,
            tried: &self.tried,
        };
        let out = self.entry.out.borrow();
        let view = balance::View {
            domain: &self.entry.settings.domain,
            out: &out,
            instances: self.entry.instance_count(),
        };
        let upstreams = self.entry.upstreams.borrow();
        upstreams.choose(&need, &view, now, &mut *self.entry.rng.borrow_mut())
    }

    async fn send(&mut self, id: &id::Upstream, unread: u64) -> Outcome {
        let Some((address, model_version)) = self.target(id) else {
            return Outcome::Unreached("the upstream is gone".to_owned());
        };
        let longest = match self.route.repeat {
            routing::Repeat::Any => pool::ANY_IDLE,
            routing::Repeat::Never => pool::SHORT_IDLE,
        };
        let mut conn = match self.entry.client.pool().take(address, longest) {
            Some(conn) => conn,
            None => match client::Conn::open(address).await {
                Ok(conn) => conn,
                Err(failure) => {
                    self.observe(id, balance::Verdict::Broken);
                    return Outcome::Unreached(failure.to_string());
                }
            },
        };
        // Opening a connection took time in which the configuration may have expired and the
        // upstream may have begun to leave.
        if self.call.key.is_some() && self.entry.trust() == config_sync::Trust::Expired {
            return Outcome::Refused(stale(self.entry));
        }
        if self.target(id).is_none() {
            return Outcome::Unreached("the upstream has begun to leave".to_owned());
        }
        let now = clock::now();
        let (req, kept) = self.encode(id, model_version);
        if self.sends == 0 {
            self.entry.repeats.borrow_mut().first(&self.service.id, now);
        }
        self.sends += 1;
        let tokens = self.call.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
        let sent = balance::Sent { tokens, unread };
        let expected = Millis(if self.call.prompt.is_some() { 20 + unread / 60 } else { 0 });
        let flight = relay::Flight::new(self.entry, id, sent, expected);
        let response = match self.exchange(&mut conn, req).await {
            Ok(Ok(response)) => response,
            Ok(Err(client::Failure::Unsent(reason))) => return Outcome::Unreached(reason),
            Ok(Err(failure)) => {
                flight.observe(balance::Verdict::Broken);
                self.entry.client.pool().clear(address);
                return Outcome::Unknown(code::Code::UpstreamBroken, failure.to_string());
            }
            Err(_) => {
                flight.observe(balance::Verdict::Broken);
                let reason = format!("no answer within {} ms", clock::now().since(now).0);
                return Outcome::Unknown(code::Code::UpstreamTimeout, reason);
            }
        };
        self.judge(id, response, (address, conn), flight, kept).await
    }

    async fn exchange(
        &self,
        conn: &mut client::Conn,
        req: Request<Full<Bytes>>,
    ) -> Result<Result<Response<Incoming>, client::Failure>, tokio::time::error::Elapsed> {
        let can_repeat =
            self.route.repeat == routing::Repeat::Any && self.sends < self.route.attempts;
        let mut until = self.deadline;
        if can_repeat {
            let wait =
                Duration::from_millis(self.route.target_latency.0 * FIRST_PIECE_PERCENT / 100);
            let early = Instant::now() + wait;
            until = Some(until.map_or(early, |until| until.min(early)));
        }
        match until {
            Some(until) => tokio::time::timeout_at(until, conn.send(req)).await,
            None => Ok(conn.send(req).await),
        }
    }

    /// Judges the head of an upstream's answer.
    async fn judge(
        &self,
        id: &id::Upstream,
        response: Response<Incoming>,
        conn: (std::net::SocketAddr, client::Conn),
        flight: relay::Flight,
        kept: &'static str,
    ) -> Outcome {
        let (parts, incoming) = response.into_parts();
        match self.entry.port.decode_answer(&parts, &self.call.id) {
            port::Answer::Genuine => {}
            port::Answer::NotRun => {
                let status = parts.status;
                self.avoid(id);
                self.keep(conn, parts, incoming);
                return Outcome::NotRun(format!("not run by the upstream, status {status}"));
            }
            port::Answer::Misdirected(actual, version) => {
                let reason = self.misdirected(id, actual.as_ref(), version);
                self.keep(conn, parts, incoming);
                return Outcome::NotRun(reason);
            }
            port::Answer::Foreign(reason) => {
                flight.observe(balance::Verdict::Broken);
                return Outcome::Unknown(code::Code::UpstreamBroken, reason.to_owned());
            }
        }
        let is_error = parts.status.is_server_error();
        flight.observe(if is_error {
            balance::Verdict::ServerError
        } else {
            balance::Verdict::Sound
        });
        self.log_answer(id, parts.status, kept);
        let mut head = Response::new(());
        *head.status_mut() = parts.status;
        *head.headers_mut() = end_to_end(&parts.headers);
        let (address, conn) = conn;
        let passing = relay::Passing::new(
            incoming,
            flight,
            (address, conn, parts),
            self.deadline,
            self.call.id.clone(),
        );
        let body = relay::Body::Passing(Box::new(passing));
        Outcome::Answered(head.map(|()| body))
    }

    /// Keeps the connection of a small answer that is not passed on, once it was read.
    fn keep(
        &self,
        (address, conn): (std::net::SocketAddr, client::Conn),
        parts: hyper::http::response::Parts,
        incoming: Incoming,
    ) {
        let client = self.entry.client.clone();
        tokio::task::spawn_local(async move {
            // A failed read needs no report: the connection is dropped, the answer was judged.
            if Limited::new(incoming, 64 << 10).collect().await.is_ok() {
                client.pool().put(address, conn, &parts);
            }
        });
    }

    /// Returns the address of an upstream that still takes work, and the version of the weights
    /// that the request would run on.
    fn target(&self, id: &id::Upstream) -> Option<(std::net::SocketAddr, u64)> {
        let upstreams = self.entry.upstreams.borrow();
        let upstream = upstreams.get(id)?;
        let record = &upstream.record;
        if record.is_leaving || self.entry.out.borrow().contains(&record.domain) {
            return None;
        }
        let prompt = self.call.prompt.as_ref();
        let version = prompt.and_then(|prompt| upstream.version(&prompt.model)).unwrap_or(0);
        Some((record.address, version))
    }

    fn encode(&self, id: &id::Upstream, version: u64) -> (Request<Full<Bytes>>, &'static str) {
        let now = clock::now();
        let salt: Option<Arc<str>> = self
            .call
            .prompt
            .as_ref()
            .map(|prompt| kept::salt(&prompt.model, version, self.isolated()));
        let mut plan = kept::Plan::default();
        if let (Some(prompt), Some(salt)) = (&self.call.prompt, &salt) {
            plan = self.entry.stores.borrow_mut().plan(salt, &prompt.parts, now);
            if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
                for part in &prompt.parts {
                    upstream.remember(salt, part.id, now);
                }
            }
        }
        let workspace_priority = self.workspace.and_then(|workspace| workspace.priority);
        let engine = salt.as_deref().map(|salt| port::EngineForward {
            priority: workspace_priority.unwrap_or(self.route.priority).min(MOST_PRIORITY),
            salt,
            version,
            plan: &plan,
            fetch_until_ms: self.entry.upstream_now().map(|now| now + kept::FETCH_LIMIT.0),
        });
        let left = self.left();
        let forward = port::Forward {
            upstream: id,
            deadline: left.map(Millis::from),
            workspace: self.workspace.map(|workspace| &workspace.id),
            engine,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.entry.port.forward_headers(&self.head.headers, &forward);
        (req, plan.summary())
    }

    fn observe(&self, id: &id::Upstream, verdict: balance::Verdict) {
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
            upstream.condition.observe(verdict, clock::now());
        }
    }

    fn avoid(&self, id: &id::Upstream) {
        let now = clock::now();
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
            let span = if self.is_behind(upstream) { LOADING_AVOIDANCE } else { FULL_AVOIDANCE };
            upstream.avoid_until = upstream.avoid_until.max(now + span);
        }
    }

    /// Returns whether an upstream has older weights than the newest named, so that it most likely
    /// refuses because it loads them.
    fn is_behind(&self, upstream: &balance::Upstream) -> bool {
        let Some(prompt) = &self.call.prompt else {
            return false;
        };
        let newest = self.entry.named.borrow().get(&prompt.model).map(|(version, _)| *version);
        newest > upstream.version(&prompt.model)
    }

    /// Learns from the refusal of an upstream that is another one, or has other weights.
    fn misdirected(
        &self,
        id: &id::Upstream,
        actual: Option<&id::Upstream>,
        version: Option<u64>,
    ) -> String {
        if actual.is_some_and(|actual| actual != id) {
            // The address was given to another upstream. The entry stays until the platform
            // removes it, so it is only left out.
            if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
                upstream.condition.eject(clock::now());
            }
            return "another upstream has the address".to_owned();
        }
        let now = clock::now();
        if let Some(prompt) = &self.call.prompt
            && let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id)
        {
            // Without its word, the upstream most likely has the version after the one believed.
            let believed = upstream.version(&prompt.model).unwrap_or(0);
            let newest = self.entry.named.borrow().get(&prompt.model).map_or(0, |named| named.0);
            let likely = version.unwrap_or_else(|| (believed + 1).min(newest.max(believed)));
            upstream.set_version(&prompt.model, likely, now);
        }
        "the upstream has other weights".to_owned()
    }

    fn log_answer(&self, id: &id::Upstream, status: StatusCode, kept: &'static str) {
        let head_ms = self.started.elapsed().as_millis();
        let shared = self.call.prompt.as_ref().and_then(|prompt| prompt.parts.iter().nth_back(1));
        let root = shared.map_or(0, |part| part.id);
        metrics::counter!("answers", "status" => status.as_str().to_owned()).increment(1);
        metrics::histogram!("answer_head_seconds").record(self.started.elapsed().as_secs_f64());
        log::info!(
            request = self.call.id.as_str(), route = &*self.route.name, upstream:% = id,
            status = status.as_u16(), sends = self.sends, kept, root, head_ms = head_ms as u64;
            "answer passed on"
        );
    }
}

fn log_refusal(
    entry: &state::Entry,
    id: &str,
    head: &request::Parts,
    refusal: &refusal::Refusal,
    started: Instant,
) {
    let age_ms = entry.confirmed.get().map(|at| clock::now().since(at).0);
    let version = entry.table.borrow().as_ref().map(|table| table.version);
    metrics::counter!("refusals", "reason" => refusal.code.name()).increment(1);
    log::warn!(
        request = id, path = head.uri.path(), code = refusal.code.number(),
        name = refusal.code.name(), outcome:% = refusal.outcome, reason = refusal.reason.as_str(),
        took_ms = started.elapsed().as_millis() as u64, configuration:? = version,
        confirmed_age_ms:? = age_ms;
        "request refused"
    );
}

fn stale(entry: &state::Entry) -> refusal::Refusal {
    let reason = "the configuration is not confirmed";
    come_back(entry, refusal::Refusal::not_run(code::Code::ConfigurationStale, reason))
}

/// Says when to come back, at a random time so that callers do not return together.
fn come_back(entry: &state::Entry, refusal: refusal::Refusal) -> refusal::Refusal {
    let after = entry.rng.borrow_mut().random_range(RETRY_AFTER_MS);
    refusal.with_retry_after(Duration::from_millis(after))
}

fn shortest(a: Option<Millis>, b: Option<Millis>) -> Option<Millis> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Returns the headers that do not concern one connection alone.
fn end_to_end(headers: &hyper::HeaderMap) -> hyper::HeaderMap {
    let mut kept = headers.clone();
    for name in hop_by_hop(headers) {
        kept.remove(name);
    }
    kept
}

/// Returns the names of headers that concern one connection alone.
pub fn hop_by_hop(headers: &hyper::HeaderMap) -> Vec<header::HeaderName> {
    let mut names = vec![
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::HeaderName::from_static("keep-alive"),
        header::HeaderName::from_static("proxy-connection"),
    ];
    for value in headers.get_all(header::CONNECTION) {
        let Ok(value) = value.to_str() else {
            continue;
        };
        for token in value.split(',') {
            if let Ok(name) = token.trim().parse() {
                names.push(name);
            }
        }
    }
    names
}
