//! Shares the few free places of busy engines among the instances of a fleet.

use std::collections::BTreeMap;

use rand::{Rng, RngExt as _};

use crate::time::Millis;

/// Time until the load that a sent request adds is known to the other instances of a fleet with
/// relays.
const REPORT_DELAY: Millis = Millis(100);
/// Free places for each instance from which they are not shared out: about what an instance sends
/// within [`REPORT_DELAY`]. A random engine seldom holds the segments of a prompt.
const PLENTY: f64 = 1.5;
/// Largest number of places that an instance saves up.
const MAX_CREDIT: f64 = 2.0;

/// How a request may use a free place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// There are places for all: the best one may be used.
    Best,
    /// The request may use a place, chosen at random among all, because other instances choose at
    /// the same time and with the same view.
    Any,
    /// The places known to be free are left to other instances.
    None,
}

/// Places that an instance may use, by the rank of requests.
///
/// All instances see the same free places. Without a limit each of them would send its waiting
/// requests there, and the engine would reject most of them.
#[derive(Clone, Debug, Default)]
pub struct PlaceShares {
    by_rank: BTreeMap<u8, Credit>,
}

#[derive(Clone, Copy, Debug)]
struct Credit {
    places: f64,
    updated_at: Millis,
}

impl PlaceShares {
    /// Returns how a request of this rank may use one of the `free` places, of which the fleet has
    /// `instances` to share them.
    pub fn take(
        &mut self,
        rank: u8,
        free: f64,
        instances: u32,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Grant {
        let share = free / f64::from(instances.max(1));
        if share >= PLENTY {
            return Grant::Best;
        }
        // The first credit is random, so that instances do not use theirs at the same time.
        let start = || Credit { places: rng.random_range(0.0..1.0), updated_at: now };
        let credit = self.by_rank.entry(rank).or_insert_with(start);
        let elapsed = now.since(credit.updated_at).0 as f64 / REPORT_DELAY.0 as f64;
        credit.places = (credit.places + elapsed * share).min(MAX_CREDIT);
        credit.updated_at = now;
        if credit.places < 1.0 {
            return Grant::None;
        }
        credit.places -= 1.0;
        Grant::Any
    }
}
