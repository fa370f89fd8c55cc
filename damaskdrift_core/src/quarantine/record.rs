//! The durable record of quarantined segments, which outlasts a restart of the whole fleet.

use std::collections::BTreeSet;

use crate::quarantine::ledger;
use crate::time::Millis;

/// A quarantined segment as it is recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordedBlame {
    /// The segment.
    pub segment: u64,
    /// Number of crashes that it explains.
    pub crashes: u32,
    /// Time that was left of the quarantine when the record was written. A time on a clock would
    /// mean nothing to a machine that started later or whose clock was set.
    pub hold: Millis,
}

/// A version of the record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Revision under which it is stored.
    pub revision: u64,
    /// The quarantined segments; `None` if the stored value cannot be decoded.
    pub blames: Option<Vec<RecordedBlame>>,
}

/// Decides when the record must be written.
#[derive(Debug, Default)]
pub struct Recorder {
    /// Newest known revision; 0 if there is no record.
    revision: u64,
    /// Segments in the newest known version; `None` if it cannot be decoded.
    segments: Option<BTreeSet<u64>>,
}

impl Recorder {
    /// Records the newest version of the record, or that there is none.
    pub fn observe(&mut self, record: Option<&Record>) {
        let Some(record) = record else {
            *self = Self::default();
            return;
        };
        if record.revision < self.revision {
            return;
        }
        self.revision = record.revision;
        self.segments = record.blames.as_deref().map(segments);
    }

    /// Returns the revision to replace and the new content, if the set of quarantined segments has
    /// changed. Further crashes on a segment change nothing.
    pub fn due(&self, ledger: &ledger::Ledger, now: Millis) -> Option<(u64, Vec<RecordedBlame>)> {
        let blames = ledger.recordable(now);
        let is_same = match &self.segments {
            Some(recorded) => *recorded == segments(&blames),
            // A record that is absent or unreadable need not be replaced by an empty one.
            None => blames.is_empty(),
        };
        (!is_same).then_some((self.revision, blames))
    }
}

fn segments(blames: &[RecordedBlame]) -> BTreeSet<u64> {
    blames.iter().map(|blame| blame.segment).collect()
}
