//! Answers prompts.

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

use crate::caller::attempts::{self, Attempts, Placed, Progress};
use crate::caller::prompt::Prompt;
use crate::caller::refusal::Refusal;
use crate::caller::relay;
use crate::caller::request::{self, Caller};
use crate::caller::{answer, request_id, resume};
use crate::context;
use crate::control::{cache, freshness, observe, roster, route, slots};
use crate::upstream;

/// Header with the priority of a request, 0 highest to 3.
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// Priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 2;
/// Largest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// An engine's answer that has begun.
struct Answering {
    stream: relay::StreamId,
    conn: upstream::Connection,
    response: Response<Incoming>,
    slot: slots::Slot,
    sent: cache::PendingPrefill,
}

/// A prompt on its way to an engine.
pub struct Dispatch {
    cx: sync::Arc<context::Context>,
    caller: Caller,
    prompt: Prompt,
    path: &'static str,
    priority: u8,
    route: fleet::Route,
    cached: cache::Prompt,
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
        let cached = cached(&caller, &prompt, &route);
        Ok(Self { cx, caller, prompt, path, priority, route, cached, started: Instant::now() })
    }

    /// Sends the prompt to an engine and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no engine answers.
    pub async fn run(self) -> Result<warp::reply::Response, Refusal> {
        let cx = self.cx.clone();
        attempts::detach(&cx, |progress| async move { self.answer(progress).await }).await
    }

    async fn answer(mut self, progress: Progress) -> Result<warp::reply::Response, Refusal> {
        freshness::check(&self.cx)?;
        let (mut attempts, mut plan) = self.prepare(&progress).await?;
        loop {
            let placed = attempts.place().await?;
            // A move may have been vetoed while the prompt waited for a slot.
            let route = route(&self.cx, &self.caller, &self.prompt)?;
            if route != self.route {
                self.cached = cached(&self.caller, &self.prompt, &route);
                self.route = route;
                (attempts, plan) = self.prepare(&progress).await?;
                continue;
            }
            let sent = cache::prepare(&self.cx, &self.cached, plan.as_ref(), &placed.target).await;
            let refusal = match self.attempt(placed, sent).await {
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
        placed: Placed,
        sent: cache::PendingPrefill,
    ) -> Result<warp::reply::Response, Refusal> {
        let Placed { target, slot } = placed;
        let secret = &self.caller.fleet.document.secret;
        let workspace = self.caller.workspace.clone();
        let request = request_id::generate(secret, &workspace, &target.id);
        let stream = relay::StreamId { target, request, workspace };
        let connected = self.cx.upstreams.connect(&stream.target, slot.boot.as_ref()).await;
        let conn = connected
            .inspect_err(|_| slots::record_connection_loss(&self.cx, &stream.target.id))?;
        freshness::check_upstream(&self.cx, &stream.target.id)?;
        let mut observation = self.observation(&stream.target, &conn);
        let answered = self.exchange(&stream, conn, slot, &observation, sent).await;
        if answered.is_err() {
            observation.first_token = None;
            observe::record(&self.cx, &observation);
        }
        answered
    }

    async fn exchange(
        &self,
        stream: &relay::StreamId,
        mut conn: upstream::Connection,
        slot: slots::Slot,
        observation: &observe::Observation,
        sent: cache::PendingPrefill,
    ) -> Result<warp::reply::Response, Refusal> {
        let wait = self.cx.upstreams.timeouts().answer;
        let response = match conn.send(self.request(&stream.request), wait).await {
            Ok(response) => response,
            Err(failure) => {
                self.cx.upstreams.note_failure(&stream.target);
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
        let answer = Answering { stream: stream.clone(), conn, response, slot, sent };
        if is_event_stream(answer.response.headers()) {
            self.stream(answer, observation.clone()).await
        } else {
            self.whole(answer, observation.clone()).await
        }
    }

    /// Looks for the answer of a request whose connection broke before the answer began: the engine
    /// may have taken the request and keep its stream.
    async fn recover(
        &self,
        stream: &relay::StreamId,
        conn: &upstream::Connection,
        failure: upstream::Failure,
    ) -> Result<(upstream::Connection, Response<Incoming>), upstream::Failure> {
        let is_kept = failure.sent && failure.code == code::Code::UpstreamBroken;
        if !self.prompt.is_stream || !is_kept {
            return Err(failure);
        }
        match resume::open(&self.cx, stream, conn.boot.as_ref(), 0).await {
            Ok((conn, response)) if response.status().is_success() => Ok((conn, response)),
            _ => Err(failure),
        }
    }

    async fn stream(
        &self,
        answer: Answering,
        mut observation: observe::Observation,
    ) -> Result<warp::reply::Response, Refusal> {
        let Answering { stream, conn, response, slot, sent } = answer;
        let upstream = stream.target.id.clone();
        let (head, body) = response.into_parts();
        let head = answer::Head::new(&head, &stream.request);
        let mut source = relay::Source::new(&self.cx, stream, conn, Some(body), 0).with_slot(slot);
        let first = source.next().await?;
        drop(sent);
        cache::record_computed(&self.cx, &self.caller.fleet, &self.cached, &upstream);
        observation.first_token = Some(self.started.elapsed().into());
        let (tx, rx) = relay::channel();
        let cx = self.cx.clone();
        self.cx.tasks.spawn(async move {
            let seen = source.relay(first.unwrap_or_default(), tx).await;
            observation.succeeded = seen.is_complete;
            observation.between_tokens = seen.longest_gap;
            observe::record(&cx, &observation);
        });
        Ok(head.with_body(relay::response(rx)))
    }

    async fn whole(
        &self,
        answer: Answering,
        mut observation: observe::Observation,
    ) -> Result<warp::reply::Response, Refusal> {
        let Answering { stream, conn, mut response, slot: _slot, sent } = answer;
        let wait = self.cx.upstreams.timeouts().answer;
        let read = upstream::read_all(response.body_mut(), MAX_ANSWER_BYTES, wait).await;
        let body =
            read.inspect_err(|_| slots::record_connection_loss(&self.cx, &stream.target.id))?;
        drop(sent);
        let (head, _) = response.into_parts();
        observation.succeeded = true;
        observation.first_token = Some(self.started.elapsed().into());
        if !head.status.is_client_error() {
            cache::record_computed(&self.cx, &self.caller.fleet, &self.cached, &stream.target.id);
            observe::record(&self.cx, &observation);
        }
        if let Some(boot) = &conn.boot {
            slots::record_completion(&self.cx, &stream.target.id, boot);
        }
        self.cx.upstreams.put(&stream.target, conn);
        let head = answer::Head::new(&head, &stream.request);
        Ok(head.with_body(warp::http::Response::new(body).into_response()))
    }

    fn request(&self, request: &id::Request) -> Request<Full<Bytes>> {
        let workspace = &self.caller.workspace;
        Request::post(self.path)
            .header(header::CONTENT_TYPE, "application/json")
            .header(answer::REQUEST_ID, request.as_str())
            .header("x-workspace", workspace.as_str())
            .header("x-cache-root", self.cached.root.to_string())
            .header(PRIORITY, u16::from(self.priority))
            .body(Full::new(self.prompt.body.clone()))
            .expect("ids and numbers are valid header values")
    }

    /// Ranks the engines of the route and plans what to import before the prompt is sent.
    async fn prepare(
        &self,
        progress: &Progress,
    ) -> Result<(Attempts, Option<cache::Placement>), Refusal> {
        let mut targets = self.targets()?;
        let fleet = &self.caller.fleet;
        let plan = cache::place(&self.cx, fleet, &self.cached, &mut targets).await;
        let attempts = Attempts::new(&self.cx, &self.caller.workspace, targets);
        Ok((attempts.with_progress(progress.clone()), plan))
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
            is_cold: conn.cold,
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

fn cached(caller: &Caller, prompt: &Prompt, route: &fleet::Route) -> cache::Prompt {
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
