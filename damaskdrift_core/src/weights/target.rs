//! Target versions of a model's weights, each with its own time limit.

use crate::time::Millis;

/// A version that operators set as target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Target {
    version: u64,
    /// Latest time at which the version may have been set, in milliseconds; negative if that was
    /// before the clock's zero.
    set_at: i64,
    /// Whether `set_at` is only a bound, because no instance is known to have seen the change.
    is_assumed: bool,
}

/// The target versions of one model's weights.
///
/// A target that follows another one does not extend the time limit of the earlier one, so versions
/// are kept until they no longer decide anything.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Targets {
    /// In ascending order of versions.
    targets: Vec<Target>,
}

impl Target {
    /// Returns until when requests may begin on older weights.
    fn limit_end(&self, limit: Millis) -> Millis {
        let end = self.set_at.saturating_add_unsigned(limit.0);
        Millis(u64::try_from(end).unwrap_or(0))
    }

    fn age(&self, now: Millis) -> Millis {
        let age = to_signed(now).saturating_sub(self.set_at);
        Millis(u64::try_from(age).unwrap_or(0))
    }
}

fn to_signed(at: Millis) -> i64 {
    i64::try_from(at.0).unwrap_or(i64::MAX)
}

impl Targets {
    /// Records that a version was set `age` ago, and returns whether it is the newest.
    ///
    /// Of several ages for one version the highest counts.
    pub fn record(&mut self, version: u64, age: Millis, now: Millis) -> bool {
        let set_at = to_signed(now).saturating_sub(to_signed(age));
        self.insert(Target { version, set_at, is_assumed: false })
    }

    /// Records a version that was set at most `max_age` ago, at a time that is not known, and returns
    /// whether it is the newest.
    ///
    /// A known age replaces the assumed one.
    pub fn record_assumed(&mut self, version: u64, max_age: Millis, now: Millis) -> bool {
        let set_at = to_signed(now).saturating_sub(to_signed(max_age));
        self.insert(Target { version, set_at, is_assumed: true })
    }

    /// Records that another instance knows that a version was set `age` ago.
    ///
    /// Only the platform store can name a newer target than those known.
    pub fn record_reported(&mut self, version: u64, age: Millis, now: Millis) {
        if self.newest().is_some_and(|newest| version <= newest) {
            self.record(version, age, now);
        }
    }

    fn insert(&mut self, target: Target) -> bool {
        let index = self.targets.partition_point(|known| known.version < target.version);
        let known = self.targets.get_mut(index).filter(|known| known.version == target.version);
        let Some(known) = known else {
            self.targets.insert(index, target);
            return index + 1 == self.targets.len();
        };
        let replaces = match (known.is_assumed, target.is_assumed) {
            (true, false) => true,
            (false, true) => false,
            (true, true) | (false, false) => target.set_at < known.set_at,
        };
        if replaces {
            *known = target;
        }
        false
    }

    /// Returns the newest version, or `None` if none was set.
    pub fn newest(&self) -> Option<u64> {
        self.targets.last().map(|target| target.version)
    }

    /// Returns until when a request may begin on a version, given the limit for which older versions
    /// may be used after a target was set; `None` if no target is newer.
    pub fn usable_until(&self, version: u64, limit: Millis) -> Option<Millis> {
        let newer = self.targets.iter().filter(|target| target.version > version);
        newer.map(|target| target.limit_end(limit)).min()
    }

    /// Removes the versions that no longer decide anything: those older than one whose limit has
    /// ended.
    pub fn prune(&mut self, now: Millis, limit: Millis) {
        let has_ended = |target: &Target| target.limit_end(limit) <= now;
        if let Some(index) = self.targets.iter().rposition(has_ended) {
            self.targets.drain(..index);
        }
    }

    /// Iterates over the versions in ascending order, each with the end of its limit.
    pub fn limit_ends(&self, limit: Millis) -> impl Iterator<Item = (u64, Millis)> {
        self.targets.iter().map(move |target| (target.version, target.limit_end(limit)))
    }

    /// Iterates over the versions whose age is known, with their ages.
    pub fn known_ages(&self, now: Millis) -> impl Iterator<Item = (u64, Millis)> {
        let known = self.targets.iter().filter(|target| !target.is_assumed);
        known.map(move |target| (target.version, target.age(now)))
    }
}
