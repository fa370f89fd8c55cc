//! Prompts that wait for an upstream with room: one queue for each service, and the task that wakes
//! them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use damaskdrift_core::admission_queue;
use damaskdrift_core::admission_queue::{Position, Queue, Refusal, Request, WakeUp};
use damaskdrift_core::id;
use damaskdrift_core::time::Millis;
use rand::RngExt as _;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

use crate::entry::clock;
use crate::entry::state;

/// Interval between sweeps for requests that cannot start in time.
const SWEEP_INTERVAL: Millis = Millis(100);
/// Shortest interval between counts of the upstreams with room; reports arrive about as often.
const COUNT_INTERVAL: Millis = Millis(50);
/// Time for which requests have to wait, or not, before it is logged.
const LOGGED_AFTER: Millis = Millis(1_000);

/// Requests of all services that wait for an upstream with room.
#[derive(Debug, Default)]
pub struct Admission {
    queues: RefCell<BTreeMap<id::Service, ServiceQueue>>,
    returns: RefCell<admission_queue::Returns>,
    woken: Notify,
    waiting: Cell<usize>,
}

/// The queue of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    queue: Queue,
    signals: HashMap<Position, mpsc::UnboundedSender<Signal>>,
    /// When the upstreams with room were last counted.
    counted_at: Option<Millis>,
    overload: Overload,
}

/// A time during which requests of a service wait, for the log.
#[derive(Debug, Default)]
struct Overload {
    /// Since when requests wait, or since when none waits.
    changed_at: Millis,
    is_waiting: bool,
    is_logged: bool,
    admitted: u64,
    refused: u64,
}

/// What a waiting request is told.
#[derive(Debug)]
enum Signal {
    /// Look for an upstream, and tell the result.
    Try(Turn),
    /// The request does not start in time.
    Refuse(Refusal),
}

/// The result of a try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Tried {
    Admitted,
    Blocked,
}

/// Permission to look for an upstream. The task that wakes the queue waits until it is used or
/// dropped.
#[derive(Debug)]
pub struct Turn {
    result: oneshot::Sender<Tried>,
}

/// A request's place in the queue of its service, which it leaves when this value is dropped.
#[derive(Debug)]
pub struct Ticket {
    entry: Rc<state::Entry>,
    service: id::Service,
    position: Position,
    signals: mpsc::UnboundedReceiver<Signal>,
    is_admitted: bool,
}

impl Admission {
    /// Returns whether a new request of a service has to join its queue. `capacity` returns the
    /// state of the upstreams.
    pub fn is_overloaded(
        &self,
        service: &id::Service,
        capacity: impl FnOnce() -> admission_queue::Capacity,
    ) -> bool {
        let now = clock::now();
        let mut queues = self.queues.borrow_mut();
        if !queues.contains_key(service) {
            queues.insert(service.clone(), ServiceQueue::default());
        }
        let Some(queue) = queues.get_mut(service) else {
            return false;
        };
        if queue.counted_at.is_none_or(|at| now.since(at) >= COUNT_INTERVAL) {
            queue.counted_at = Some(now);
            queue.queue.set_capacity(capacity());
        }
        queue.queue.is_overloaded(now)
    }

    /// Wakes the queues, if any request waits, because upstreams may have room.
    pub fn wake(&self) {
        if self.waiting.get() > 0 {
            self.woken.notify_one();
        }
    }

    /// Records that a request of this instance to an upstream of a service has ended, after it held
    /// its seat for this time.
    pub fn record_freed(&self, service: &id::Service, held: Millis) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(service) {
            queue.queue.record_freed(held);
        }
        self.wake();
    }

    /// Records that the request with this hash was refused.
    pub fn record_refused(&self, hash: u64) {
        self.returns.borrow_mut().record_refused(hash, clock::now());
    }

    /// Returns whether the request with this hash returns after a refusal.
    pub fn take_return(&self, hash: u64) -> bool {
        self.returns.borrow_mut().take(hash, clock::now())
    }

    /// Returns the delay after which the caller of a request is asked to return while others wait;
    /// `None` if none waits.
    pub fn retry_after(
        &self,
        entry: &state::Entry,
        service: &id::Service,
        req: &Request,
    ) -> Option<Duration> {
        let queues = self.queues.borrow();
        let queue = queues.get(service).filter(|queue| !queue.queue.is_empty())?;
        let wait = queue.queue.expected_wait(req, clock::now());
        Some(Queue::retry_after(wait, &mut *entry.rng.borrow_mut()).into())
    }
}

impl Turn {
    /// Tells that the request found an upstream.
    pub fn admitted(self) {
        // The task that wakes the queues ends only with the process.
        let _ = self.result.send(Tried::Admitted);
    }

    /// Tells that no upstream has room for the request.
    pub fn blocked(self) {
        let _ = self.result.send(Tried::Blocked);
    }
}

impl Ticket {
    /// Adds a request to the queue of its service.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is not expected to start in time.
    pub fn new(
        entry: &Rc<state::Entry>,
        service: &id::Service,
        request: Request,
    ) -> Result<Self, Refusal> {
        let rank = request.rank;
        let mut queues = entry.admission.queues.borrow_mut();
        let queue = queues.entry(service.clone()).or_default();
        let (position, displaced) = match queue.queue.enter(request, clock::now()) {
            Ok(entered) => entered,
            Err(refusal) => {
                queue.record_refusal(rank, refusal.reason);
                return Err(refusal);
            }
        };
        if let Some(displaced) = displaced {
            let expected_wait = admission_queue::WAKE_INTERVAL;
            let reason = admission_queue::Reason::QueueFull;
            queue.refuse(displaced, Refusal { reason, expected_wait });
        }
        let (tx, signals) = mpsc::unbounded_channel();
        queue.signals.insert(position, tx);
        drop(queues);
        entry.waiting.set(entry.waiting.get() + 1);
        entry.admission.waiting.set(entry.admission.waiting.get() + 1);
        entry.admission.wake();
        let service = service.clone();
        Ok(Self { entry: entry.clone(), service, position, signals, is_admitted: false })
    }

    /// Waits until the request may look for an upstream.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request does not start in time.
    pub async fn turn(&mut self) -> Result<Turn, Refusal> {
        match self.signals.recv().await {
            Some(Signal::Try(turn)) => Ok(turn),
            Some(Signal::Refuse(refusal)) => Err(refusal),
            None => std::future::pending().await,
        }
    }

    /// Leaves the queue with an upstream found; `turn` is absent if the request was not woken.
    pub fn admitted(mut self, turn: Option<Turn>) {
        if let Some(turn) = turn {
            self.is_admitted = true;
            turn.admitted();
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.entry.waiting.set(self.entry.waiting.get().saturating_sub(1));
        let waiting = &self.entry.admission.waiting;
        waiting.set(waiting.get().saturating_sub(1));
        // The entry of an admitted request is removed by the task that woke it.
        if !self.is_admitted
            && let Some(queue) = self.entry.admission.queues.borrow_mut().get_mut(&self.service)
        {
            queue.signals.remove(&self.position);
            queue.queue.leave(self.position, clock::now());
        }
    }
}

impl ServiceQueue {
    /// Refuses a waiting request.
    fn refuse(&mut self, position: Position, refusal: Refusal) {
        if let Some(signals) = self.signals.remove(&position) {
            // A request that has just left needs no answer.
            let _ = signals.send(Signal::Refuse(refusal));
        }
    }

    fn record_refusal(&mut self, rank: u8, reason: admission_queue::Reason) {
        self.overload.refused += 1;
        let labels = [("rank", rank.to_string()), ("reason", reason.to_string())];
        metrics::counter!("queue_refusals", &labels).increment(1);
    }

    /// Refuses the requests that do not start in time.
    fn sweep(&mut self, now: Millis) {
        for (position, rank, refusal) in self.queue.sweep(now) {
            self.record_refusal(rank, refusal.reason);
            self.refuse(position, refusal);
        }
    }

    /// Logs the begin and the end of a time during which requests wait.
    fn log(&mut self, service: &id::Service, now: Millis) {
        let lengths = self.queue.len_by_rank();
        let is_waiting = !self.queue.is_empty();
        let overload = &mut self.overload;
        if overload.is_waiting != is_waiting {
            if is_waiting && !overload.is_logged {
                *overload = Overload::default();
            }
            overload.is_waiting = is_waiting;
            overload.changed_at = now;
        }
        if is_waiting == overload.is_logged || now.since(overload.changed_at) < LOGGED_AFTER {
            return;
        }
        overload.is_logged = is_waiting;
        let (admitted, refused) = (overload.admitted, overload.refused);
        if is_waiting {
            log::info!(service:%, by_rank:? = lengths; "requests wait for room");
            return;
        }
        log::info!(service:%, admitted, refused; "no request waits for room");
        *overload = Overload::default();
    }

    /// Returns whether the queue needs the timer, for its requests, or for the log and the metrics
    /// after the last one has left.
    fn is_active(&self) -> bool {
        !self.queue.is_empty() || self.overload.is_waiting || self.overload.is_logged
    }
}

/// Wakes the waiting requests until the process ends.
pub async fn run(entry: Rc<state::Entry>) {
    let mut woken_at = Instant::now();
    let mut swept_at = clock::now();
    loop {
        let is_active = entry.admission.queues.borrow().values().any(ServiceQueue::is_active);
        if is_active {
            // Random, so that instances that hear of the same room do not look for it at once.
            let interval = admission_queue::WAKE_INTERVAL.0;
            let pause = entry.rng.borrow_mut().random_range(interval / 2..=interval);
            let woken = entry.admission.woken.notified();
            // The end of the pause is as good a reason as a notice.
            let _ = tokio::time::timeout(Duration::from_millis(pause), woken).await;
            tokio::time::sleep_until(woken_at + admission_queue::WAKE_SPACING.into()).await;
        } else {
            entry.admission.woken.notified().await;
        }
        woken_at = Instant::now();
        let services: Vec<_> = entry.admission.queues.borrow().keys().cloned().collect();
        for service in &services {
            wake(&entry, service).await;
        }
        let now = clock::now();
        if now.since(swept_at) >= SWEEP_INTERVAL || entry.admission.waiting.get() == 0 {
            swept_at = now;
            sweep(&entry, &services, now);
        }
    }
}

/// Lets the first requests of a service look for an upstream, one after another.
async fn wake(entry: &state::Entry, service: &id::Service) {
    let mut wake_up = WakeUp::default();
    while let Some((position, signals)) = next(entry, service, &mut wake_up) {
        let (tx, rx) = oneshot::channel();
        let tried = match signals.send(Signal::Try(Turn { result: tx })) {
            Ok(()) => rx.await.ok(),
            Err(_) => None,
        };
        let now = clock::now();
        let mut queues = entry.admission.queues.borrow_mut();
        let Some(queue) = queues.get_mut(service) else {
            return;
        };
        match tried {
            Some(Tried::Admitted) => {
                queue.signals.remove(&position);
                queue.overload.admitted += 1;
                if let Some((rank, waited)) = queue.queue.admit(position, &mut wake_up, now) {
                    let rank = rank.to_string();
                    metrics::histogram!("queue_wait_seconds", "rank" => rank)
                        .record(waited.0 as f64 / 1_000.0);
                }
            }
            Some(Tried::Blocked) => queue.queue.record_blocked(position, &mut wake_up, now),
            None => wake_up.record_gone(),
        }
    }
}

/// Returns the request of a service that is to be tried next, if any is in this wake-up.
fn next(
    entry: &state::Entry,
    service: &id::Service,
    wake_up: &mut WakeUp,
) -> Option<(Position, mpsc::UnboundedSender<Signal>)> {
    let mut queues = entry.admission.queues.borrow_mut();
    let queue = queues.get_mut(service)?;
    let position = queue.queue.next(wake_up, clock::now(), &mut *entry.rng.borrow_mut())?;
    Some((position, queue.signals.get(&position)?.clone()))
}

/// Refuses the requests that do not start in time, and updates the metrics.
fn sweep(entry: &state::Entry, services: &[id::Service], now: Millis) {
    let mut queues = entry.admission.queues.borrow_mut();
    for service in services {
        let Some(queue) = queues.get_mut(service) else {
            continue;
        };
        queue.sweep(now);
        queue.log(service, now);
        for (rank, length) in queue.queue.len_by_rank().iter().enumerate() {
            let labels = [("service", service.to_string()), ("rank", rank.to_string())];
            metrics::gauge!("queue_length", &labels).set(*length as f64);
        }
    }
}
