//! Waiting for an upstream with room, and the refusal of requests that find none.

use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::admission_queue;
use damaskdrift_core::balance;
use damaskdrift_core::code;
use damaskdrift_core::time::Millis;
use rand::RngExt as _;
use xxhash_rust::xxh3;

use crate::entry::admission;
use crate::entry::clock;
use crate::entry::forward;
use crate::entry::forward::job;
use crate::entry::notices;
use crate::entry::quarantine;
use crate::entry::refusal;
use crate::entry::state;

/// Range of the pause before a request without a prompt looks for an upstream again, in
/// milliseconds. Reports of other instances' load arrive about as often.
const ROOM_CHECK_MS: std::ops::Range<u64> = 20..40;
/// Addition to that pause for each waiting request, which bounds the time that an instance spends on
/// looking to about a hundredth of a core.
const ROOM_CHECK_PER_WAITING: Duration = Duration::from_millis(4);
/// Number of waiting requests beyond which the next one without a prompt is refused at once. With
/// more, an instance looks for room for each less than three times a second, and most would wait in
/// vain.
const MAX_WAITING_PLAIN: u32 = 64;
/// Longest wait for an upstream to load the target version of its weights: a load takes about a
/// second with the requests that end before it.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(1_500);
/// Multiple of an idle engine's time to the first chunk that must be left of a request's time for
/// it to wait further.
const SERVICE_TIME_MARGIN: u32 = 2;
/// Multiple of the target latency within which the first chunk has to be expected for a prompt to
/// join the queue. Later responses are worth less than the work that they delay.
const USEFUL_TARGETS: u32 = 2;
/// Time within which a first chunk is useful in any case: callers wait for that long, and a late
/// response is worth more to them than a refusal while few requests wait.
const MIN_USEFUL_TIME: Duration = Duration::from_secs(2);
/// Interval at which a waiting prompt checks whether it may still be served.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

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

impl job::Job<'_> {
    /// Returns whether the request has to wait for its turn before it looks for an upstream: only
    /// prompts queue, and none does while the instance stops.
    pub fn must_queue(&self) -> bool {
        self.head.prompt.is_some()
            && self.turn.is_none()
            && !self.entry.stopping.is_cancelled()
            && self.is_overloaded()
    }

    /// Returns whether other prompts wait or upstreams with room are scarce, or this one waits.
    fn is_overloaded(&self) -> bool {
        let capacity = || {
            self.with_requirements(|requirements, cx| {
                let upstreams = self.entry.upstreams.borrow();
                // The limit is for less urgent requests; the places that they leave are no room.
                let requirements = balance::Requirements { prefill_limit: None, ..*requirements };
                let (upstreams, with_room) = upstreams.count_room(&requirements, cx, clock::now());
                // Where load is known late, the instances share out the free places themselves.
                let with_room = if cx.is_load_delayed { upstreams } else { with_room };
                let engine = self.service.engine;
                admission_queue::Capacity {
                    upstreams,
                    with_room,
                    slots: engine.map_or(0, |engine| engine.slots),
                    kv_cache_tokens: engine.map_or(0, |engine| engine.capacity_tokens),
                    instances: cx.instance_count,
                }
            })
        };
        let is_overloaded = self.entry.admission.is_overloaded(&self.service.id, capacity);
        self.ticket.is_some() || is_overloaded
    }

    /// Waits in the queue until the request may look for an upstream, or until it has to check
    /// whether it may still be served.
    pub async fn wait_for_turn(&mut self, last: &str) -> Result<(), refusal::Refusal> {
        if self.ticket.is_none() {
            self.join_queue(last)?;
        }
        let Some(ticket) = &mut self.ticket else {
            return Ok(());
        };
        let waiting_since = tokio::time::Instant::now();
        let blamed = quarantine::blamed(self.entry.clone(), self.shared_segments.clone());
        let ended = tokio::select! {
            turn = ticket.turn() => Some(turn),
            refusal = blamed => return Err(refusal),
            () = self.entry.stopping.cancelled() => None,
            () = tokio::time::sleep(CHECK_INTERVAL) => None,
        };
        self.waited += waiting_since.elapsed();
        match ended {
            Some(Ok(turn)) => self.turn = Some(turn),
            Some(Err(refused)) => return Err(self.refused_by_queue(refused, last)),
            None if self.entry.stopping.is_cancelled() => self.ticket = None,
            None => {}
        }
        Ok(())
    }

    /// Waits until the next look for an upstream with room; a prompt joins the queue for it.
    pub async fn wait_for_room(&mut self, last: &str) -> Result<(), refusal::Refusal> {
        if self.head.prompt.is_some() {
            return match self.turn.take() {
                Some(turn) => {
                    turn.blocked();
                    Ok(())
                }
                None => self.join_queue(last),
            };
        }
        let waiting = WaitingRequest::new(self.entry);
        let pause_ms = self.entry.rng.borrow_mut().random_range(ROOM_CHECK_MS);
        let by_waiting = ROOM_CHECK_PER_WAITING * self.entry.waiting.get();
        let pause = Duration::from_millis(pause_ms) + by_waiting;
        tokio::time::sleep(pause).await;
        drop(waiting);
        self.waited += pause;
        Ok(())
    }

    /// Leaves the queue, if the request is in it, because an upstream has room for it.
    pub fn leave_queue(&mut self) {
        let turn = self.turn.take();
        if let Some(ticket) = self.ticket.take() {
            ticket.admitted(turn);
        }
    }

    fn join_queue(&mut self, last: &str) -> Result<(), refusal::Refusal> {
        let mut request = self.queued_request();
        request.is_returning =
            self.attempts > 0 || self.entry.admission.take_return(self.return_hash());
        match admission::Ticket::new(self.entry, &self.service.id, request) {
            Ok(ticket) => {
                self.ticket = Some(ticket);
                Ok(())
            }
            Err(refused) => Err(self.refused_by_queue(refused, last)),
        }
    }

    /// Returns the request as the queue sees it.
    fn queued_request(&self) -> admission_queue::Request {
        let now = clock::now();
        let tokens = self.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
        let engine_time = balance::expected_first_chunk(tokens);
        let elapsed = self.started.elapsed();
        let start = |until: Duration, needed: Duration| {
            now + Millis::from(until.saturating_sub(elapsed).saturating_sub(needed))
        };
        let target = Duration::from(self.route.target_latency);
        let patience = self.route.caller_patience.map(Duration::from);
        let until = self.deadline.map(|deadline| deadline.saturating_duration_since(self.started));
        let until = until.into_iter().chain(patience).min();
        let needed = Duration::from(engine_time);
        let longest = Duration::from_secs(3_600);
        admission_queue::Request {
            rank: self.rank(),
            workspace: self.workspace.map(|workspace| workspace.id.clone()),
            engine_time,
            tokens,
            is_returning: false,
            target_start: start(target, needed),
            useful_start: start((target * USEFUL_TARGETS).max(MIN_USEFUL_TIME), needed),
            latest_start: start(until.unwrap_or(longest), needed * SERVICE_TIME_MARGIN),
        }
    }

    /// Returns the urgency of the request by the newest configuration.
    pub fn rank(&self) -> u8 {
        let by_workspace = self.workspace.and_then(|workspace| workspace.priority);
        let table = self.entry.table.borrow();
        table.as_ref().map_or(0, |table| table.ranks.rank(by_workspace, self.route.priority))
    }

    /// Returns a hash of the request's workspace and id, by which its return is recognised.
    fn return_hash(&self) -> u64 {
        let workspace = self
            .workspace
            .map_or(0, |workspace| xxh3::xxh3_64_with_seed(workspace.id.as_str().as_bytes(), 1));
        xxh3::xxh3_64_with_seed(self.head.id.as_bytes(), workspace)
    }

    /// Remembers a prompt that was refused because of the load, so that it goes before new ones when
    /// it returns.
    pub fn record_refusal(&self, refusal: &refusal::Refusal) {
        if self.head.prompt.is_some()
            && refusal.code == code::Code::Overloaded
            && refusal.outcome == code::Outcome::NotRun
        {
            self.entry.admission.record_refused(self.return_hash());
        }
    }

    /// Returns whether the request may wait for an upstream with room: as long as it could still be
    /// answered before its deadline and before the caller leaves, unless the instance stops or too
    /// many without a prompt wait already. It does not wait for weights that take longer than usual
    /// to load, nor for a pause that ends too late.
    pub fn may_wait(&self, unavailable: balance::Unavailable) -> bool {
        let pause = match unavailable {
            balance::Unavailable::NoUpstream => return false,
            balance::Unavailable::OutdatedWeights if self.waited >= MAX_LOAD_WAIT => return false,
            balance::Unavailable::OutdatedWeights | balance::Unavailable::AtLimit => Duration::ZERO,
            balance::Unavailable::Paused(until) => until.since(clock::now()).into(),
        };
        let is_full = self.head.prompt.is_none() && self.entry.waiting.get() >= MAX_WAITING_PLAIN;
        if is_full || self.entry.stopping.is_cancelled() {
            return false;
        }
        let tokens = self.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
        let needed = Duration::from(balance::expected_first_chunk(tokens)) * SERVICE_TIME_MARGIN;
        let patience = self.route.caller_patience.map(Duration::from);
        let patience_left = patience.map(|p| p.saturating_sub(self.started.elapsed()));
        let needed = pause + needed;
        self.time_left().into_iter().chain(patience_left).all(|left| left > needed)
    }

    /// Returns the refusal of a request that no upstream can take.
    pub fn unavailable(&self, unavailable: balance::Unavailable, last: &str) -> refusal::Refusal {
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

    fn refused_by_queue(&self, refused: admission_queue::Refusal, last: &str) -> refusal::Refusal {
        let waited_ms = self.waited.as_millis();
        let expected_ms = refused.expected_wait.0;
        let reason = format!(
            "upstreams are at limits; waited {waited_ms} ms for room; {}, a start was expected \
             after {expected_ms} ms; {last}",
            refused.reason
        );
        let refusal = refusal::Refusal::not_run(code::Code::Overloaded, reason);
        let mut refusal = self.with_retry_after(refusal);
        let after = admission_queue::Queue::retry_after(
            refused.expected_wait,
            &mut *self.entry.rng.borrow_mut(),
        );
        refusal.retry_after = refusal.retry_after.max(Some(after.into()));
        refusal
    }

    /// Adds a retry delay to a refusal: the time when room is expected, if other prompts wait. It
    /// ends after the first of the service's upstreams may get requests again, if all of them have
    /// asked for a pause.
    pub fn with_retry_after(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        let mut refusal = forward::with_retry_after(self.entry, refusal);
        if self.head.prompt.is_some() && refusal.code == code::Code::Overloaded {
            let request = self.queued_request();
            let admission = &self.entry.admission;
            let after = admission.retry_after(self.entry, &self.service.id, &request);
            refusal.retry_after = refusal.retry_after.max(after);
        }
        if let Some(left) = notices::pause_left(self.entry, &self.service.id) {
            refusal.retry_after = refusal.retry_after.map(|after| after + left);
        }
        refusal
    }
}
