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
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::entry::admission;
use crate::entry::clock;
use crate::entry::forward;
use crate::entry::port;
use crate::entry::quarantine;
use crate::entry::refusal;
use crate::entry::relay;
use crate::entry::rollouts;
use crate::entry::state;

/// Minimum time before the deadline for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

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
    /// The request's place in the queue of its service, while it waits there.
    pub ticket: Option<admission::Ticket>,
    /// Permission to look for an upstream ahead of the other waiting requests.
    pub turn: Option<admission::Turn>,
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
        if let Err(refusal) = &result {
            self.record_refusal(refusal);
        }
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
            if self.must_queue() {
                self.wait_for_turn(&last_reason).await?;
                continue;
            }
            let (upstream, pending_prefill) = match self.choose_upstream() {
                Ok(choice) => choice,
                Err(unavailable) if self.may_wait(unavailable) => {
                    self.wait_for_room(&last_reason).await?;
                    continue;
                }
                Err(unavailable) => return Err(self.unavailable(unavailable, &last_reason)),
            };
            self.leave_queue();
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

    /// Returns how many prompt tokens an engine may still have to prefill when the request is sent
    /// there; `None` for the most urgent requests, which engines run before those in their queue.
    fn prefill_limit(&self) -> Option<u64> {
        let table = self.entry.table.borrow();
        let urgent = table.as_ref()?.most_urgent(&self.service.id)?;
        let is_most_urgent = self.route.priority <= urgent.priority;
        (!is_most_urgent).then(|| balance::prefill_limit(urgent.target_latency))
    }

    /// Returns the upstream that the request may use, in view of the instances that choose at the
    /// same time.
    fn take_place(
        &self,
        choice: balance::Choice,
        now: Millis,
        rng: &mut ChaCha8Rng,
    ) -> Result<(id::Upstream, u64), balance::Unavailable> {
        let is_load_delayed = self.entry.layout().role != membership::Role::Mesh;
        if self.service.engine.is_none() || self.head.prompt.is_none() || !is_load_delayed {
            return Ok(choice.best);
        }
        let instances = self.entry.instance_count();
        let mut shares = self.entry.place_shares.borrow_mut();
        match shares.take(self.rank(), choice.free_places, instances, now, rng) {
            balance::Grant::Best => Ok(choice.best),
            balance::Grant::Any => Ok(choice.sampled),
            balance::Grant::None => Err(balance::Unavailable::AtLimit),
        }
    }

    fn choose_upstream(&self) -> Result<(id::Upstream, u64), balance::Unavailable> {
        self.with_requirements(|requirements, cx| {
            let upstreams = self.entry.upstreams.borrow();
            rollouts::choose(self.entry, &self.service.id, |software| {
                let requirements = balance::Requirements { software, ..*requirements };
                let rng = &mut *self.entry.rng.borrow_mut();
                let now = clock::now();
                let choice = upstreams.candidates(&requirements, cx, now, rng)?;
                self.take_place(choice, now, rng)
            })
        })
    }

    /// Calls a function with what the request requires of its upstream, and the context of the
    /// choice.
    pub fn with_requirements<T>(
        &self,
        call: impl FnOnce(&balance::Requirements<'_>, &balance::Context<'_>) -> T,
    ) -> T {
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
                let upstreams = self.entry.upstreams.borrow();
                let pending = |store: &id::Upstream| upstreams.fetching(store);
                let engine = self.service.engine.as_ref();
                let stores = self.entry.cache_stores.borrow();
                fetch_time = stores.fetch_time(&salt, &prompt.segments, engine, pending, now);
            }
        }
        let requirements = balance::Requirements {
            service: self.service,
            model: prompt.map(|prompt| (&prompt.model, targets)),
            old_weights_limit: self.entry.old_weights_limit(),
            cache_scope,
            tokens: prompt.map_or(0, |prompt| prompt.tokens),
            segments: &segments,
            fetch_time: fetch_time.as_ref(),
            tried: &self.tried,
            software: rollout::Selection::Any,
            prefill_limit: self.prefill_limit(),
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
        call(&requirements, &cx)
    }
}
