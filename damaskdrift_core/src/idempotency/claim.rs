//! Decisions on claiming a call.

use crate::id;
use crate::idempotency::call::{Call, Claimed, Ticket, Unclaimed};
use crate::idempotency::record::{Answer, Record, State};
use crate::idempotency::release::Release;
use crate::idempotency::{Stored, Written};
use crate::time::Millis;

/// What follows a write of a claim or a look at the record.
#[derive(Debug)]
pub enum Claim {
    /// The claim is this attempt's.
    Won(Call<Claimed>),
    /// The claim must be written, or written again.
    Write(Call<Unclaimed>),
    /// Another attempt holds the claim, written at this revision; wait for a newer one.
    Wait(Call<Unclaimed>, id::Revision),
    /// The key was used before, which decides the answer.
    Repeat(Repeat),
}

/// Answer to a call whose key was used before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// The recorded answer.
    Replay(Answer),
    /// The call was answered with this status, but the body was too large to record.
    NotKept {
        /// HTTP status.
        status: u16,
    },
    /// The result of the call is not known.
    Unknown {
        /// Why it is not known.
        reason: String,
    },
    /// The key was used for another call.
    KeyReused,
}

impl Call<Unclaimed> {
    /// Creates an attempt.
    pub fn new(ticket: Ticket) -> Self {
        let state = Unclaimed { expected: id::Revision(0), asked: None, may_land: false };
        Self { ticket, state }
    }

    /// Returns the record to write.
    pub fn record(&self) -> Record {
        self.ticket.record(State::Claimed)
    }

    /// Returns the revision that the write expects.
    pub fn expected(&self) -> id::Revision {
        self.state.expected
    }

    /// Decides what follows a write of the claim that was asked for at `asked`.
    pub fn on_written(mut self, written: Written<'_>, asked: Millis) -> Claim {
        let asked = *self.state.asked.get_or_insert(asked);
        match written {
            Written::Done(revision) => self.won(revision, asked),
            Written::Refused => Claim::Write(self),
            Written::Lost => {
                self.state.may_land = true;
                Claim::Write(self)
            }
            Written::Conflict(stored) => self.on_observed(stored),
        }
    }

    /// Decides what follows a look at the record.
    pub fn on_observed(self, stored: Option<Stored<'_>>) -> Claim {
        let Some(Stored { revision, value }) = stored else {
            return self.write_over(id::Revision(0));
        };
        let Ok(record) = Record::decode(value) else {
            let reason = "the record cannot be read".to_owned();
            return Claim::Repeat(Repeat::Unknown { reason });
        };
        if record.state == State::Released {
            return self.write_over(revision);
        }
        if let (true, State::Claimed, Some(asked)) =
            (self.ticket.is_own(&record), &record.state, self.state.asked)
        {
            // An earlier write took effect although its answer was lost.
            return self.won(revision, asked);
        }
        if record.body_hash != self.ticket.body_hash {
            return Claim::Repeat(Repeat::KeyReused);
        }
        match record.state {
            State::Claimed => Claim::Wait(self, revision),
            State::Answered(answer) => Claim::Repeat(Repeat::Replay(answer)),
            State::UnknownBody { status } => Claim::Repeat(Repeat::NotKept { status }),
            State::Unknown { reason } => Claim::Repeat(Repeat::Unknown { reason }),
            State::Released => self.write_over(revision),
        }
    }

    /// Gives the attempt up; a claim that may still take effect must be released.
    pub fn abandon(self) -> Option<Release> {
        self.state.may_land.then(|| Release::new(self.ticket, self.state.expected))
    }

    fn won(self, revision: id::Revision, asked: Millis) -> Claim {
        Claim::Won(Call { ticket: self.ticket, state: Claimed { revision, asked } })
    }

    fn write_over(mut self, expected: id::Revision) -> Claim {
        if expected != self.state.expected {
            // A write that expected the earlier revision can no longer take effect.
            let (asked, may_land) = (None, false);
            self.state = Unclaimed { expected, asked, may_land };
        }
        Claim::Write(self)
    }
}
