//! Finds the segments that explain crashes.

use std::collections::{BTreeMap, BTreeSet};

use crate::quarantine::crash;
use crate::time::Millis;

/// Number of crashes that a segment must explain if no other crash happened meanwhile. Where a
/// quarter of the engines crashes within a second, some segment meets two of them by chance.
const MIN_CRASHES: usize = 3;
/// Maximum addition to [`MIN_CRASHES`] for crashes that the segment does not explain: while engines
/// crash for another reason, a rare segment may meet several.
const MAX_EXTRA_CRASHES: usize = 1;
/// Crashes within this time count as one for a segment. Engines that lose power together run many
/// requests with the same segments.
const EPISODE: Millis = Millis(100);
/// Age of the first crash from which a segment is blamed. By then all instances that were answered
/// on a segment of it have said so, through two relays.
pub const SETTLE_TIME: Millis = Millis(400);
/// Crashes older than this are no evidence for a new blame.
const WINDOW: Millis = Millis(120_000);
/// Time around the crashes of a segment in which other crashes count as unexplained.
const SPAN_MARGIN: Millis = Millis(1_000);

/// Crashes that a segment may have caused.
struct Suspect {
    segment: u64,
    /// Times of the crashes in ascending order.
    crashes: Vec<Millis>,
    was_answered: bool,
    depth: u8,
}

impl Suspect {
    /// Returns the number of crashes, of which those in quick succession count as one.
    fn episodes(&self) -> usize {
        let mut episodes = 0;
        let mut last = None;
        for at in &self.crashes {
            if last.is_none_or(|last| at.since(last) >= EPISODE) {
                episodes += 1;
                last = Some(*at);
            }
        }
        episodes
    }

    /// Returns how many crashes the segment must explain to be blamed.
    ///
    /// A segment that was answered before needs as many as one beside crashes of another cause.
    fn required(&self, crashes: &[&crash::Crash]) -> usize {
        let (Some(first), Some(last)) = (self.crashes.first(), self.crashes.last()) else {
            return usize::MAX;
        };
        if self.was_answered {
            return MIN_CRASHES + MAX_EXTRA_CRASHES;
        }
        let (from, to) = (*first - SPAN_MARGIN, *last + SPAN_MARGIN);
        let mut unexplained = 0;
        for crash in crashes {
            if from <= crash.at && crash.at <= to && !crash.candidates.contains_key(&self.segment) {
                unexplained += 1;
            }
        }
        MIN_CRASHES + MAX_EXTRA_CRASHES.min(unexplained)
    }

    fn is_settled(&self, now: Millis) -> bool {
        self.crashes.first().is_some_and(|first| now.since(*first) >= SETTLE_TIME)
    }
}

/// Returns the segments to blame for the crashes, beyond those that are blamed already.
///
/// The fewest segments that explain the crashes are blamed: a segment of many requests is present
/// at the crashes of a rarer one that it is combined with. The deeper of two equal segments is
/// chosen, since requests with the other one alone then show whether that is sound.
pub fn blamed<'a>(
    crashes: impl Iterator<Item = &'a crash::Crash>,
    known: &BTreeSet<u64>,
    now: Millis,
) -> Vec<u64> {
    let recent: Vec<_> = crashes.filter(|crash| now.since(crash.at) < WINDOW).collect();
    let is_explained =
        |crash: &crash::Crash, by: &BTreeSet<u64>| by.iter().any(|id| crash.accuses(*id));
    let mut explaining = known.clone();
    let mut found = Vec::new();
    loop {
        let mut open: Vec<_> =
            recent.iter().copied().filter(|crash| !is_explained(crash, &explaining)).collect();
        open.sort_by_key(|crash| crash.at);
        let Some(segment) = first_to_blame(&open, now) else {
            return found;
        };
        found.push(segment);
        explaining.insert(segment);
    }
}

/// Returns the segment that explains most of the crashes, if those are enough to blame it.
fn first_to_blame(open: &[&crash::Crash], now: Millis) -> Option<u64> {
    let mut suspects: BTreeMap<u64, Suspect> = BTreeMap::new();
    for crash in open {
        for (segment, candidate) in &crash.candidates {
            if !crash.accuses(*segment) {
                continue;
            }
            let suspect = suspects.entry(*segment).or_insert_with(|| Suspect {
                segment: *segment,
                crashes: Vec::new(),
                was_answered: false,
                depth: 0,
            });
            suspect.crashes.push(crash.at);
            suspect.was_answered |= candidate.standing == crash::Standing::AnsweredBefore;
            suspect.depth = suspect.depth.max(candidate.depth);
        }
    }
    let enough = suspects.into_values().filter(|suspect| {
        let episodes = suspect.episodes();
        // Most suspects were at one crash only.
        episodes >= MIN_CRASHES && episodes >= suspect.required(open) && suspect.is_settled(now)
    });
    let best = enough.max_by_key(|suspect| {
        (suspect.crashes.len(), !suspect.was_answered, suspect.depth, suspect.segment)
    });
    best.map(|suspect| suspect.segment)
}
