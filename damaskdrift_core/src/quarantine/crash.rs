//! Records of the crashes of engines.

use std::collections::BTreeMap;

use crate::id;
use crate::time::Millis;

/// Maximum number of segments in the record of one crash. An engine runs a few dozen requests at
/// once, and most of their segments were answered shortly before.
const MAX_CANDIDATES: usize = 64;

/// One run of an upstream, from its start to its end.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Unix time of its start; 0 if discovery does not give it.
    pub started_at: u64,
}

/// What is known of the answers on a segment. A later value replaces an earlier one, so that records
/// of the same crash merge to the same result in any order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// No answer on the segment is known.
    #[default]
    Unanswered,
    /// The segment was answered some time before the crash.
    AnsweredBefore,
    /// The segment was answered after the crash, so that it cannot have caused it.
    AnsweredSince,
}

/// A segment of a request that was in flight at an engine when it crashed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Candidate {
    /// Position of the segment in the prompt, from 0.
    pub depth: u8,
    /// What is known of the answers on the segment.
    pub standing: Standing,
}

/// The crash of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// When it was first seen.
    pub at: Millis,
    /// Segments that may have caused it, by id.
    pub candidates: BTreeMap<u64, Candidate>,
}

impl Crash {
    /// Creates the record of a crash without candidates.
    pub fn new(at: Millis) -> Self {
        Self { at, candidates: BTreeMap::new() }
    }

    /// Adds a candidate, or raises the standing of a known one, and returns whether that changed
    /// the record.
    pub fn add(&mut self, segment: u64, candidate: Candidate) -> bool {
        if let Some(known) = self.candidates.get_mut(&segment) {
            let changed = known.standing < candidate.standing;
            known.standing = known.standing.max(candidate.standing);
            return changed;
        }
        if self.candidates.len() >= MAX_CANDIDATES {
            return false;
        }
        self.candidates.insert(segment, candidate);
        true
    }

    /// Returns whether the segment may have caused the crash.
    pub fn accuses(&self, segment: u64) -> bool {
        self.candidates.get(&segment).is_some_and(|c| c.standing < Standing::AnsweredSince)
    }
}
