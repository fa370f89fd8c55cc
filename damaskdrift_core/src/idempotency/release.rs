//! Release of the claim of a call that was never sent.

use crate::id;
use crate::idempotency::WriteOutcome;
use crate::idempotency::call::CallAttempt;
use crate::idempotency::record::{Record, State};

/// Release of a claim.
///
/// Writing it also changes the revision, so that a delayed write of the claim fails.
#[derive(Debug)]
pub struct Release {
    attempt: CallAttempt,
    expected: id::Revision,
}

/// Next step after a write of a release.
#[derive(Debug)]
pub enum ReleaseStep {
    /// The claim is released, and no delayed write can restore it; or the key holds another
    /// attempt's record, a value that cannot be decoded, or nothing.
    Done,
    /// The write must be retried.
    Retry(Release),
}

impl Release {
    pub(super) fn new(attempt: CallAttempt, expected: id::Revision) -> Self {
        Self { attempt, expected }
    }

    /// Returns the record of the release to write.
    pub fn record(&self) -> Record {
        self.attempt.record(State::Released)
    }

    /// Returns the revision that the write expects.
    pub fn expected(&self) -> id::Revision {
        self.expected
    }

    /// Returns the next step after a write of the release.
    pub fn on_written(mut self, outcome: WriteOutcome<'_>) -> ReleaseStep {
        match outcome {
            WriteOutcome::Done(_) | WriteOutcome::Conflict(None) => ReleaseStep::Done,
            WriteOutcome::Lost | WriteOutcome::Refused => ReleaseStep::Retry(self),
            WriteOutcome::Conflict(Some(stored)) => match Record::decode(stored.value) {
                Ok(record) if self.attempt.owns(&record) && record.state == State::Claimed => {
                    self.expected = stored.revision;
                    ReleaseStep::Retry(self)
                }
                _ => ReleaseStep::Done,
            },
        }
    }
}
