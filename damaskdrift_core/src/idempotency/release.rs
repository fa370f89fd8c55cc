//! Gives a claim up that was never sent.

use crate::id;
use crate::idempotency::Written;
use crate::idempotency::call::Ticket;
use crate::idempotency::record::{Record, State};

/// The release of a claim. It also replaces the revision that a late claim would need.
#[derive(Debug)]
pub struct Release {
    ticket: Ticket,
    expected: id::Revision,
}

/// What follows a write of a release.
#[derive(Debug)]
pub enum Releasing {
    /// The claim is released and no late write can bring it back.
    Done,
    /// The write must be repeated.
    Retry(Release),
}

impl Release {
    pub(super) fn new(ticket: Ticket, expected: id::Revision) -> Self {
        Self { ticket, expected }
    }

    /// Returns the record to write.
    pub fn record(&self) -> Record {
        self.ticket.record(State::Released)
    }

    /// Returns the revision that the write expects.
    pub fn expected(&self) -> id::Revision {
        self.expected
    }

    /// Decides what follows a write of the release.
    pub fn on_written(mut self, written: Written<'_>) -> Releasing {
        match written {
            Written::Done(_) | Written::Conflict(None) => Releasing::Done,
            Written::Lost | Written::Refused => Releasing::Retry(self),
            Written::Conflict(Some(stored)) => match Record::decode(stored.value) {
                Ok(record) if self.ticket.is_own(&record) && record.state == State::Claimed => {
                    self.expected = stored.revision;
                    Releasing::Retry(self)
                }
                _ => Releasing::Done,
            },
        }
    }
}
