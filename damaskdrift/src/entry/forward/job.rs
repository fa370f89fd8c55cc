//! The attempts to have one request answered.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use damaskdrift_core::balance;
use damaskdrift_core::code;
use damaskdrift_core::config_sync;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use hyper::Response;
use hyper::http::request;
use tokio::time::Instant;

use crate::entry::clock;
use crate::entry::forward;
use crate::entry::port;
use crate::entry::refusal;
use crate::entry::relay;
use crate::entry::state;

/// Time that must be left to send a request to an upstream.
const LEAST_LEFT: Duration = Duration::from_millis(5);
/// Time before the limit for older weights from which requests begin on the newest only.
const VERSION_MARGIN: Millis = Millis(700);

/// A request on its way through the instance.
pub struct Job<'a> {
    /// State of the instance.
    pub entry: &'a Rc<state::Entry>,
    /// The request as far as decisions depend on it.
    pub call: &'a port::RequestHead,
    /// Its route.
    pub route: &'a routing::Route,
    /// The workspace that holds its key.
    pub workspace: Option<&'a routing::Workspace>,
    /// The service that serves it.
    pub service: &'a routing::Service,
    /// Its head as the caller sent it.
    pub head: &'a request::Parts,
    /// Its body.
    pub body: Bytes,
    /// When its head was read.
    pub started: Instant,
    /// When its final answer is due.
    pub deadline: Option<Instant>,
    /// Upstreams that it was at.
    pub tried: Vec<id::Upstream>,
    /// How often a byte of it may have left.
    pub sends: u32,
    /// Whether a send may have run without its answer being passed on.
    pub may_have_run: bool,
}

/// What became of one send.
pub enum Outcome {
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
impl Job<'_> {
    /// Sends the request until it is answered or cannot be sent any more.
    ///
    /// # Errors
    ///
    /// Returns the answer that the instance gives itself.
    pub async fn run(mut self) -> Result<Response<relay::Body>, refusal::Refusal> {
        let result = self.attempt().await;
        // A later send that was refused says nothing of an earlier one.
        let may_have_run = self.may_have_run;
        result.map_err(|refusal| if may_have_run { refusal.into_unknown() } else { refusal })
    }

    async fn attempt(&mut self) -> Result<Response<relay::Body>, refusal::Refusal> {
        let mut last = String::new();
        loop {
            if self.left().is_some_and(|left| left < LEAST_LEFT) {
                let reason = format!("no time left; {last}");
                let code = code::Code::DeadlineUnreachable;
                return Err(refusal::Refusal::not_run(code, reason));
            }
            if self.call.api_key.is_some()
                && self.entry.staleness() == config_sync::Staleness::Expired
            {
                return Err(forward::stale(self.entry));
            }
            let (upstream, unread) = match self.choose() {
                Ok(choice) => choice,
                Err(unavailable) => return Err(self.unavailable(unavailable, &last)),
            };
            match self.send(&upstream, unread).await {
                Outcome::Answered(response) => return Ok(response),
                Outcome::Refused(refusal) => return Err(refusal),
                Outcome::Unreached(reason) => last = reason,
                Outcome::NotRun(reason) => {
                    last = reason;
                    if !self.may_repeat() {
                        let code = code::Code::Overloaded;
                        let reason = format!("{upstream}: {last}");
                        let refusal = refusal::Refusal::not_run(code, reason);
                        return Err(forward::come_back(self.entry, refusal));
                    }
                }
                Outcome::Unknown(code, reason) => {
                    self.may_have_run = true;
                    let can_repeat = self.route.retry_policy == routing::RetryPolicy::MayRunAgain;
                    let is_last = self.sends >= self.route.max_attempts;
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

    /// Returns the time until the final answer is due.
    pub fn left(&self) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    fn unavailable(&self, unavailable: balance::Unavailable, last: &str) -> refusal::Refusal {
        let (code, reason) = match unavailable {
            balance::Unavailable::NoUpstream => (code::Code::NoUpstream, "no upstream takes work"),
            balance::Unavailable::AtLimit(_) => (code::Code::Overloaded, "upstreams are at limits"),
        };
        let refusal = refusal::Refusal::not_run(code, format!("{reason}; {last}"));
        forward::come_back(self.entry, refusal)
    }

    /// Takes a repeat from the instance's share.
    fn may_repeat(&self) -> bool {
        let instances = self.entry.instance_count();
        let mut repeats = self.entry.retry_windows.borrow_mut();
        repeats.repeat(&self.service.id, instances, clock::now())
    }

    /// Returns the workspace if it shares kept parts with no other.
    pub fn isolated(&self) -> Option<&id::Workspace> {
        self.workspace.filter(|w| w.is_isolated).map(|w| &w.id)
    }

    fn choose(&self) -> Result<(id::Upstream, u64), balance::Unavailable> {
        let now = clock::now();
        let prompt = self.call.prompt.as_ref();
        let newest = prompt
            .and_then(|prompt| self.entry.target_versions.borrow().get(&prompt.model).copied());
        let mut parts = Vec::new();
        let mut fetch = None;
        if let Some(prompt) = prompt {
            let shared = prompt.segments.split_last().map_or(&[][..], |(_, shared)| shared);
            parts.extend(shared.iter().map(|part| (part.id, part.tokens)));
            if let Some((newest, _)) = newest {
                let salt = prefix_cache::salt(&prompt.model, newest, self.isolated());
                fetch = self.entry.cache_stores.borrow().fetch_time(&salt, &prompt.segments, now);
            }
        }
        let limit = self.entry.settings.version_limit - VERSION_MARGIN;
        let need = balance::Requirements {
            service: self.service,
            model: prompt.map(|prompt| (&prompt.model, newest)),
            requires_target_version: newest.is_some_and(|(_, learned)| now.since(learned) >= limit),
            isolated_workspace: self.isolated(),
            tokens: prompt.map_or(0, |prompt| prompt.tokens),
            segments: &parts,
            fetch_time: fetch,
            tried: &self.tried,
        };
        let out = self.entry.out_of_service.borrow();
        let registered = self.entry.live_instances();
        let view = balance::Context {
            domain: &self.entry.settings.domain,
            out_of_service: &out,
            live_instances: self.entry.instance_count(),
            own_id: &self.entry.settings.instance,
            registered: &registered,
        };
        let upstreams = self.entry.upstreams.borrow();
        upstreams.choose(&need, &view, now, &mut *self.entry.rng.borrow_mut())
    }
}
