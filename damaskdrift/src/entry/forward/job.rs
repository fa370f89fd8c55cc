//! Attempts to get a response to one request, and the choice of an upstream for each.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::balance;
use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::membership;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::rollout;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use damaskdrift_core::weights;
use hyper::Response;
use hyper::http::request;
use rand::RngExt as _;
use tokio::time::Instant;

use crate::entry::clock;
use crate::entry::forward;
use crate::entry::notices;
use crate::entry::port;
use crate::entry::quarantine;
use crate::entry::refusal;
use crate::entry::relay;
use crate::entry::rollouts;
use crate::entry::state;

/// Minimum time before the deadline for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Range of the pause before a request that waits for room looks for it again, in milliseconds.
/// Reports of other instances' load arrive about as often.
const ROOM_CHECK_MS: std::ops::Range<u64> = 20..40;
/// Addition to that pause for each waiting request, which bounds the time that an instance spends on
/// looking to about a hundredth of a core.
const ROOM_CHECK_PER_WAITING: Duration = Duration::from_millis(4);
/// Number of waiting requests beyond which the next one is refused at once. With more, an instance
/// looks for room for each less than three times a second, and most would wait in vain.
const MAX_WAITING: u32 = 64;
/// Longest wait for an upstream to load the target version of its weights: a load takes about a
/// second with the requests that end before it.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(1_500);
/// Multiple of an idle engine's time to the first chunk that must be left of a request's time for
/// it to wait further.
const SERVICE_TIME_MARGIN: u32 = 2;

/// A request that the instance is forwarding.
pub struct Job<'a> {
    /// State that the tasks of the instance share.
    pub entry: &'a Rc<state::Entry>,
    /// The decoded fields of the request's head.
    pub head: &'a port::RequestHead,
    /// The route that matches the request's host and path.
    pub route: &'a routing::Route,
    /// The workspace of the caller's API key; `None` for an anonymous request.
    pub workspace: Option<&'a routing::Workspace>,
    /// The service that the route selects for the request.
    pub service: &'a routing::Service,
    /// The request's head as the caller sent it.
    pub parts: &'a request::Parts,
    /// The complete body.
    pub body: Bytes,
    /// When the request's head was read.
    pub started: Instant,
    /// When the response must be complete; `None` if nothing limits the request's time.
    pub deadline: Option<Instant>,
    /// Upstreams that were already chosen; they aren't chosen again.
    pub tried: Vec<id::Upstream>,
    /// Number of attempts that had a connection to send the request on.
    pub attempts: u32,
    /// Whether an upstream may have run the request without its response being forwarded.
    pub may_have_run: bool,
    /// How long the request has waited for an upstream with room.
    pub waited: Duration,
    /// Version of the weights on which the latest attempt may start; 0 without a prompt.
    pub expected_weights: u64,
    /// Whether a retry was already taken from the retry limit for the next attempt.
    pub has_retry: bool,
    /// Ids of the segments of the prompt that other requests may have as well.
    pub shared_segments: Rc<[u64]>,
}

/// A request that counts as waiting for room until this value is dropped, also if its caller leaves.
struct WaitingRequest<'a> {
    entry: &'a Rc<state::Entry>,
}

impl<'a> WaitingRequest<'a> {
    fn new(entry: &'a Rc<state::Entry>) -> Self {
        entry.waiting.set(entry.waiting.get() + 1);
        Self { entry }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.entry.waiting.set(self.entry.waiting.get().saturating_sub(1));
    }
}

/// The outcome of one attempt.
pub enum Outcome {
    /// The upstream's response, to be forwarded to the caller.
    Forwarded(Response<relay::Body>),
    /// The upstream did not run the request; with the reason.
    NotRun(String),
    /// Nothing was sent to the upstream; with the reason.
    NotSent(String),
    /// The upstream may have run the request, but there is no response to forward; with the reason.
    Unknown(code::Code, String),
    /// The request must not be sent to any upstream.
    Refused(refusal::Refusal),
    /// The request was sent and given up because it must not be run by any upstream.
    Withdrawn(refusal::Refusal),
}

impl Job<'_> {
    /// Attempts the request until there is a response or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns the instance's own error response.
    pub async fn run(mut self) -> Result<Response<relay::Body>, refusal::Refusal> {
        let result = self.run_attempts().await;
        // A later attempt that did not run proves nothing about an earlier one.
        let may_have_run = self.may_have_run;
        result.map_err(|refusal| if may_have_run { refusal.into_unknown() } else { refusal })
    }

    async fn run_attempts(&mut self) -> Result<Response<relay::Body>, refusal::Refusal> {
        let model = self.head.prompt.as_ref().map(|prompt| &prompt.model);
        quarantine::admit(self.entry, &self.service.id, model, &self.shared_segments)?;
        let mut last_reason = String::new();
        loop {
            if let Some(refusal) = self.entry.quarantine.check(&self.shared_segments) {
                return Err(refusal);
            }
            if self.time_left().is_some_and(|left| left < MIN_TIME_LEFT) {
                let reason = format!("no time left; {last_reason}");
                let code = code::Code::DeadlineUnreachable;
                return Err(refusal::Refusal::not_run(code, reason));
            }
            if self.head.api_key.is_some()
                && self.entry.staleness() == config_sync::Staleness::Expired
            {
                return Err(forward::configuration_stale(self.entry));
            }
            if !self.ends_before_exit() {
                return Err(self.refused_by_shutdown());
            }
            let (upstream, pending_prefill) = match self.choose_upstream() {
                Ok(choice) => choice,
                Err(unavailable) if self.may_wait(unavailable) => {
                    self.wait_for_room().await;
                    continue;
                }
                Err(unavailable) => return Err(self.unavailable(unavailable, &last_reason)),
            };
            match self.send(&upstream, pending_prefill).await {
                Outcome::Forwarded(response) => return Ok(response),
                Outcome::Refused(refusal) => return Err(refusal),
                Outcome::Withdrawn(refusal) => {
                    self.may_have_run = true;
                    return Err(refusal);
                }
                Outcome::NotSent(reason) => last_reason = reason,
                Outcome::NotRun(reason) => {
                    last_reason = reason;
                    if !self.take_retry() {
                        let code = code::Code::Overloaded;
                        let reason = format!("{upstream}: {last_reason}");
                        let refusal = refusal::Refusal::not_run(code, reason);
                        return Err(self.with_retry_after(refusal));
                    }
                }
                Outcome::Unknown(code, reason) => {
                    self.may_have_run = true;
                    let can_retry = self.route.retry_policy == routing::RetryPolicy::MayRunAgain
                        && !(code == code::Code::UpstreamBroken && self.is_suspect());
                    let is_last = self.attempts >= self.route.max_attempts;
                    if !can_retry || is_last || !self.take_retry() {
                        let reason = format!("{upstream}: {reason}");
                        return Err(refusal::Refusal::unknown(code, reason));
                    }
                    last_reason = reason;
                }
            }
            self.tried.push(upstream);
        }
    }

    /// Returns the time until the deadline; zero once it has passed.
    pub fn time_left(&self) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    /// Returns whether the request may be sent although the instance stops: it has to end before the
    /// instance exits.
    pub fn ends_before_exit(&self) -> bool {
        let Some(plan) = self.entry.shutdown.get() else {
            return true;
        };
        let now = clock::now();
        let ends_at = self.time_left().map(|left| now + Millis::from(left));
        let may_run_again = self.route.retry_policy == routing::RetryPolicy::MayRunAgain;
        plan.admits(ends_at, may_run_again, now)
    }

    /// Returns the refusal of a request that another instance can serve at once.
    pub fn refused_by_shutdown(&self) -> refusal::Refusal {
        let reason = "the instance stops before the request is certain to end";
        refusal::Refusal::not_run(code::Code::Draining, reason).with_retry_after(Duration::ZERO)
    }

    /// Waits until the next look for an upstream with room.
    async fn wait_for_room(&mut self) {
        let waiting = WaitingRequest::new(self.entry);
        let pause_ms = self.entry.rng.borrow_mut().random_range(ROOM_CHECK_MS);
        let by_waiting = ROOM_CHECK_PER_WAITING * self.entry.waiting.get();
        let pause = Duration::from_millis(pause_ms) + by_waiting;
        tokio::time::sleep(pause).await;
        drop(waiting);
        self.waited += pause;
    }

    /// Returns whether the request may wait for an upstream with room: as long as it could still be
    /// answered before its deadline and before the caller leaves, unless too many wait already or
    /// the instance stops. It does not wait for weights that take longer than usual to load, nor for
    /// a pause that ends too late.
    fn may_wait(&self, unavailable: balance::Unavailable) -> bool {
        let pause = match unavailable {
            balance::Unavailable::NoUpstream => return false,
            balance::Unavailable::OutdatedWeights if self.waited >= MAX_LOAD_WAIT => return false,
            balance::Unavailable::OutdatedWeights | balance::Unavailable::AtLimit => Duration::ZERO,
            balance::Unavailable::Paused(until) => until.since(clock::now()).into(),
        };
        if self.entry.waiting.get() >= MAX_WAITING || self.entry.stopping.is_cancelled() {
            return false;
        }
        let tokens = self.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
        let needed = Duration::from(balance::expected_first_chunk(tokens)) * SERVICE_TIME_MARGIN;
        let patience = self.route.caller_patience.map(Duration::from);
        let patience_left = patience.map(|p| p.saturating_sub(self.started.elapsed()));
        let needed = pause + needed;
        self.time_left().into_iter().chain(patience_left).all(|left| left > needed)
    }

    fn unavailable(&self, unavailable: balance::Unavailable, last: &str) -> refusal::Refusal {
        let (code, reason) = match unavailable {
            balance::Unavailable::NoUpstream => (code::Code::NoUpstream, "no upstream takes work"),
            balance::Unavailable::AtLimit => (code::Code::Overloaded, "upstreams are at limits"),
            balance::Unavailable::OutdatedWeights => {
                (code::Code::Overloaded, "upstreams have outdated weights")
            }
            balance::Unavailable::Paused(_) => {
                (code::Code::Overloaded, "all upstreams have asked for a pause")
            }
        };
        let waited_ms = self.waited.as_millis();
        let reason = format!("{reason}; waited {waited_ms} ms for room; {last}");
        self.with_retry_after(refusal::Refusal::not_run(code, reason))
    }

    /// Adds a retry delay to a refusal. It ends after the first of the service's upstreams may get
    /// requests again, if all of them have asked for a pause.
    fn with_retry_after(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        let mut refusal = forward::with_retry_after(self.entry, refusal);
        if let Some(left) = notices::pause_left(self.entry, &self.service.id) {
            refusal.retry_after = refusal.retry_after.map(|after| after + left);
        }
        refusal
    }

    /// Takes a retry for the next attempt from this instance's share of the retry limit, if one is
    /// left and none was taken before.
    fn take_retry(&mut self) -> bool {
        std::mem::take(&mut self.has_retry) || self.take_retry_from_limit()
    }

    /// Takes a retry from this instance's share of the retry limit, if one is left.
    fn take_retry_from_limit(&self) -> bool {
        let instances = self.entry.instance_count();
        let mut windows = self.entry.retry_windows.borrow_mut();
        windows.try_retry(&self.service.id, instances, clock::now())
    }

    /// Returns whether to give up on an upstream that has not responded for `waited`, in favour of
    /// another attempt, and takes the retry for that attempt.
    ///
    /// Without another upstream or a retry the request keeps waiting, since the upstream may still
    /// respond.
    pub fn gives_up_on(&mut self, id: &id::Upstream, waited: Millis) -> bool {
        if !self.is_overdue(id, waited) || !self.ends_before_exit() {
            return false;
        }
        self.tried.push(id.clone());
        let has_alternative = self.choose_upstream().is_ok();
        self.tried.pop();
        self.has_retry = has_alternative && self.take_retry();
        self.has_retry
    }

    /// Returns whether a response awaited for `waited` is overdue even under the upstream's load.
    pub fn is_overdue(&self, id: &id::Upstream, waited: Millis) -> bool {
        let upstreams = self.entry.upstreams.borrow();
        let Some(upstream) = upstreams.get(id) else {
            return true;
        };
        let is_silent = upstream.response(clock::now()) != balance::Response::Usual;
        is_silent || balance::is_overdue(waited, upstream.load())
    }

    /// Returns whether a segment of the prompt may be the reason for which an upstream broke the
    /// connection, so that a repeat could end another one.
    fn is_suspect(&self) -> bool {
        !self.entry.quarantine.may_repeat(&self.shared_segments)
    }

    /// Returns the workspaces with which the request shares cached segments by the newest
    /// configuration: its workspace may have become isolated since the request arrived.
    ///
    /// One that was isolated then may have been removed, and shares nothing in any case.
    pub fn cache_scope<'t>(&'t self, table: &'t routing::Table) -> prefix_cache::Scope<'t> {
        match self.workspace {
            Some(workspace) if workspace.is_isolated => {
                prefix_cache::Scope::Isolated(&workspace.id)
            }
            workspace => table.cache_scopes.scope(workspace.map(|workspace| &workspace.id)),
        }
    }

    fn choose_upstream(&self) -> Result<(id::Upstream, u64), balance::Unavailable> {
        let now = clock::now();
        let prompt = self.head.prompt.as_ref();
        let no_targets = weights::Targets::default();
        let targets = self.entry.target_versions.borrow();
        let targets = prompt.and_then(|prompt| targets.get(&prompt.model)).unwrap_or(&no_targets);
        let table = self.entry.table.borrow().clone();
        let cache_scope = table.as_ref().map(|table| self.cache_scope(table)).unwrap_or_default();
        let mut segments = Vec::new();
        let mut fetch_time = None;
        if let Some(prompt) = prompt {
            let shared = prompt.segments.split_last().map_or(&[][..], |(_, shared)| shared);
            segments.extend(shared.iter().map(|segment| (segment.id, segment.tokens)));
            if let Some(version) = targets.newest()
                && self.entry.may_fetch_segments()
            {
                let salt = prefix_cache::salt(&prompt.model, version, cache_scope);
                fetch_time =
                    self.entry.cache_stores.borrow().fetch_time(&salt, &prompt.segments, now);
            }
        }
        let requirements = balance::Requirements {
            service: self.service,
            model: prompt.map(|prompt| (&prompt.model, targets)),
            old_weights_limit: self.entry.old_weights_limit(),
            cache_scope,
            tokens: prompt.map_or(0, |prompt| prompt.tokens),
            segments: &segments,
            fetch_time,
            tried: &self.tried,
            software: rollout::Selection::Any,
        };
        let out_of_service = self.entry.out_of_service.borrow();
        let registered = self.entry.registered_instances();
        let cx = balance::Context {
            domain: &self.entry.settings.domain,
            out_of_service: &out_of_service,
            instance_count: self.entry.instance_count(),
            own_id: &self.entry.settings.instance,
            registered: &registered,
            is_load_delayed: self.entry.layout().role != membership::Role::Mesh,
        };
        let upstreams = self.entry.upstreams.borrow();
        rollouts::choose(self.entry, &self.service.id, |software| {
            let requirements = balance::Requirements { software, ..requirements };
            upstreams.choose(&requirements, &cx, now, &mut *self.entry.rng.borrow_mut())
        })
    }
}
