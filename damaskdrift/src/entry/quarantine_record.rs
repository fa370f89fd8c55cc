//! The durable record of quarantined segments in the platform store.

use std::cell::RefCell;
use std::rc::Rc;

use damaskdrift_core::quarantine;
use damaskdrift_core::time::Millis;

use crate::entry::clock;
use crate::entry::leadership;
use crate::entry::quarantine as segments;
use crate::entry::state;

/// Pause after each write. Segments that are blamed for the same crashes are then written together.
const WRITE_PAUSE: Millis = Millis(500);

/// What an instance knows of the record.
#[derive(Debug, Default)]
pub struct QuarantineRecord {
    recorder: RefCell<quarantine::Recorder>,
}

/// Applies a version of the record, or its removal.
pub fn apply(entry: &state::Entry, record: Option<&quarantine::Record>) {
    entry.quarantine_record.recorder.borrow_mut().observe(record);
    // A removal lifts nothing: the leader writes the record again while segments are in quarantine.
    let Some((revision, blames)) = record.and_then(|r| Some((r.revision, r.blames.as_deref()?)))
    else {
        return;
    };
    log::info!(revision, segments = blames.len(); "quarantine record read");
    entry.quarantine.ledger().borrow_mut().restore(blames, clock::now());
    segments::update(entry);
}

/// Writes the record while this instance is the leader.
#[derive(Debug, Default)]
pub struct Driver {
    /// When the record may be written next.
    next_write: Millis,
}

impl Driver {
    /// Writes the record if the set of quarantined segments has changed.
    pub async fn tick(&mut self, entry: &Rc<state::Entry>, lease: &leadership::HeldLease) {
        let now = clock::now();
        if now < self.next_write || !lease.is_valid(now) {
            return;
        }
        let recorder = &entry.quarantine_record.recorder;
        let due = recorder.borrow().due(&entry.quarantine.ledger().borrow(), now);
        let Some((known, blames)) = due else {
            return;
        };
        let written = entry.port.put_quarantine(&blames, known, lease.fence).await;
        self.next_write = clock::now() + WRITE_PAUSE;
        let (segments, fence) = (blames.len(), lease.fence);
        match written {
            Ok(Some(revision)) => {
                let record = quarantine::Record { revision, blames: Some(blames) };
                recorder.borrow_mut().observe(Some(&record));
                metrics::counter!("quarantine_record_writes").increment(1);
                log::info!(segments, revision, fence:%; "quarantine record written");
            }
            Ok(None) => {
                log::info!(known, fence:%; "quarantine record not written; another one is newer");
            }
            Err(error) => {
                log::warn!(segments, cause:% = error; "quarantine record not written");
            }
        }
    }
}
