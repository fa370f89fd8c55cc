//! Typestate of a call: unclaimed, claimed, sent, answered.

use crate::code;
use crate::id;
use crate::idempotency::record::{Answer, Attempt, BodyHash, Record, State};
use crate::idempotency::release::Release;
use crate::idempotency::{SEND_WITHIN, Stored, Written};
use crate::time::Millis;

/// Identifies an attempt and what it asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The attempt.
    pub attempt: Attempt,
    /// The instance of the attempt.
    pub instance: id::Instance,
    /// What the call asks for.
    pub body_hash: BodyHash,
}

/// One attempt to run a call at most once.
#[derive(Debug)]
pub struct Call<S> {
    pub(super) ticket: Ticket,
    pub(super) state: S,
}

/// No claim is known to be written.
#[derive(Debug)]
pub struct Unclaimed {
    /// Revision that the claim expects.
    pub(super) expected: id::Revision,
    /// When the claim that may take effect was first asked for.
    pub(super) asked: Option<Millis>,
    /// Whether a claim may have taken effect or still do so.
    pub(super) may_land: bool,
}

/// The claim is written and nothing is sent.
#[derive(Debug)]
pub struct Claimed {
    pub(super) revision: id::Revision,
    /// When the claim was asked for, before its retention began.
    pub(super) asked: Millis,
}

/// A byte of the call may have reached a service.
#[derive(Debug)]
pub struct Sent {
    claimed: Claimed,
}

/// The result is known, or it is known that it cannot be.
#[derive(Debug)]
pub struct Answered {
    expected: id::Revision,
    state: State,
}

/// What follows a write of the result.
#[derive(Debug)]
pub enum Recording {
    /// The result is recorded.
    Done,
    /// The write must be repeated.
    Retry(Call<Answered>),
    /// Another attempt holds the key, which only a lost record explains.
    Superseded,
}

impl Ticket {
    pub(super) fn record(&self, state: State) -> Record {
        Record {
            attempt: self.attempt.clone(),
            instance: self.instance.clone(),
            body_hash: self.body_hash.clone(),
            state,
        }
    }

    pub(super) fn is_own(&self, record: &Record) -> bool {
        record.attempt == self.attempt
    }
}

impl Call<Claimed> {
    /// Allows the call to be sent.
    ///
    /// # Errors
    ///
    /// Returns the claim unsent when it was asked for too long ago.
    pub fn send(self, now: Millis) -> Result<Call<Sent>, Self> {
        if self.is_old(now) {
            return Err(self);
        }
        Ok(Call { ticket: self.ticket, state: Sent { claimed: self.state } })
    }

    /// Gives the claim up; this attempt has sent nothing. The outcome is what the caller may be
    /// told: with an old claim it is unknown, because another attempt may have claimed the expired
    /// key and run the call.
    pub fn release(self, now: Millis) -> (Release, code::Outcome) {
        let outcome = if self.is_old(now) { code::Outcome::Unknown } else { code::Outcome::NotRun };
        (Release::new(self.ticket, self.state.revision), outcome)
    }

    fn is_old(&self, now: Millis) -> bool {
        now.since(self.state.asked) > SEND_WITHIN
    }
}

impl Call<Sent> {
    /// Takes the call back to its claim, on proof that no byte was written.
    pub fn unsent(self) -> Call<Claimed> {
        Call { ticket: self.ticket, state: self.state.claimed }
    }

    /// Takes the service's answer.
    pub fn answered(self, answer: Answer) -> Call<Answered> {
        if !answer.fits() {
            return self.settle(State::UnknownBody { status: answer.status });
        }
        self.settle(State::Answered(answer))
    }

    /// Takes note that the result cannot be known.
    pub fn broken(self, reason: &str) -> Call<Answered> {
        self.settle(State::Unknown { reason: reason.to_owned() })
    }

    fn settle(self, state: State) -> Call<Answered> {
        let expected = self.state.claimed.revision;
        Call { ticket: self.ticket, state: Answered { expected, state } }
    }
}

impl Call<Answered> {
    /// Returns the record to write.
    pub fn record(&self) -> Record {
        self.ticket.record(self.state.state.clone())
    }

    /// Returns the revision that the write expects.
    pub fn expected(&self) -> id::Revision {
        self.state.expected
    }

    /// Decides what follows a write of the record.
    pub fn on_written(mut self, written: Written<'_>) -> Recording {
        match written {
            Written::Done(_) => Recording::Done,
            Written::Lost | Written::Refused => Recording::Retry(self),
            Written::Conflict(None) => {
                // The service lost the claim; the result is worth keeping all the same.
                self.state.expected = id::Revision(0);
                Recording::Retry(self)
            }
            Written::Conflict(Some(stored)) => self.on_conflict(stored),
        }
    }

    fn on_conflict(mut self, stored: Stored<'_>) -> Recording {
        let Ok(record) = Record::decode(stored.value) else {
            return Recording::Superseded;
        };
        if !self.ticket.is_own(&record) {
            return Recording::Superseded;
        }
        if record.state == State::Claimed {
            self.state.expected = stored.revision;
            return Recording::Retry(self);
        }
        Recording::Done
    }
}
