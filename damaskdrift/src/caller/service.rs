//! Forwards calls to plain services.

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

use crate::caller::attempts::{self, Attempts, Progress, Reserved};
use crate::caller::refusal::Refusal;
use crate::caller::request::{self, Caller};
use crate::caller::{at_most_once, request_id, response, route};
use crate::context;
use crate::control::{freshness, lifecycle, observe, roster, slots};
use crate::upstream;

/// Largest response body of a service.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 128;
/// Header with the idempotency key, required for non-idempotent calls.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header, with value `false`, on a response whose record could not be written in time.
const RECORDED: HeaderName = HeaderName::from_static("x-recorded");
/// Header with the caller's workspace, sent to services.
const WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");

/// A call to a plain service, an upstream that is not a model engine.
pub struct Call {
    /// Shared state of the instance.
    pub cx: sync::Arc<context::Context>,
    /// The authenticated caller.
    pub caller: Caller,
    service: id::Service,
    method: Method,
    /// Path and query below the service.
    path: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
    started: Instant,
}

/// A complete response of a service.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: StatusCode,
    /// The end-to-end headers and the request id.
    pub headers: HeaderMap,
    /// The whole body, at most 8 MiB.
    pub body: Bytes,
}

impl Call {
    /// Prepares a call of an authenticated caller.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the path is not a valid request target.
    pub fn new(
        cx: sync::Arc<context::Context>,
        caller: Caller,
        service: &str,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Self, Refusal> {
        let headers = forwarded_headers(headers);
        let service = id::Service::new(service);
        let path = path.parse().map_err(|error| {
            Refusal::new(code::Code::UnknownRoute, &format!("the path is not valid: {error}"))
        })?;
        Ok(Self { cx, caller, service, method, path, headers, body, started: Instant::now() })
    }

    /// Runs the call and returns the service's response.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no upstream responds or the call may not be run.
    pub async fn run(self) -> Result<warp::reply::Response, Refusal> {
        freshness::check(&self.cx)?;
        let policy = self.policy()?;
        let must_run_once =
            route::is_non_idempotent(policy, self.method.as_str(), self.path.path());
        lifecycle::check_drain(&self.cx, !must_run_once)?;
        if must_run_once {
            let key = self.idempotency_key()?.to_owned();
            return at_most_once::run(self, &key).await.map(Response::into_response);
        }
        let cx = self.cx.clone();
        attempts::detach(&cx, |progress| async move { self.run_with_retries(progress).await }).await
    }

    async fn run_with_retries(&self, progress: Progress) -> Result<warp::reply::Response, Refusal> {
        let workspace = &self.caller.workspace;
        let mut attempts =
            Attempts::new(&self.cx, workspace, self.targets()?).with_progress(progress);
        loop {
            let Reserved { target, slot } = attempts.reserve().await?;
            let refusal = match self.attempt(&target, &slot).await {
                Ok(response) => return Ok(response.into_response()),
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
    ) -> Result<Response, Refusal> {
        let boot = slot.boot.as_ref();
        let connected = self.cx.upstreams.connect(target, boot).await;
        let mut conn =
            connected.inspect_err(|_| slots::record_connection_loss(&self.cx, &target.id))?;
        freshness::check_upstream(&self.cx, &target.id)?;
        let result = self.exchange(&mut conn, &self.request_id(target)).await;
        let response = result.inspect_err(|_| {
            self.cx.upstreams.record_failure(target);
            slots::record_connection_loss(&self.cx, &target.id);
            self.record_failure(target);
        })?;
        self.record_response(target, response.status);
        self.cx.upstreams.put(target, conn);
        Ok(response)
    }

    /// Sends the call over a connection and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response and whether a byte of the call may have been sent.
    pub async fn exchange(
        &self,
        conn: &mut upstream::Connection,
        request: &id::Request,
    ) -> Result<Response, upstream::Failure> {
        let timeout = self.cx.upstreams.timeouts().response;
        let mut response = conn.send(self.request(request), timeout).await?;
        let body = upstream::read_all(response.body_mut(), MAX_RESPONSE_BYTES, timeout).await?;
        let mut headers = response::end_to_end(response.headers());
        headers.insert(response::REQUEST_ID, response::request_id_value(request));
        Ok(Response { status: response.status(), headers, body })
    }

    /// Returns the hash of service, method, path and body, which distinguishes a duplicate from
    /// another call under the same idempotency key.
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
        req.headers_mut().insert(response::REQUEST_ID, response::request_id_value(request));
        req
    }

    /// Generates the id of a new request to an upstream.
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

    fn idempotency_key(&self) -> Result<&str, Refusal> {
        let Some(key) = request::single(&self.headers, &IDEMPOTENCY_KEY)? else {
            let message = "this call may not be repeated and needs an Idempotency-Key header";
            return Err(Refusal::new(code::Code::KeyMissing, message));
        };
        let is_valid =
            (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
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

    /// Records a response for the burn report; a server error counts as a failure.
    pub fn record_response(&self, target: &upstream::Target, status: StatusCode) {
        self.record_outcome(target, !status.is_server_error());
    }

    /// Records a call without a response as a failure for the burn report.
    pub fn record_failure(&self, target: &upstream::Target) {
        self.record_outcome(target, false);
    }

    fn record_outcome(&self, target: &upstream::Target, succeeded: bool) {
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

impl Response {
    /// Returns the stored form of the response.
    pub fn to_record(&self) -> idempotency::Response {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, v)| (name.to_string(), v.as_bytes().to_vec())).collect();
        idempotency::Response { status: self.status.as_u16(), headers, body: self.body.to_vec() }
    }

    /// Restores a stored response.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the record has an invalid status or header.
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

    /// Adds the `x-recorded: false` header, for a response whose record could not be written in
    /// time.
    pub fn marked_unrecorded(mut self) -> Self {
        self.headers.insert(RECORDED, header::HeaderValue::from_static("false"));
        self
    }

    /// Builds the HTTP response to the caller.
    pub fn into_response(self) -> warp::reply::Response {
        let mut response = warp::http::Response::new(self.body).into_response();
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Returns the headers to forward to a service, without the caller's bearer key.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = response::end_to_end(headers);
    for name in [header::AUTHORIZATION, header::HOST, header::CONTENT_LENGTH, header::EXPECT] {
        headers.remove(name);
    }
    headers
}
