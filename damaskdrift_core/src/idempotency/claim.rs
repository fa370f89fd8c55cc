//! Decisions of an attempt that claims a call.

use crate::id;
use crate::idempotency::call::{Call, CallAttempt, Claimed, Unclaimed};
use crate::idempotency::record::{Record, Response, State};
use crate::idempotency::release::Release;
use crate::idempotency::{Stored, WriteOutcome};
use crate::time::Millis;

/// Next step after a write of a claim or a read of the record.
#[derive(Debug)]
pub enum ClaimStep {
    /// This attempt holds the claim.
    Claimed(Call<Claimed>),
    /// The claim must be written, or its write retried.
    Write(Call<Unclaimed>),
    /// Another attempt holds the claim at this revision; wait for a newer revision.
    Wait(Call<Unclaimed>, id::Revision),
    /// The call is a duplicate, whose response follows from the record.
    Duplicate(Duplicate),
}

/// Result of a call whose key was used before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Duplicate {
    /// The recorded response is to be returned.
    Replay(Response),
    /// The call completed, but its response was too large to record.
    BodyNotRecorded {
        /// HTTP status of the response.
        status: u16,
    },
    /// The outcome of the call is unknown.
    Unknown {
        /// Cause, as text for the caller.
        reason: String,
    },
    /// The key was used for a different call.
    KeyReused,
}

impl Call<Unclaimed> {
    /// Creates the call of an attempt that has written nothing yet.
    pub fn new(attempt: CallAttempt) -> Self {
        let state =
            Unclaimed { expected: id::Revision(0), requested_at: None, may_take_effect: false };
        Self { attempt, state }
    }

    /// Returns the record of the claim to write.
    pub fn record(&self) -> Record {
        self.attempt.record(State::Claimed)
    }

    /// Returns the revision that the write expects.
    pub fn expected(&self) -> id::Revision {
        self.state.expected
    }

    /// Returns the next step after a write of the claim that was sent at `requested_at`.
    pub fn on_written(mut self, outcome: WriteOutcome<'_>, requested_at: Millis) -> ClaimStep {
        let requested_at = *self.state.requested_at.get_or_insert(requested_at);
        match outcome {
            WriteOutcome::Done(revision) => self.claimed(revision, requested_at),
            WriteOutcome::Refused => ClaimStep::Write(self),
            WriteOutcome::Lost => {
                self.state.may_take_effect = true;
                ClaimStep::Write(self)
            }
            WriteOutcome::Conflict(stored) => self.on_read(stored),
        }
    }

    /// Returns the next step after a read of the record.
    pub fn on_read(self, stored: Option<Stored<'_>>) -> ClaimStep {
        let Some(Stored { revision, value }) = stored else {
            return self.overwrite(id::Revision(0));
        };
        let Ok(record) = Record::decode(value) else {
            let reason = "the record cannot be read".to_owned();
            return ClaimStep::Duplicate(Duplicate::Unknown { reason });
        };
        if record.state == State::Released {
            return self.overwrite(revision);
        }
        if let (true, State::Claimed, Some(requested_at)) =
            (self.attempt.owns(&record), &record.state, self.state.requested_at)
        {
            // An earlier write took effect although its response was lost.
            return self.claimed(revision, requested_at);
        }
        if record.body_hash != self.attempt.body_hash {
            return ClaimStep::Duplicate(Duplicate::KeyReused);
        }
        match record.state {
            State::Claimed => ClaimStep::Wait(self, revision),
            State::Completed(response) => ClaimStep::Duplicate(Duplicate::Replay(response)),
            State::BodyNotRecorded { status } => {
                ClaimStep::Duplicate(Duplicate::BodyNotRecorded { status })
            }
            State::Unknown { reason } => ClaimStep::Duplicate(Duplicate::Unknown { reason }),
            State::Released => self.overwrite(revision),
        }
    }

    /// Abandons the attempt and returns the release to write if its claim may still take effect.
    pub fn abandon(self) -> Option<Release> {
        self.state.may_take_effect.then(|| Release::new(self.attempt, self.state.expected))
    }

    fn claimed(self, revision: id::Revision, requested_at: Millis) -> ClaimStep {
        ClaimStep::Claimed(Call {
            attempt: self.attempt,
            state: Claimed { revision, requested_at },
        })
    }

    fn overwrite(mut self, expected: id::Revision) -> ClaimStep {
        if expected != self.state.expected {
            // A write that expected the earlier revision can no longer take effect.
            let (requested_at, may_take_effect) = (None, false);
            self.state = Unclaimed { expected, requested_at, may_take_effect };
        }
        ClaimStep::Write(self)
    }
}
