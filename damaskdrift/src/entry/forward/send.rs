//! One attempt to send a request to an upstream, and the evaluation of the response.

use std::net;
use std::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::balance;
use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::rollout;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::duties;
use crate::entry::forward;
use crate::entry::forward::{headers, job};
use crate::entry::notices;
use crate::entry::pool;
use crate::entry::port;
use crate::entry::quarantine;
use crate::entry::relay;
use crate::entry::rollouts;

/// Time without a response head from which an attempt may be given up in favour of another one, in
/// percent of the route's target latency.
///
/// By then the target is missed and another upstream is more likely to respond in time. An earlier
/// retry adds load to upstreams where requests already queue.
const HEAD_TIMEOUT_PERCENT: u64 = 200;
/// Pause after which an attempt that was not given up is examined again.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an upstream that refused a request because it is full is avoided while others
/// have capacity. It is about the time until one of the upstream's requests ends.
const FULL_AVOIDANCE: Millis = Millis(100);
/// Time for which an upstream that is probably loading weights is avoided; a load takes about
/// 500 ms.
const LOADING_AVOIDANCE: Millis = Millis(400);
/// Number of the lowest priority that engines accept; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;
/// Largest discarded response body that is read to its end so that the connection can be reused.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Time after which a discarded response body that has not ended closes the connection. A body
/// this small arrives together with its head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// A request as it is sent to an upstream.
struct Encoded {
    req: Request<Full<Bytes>>,
    /// The caching steps of its prompt, for the log.
    plan_summary: &'static str,
    /// Cache stores that it fetches segments from, and the tokens.
    fetches: Vec<(id::Upstream, u64)>,
}

/// The upstream sent no response head within this time.
struct NoResponse {
    waited: Millis,
}

impl job::Job<'_> {
    /// Sends the request to an upstream; `pending_prefill` is the number of prompt tokens that the
    /// upstream has to prefill.
    pub async fn send(&mut self, id: &id::Upstream, pending_prefill: u64) -> job::Outcome {
        let Some((address, _)) = self.target(id) else {
            return job::Outcome::NotSent("the upstream is gone".to_owned());
        };
        let max_idle = match self.route.retry_policy {
            routing::RetryPolicy::MayRunAgain => pool::NO_IDLE_LIMIT,
            routing::RetryPolicy::AtMostOnce => pool::AT_MOST_ONCE_MAX_IDLE,
        };
        let mut conn = match self.entry.client.pool().take(address, max_idle) {
            Some(conn) => conn,
            None => match client::Conn::open(address).await {
                Ok(conn) => conn,
                Err(failure) => {
                    self.observe(id, balance::Observation::TransportError);
                    return job::Outcome::NotSent(failure.to_string());
                }
            },
        };
        // While the connection was opened, the configuration and the upstream's weights may have
        // expired, the instance may have begun to stop, and the upstream may have started draining or
        // asked for a pause.
        if self.head.api_key.is_some() && self.entry.staleness() == config_sync::Staleness::Expired
        {
            return job::Outcome::Refused(forward::configuration_stale(self.entry));
        }
        if !self.ends_before_exit() {
            return job::Outcome::Refused(self.refused_by_shutdown());
        }
        let Some((_, model_version)) = self.target(id) else {
            return job::Outcome::NotSent("the upstream takes no more requests for now".to_owned());
        };
        self.expected_weights = model_version;
        if let Some(refusal) = self.entry.quarantine.check(&self.shared_segments) {
            return job::Outcome::Refused(refusal);
        }
        if !rollouts::may_send(self.entry, id) {
            return job::Outcome::NotSent("the software version may get no request".to_owned());
        }
        let now = clock::now();
        let Encoded { req, plan_summary, fetches } = self.encode(id, model_version);
        if self.attempts == 0 {
            self.entry.retry_windows.borrow_mut().record_first_attempt(&self.service.id, now);
        }
        self.attempts += 1;
        if self.entry.stopping.is_cancelled() {
            let time_left_ms = self.time_left().map(|left| Millis::from(left).0);
            log::info!(
                request = self.head.id.as_str(), upstream:% = id, time_left_ms:?;
                "request sent while the instance stops"
            );
        }
        let tokens = self.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
        let in_flight = balance::InFlightRequest { tokens, pending_prefill };
        let expected = self.head.prompt.as_ref();
        let expected = expected.map(|_| balance::expected_first_chunk(pending_prefill));
        let ticket = rollouts::Ticket::new(self.entry, id, &self.route.name, expected);
        let mut guard = relay::RequestGuard::new(self.entry, id, in_flight, expected)
            .with_ticket(ticket)
            .with_fetches(fetches);
        if !self.shared_segments.is_empty() {
            let segments = &self.shared_segments;
            let exposure = quarantine::Exposure::new(self.entry, id, &self.head.id, segments);
            guard = guard.with_exposure(exposure);
        }
        let blamed = quarantine::blamed(self.entry.clone(), self.shared_segments.clone());
        let exchanged = tokio::select! {
            exchanged = self.exchange(id, &mut conn, req) => exchanged,
            // The connection is closed, so that the request leaves the queue of the upstream.
            refusal = blamed => return job::Outcome::Withdrawn(refusal),
        };
        let response = match exchanged {
            Ok(Ok(response)) => response,
            Ok(Err(client::Failure::NotSent(reason))) => return job::Outcome::NotSent(reason),
            Ok(Err(failure)) => {
                guard.observe(balance::Observation::TransportError);
                guard.record_break();
                self.entry.client.pool().clear(address);
                return job::Outcome::Unknown(code::Code::UpstreamBroken, failure.to_string());
            }
            Err(NoResponse { waited }) => {
                // A queue is no fault of the upstream; ejecting it moves its load to others.
                if self.is_overdue(id, waited) {
                    guard.observe(balance::Observation::TransportError);
                }
                guard.end_ticket(rollout::Outcome::Failed);
                let reason = format!("no answer within {} ms", waited.0);
                return job::Outcome::Unknown(code::Code::UpstreamTimeout, reason);
            }
        };
        self.handle_response(id, response, (address, conn), guard, plan_summary).await
    }

    /// Sends the request and waits for the response head until the deadline, or until the attempt is
    /// given up in favour of another one.
    async fn exchange(
        &mut self,
        id: &id::Upstream,
        conn: &mut client::Conn,
        req: Request<Full<Bytes>>,
    ) -> Result<Result<Response<Incoming>, client::Failure>, NoResponse> {
        let sent_at = clock::now();
        let can_retry = self.route.retry_policy == routing::RetryPolicy::MayRunAgain
            && self.attempts < self.route.max_attempts;
        let head_timeout = self.route.target_latency.0 * HEAD_TIMEOUT_PERCENT / 100;
        let mut check_at = can_retry.then(|| Instant::now() + Duration::from_millis(head_timeout));
        let mut response = pin::pin!(conn.send(req));
        loop {
            let check_first = check_at.filter(|at| self.deadline.is_none_or(|end| *at < end));
            let Some(until) = check_first.or(self.deadline) else {
                return Ok(response.await);
            };
            if let Ok(response) = tokio::time::timeout_at(until, &mut response).await {
                return Ok(response);
            }
            let waited = clock::now().since(sent_at);
            if check_first.is_none() {
                return Err(NoResponse { waited });
            }
            if self.gives_up_on(id, waited) {
                return Err(NoResponse { waited });
            }
            check_at = Some(until + OVERDUE_CHECK_INTERVAL);
        }
    }

    /// Determines the outcome of the attempt from the head of an upstream's response.
    async fn handle_response(
        &self,
        id: &id::Upstream,
        response: Response<Incoming>,
        conn: (net::SocketAddr, client::Conn),
        mut guard: relay::RequestGuard,
        plan_summary: &'static str,
    ) -> job::Outcome {
        let (parts, incoming) = response.into_parts();
        guard.record_contact();
        let check = self.entry.port.check_response(&parts, &self.head.id);
        let is_taken = check == port::ResponseCheck::Valid;
        let notice = self.entry.port.decode_notice(&parts, &self.head.id, id);
        notices::apply(self.entry, guard.recipient(), notice, is_taken, &self.head.id);
        match check {
            port::ResponseCheck::Valid => self.count_begun(&mut guard),
            port::ResponseCheck::NotRun => {
                let status = parts.status;
                guard.end_ticket(rollout::Outcome::Failed);
                self.avoid(id);
                self.discard_body(conn, parts, incoming);
                return job::Outcome::NotRun(format!("not run by the upstream, status {status}"));
            }
            port::ResponseCheck::Misdirected(actual, version) => {
                let reason = self.handle_misdirected(id, actual.as_ref(), version);
                // The next attempt may reach another upstream at the same address; there, this
                // refusal sent again would name the right request.
                if actual.is_none_or(|actual| actual == *id) {
                    self.discard_body(conn, parts, incoming);
                }
                return job::Outcome::NotRun(reason);
            }
            port::ResponseCheck::Mismatched(reason) => {
                // Only a refusal that says so proves that the upstream did not begin the request.
                duties::count(self.entry, self.workspace.map(|workspace| &workspace.id));
                guard.observe(balance::Observation::TransportError);
                return job::Outcome::Unknown(code::Code::UpstreamBroken, reason.to_owned());
            }
        }
        let is_error = parts.status.is_server_error();
        guard.observe(if is_error {
            balance::Observation::ServerError
        } else {
            balance::Observation::Success
        });
        self.log_response(id, parts.status, plan_summary);
        let mut head = Response::new(());
        *head.status_mut() = parts.status;
        *head.headers_mut() = headers::end_to_end(&parts.headers);
        let (address, conn) = conn;
        let body = relay::UpstreamBody::new(
            incoming,
            guard,
            (address, conn, parts),
            self.deadline,
            self.head.id.clone(),
        );
        let body = relay::Body::Upstream(Box::new(body));
        job::Outcome::Forwarded(head.map(|()| body))
    }

    /// Counts the request for its workspace: now, or if it has a prompt, with its first chunk.
    fn count_begun(&self, guard: &mut relay::RequestGuard) {
        let Some(workspace) = self.workspace else {
            return;
        };
        if self.head.prompt.is_some() {
            guard.count_at_first_chunk(&workspace.id);
        } else {
            duties::count(self.entry, Some(&workspace.id));
        }
    }

    /// Reads a small refusal to its end, and then returns the connection to the pool.
    ///
    /// A faulty upstream may send a refusal again in place of a later response. If it names no
    /// request, nothing shows that it doesn't belong to that later one, so the connection is closed;
    /// on every other connection a refusal that names no request belongs to the current one.
    fn discard_body(
        &self,
        (address, conn): (net::SocketAddr, client::Conn),
        parts: response::Parts,
        incoming: Incoming,
    ) {
        if !self.entry.port.names_request(&parts) {
            return;
        }
        let client = self.entry.client.clone();
        tokio::task::spawn_local(async move {
            let read = Limited::new(incoming, MAX_DISCARDED_BYTES).collect();
            // A failed read isn't logged: it closes the connection, and the outcome is known.
            if let Ok(Ok(_)) = tokio::time::timeout(DISCARD_TIMEOUT, read).await {
                client.pool().put(address, conn, &parts);
            }
        });
    }

    /// Returns the address of an upstream that still accepts requests, and the version of the
    /// weights that the request would run on; 0 if that is unknown or no weights are needed.
    fn target(&self, id: &id::Upstream) -> Option<(net::SocketAddr, u64)> {
        let upstreams = self.entry.upstreams.borrow();
        let upstream = upstreams.get(id)?;
        let record = &upstream.record;
        if record.is_draining || self.entry.out_of_service.borrow().contains(&record.domain) {
            return None;
        }
        if !upstreams.notices.may_send(record, clock::now()) {
            return None;
        }
        let Some(prompt) = &self.head.prompt else {
            return Some((record.address, 0));
        };
        let version = upstream.version(&prompt.model).unwrap_or(0);
        let targets = self.entry.target_versions.borrow();
        let limit = self.entry.old_weights_limit();
        let usable_until = targets.get(&prompt.model).and_then(|t| t.usable_until(version, limit));
        if usable_until.is_some_and(|until| clock::now() >= until) {
            return None;
        }
        Some((record.address, version))
    }

    /// Returns the salt under which the request runs, or `None` without a prompt.
    fn salt(&self, version: u64) -> Option<Arc<str>> {
        let prompt = self.head.prompt.as_ref()?;
        let table = self.entry.table.borrow();
        let scope = self.cache_scope(table.as_ref()?);
        Some(prefix_cache::salt(&prompt.model, version, scope))
    }

    fn encode(&self, id: &id::Upstream, version: u64) -> Encoded {
        let now = clock::now();
        let salt = self.salt(version);
        let mut plan = prefix_cache::Plan::default();
        let mut fetches = Vec::new();
        if let (Some(prompt), Some(salt)) = (&self.head.prompt, &salt) {
            let may_fetch = |store: &id::Upstream, record: &routing::CacheStore, segment| {
                self.may_fetch(id, store, record, segment)
            };
            let mut stores = self.entry.cache_stores.borrow_mut();
            plan = stores.plan(salt, &prompt.segments, may_fetch, now);
            fetches = stores.fetches(&plan, &prompt.segments);
            if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
                for segment in &prompt.segments {
                    upstream.record_segment(salt, segment.id, now);
                }
            }
        }
        // Not the rank: an engine whose memory is full preempts a long prompt for each more urgent
        // request, and then prefills it again. The queue of the instance orders them instead.
        let workspace_priority = self.workspace.and_then(|workspace| workspace.priority);
        let engine = salt.as_deref().map(|salt| port::EngineHeaders {
            priority: workspace_priority.unwrap_or(self.route.priority).min(LOWEST_PRIORITY),
            salt,
            expected_version: version,
            plan: &plan,
            fetch_deadline_ms: self
                .entry
                .upstream_now()
                .map(|now| now + prefix_cache::FETCH_TIMEOUT.0),
        });
        let time_left = self.time_left();
        let forward = port::ForwardHeaders {
            upstream: id,
            timeout: time_left.map(Millis::from),
            workspace: self.workspace.map(|workspace| &workspace.id),
            engine,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = self.parts.uri.clone();
        *req.headers_mut() = self.entry.port.forward_headers(&self.parts.headers, &forward);
        Encoded { req, plan_summary: plan.summary(), fetches }
    }

    /// Returns whether an engine fetches a segment from a store: if the fetch is expected to end in
    /// time. A slower one than the prefill is preferred too, because it leaves the engine free.
    fn may_fetch(
        &self,
        id: &id::Upstream,
        store: &id::Upstream,
        record: &routing::CacheStore,
        segment: prefix_cache::Segment,
    ) -> bool {
        if !self.entry.may_fetch_segments() {
            return false;
        }
        let upstreams = self.entry.upstreams.borrow();
        let Some(upstream) = upstreams.get(id) else {
            return false;
        };
        let is_remote = upstream.record.domain != record.domain;
        let pending = upstreams.fetching(store);
        let engine = self.service.engine.as_ref();
        let fetch_ms = prefix_cache::fetch_ms(record, engine, segment.tokens, pending, is_remote);
        fetch_ms < prefix_cache::FETCH_TIMEOUT.0 as f64
    }

    fn observe(&self, id: &id::Upstream, observation: balance::Observation) {
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
            upstream.health.observe(observation, clock::now());
        }
    }

    fn avoid(&self, id: &id::Upstream) {
        let now = clock::now();
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
            let has_old_weights = self.has_old_weights(upstream);
            let duration = if has_old_weights { LOADING_AVOIDANCE } else { FULL_AVOIDANCE };
            upstream.avoid_until = upstream.avoid_until.max(now + duration);
            if has_old_weights {
                self.entry
                    .observed_weights
                    .borrow_mut()
                    .record_loading(id, now + LOADING_AVOIDANCE);
                self.entry.report_due.notify_one();
            }
        }
    }

    /// Returns whether an upstream's weights are older than the target version; it then most likely
    /// refuses requests because it is loading the new weights.
    fn has_old_weights(&self, upstream: &balance::Upstream) -> bool {
        let Some(prompt) = &self.head.prompt else {
            return false;
        };
        self.entry.target_version(&prompt.model) > upstream.version(&prompt.model)
    }

    /// Updates the state of an upstream whose address reached another upstream or one with other
    /// weights, and returns the reason for which the request did not run.
    fn handle_misdirected(
        &self,
        id: &id::Upstream,
        actual: Option<&id::Upstream>,
        version: Option<u64>,
    ) -> String {
        if actual.is_some_and(|actual| actual != id) {
            // The address was reassigned to another upstream. The platform removes the stale entry;
            // until then it is only ejected from the choice.
            if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
                upstream.health.eject(clock::now());
            }
            return "another upstream has the address".to_owned();
        }
        let now = clock::now();
        if let Some(prompt) = &self.head.prompt
            && let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id)
        {
            // If the upstream doesn't report its version, it most likely has the one after the
            // version assumed so far.
            let assumed = upstream.version(&prompt.model).unwrap_or(0);
            let target = self.entry.target_version(&prompt.model).unwrap_or(0);
            let Some(version) = version else {
                upstream.guess_version(&prompt.model, (assumed + 1).min(target.max(assumed)));
                return "the upstream has other weights".to_owned();
            };
            upstream.set_version(&prompt.model, version, now);
            // Without this report each instance would learn the version only from a refusal of its
            // own.
            let weights = balance::Weights { model: prompt.model.clone(), version };
            self.entry.observed_weights.borrow_mut().record_version(id, weights, now);
            self.entry.report_due.notify_one();
        }
        "the upstream has other weights".to_owned()
    }

    fn log_response(&self, id: &id::Upstream, status: StatusCode, plan_summary: &'static str) {
        let head_ms = self.started.elapsed().as_millis();
        // The last segment belongs to this request alone; the one before it is shared.
        let shared =
            self.head.prompt.as_ref().and_then(|prompt| prompt.segments.iter().nth_back(1));
        let root = shared.map_or(0, |segment| segment.id);
        let target = self.head.prompt.as_ref().and_then(|p| self.entry.target_version(&p.model));
        let target_weights = target.unwrap_or(0);
        metrics::counter!("answers", "status" => status.as_str().to_owned()).increment(1);
        metrics::histogram!("room_wait_seconds").record(self.waited.as_secs_f64());
        metrics::histogram!("answer_head_seconds").record(self.started.elapsed().as_secs_f64());
        log::info!(
            request = self.head.id.as_str(), route = &*self.route.name, upstream:% = id,
            status = status.as_u16(), sends = self.attempts, kept = plan_summary, root,
            weights = self.expected_weights, target_weights, head_ms = head_ms as u64,
            waited_ms = self.waited.as_millis() as u64;
            "answer passed on"
        );
    }
}
