//! Time series of good and bad requests, with shorter buckets for shorter windows.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Length of a bucket and of the time covered, by level. Buckets of 5 s over three days would take
/// 830 KB per series. Longer buckets for longer windows take 24 KB, with an error of at most one
/// bucket at the start of a window.
const LEVELS: [(Millis, Millis); 3] = [
    (Millis::from_secs(5), Millis::from_secs(3_600)),
    (Millis::from_secs(60), Millis::from_secs(6 * 3_600)),
    (Millis::from_secs(600), Millis::from_secs(72 * 3_600)),
];

/// Number of requests and of bad ones among them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Total {
    /// Requests, good or bad.
    pub requests: u32,
    /// Requests that did not meet the criterion of the measure.
    pub bad: u32,
}

/// Time series of the requests of one workspace, judged by one measure.
#[derive(Clone, Debug, Default)]
pub struct Series {
    levels: [collections::VecDeque<(u64, Total)>; LEVELS.len()],
}

impl Total {
    /// Adds the counts of `other`, saturating at the largest `u32`.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

impl Series {
    /// Counts one request as good or bad at `now`.
    pub fn count(&mut self, now: Millis, is_good: bool) {
        for (buckets, (bucket_len, covered)) in self.levels.iter_mut().zip(LEVELS) {
            let index = now.0 / bucket_len.0;
            if buckets.back().is_none_or(|(last, _)| *last < index) {
                buckets.push_back((index, Total::default()));
            }
            let first = (index + 1).saturating_sub(covered.0 / bucket_len.0);
            while buckets.front().is_some_and(|(index, _)| *index < first) {
                buckets.pop_front();
            }
            if let Some((_, total)) = buckets.back_mut() {
                total.requests = total.requests.saturating_add(1);
                total.bad = total.bad.saturating_add(u32::from(!is_good));
            }
        }
    }

    /// Returns the counts of a window that ends at `now`.
    pub fn total(&self, now: Millis, window: Millis) -> Total {
        let level = LEVELS.iter().position(|(_, covered)| *covered >= window);
        let level = level.unwrap_or(LEVELS.len() - 1);
        let (bucket_len, _) = LEVELS[level];
        let first = (now.0 / bucket_len.0 + 1).saturating_sub(window.0 / bucket_len.0);
        let mut total = Total::default();
        for (_, counts) in self.levels[level].iter().rev().take_while(|(index, _)| *index >= first)
        {
            total.add(*counts);
        }
        total
    }
}
