//! Sends prompts to engines and returns their responses.

use std::sync;
use std::time::Instant;

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::fleet;
use damaskdrift_core::id;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response};
use warp::Reply as _;

use crate::caller::attempts::{self, Attempts, Progress, Reserved};
use crate::caller::prompt::Prompt;
use crate::caller::refusal::Refusal;
use crate::caller::relay;
use crate::caller::request::{self, Caller};
use crate::caller::{request_id, response, resume};
use crate::context;
use crate::control::{cache, freshness, lifecycle, observe, roster, route, slots};
use crate::upstream;

/// Header with the priority of a request, from 0 (highest) to 3.
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Priority of a request without the header.
const DEFAULT_PRIORITY: u8 = 2;
/// Largest response that is not a stream.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// An engine's response whose head has arrived.
struct PendingResponse {
    stream: relay::StreamId,
    conn: upstream::Connection,
    response: Response<Incoming>,
    slot: slots::Slot,
    prefill: cache::PendingPrefill,
}

/// A prompt to be sent to an engine, with the route chosen for it.
pub struct Dispatch {
    cx: sync::Arc<context::Context>,
    caller: Caller,
    prompt: Prompt,
    path: &'static str,
    priority: u8,
    route: fleet::Route,
    cache_prompt: cache::Prompt,
    started: Instant,
}

impl Dispatch {
    /// Prepares a prompt of an authenticated caller.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the workspace may not use the model or a header is wrong.
    pub fn new(
        cx: sync::Arc<context::Context>,
        caller: Caller,
        headers: &HeaderMap,
        path: &'static str,
        prompt: Prompt,
    ) -> Result<Self, Refusal> {
        let priority = parse_priority(headers)?;
        let route = route(&cx, &caller, &prompt)?;
        let cache_prompt = cache_prompt(&caller, &prompt, &route);
        Ok(Self {
            cx,
            caller,
            prompt,
            path,
            priority,
            route,
            cache_prompt,
            started: Instant::now(),
        })
    }

    /// Sends the prompt to an engine and returns the response.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no engine responds.
    pub async fn run(self) -> Result<warp::reply::Response, Refusal> {
        let cx = self.cx.clone();
        attempts::detach(&cx, |progress| async move { self.run_attempts(progress).await }).await
    }

    async fn run_attempts(mut self, progress: Progress) -> Result<warp::reply::Response, Refusal> {
        freshness::check(&self.cx)?;
        // A prompt may run again, since it changes nothing.
        lifecycle::check_drain(&self.cx, true)?;
        let (mut attempts, mut placement) = self.prepare(&progress).await?;
        loop {
            let reserved = attempts.reserve().await?;
            // A veto of a move may have changed the route while the prompt waited for a slot.
            let route = route(&self.cx, &self.caller, &self.prompt)?;
            if route != self.route {
                self.cache_prompt = cache_prompt(&self.caller, &self.prompt, &route);
                self.route = route;
                (attempts, placement) = self.prepare(&progress).await?;
                continue;
            }
            let prefill =
                cache::prepare(&self.cx, &self.cache_prompt, placement.as_ref(), &reserved.target)
                    .await;
            let refusal = match self.attempt(reserved, prefill).await {
                Ok(response) => return Ok(response),
                Err(refusal) => refusal,
            };
            if !attempts.may_retry(refusal.outcome).await {
                return Err(refusal);
            }
        }
    }

    async fn attempt(
        &self,
        reserved: Reserved,
        prefill: cache::PendingPrefill,
    ) -> Result<warp::reply::Response, Refusal> {
        let Reserved { target, slot } = reserved;
        let secret = &self.caller.fleet.document.secret;
        let workspace = self.caller.workspace.clone();
        let request = request_id::generate(secret, &workspace, &target.id);
        let stream = relay::StreamId { target, request, workspace };
        let connected = self.cx.upstreams.connect(&stream.target, slot.boot.as_ref()).await;
        let conn = connected
            .inspect_err(|_| slots::record_connection_loss(&self.cx, &stream.target.id))?;
        freshness::check_upstream(&self.cx, &stream.target.id)?;
        let mut observation = self.observation(&stream.target, &conn);
        let result = self.exchange(&stream, conn, slot, &observation, prefill).await;
        if result.is_err() {
            observation.first_token = None;
            observe::record(&self.cx, &observation);
        }
        result
    }

    async fn exchange(
        &self,
        stream: &relay::StreamId,
        mut conn: upstream::Connection,
        slot: slots::Slot,
        observation: &observe::Observation,
        prefill: cache::PendingPrefill,
    ) -> Result<warp::reply::Response, Refusal> {
        let timeout = self.cx.upstreams.timeouts().response;
        let response = match conn.send(self.request(&stream.request), timeout).await {
            Ok(response) => response,
            Err(failure) => {
                self.cx.upstreams.record_failure(&stream.target);
                slots::record_connection_loss(&self.cx, &stream.target.id);
                let response;
                (conn, response) = self.recover(stream, &conn, failure).await?;
                response
            }
        };
        if response.status().is_server_error() {
            let message =
                format!("{} answered with status {}", stream.target.id, response.status());
            return Err(Refusal::unknown(code::Code::UpstreamError, &message));
        }
        let pending = PendingResponse { stream: stream.clone(), conn, response, slot, prefill };
        if is_event_stream(pending.response.headers()) {
            self.respond_streaming(pending, observation.clone()).await
        } else {
            self.respond_buffered(pending, observation.clone()).await
        }
    }

    /// Requests the stream again after the connection broke before the response began, because the
    /// engine may have accepted the request and retained its stream.
    async fn recover(
        &self,
        stream: &relay::StreamId,
        conn: &upstream::Connection,
        failure: upstream::Failure,
    ) -> Result<(upstream::Connection, Response<Incoming>), upstream::Failure> {
        let may_be_retained = failure.sent && failure.code == code::Code::UpstreamBroken;
        if !self.prompt.is_stream || !may_be_retained {
            return Err(failure);
        }
        match resume::open(&self.cx, stream, conn.boot.as_ref(), 0).await {
            Ok((conn, response)) if response.status().is_success() => Ok((conn, response)),
            _ => Err(failure),
        }
    }

    async fn respond_streaming(
        &self,
        pending: PendingResponse,
        mut observation: observe::Observation,
    ) -> Result<warp::reply::Response, Refusal> {
        let PendingResponse { stream, conn, response, slot, prefill } = pending;
        let upstream = stream.target.id.clone();
        let (head, body) = response.into_parts();
        let head = response::Head::new(&head, &stream.request);
        let mut source = relay::Source::new(&self.cx, stream, conn, Some(body), 0).with_slot(slot);
        let first = source.next().await?;
        drop(prefill);
        cache::record_computed(&self.cx, &self.caller.fleet, &self.cache_prompt, &upstream);
        observation.first_token = Some(self.started.elapsed().into());
        let (tx, rx) = relay::channel();
        let cx = self.cx.clone();
        self.cx.tasks.spawn(async move {
            let stats = source.relay(first.unwrap_or_default(), tx).await;
            observation.succeeded = stats.is_complete;
            observation.between_tokens = stats.longest_gap;
            observe::record(&cx, &observation);
        });
        Ok(head.with_body(relay::response(rx)))
    }

    async fn respond_buffered(
        &self,
        pending: PendingResponse,
        mut observation: observe::Observation,
    ) -> Result<warp::reply::Response, Refusal> {
        let PendingResponse { stream, conn, mut response, slot: _slot, prefill } = pending;
        let timeout = self.cx.upstreams.timeouts().response;
        let read = upstream::read_all(response.body_mut(), MAX_RESPONSE_BYTES, timeout).await;
        let body =
            read.inspect_err(|_| slots::record_connection_loss(&self.cx, &stream.target.id))?;
        drop(prefill);
        let (head, _) = response.into_parts();
        observation.succeeded = true;
        observation.first_token = Some(self.started.elapsed().into());
        if !head.status.is_client_error() {
            cache::record_computed(
                &self.cx,
                &self.caller.fleet,
                &self.cache_prompt,
                &stream.target.id,
            );
            observe::record(&self.cx, &observation);
        }
        if let Some(boot) = &conn.boot {
            slots::record_completion(&self.cx, &stream.target.id, boot);
        }
        self.cx.upstreams.put(&stream.target, conn);
        let head = response::Head::new(&head, &stream.request);
        Ok(head.with_body(warp::http::Response::new(body).into_response()))
    }

    fn request(&self, request: &id::Request) -> Request<Full<Bytes>> {
        let workspace = &self.caller.workspace;
        Request::post(self.path)
            .header(header::CONTENT_TYPE, "application/json")
            .header(response::REQUEST_ID, request.as_str())
            .header("x-workspace", workspace.as_str())
            .header("x-cache-root", self.cache_prompt.root.to_string())
            .header(PRIORITY, u16::from(self.priority))
            .body(Full::new(self.prompt.body.clone()))
            .expect("ids and numbers are valid header values")
    }

    /// Ranks the engines of the route and plans which cache blocks to import before the prompt is
    /// sent.
    async fn prepare(
        &self,
        progress: &Progress,
    ) -> Result<(Attempts, Option<cache::Placement>), Refusal> {
        let mut targets = self.targets()?;
        let fleet = &self.caller.fleet;
        let placement = cache::place(&self.cx, fleet, &self.cache_prompt, &mut targets).await;
        let attempts = Attempts::new(&self.cx, &self.caller.workspace, targets);
        Ok((attempts.with_progress(progress.clone()), placement))
    }

    fn targets(&self) -> Result<Vec<upstream::Target>, Refusal> {
        let engines = self.caller.fleet.engines(&self.prompt.model, &self.route);
        let engines = engines.filter(|(id, _)| !roster::is_draining(&self.cx, id));
        let mut targets: Vec<_> =
            engines.filter_map(|(id, engine)| upstream::Target::new(id, engine)).collect();
        upstream::rank(&mut targets, &self.prompt.root);
        Ok(targets)
    }

    fn observation(
        &self,
        target: &upstream::Target,
        conn: &upstream::Connection,
    ) -> observe::Observation {
        observe::Observation {
            workspace: self.caller.workspace.clone(),
            version: Some((self.prompt.model.clone(), self.route.version.clone())),
            upstream: Some(target.id.clone()),
            succeeded: false,
            first_token: None,
            between_tokens: None,
            is_cold: conn.is_cold,
        }
    }
}

fn route(cx: &context::Context, caller: &Caller, prompt: &Prompt) -> Result<fleet::Route, Refusal> {
    let hash = blake3::hash(&prompt.root);
    let (first, _) = hash.as_bytes().split_first_chunk().expect("a hash is longer than 8 bytes");
    let root_hash = u64::from_le_bytes(*first);
    route::choose(cx, &caller.fleet, &caller.workspace, &prompt.model, root_hash).ok_or_else(|| {
        let message = format!("the workspace may not use model {:?}", prompt.model.as_str());
        Refusal::new(code::Code::UnknownModel, &message)
    })
}

fn cache_prompt(caller: &Caller, prompt: &Prompt, route: &fleet::Route) -> cache::Prompt {
    let secret = &caller.fleet.document.secret;
    cache::Prompt::new(secret, &caller.workspace, &prompt.model, &route.version, &prompt.text)
}

fn parse_priority(headers: &HeaderMap) -> Result<u8, Refusal> {
    match request::single(headers, &PRIORITY)? {
        None => Ok(DEFAULT_PRIORITY),
        Some("0") => Ok(0),
        Some("1") => Ok(1),
        Some("2") => Ok(2),
        Some("3") => Ok(3),
        Some(_) => Err(Refusal::new(
            code::Code::BadHeader,
            "header x-priority is not a number from 0 to 3",
        )),
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with(EVENT_STREAM))
}
