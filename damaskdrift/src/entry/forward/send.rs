//! One send of a request to an upstream, and what its answer tells.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::balance;
use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::entry::client;
use crate::entry::clock;
use crate::entry::forward;
use crate::entry::forward::{headers, job};
use crate::entry::pool;
use crate::entry::port;
use crate::entry::relay;

/// Longest wait for the first piece of an answer that may be asked for elsewhere, in percent of the
/// route's target: by then the target is missed and another upstream is the better bet. An
/// earlier second send adds work where work waits already.
const FIRST_PIECE_PERCENT: u64 = 200;
/// Time for which an upstream that refused a request as full gets no other, while others have
/// room. It is about the time in which a request there ends.
const FULL_AVOIDANCE: Millis = Millis(100);
/// The same for an upstream that most likely loads weights; a load takes about half a second.
const LOADING_AVOIDANCE: Millis = Millis(400);
/// The lowest rank that engines know.
const LOWEST_RANK: u8 = 9;
/// Largest answer that is read to its end only to keep its connection, in bytes.
const MAX_UNUSED_BYTES: usize = 64 << 10;

impl job::Job<'_> {
    /// Sends the request to an upstream that has to read so many tokens of its prompt.
    pub async fn send(&mut self, id: &id::Upstream, unread: u64) -> job::Outcome {
        let Some((address, model_version)) = self.target(id) else {
            return job::Outcome::Unreached("the upstream is gone".to_owned());
        };
        let longest = match self.route.retry_policy {
            routing::RetryPolicy::MayRunAgain => pool::ANY_IDLE,
            routing::RetryPolicy::AtMostOnce => pool::SHORT_IDLE,
        };
        let mut conn = match self.entry.client.pool().take(address, longest) {
            Some(conn) => conn,
            None => match client::Conn::open(address).await {
                Ok(conn) => conn,
                Err(failure) => {
                    self.observe(id, balance::Observation::TransportError);
                    return job::Outcome::Unreached(failure.to_string());
                }
            },
        };
        // Opening a connection took time in which the configuration may have expired and the
        // upstream may have begun to leave.
        if self.call.api_key.is_some() && self.entry.staleness() == config_sync::Staleness::Expired
        {
            return job::Outcome::Refused(forward::stale(self.entry));
        }
        if self.target(id).is_none() {
            return job::Outcome::Unreached("the upstream has begun to leave".to_owned());
        }
        let now = clock::now();
        let (req, kept) = self.encode(id, model_version);
        if self.sends == 0 {
            self.entry.retry_windows.borrow_mut().first(&self.service.id, now);
        }
        self.sends += 1;
        let tokens = self.call.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
        let sent = balance::InFlightRequest { tokens, pending_prefill: unread };
        let expected = self.call.prompt.as_ref().map(|_| balance::expected_first_chunk(unread));
        let flight = relay::Flight::new(self.entry, id, sent, expected);
        let response = match self.exchange(&mut conn, req).await {
            Ok(Ok(response)) => response,
            Ok(Err(client::Failure::Unsent(reason))) => return job::Outcome::Unreached(reason),
            Ok(Err(failure)) => {
                flight.observe(balance::Observation::TransportError);
                self.entry.client.pool().clear(address);
                return job::Outcome::Unknown(code::Code::UpstreamBroken, failure.to_string());
            }
            Err(_) => {
                flight.observe(balance::Observation::TransportError);
                let reason = format!("no answer within {} ms", clock::now().since(now).0);
                return job::Outcome::Unknown(code::Code::UpstreamTimeout, reason);
            }
        };
        self.judge(id, response, (address, conn), flight, kept).await
    }

    async fn exchange(
        &self,
        conn: &mut client::Conn,
        req: Request<Full<Bytes>>,
    ) -> Result<Result<Response<Incoming>, client::Failure>, tokio::time::error::Elapsed> {
        let can_repeat = self.route.retry_policy == routing::RetryPolicy::MayRunAgain
            && self.sends < self.route.max_attempts;
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
        conn: (net::SocketAddr, client::Conn),
        flight: relay::Flight,
        kept: &'static str,
    ) -> job::Outcome {
        let (parts, incoming) = response.into_parts();
        match self.entry.port.check_response(&parts, &self.call.id) {
            port::ResponseCheck::Valid => {}
            port::ResponseCheck::NotRun => {
                let status = parts.status;
                self.avoid(id);
                self.keep(conn, parts, incoming);
                return job::Outcome::NotRun(format!("not run by the upstream, status {status}"));
            }
            port::ResponseCheck::Misdirected(actual, version) => {
                let reason = self.misdirected(id, actual.as_ref(), version);
                self.keep(conn, parts, incoming);
                return job::Outcome::NotRun(reason);
            }
            port::ResponseCheck::Mismatched(reason) => {
                flight.observe(balance::Observation::TransportError);
                return job::Outcome::Unknown(code::Code::UpstreamBroken, reason.to_owned());
            }
        }
        let is_error = parts.status.is_server_error();
        flight.observe(if is_error {
            balance::Observation::ServerError
        } else {
            balance::Observation::Success
        });
        self.log_answer(id, parts.status, kept);
        let mut head = Response::new(());
        *head.status_mut() = parts.status;
        *head.headers_mut() = headers::end_to_end(&parts.headers);
        let (address, conn) = conn;
        let passing = relay::Passing::new(
            incoming,
            flight,
            (address, conn, parts),
            self.deadline,
            self.call.id.clone(),
        );
        let body = relay::Body::Passing(Box::new(passing));
        job::Outcome::Answered(head.map(|()| body))
    }

    /// Keeps the connection of a small answer that is not passed on, once it was read.
    fn keep(
        &self,
        (address, conn): (net::SocketAddr, client::Conn),
        parts: response::Parts,
        incoming: Incoming,
    ) {
        let client = self.entry.client.clone();
        tokio::task::spawn_local(async move {
            // A failed read needs no report: the connection is dropped, the answer was judged.
            if Limited::new(incoming, MAX_UNUSED_BYTES).collect().await.is_ok() {
                client.pool().put(address, conn, &parts);
            }
        });
    }

    /// Returns the address of an upstream that still takes work, and the version of the weights
    /// that the request would run on.
    fn target(&self, id: &id::Upstream) -> Option<(net::SocketAddr, u64)> {
        let upstreams = self.entry.upstreams.borrow();
        let upstream = upstreams.get(id)?;
        let record = &upstream.record;
        if record.is_draining || self.entry.out_of_service.borrow().contains(&record.domain) {
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
            .map(|prompt| prefix_cache::salt(&prompt.model, version, self.isolated()));
        let mut plan = prefix_cache::Plan::default();
        if let (Some(prompt), Some(salt)) = (&self.call.prompt, &salt) {
            plan = self.entry.cache_stores.borrow_mut().plan(salt, &prompt.segments, now);
            if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
                for part in &prompt.segments {
                    upstream.record_segment(salt, part.id, now);
                }
            }
        }
        let workspace_priority = self.workspace.and_then(|workspace| workspace.priority);
        let engine = salt.as_deref().map(|salt| port::EngineHeaders {
            priority: workspace_priority.unwrap_or(self.route.priority).min(LOWEST_RANK),
            salt,
            expected_version: version,
            plan: &plan,
            fetch_deadline_ms: self
                .entry
                .upstream_now()
                .map(|now| now + prefix_cache::FETCH_TIMEOUT.0),
        });
        let left = self.left();
        let forward = port::ForwardHeaders {
            upstream: id,
            timeout: left.map(Millis::from),
            workspace: self.workspace.map(|workspace| &workspace.id),
            engine,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.entry.port.forward_headers(&self.head.headers, &forward);
        (req, plan.summary())
    }

    fn observe(&self, id: &id::Upstream, verdict: balance::Observation) {
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
            upstream.health.observe(verdict, clock::now());
        }
    }

    fn avoid(&self, id: &id::Upstream) {
        let now = clock::now();
        if let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id) {
            let span = if self.is_behind(upstream) { LOADING_AVOIDANCE } else { FULL_AVOIDANCE };
            upstream.avoid_until = upstream.avoid_until.max(now + span);
            if self.is_behind(upstream) {
                self.entry
                    .observed_weights
                    .borrow_mut()
                    .record_loading(id, now + LOADING_AVOIDANCE);
                self.entry.load_changed.notify_one();
            }
        }
    }

    /// Returns whether an upstream has older weights than the newest named, so that it most likely
    /// refuses because it loads them.
    fn is_behind(&self, upstream: &balance::Upstream) -> bool {
        let Some(prompt) = &self.call.prompt else {
            return false;
        };
        let newest =
            self.entry.target_versions.borrow().get(&prompt.model).map(|(version, _)| *version);
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
                upstream.health.eject(clock::now());
            }
            return "another upstream has the address".to_owned();
        }
        let now = clock::now();
        if let Some(prompt) = &self.call.prompt
            && let Some(upstream) = self.entry.upstreams.borrow_mut().get_mut(id)
        {
            // Without its word, the upstream most likely has the version after the one believed.
            let believed = upstream.version(&prompt.model).unwrap_or(0);
            let newest =
                self.entry.target_versions.borrow().get(&prompt.model).map_or(0, |named| named.0);
            let likely = version.unwrap_or_else(|| (believed + 1).min(newest.max(believed)));
            upstream.set_version(&prompt.model, likely, now);
            if version.is_some() {
                // Each instance would otherwise learn it from a refusal of its own.
                let weights = balance::Weights { model: prompt.model.clone(), version: likely };
                self.entry.observed_weights.borrow_mut().record_version(id, weights, now);
                self.entry.load_changed.notify_one();
            }
        }
        "the upstream has other weights".to_owned()
    }

    fn log_answer(&self, id: &id::Upstream, status: StatusCode, kept: &'static str) {
        let head_ms = self.started.elapsed().as_millis();
        let shared =
            self.call.prompt.as_ref().and_then(|prompt| prompt.segments.iter().nth_back(1));
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
