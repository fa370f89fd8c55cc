//! Newtypes for instants and durations in milliseconds.

use std::ops;
use std::time;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A time on the monotonic clock of one process, or a duration, in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

/// Wall-clock time in milliseconds since the Unix epoch, for deadlines that operators set.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl Millis {
    /// Creates a duration from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, duration: Self) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl ops::Sub for Millis {
    type Output = Self;

    fn sub(self, duration: Self) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl From<Millis> for time::Duration {
    fn from(duration: Millis) -> Self {
        Self::from_millis(duration.0)
    }
}

impl From<time::Duration> for Millis {
    fn from(duration: time::Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
