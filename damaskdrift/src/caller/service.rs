//! Passes calls on to plain services.

use std::sync;
use std::time::Instant;

use bytes::Bytes;
use damaskdrift_core::code;
use damaskdrift_core::id;
use damaskdrift_core::idempotency;
use damaskdrift_core::template;
use http_body_util::Full;
use hyper::header;
use hyper::header::HeaderName;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, StatusCode};
use warp::Reply as _;

use crate::caller::attempts::{self, Attempts, Placed, Progress};
use crate::caller::refusal::Refusal;
use crate::caller::request::{self, Caller};
use crate::caller::{answer, once, request_id, route};
use crate::context;
use crate::control::{freshness, observe, roster, slots};
use crate::upstream;

/// Largest answer of a service, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Longest idempotency key, in bytes.
const MAX_KEY_LEN: usize = 128;
/// Header that carries the key of a call that may not be repeated.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header that marks an answer whose record could not be written in time.
const RECORDED: HeaderName = HeaderName::from_static("x-recorded");
/// Header that names the caller's workspace to a service.
const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");

/// A call to a plain service.
pub struct Call {
    /// State of the instance.
    pub cx: sync::Arc<context::Context>,
    /// Who calls.
    pub caller: Caller,
    service: id::Service,
    method: Method,
    /// Path and query below the service.
    path: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
    started: Instant,
}

/// A complete answer of a service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Prepares a call of an authenticated caller.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the path cannot be passed on.
    pub fn new(
        cx: sync::Arc<context::Context>,
        caller: Caller,
        service: &str,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Self, Refusal> {
        let headers = passed_on(headers);
        let service = id::Service::new(service);
        let path = path.parse().map_err(|error| {
            Refusal::new(code::Code::UnknownRoute, &format!("the path is not valid: {error}"))
        })?;
        Ok(Self { cx, caller, service, method, path, headers, body, started: Instant::now() })
    }

    /// Runs the call and returns the service's answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no upstream answers or the call may not be run.
    pub async fn run(self) -> Result<warp::reply::Response, Refusal> {
        freshness::check(&self.cx)?;
        let policy = self.policy()?;
        if route::is_non_idempotent(policy, self.method.as_str(), self.path.path()) {
            let key = self.key()?.to_owned();
            return once::run(self, &key).await.map(Answer::into_response);
        }
        let cx = self.cx.clone();
        attempts::detach(&cx, |progress| async move { self.repeat(progress).await }).await
    }

    async fn repeat(&self, progress: Progress) -> Result<warp::reply::Response, Refusal> {
        let workspace = &self.caller.workspace;
        let mut attempts =
            Attempts::new(&self.cx, workspace, self.targets()?).with_progress(progress);
        loop {
            let Placed { target, slot } = attempts.place().await?;
            let refusal = match self.attempt(&target, &slot).await {
                Ok(answer) => return Ok(answer.into_response()),
                Err(refusal) => refusal,
            };
            drop(slot);
            if !attempts.may_retry(refusal.outcome).await {
                return Err(refusal);
            }
        }
    }

    async fn attempt(
        &self,
        target: &upstream::Target,
        slot: &slots::Slot,
    ) -> Result<Answer, Refusal> {
        let boot = slot.boot.as_ref();
        let connected = self.cx.upstreams.connect(target, boot).await;
        let mut conn =
            connected.inspect_err(|_| slots::record_connection_loss(&self.cx, &target.id))?;
        freshness::check_upstream(&self.cx, &target.id)?;
        let answer = self.exchange(&mut conn, &self.request_id(target)).await;
        let answer = answer.inspect_err(|_| {
            self.cx.upstreams.note_failure(target);
            slots::record_connection_loss(&self.cx, &target.id);
            self.observe_failure(target);
        })?;
        self.observe(target, answer.status);
        self.cx.upstreams.put(target, conn);
        Ok(answer)
    }

    /// Sends the call over a connection and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer and whether a byte of the call may have been sent.
    pub async fn exchange(
        &self,
        conn: &mut upstream::Connection,
        request: &id::Request,
    ) -> Result<Answer, upstream::Failure> {
        let wait = self.cx.upstreams.timeouts().answer;
        let mut response = conn.send(self.request(request), wait).await?;
        let body = upstream::read_all(response.body_mut(), MAX_ANSWER_BYTES, wait).await?;
        let mut headers = answer::end_to_end(response.headers());
        headers.insert(answer::REQUEST_ID, answer::value(request));
        Ok(Answer { status: response.status(), headers, body })
    }

    /// Returns the hash of what the call asks for.
    pub fn body_hash(&self) -> idempotency::BodyHash {
        idempotency::BodyHash::new(
            &self.service,
            self.method.as_str(),
            self.path.as_str(),
            &self.body,
        )
    }

    fn request(&self, request: &id::Request) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.path.clone().into();
        *req.headers_mut() = self.headers.clone();
        let workspace = header::HeaderValue::from_str(self.caller.workspace.as_str())
            .expect("a workspace name has only visible ASCII");
        req.headers_mut().insert(WORKSPACE, workspace);
        req.headers_mut().insert(answer::REQUEST_ID, answer::value(request));
        req
    }

    /// Creates the id of a request to an upstream.
    pub fn request_id(&self, target: &upstream::Target) -> id::Request {
        let secret = &self.caller.fleet.document.secret;
        request_id::generate(secret, &self.caller.workspace, &target.id)
    }

    fn policy(&self) -> Result<&template::ServicePolicy, Refusal> {
        self.caller.policy()?.services.get(&self.service).ok_or_else(|| {
            let message = format!("the workspace may not use service {:?}", self.service.as_str());
            Refusal::new(code::Code::UnknownService, &message)
        })
    }

    fn key(&self) -> Result<&str, Refusal> {
        let Some(key) = request::single(&self.headers, &IDEMPOTENCY_KEY)? else {
            let message = "this call may not be repeated and needs an Idempotency-Key header";
            return Err(Refusal::new(code::Code::KeyMissing, message));
        };
        let is_valid =
            (1..=MAX_KEY_LEN).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
        if !is_valid {
            let message = "the idempotency key is not 1 to 128 visible ASCII characters";
            return Err(Refusal::new(code::Code::KeyMalformed, message));
        }
        Ok(key)
    }

    /// Returns the upstreams that may run the call, in random order.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the workspace may not use the service.
    pub fn targets(&self) -> Result<Vec<upstream::Target>, Refusal> {
        let services = self.caller.fleet.services(&self.service, self.policy()?);
        let services = services.filter(|(id, _)| !roster::is_draining(&self.cx, id));
        let mut targets: Vec<_> =
            services.filter_map(|(id, service)| upstream::Target::new(id, service)).collect();
        upstream::rank(&mut targets, &rand::random::<[u8; 16]>());
        Ok(targets)
    }

    /// Notes an answer as evidence.
    pub fn observe(&self, target: &upstream::Target, status: StatusCode) {
        self.note(target, !status.is_server_error());
    }

    /// Notes a call without an answer as evidence.
    pub fn observe_failure(&self, target: &upstream::Target) {
        self.note(target, false);
    }

    fn note(&self, target: &upstream::Target, succeeded: bool) {
        let observation = observe::Observation {
            workspace: self.caller.workspace.clone(),
            version: None,
            upstream: Some(target.id.clone()),
            succeeded,
            first_token: Some(self.started.elapsed().into()),
            between_tokens: None,
            is_cold: false,
        };
        observe::record(&self.cx, &observation);
    }
}

impl Answer {
    /// Returns the answer as it is recorded.
    pub fn to_record(&self) -> idempotency::Response {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, v)| (name.to_string(), v.as_bytes().to_vec())).collect();
        idempotency::Response { status: self.status.as_u16(), headers, body: self.body.to_vec() }
    }

    /// Restores a recorded answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the record has no valid status or header.
    pub fn from_record(record: idempotency::Response) -> Result<Self, Refusal> {
        let invalid = || {
            let message = "the recorded answer cannot be read";
            Refusal::new(code::Code::ResponseNotStored, message).with_outcome(code::Outcome::Ran)
        };
        let status = StatusCode::from_u16(record.status).map_err(|_| invalid())?;
        let mut headers = HeaderMap::new();
        for (name, value) in record.headers {
            let name = HeaderName::try_from(name).map_err(|_| invalid())?;
            let value = header::HeaderValue::from_bytes(&value).map_err(|_| invalid())?;
            headers.append(name, value);
        }
        Ok(Self { status, headers, body: record.body.into() })
    }

    /// Marks an answer whose record could not be written in time.
    pub fn with_unrecorded(mut self) -> Self {
        self.headers.insert(RECORDED, header::HeaderValue::from_static("false"));
        self
    }

    /// Returns the caller's answer.
    pub fn into_response(self) -> warp::reply::Response {
        let mut response = warp::http::Response::new(self.body).into_response();
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Returns the headers that a service may see; the bearer key is not among them.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut headers = answer::end_to_end(headers);
    for name in [header::AUTHORIZATION, header::HOST, header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    headers
}
