//! States of a call as types: unclaimed, claimed, sent and resolved.

use crate::code;
use crate::id;
use crate::idempotency::record::{AttemptId, BodyHash, Record, Response, State};
use crate::idempotency::release::Release;
use crate::idempotency::{MAX_CLAIM_AGE, Stored, WriteOutcome};
use crate::time::Millis;

/// Identity of an attempt and of the call that it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAttempt {
    /// Unique id of the attempt.
    pub attempt: AttemptId,
    /// Instance that makes the attempt.
    pub instance: id::Instance,
    /// Hash of the call, which reveals a key that is used for different calls.
    pub body_hash: BodyHash,
}

/// One attempt to run a call at most once, in the state `S`.
#[derive(Debug)]
pub struct Call<S> {
    pub(super) attempt: CallAttempt,
    pub(super) state: S,
}

/// State of a call whose claim is not known to be written.
#[derive(Debug)]
pub struct Unclaimed {
    /// Revision that the write of the claim expects.
    pub(super) expected: id::Revision,
    /// Time of the first write of the claim at this revision.
    pub(super) requested_at: Option<Millis>,
    /// Whether an earlier write of the claim may have taken effect or may still do so.
    pub(super) may_take_effect: bool,
}

/// State of a claimed call before any byte of it is sent.
#[derive(Debug)]
pub struct Claimed {
    pub(super) revision: id::Revision,
    /// Time at which the claim was requested, before its retention began.
    pub(super) requested_at: Millis,
}

/// State of a call after the service may have received a byte of it.
#[derive(Debug)]
pub struct Sent {
    claimed: Claimed,
}

/// State of a call whose outcome is final: a response, or an outcome that cannot be determined.
#[derive(Debug)]
pub struct Resolved {
    expected: id::Revision,
    state: State,
}

/// Next step after a write of the outcome.
#[derive(Debug)]
pub enum RecordStep {
    /// The outcome is recorded.
    Done,
    /// The write must be retried.
    Retry(Call<Resolved>),
    /// The key holds another attempt's record, which happens only after the claim's record was
    /// lost, or a value that cannot be decoded.
    Superseded,
}

impl CallAttempt {
    pub(super) fn record(&self, state: State) -> Record {
        Record {
            attempt: self.attempt.clone(),
            instance: self.instance.clone(),
            body_hash: self.body_hash.clone(),
            state,
        }
    }

    pub(super) fn owns(&self, record: &Record) -> bool {
        record.attempt == self.attempt
    }
}

impl Call<Claimed> {
    /// Permits the call to be sent.
    ///
    /// # Errors
    ///
    /// Returns the claimed call when its claim is older than [`MAX_CLAIM_AGE`].
    pub fn send(self, now: Millis) -> Result<Call<Sent>, Self> {
        if self.is_claim_too_old(now) {
            return Err(self);
        }
        Ok(Call { attempt: self.attempt, state: Sent { claimed: self.state } })
    }

    /// Abandons the claim of a call that was not sent, and returns the outcome to report.
    ///
    /// With an old claim the outcome is unknown, because the record may have expired and another
    /// attempt may have claimed the key and run the call.
    pub fn release(self, now: Millis) -> (Release, code::Outcome) {
        let outcome =
            if self.is_claim_too_old(now) { code::Outcome::Unknown } else { code::Outcome::NotRun };
        (Release::new(self.attempt, self.state.revision), outcome)
    }

    fn is_claim_too_old(&self, now: Millis) -> bool {
        now.since(self.state.requested_at) > MAX_CLAIM_AGE
    }
}

impl Call<Sent> {
    /// Returns to the claimed state when it is certain that no byte was written.
    pub fn into_unsent(self) -> Call<Claimed> {
        Call { attempt: self.attempt, state: self.state.claimed }
    }

    /// Resolves the call with the service's response.
    pub fn completed(self, response: Response) -> Call<Resolved> {
        if !response.is_recordable() {
            return self.resolve(State::BodyNotRecorded { status: response.status });
        }
        self.resolve(State::Completed(response))
    }

    /// Resolves the call with an unknown outcome, for instance after a broken connection.
    pub fn outcome_unknown(self, reason: &str) -> Call<Resolved> {
        self.resolve(State::Unknown { reason: reason.to_owned() })
    }

    fn resolve(self, state: State) -> Call<Resolved> {
        let expected = self.state.claimed.revision;
        Call { attempt: self.attempt, state: Resolved { expected, state } }
    }
}

impl Call<Resolved> {
    /// Returns the record of the outcome to write.
    pub fn record(&self) -> Record {
        self.attempt.record(self.state.state.clone())
    }

    /// Returns the revision that the write expects.
    pub fn expected(&self) -> id::Revision {
        self.state.expected
    }

    /// Returns the next step after a write of the record.
    pub fn on_written(mut self, outcome: WriteOutcome<'_>) -> RecordStep {
        match outcome {
            WriteOutcome::Done(_) => RecordStep::Done,
            WriteOutcome::Lost | WriteOutcome::Refused => RecordStep::Retry(self),
            WriteOutcome::Conflict(None) => {
                // The key-value service lost the claim; record the outcome anyway, for duplicates.
                self.state.expected = id::Revision(0);
                RecordStep::Retry(self)
            }
            WriteOutcome::Conflict(Some(stored)) => self.on_conflict(stored),
        }
    }

    fn on_conflict(mut self, stored: Stored<'_>) -> RecordStep {
        let Ok(record) = Record::decode(stored.value) else {
            return RecordStep::Superseded;
        };
        if !self.attempt.owns(&record) {
            return RecordStep::Superseded;
        }
        if record.state == State::Claimed {
            self.state.expected = stored.revision;
            return RecordStep::Retry(self);
        }
        RecordStep::Done
    }
}
