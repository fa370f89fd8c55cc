//! Evidence, from all instances together, of whether an upstream still sends anything.

use std::ops::AddAssign;

use crate::balance::choice;
use crate::time::Millis;

/// Time without a byte from an upstream after which it counts as silent, beyond the time that its
/// queue of prefill explains. It covers two reports through relays and the pauses of a sound stream.
const SILENCE_LIMIT: Millis = Millis(700);
/// Number of requests that must be waiting at an upstream for it to count as silent. A single one
/// may have been lost.
const MIN_WAITING: u32 = 2;
/// Time after the last evidence of silence for which an upstream gets no request at all. Discovery
/// removes an upstream that is down within a few seconds.
const SILENCE_HOLD: Millis = Millis(2_000);

/// When instances last received something from an upstream, and since when they have been waiting.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Contact {
    /// When a byte last arrived; `None` if none has.
    pub heard_at: Option<Millis>,
    /// Since when a request has been in flight without interruption; `None` if none is.
    pub waiting_since: Option<Millis>,
}

/// Whether an upstream responds, as far as the evidence of all instances shows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Response {
    /// Nothing shows that the upstream is silent.
    #[default]
    Usual,
    /// The upstream is silent and gets no requests.
    Silent,
    /// The upstream was silent and has sent nothing since; a few requests show whether it is back.
    Probed,
}

/// The evidence that an upstream is silent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    /// When the evidence first showed that the upstream is silent.
    since: Option<Millis>,
    /// Until when the upstream gets no requests.
    until: Millis,
}

/// Combines the contacts of several instances: the latest byte and the longest wait.
///
/// The longest wait counts because instances that have just sent a request know nothing yet.
impl AddAssign for Contact {
    fn add_assign(&mut self, other: Self) {
        self.heard_at = self.heard_at.max(other.heard_at);
        self.waiting_since = match (self.waiting_since, other.waiting_since) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
    }
}

impl Contact {
    /// Returns how long requests have been waiting without a byte from the upstream.
    pub fn silent_for(&self, now: Millis) -> Millis {
        let Some(waiting_since) = self.waiting_since else {
            return Millis(0);
        };
        now.since(self.heard_at.map_or(waiting_since, |heard_at| heard_at.max(waiting_since)))
    }
}

impl Silence {
    /// Updates the state from the requests in flight, their prompt tokens still to be prefilled and
    /// the contacts of all instances.
    pub fn update(&mut self, in_flight: u32, pending_prefill: u64, contact: Contact, now: Millis) {
        let queue = choice::expected_first_chunk(pending_prefill);
        let limit = SILENCE_LIMIT + queue;
        if in_flight >= MIN_WAITING && contact.silent_for(now) >= limit {
            self.since.get_or_insert(now);
            self.until = now + SILENCE_HOLD;
            return;
        }
        // Only a byte proves that the upstream is back; a new request proves nothing.
        if self.since.is_some_and(|since| contact.heard_at > Some(since)) {
            *self = Self::default();
        }
    }

    /// Returns whether the upstream responds.
    pub fn response(&self, now: Millis) -> Response {
        match self.since {
            None => Response::Usual,
            Some(_) if now < self.until => Response::Silent,
            Some(_) => Response::Probed,
        }
    }
}
