//! The queue of one service at one instance.

use std::collections::BTreeMap;

use derive_more::Display;
use rand::{Rng, RngExt as _};

use crate::admission_queue::forecast;
use crate::admission_queue::order;
use crate::admission_queue::share;
use crate::admission_queue::wake;
use crate::time::Millis;

/// Largest number of waiting requests, which bounds the time of a sweep.
pub const MAX_WAITING: usize = 256;
/// Part by which an accepted request's expected start may lie beyond its useful start before it is
/// refused after all. The estimate varies with single large requests.
const SWEEP_TOLERANCE: f64 = 0.5;
/// Time after the last request that had to wait, during which new ones still join the queue. It covers
/// a few reports.
const OVERLOAD_MEMORY: Millis = Millis(500);
/// Shortest delay after which a refused caller is asked to return, before jitter.
const MIN_RETRY_AFTER: Millis = Millis(250);
/// Longest delay after which a refused caller is asked to return, before jitter. The load is not
/// known further ahead.
const MAX_RETRY_AFTER: Millis = Millis(4_000);
/// Range of the factor that spreads the returns of refused callers.
const RETRY_JITTER: std::ops::Range<f64> = 0.6..1.6;

/// Number of a waiting request.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position(u64);

/// The reason why a request is refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// The work ahead of it leaves no room in time.
    #[display("queued work ahead")]
    QueuedWork,
    /// Its time was over before it had room.
    #[display("waited in vain")]
    WaitedInVain,
    /// The queue is full of requests that go before it.
    #[display("queue full")]
    QueueFull,
}

/// A refusal of a request that was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why it is refused.
    pub reason: Reason,
    /// Time after which the request would have started.
    pub expected_wait: Millis,
}

/// The requests that wait at one instance for room at the upstreams of one service.
#[derive(Debug, Default)]
pub struct Queue {
    entries: Vec<order::Entry>,
    next_number: u64,
    shares: BTreeMap<u8, share::WorkspaceShares>,
    credits: share::RankCredits,
    forecast: forecast::Forecast,
    /// When a request last had to wait.
    waited_at: Option<Millis>,
    freed: wake::Freed,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a new request has to join the queue: if others wait or did so until a moment
    /// ago, or if few upstreams have room.
    ///
    /// Between two reports the instances of a fleet see the same room. Under overload each of them
    /// would find it with an empty queue in turn, and together they would send far more than fits.
    pub fn is_overloaded(&self, now: Millis) -> bool {
        !self.is_empty()
            || self.forecast.capacity().is_scarce()
            || self.waited_at.is_some_and(|at| now.since(at) < OVERLOAD_MEMORY)
    }

    /// Returns the number of waiting requests of each rank.
    pub fn len_by_rank(&self) -> [usize; order::LOWEST_RANK as usize + 1] {
        let mut lengths = [0; order::LOWEST_RANK as usize + 1];
        for entry in &self.entries {
            lengths[usize::from(entry.request.rank)] += 1;
        }
        lengths
    }

    /// Sets the upstreams that may take requests.
    pub fn set_capacity(&mut self, capacity: forecast::Capacity) {
        self.forecast.set_capacity(capacity);
    }

    /// Records that a request of this instance has ended, after it held its seat for this time.
    pub fn record_freed(&mut self, held: Millis) {
        self.freed.record();
        self.forecast.record_held(held);
    }

    /// Adds a request, and returns its position with that of a less urgent one that has to leave the
    /// full queue for it.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is not expected to start in time.
    pub fn enter(
        &mut self,
        mut request: order::Request,
        now: Millis,
    ) -> Result<(Position, Option<Position>), Refusal> {
        request.rank = request.rank.min(order::LOWEST_RANK);
        self.forecast.advance(!self.is_empty(), now);
        if self.is_empty() {
            self.freed.clear();
        }
        let expected_wait = self.expected_wait(&request, now);
        let refuse = |reason| Err(Refusal { reason, expected_wait });
        if now >= request.latest_start {
            return refuse(Reason::WaitedInVain);
        }
        let useful = request.useful_start.min(request.latest_start);
        if !self.is_empty() && now + expected_wait > useful {
            return refuse(Reason::QueuedWork);
        }
        let mut displaced = None;
        if self.len() >= MAX_WAITING {
            let last = self.order(now).last().map(|index| &self.entries[*index]);
            match last {
                Some(last) if last.request.rank > request.rank => {
                    displaced = Some(Position(last.number));
                }
                _ => return refuse(Reason::QueueFull),
            }
        }
        if let Some(displaced) = displaced {
            self.remove(displaced);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.entries.push(order::Entry { number, request, queued_at: now, blocked_since: None });
        Ok((Position(number), displaced))
    }

    /// Removes a request that was refused or whose caller has left.
    pub fn leave(&mut self, position: Position, now: Millis) {
        self.forecast.advance(!self.is_empty(), now);
        self.remove(position);
    }

    /// Removes a request that has room, and returns its rank and how long it has waited.
    pub fn admit(
        &mut self,
        position: Position,
        wake_up: &mut wake::WakeUp,
        now: Millis,
    ) -> Option<(u8, Millis)> {
        self.forecast.advance(!self.is_empty(), now);
        let entry = self.remove(position)?;
        wake_up.record_admitted();
        let engine_ms = entry.request.work().engine_ms;
        let rank = entry.request.rank;
        self.forecast.record_admitted(rank, engine_ms);
        let shares = self.shares.entry(rank).or_default();
        shares.record(&entry.request.workspace, engine_ms);
        let entries = &self.entries;
        let is_waiting = |rank| entries.iter().any(|entry| entry.request.rank == rank);
        self.credits.record(rank, engine_ms, is_waiting);
        Some((rank, now.since(entry.queued_at)))
    }

    /// Records that a request was tried and had no room.
    pub fn record_blocked(&mut self, position: Position, wake_up: &mut wake::WakeUp, now: Millis) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.number == position.0) {
            entry.blocked_since.get_or_insert(now);
            self.waited_at = Some(now);
            wake_up.record_blocked(entry, now);
        }
    }

    /// Returns the request that is to be tried next, if any is in this wake-up.
    pub fn next(
        &mut self,
        wake_up: &mut wake::WakeUp,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Option<Position> {
        if !wake_up.may_continue() {
            return None;
        }
        let entry = self.first(|entry| wake_up.may_try(entry), now)?;
        let (number, engine_time) = (entry.number, entry.request.engine_time);
        let capacity = self.forecast.capacity();
        wake_up
            .claims(engine_time, &mut self.freed, &capacity, now, rng)
            .then_some(Position(number))
    }

    /// Returns the requests that have to be refused, because they would not start in time, with
    /// their ranks.
    pub fn sweep(&mut self, now: Millis) -> Vec<(Position, u8, Refusal)> {
        self.forecast.advance(!self.is_empty(), now);
        let mut refused = Vec::new();
        let mut ahead = forecast::Work::default();
        for index in self.order(now) {
            let entry = &self.entries[index];
            let request = &entry.request;
            let expected_wait = self.forecast.expected_wait(request.rank, ahead);
            let tolerated = Millis((expected_wait.0 as f64 / (1.0 + SWEEP_TOLERANCE)) as u64);
            let useful = request.useful_start.min(request.latest_start);
            let reason = if now >= request.latest_start {
                Reason::WaitedInVain
            } else if ahead.requests > 0.0 && now + tolerated > useful.max(now) {
                Reason::QueuedWork
            } else {
                ahead.add(request.work());
                continue;
            };
            let refusal = Refusal { reason, expected_wait };
            refused.push((Position(entry.number), request.rank, refusal));
        }
        refused
    }

    /// Returns the delay after which a refused caller is asked to return: when room is expected,
    /// spread by chance.
    pub fn retry_after(expected_wait: Millis, rng: &mut impl Rng) -> Millis {
        let delay = expected_wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Millis((delay.0 as f64 * rng.random_range(RETRY_JITTER)) as u64)
    }

    /// Returns the time until a request would start if it joined the queue now.
    pub fn expected_wait(&self, request: &order::Request, now: Millis) -> Millis {
        self.forecast.expected_wait(request.rank, self.ahead(request, now))
    }

    /// Returns the work that is expected to be admitted before a new request.
    fn ahead(&self, request: &order::Request, now: Millis) -> forecast::Work {
        let mut ahead = forecast::Work::default();
        // Work of the request's rank that does not return, by workspace.
        let mut others: BTreeMap<_, forecast::Work> = BTreeMap::new();
        let time_left = request.time_left(now);
        for entry in &self.entries {
            let other = &entry.request;
            let is_ahead = other.rank < request.rank
                || (other.rank == request.rank
                    && match (other.is_returning, request.is_returning) {
                        (true, false) => true,
                        (true, true) => other.time_left(now) <= time_left,
                        (false, true) => false,
                        (false, false) if other.workspace == request.workspace => {
                            other.time_left(now) <= time_left
                        }
                        (false, false) => {
                            others.entry(&other.workspace).or_default().add(other.work());
                            false
                        }
                    });
            if is_ahead {
                ahead.add(other.work());
            }
        }
        if others.is_empty() {
            return ahead;
        }
        let Some(shares) = self.shares.get(&request.rank) else {
            let own = self.own_ahead_ms(request, now);
            return add_fair(ahead, others.into_values().map(|work| (work, own)));
        };
        let own = self.own_ahead_ms(request, now) + shares.next(&request.workspace);
        let turns = others
            .into_iter()
            .map(|(workspace, work)| (work, (own - shares.next(workspace)).max(0.0)));
        add_fair(ahead, turns)
    }

    /// Returns the engine time of the request's own workspace until after its start.
    fn own_ahead_ms(&self, request: &order::Request, now: Millis) -> f64 {
        let time_left = request.time_left(now);
        let own = self.entries.iter().map(|entry| &entry.request).filter(|other| {
            other.rank == request.rank
                && other.workspace == request.workspace
                && !other.is_returning
                && other.time_left(now) <= time_left
        });
        own.map(|other| other.work().engine_ms).sum::<f64>() + request.work().engine_ms
    }

    /// Returns the first request in order of those that `includes` accepts.
    fn first(
        &self,
        includes: impl Fn(&order::Entry) -> bool,
        now: Millis,
    ) -> Option<&order::Entry> {
        let included = || self.entries.iter().filter(|entry| includes(entry));
        let top = included().map(|entry| entry.request.rank).min()?;
        for rank in top + 1..=order::LOWEST_RANK {
            let oldest = included().filter(|entry| entry.request.rank == rank);
            if let Some(oldest) = oldest.min_by_key(|entry| entry.number)
                && self.credits.admits(rank, oldest.request.work().engine_ms)
            {
                return Some(oldest);
            }
        }
        let of_rank = || included().filter(|entry| entry.request.rank == top);
        let returning = of_rank().filter(|entry| entry.request.is_returning);
        if let Some(first) = returning.min_by_key(|entry| entry.key(now)) {
            return Some(first);
        }
        let shares = self.shares.get(&top);
        let turn = |entry: &order::Entry| {
            shares.map_or(0.0, |shares| shares.next(&entry.request.workspace))
        };
        of_rank().min_by(|a, b| turn(a).total_cmp(&turn(b)).then(a.key(now).cmp(&b.key(now))))
    }

    /// Returns the indices of all requests in the order in which they are expected to be admitted,
    /// without the guaranteed shares of ranks.
    fn order(&self, now: Millis) -> Vec<usize> {
        let mut sorted: Vec<_> = (0..self.entries.len()).collect();
        sorted.sort_by_key(|index| self.entries[*index].key(now));
        // The virtual start of each request: its workspace's next turn after those before it.
        let mut next: BTreeMap<_, f64> = BTreeMap::new();
        let mut keyed = Vec::with_capacity(sorted.len());
        for index in sorted {
            let request = &self.entries[index].request;
            if request.is_returning {
                keyed.push((request.rank, 0, 0.0, index));
                continue;
            }
            let turn = next.entry((request.rank, &request.workspace)).or_insert_with(|| {
                let shares = self.shares.get(&request.rank);
                shares.map_or(0.0, |shares| shares.next(&request.workspace))
            });
            keyed.push((request.rank, 1, *turn, index));
            *turn += request.work().engine_ms;
        }
        keyed.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        keyed.into_iter().map(|(.., index)| index).collect()
    }

    fn remove(&mut self, position: Position) -> Option<order::Entry> {
        let index = self.entries.iter().position(|entry| entry.number == position.0)?;
        Some(self.entries.swap_remove(index))
    }
}

/// Adds the part of other workspaces' work that comes before a request, each limited to the engine
/// time in which that workspace's turn is before the request's.
fn add_fair(
    mut ahead: forecast::Work,
    others: impl Iterator<Item = (forecast::Work, f64)>,
) -> forecast::Work {
    for (work, turn_ms) in others {
        let part = (turn_ms / work.engine_ms.max(1.0)).min(1.0);
        ahead.add(forecast::Work {
            engine_ms: work.engine_ms * part,
            requests: work.requests * part,
            tokens: (work.tokens as f64 * part) as u64,
        });
    }
    ahead
}
